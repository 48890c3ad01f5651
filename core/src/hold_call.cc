#include "figlug/core/hold_call.h"

#include <array>

namespace figlug::core {
namespace {

constexpr std::array<std::string_view, 5> kResultNames = {
    "done", "fenced", "not-applied", "unanswered", "disconnected"};

}  // namespace

std::string_view ToString(HoldResult result) noexcept {
  return kResultNames[static_cast<std::size_t>(result)];
}

}  // namespace figlug::core
