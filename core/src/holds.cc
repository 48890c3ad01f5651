#include "figlug/core/holds.h"

#include <algorithm>

namespace figlug::core {

// A process that pushes holds never grants for longer than a lease, so that its
// successor need not wait for the longest hold.
AnyHolds::AnyHolds(HoldDelivery delivery,
                   Time now,
                   Duration max_hold,
                   Duration max_lease)
    : m_holds(PulledHolds(now, max_hold)) {
  if (delivery == HoldDelivery::kPushed) {
    m_holds = PushedHolds(now, std::min(max_hold, max_lease));
  }
}

const std::string& AnyHolds::HandoverOf(SliceIndex slice) const {
  return std::visit(
      [&](const auto& holds) -> const std::string& {
        return holds.HandoverOf(slice);
      },
      m_holds);
}

bool AnyHolds::MayHold(Time now, SliceIndex slice) const {
  return std::visit(
      [&](const auto& holds) { return holds.MayHold(now, slice); }, m_holds);
}

bool AnyHolds::IsUsable(Time now, SliceIndex slice) const {
  return std::visit(
      [&](const auto& holds) { return holds.IsUsable(now, slice); }, m_holds);
}

}  // namespace figlug::core
