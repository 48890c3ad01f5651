#include "figlug/core/state_change.h"

#include <array>

namespace figlug::core {
namespace {

constexpr std::array<std::string_view, kStateChangeKindCount> kNames = {
    "record-folded",   "record-void",     "target-up",   "target-gone",
    "target-draining", "target-replaced", "domains-out", "lease-held",
    "lease-lost",      "holds-changed"};

}  // namespace

std::string_view ToString(StateChangeKind belief) noexcept {
  return kNames[static_cast<std::size_t>(belief)];
}

}  // namespace figlug::core
