#include "figlug/core/record.h"

#include <array>

namespace figlug::core {
namespace {

/// Indexed by the alternatives of Record.
constexpr std::array<std::string_view, std::variant_size_v<Record>> kNames = {
    "unreadable", "join",       "watchers",  "vote",       "weight",
    "drain",      "leave",      "release",   "profile",    "exclusion",
    "force-down", "checkpoint", "move",      "era",        "era-settled",
    "departure",  "tenant",     "suspicion", "refutation", "removal"};

}  // namespace

std::string_view NameOf(const Record& record) noexcept {
  return kNames[record.index()];
}

}  // namespace figlug::core
