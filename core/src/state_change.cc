#include "figlug/core/state_change.h"

#include <array>

namespace figlug::core {
namespace {

constexpr std::array<std::string_view, kStateChangeKindCount> kEventNames = {
    "record-folded",   "record-void",      "target-up",      "target-gone",
    "target-draining", "target-replaced",  "domains-out",    "lease-held",
    "lease-lost",      "holds-changed",    "reader-started", "reader-stopped",
    "target-limited",  "target-unlimited", "log-restored"};

}  // namespace

std::string_view ToString(StateChangeKind kind) noexcept {
  return kEventNames[static_cast<std::size_t>(kind)];
}

}  // namespace figlug::core
