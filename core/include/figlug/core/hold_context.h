#ifndef FIGLUG_CORE_HOLD_CONTEXT_H_
#define FIGLUG_CORE_HOLD_CONTEXT_H_

#include <cstdint>
#include <map>
#include <string_view>

#include "figlug/core/ownership.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// Maximum rate by which a target's clock may be slow, from the platform's
/// contract.
inline constexpr double kMaxTargetClockDriftRatio = 0.02;

/// Maximum difference between the clock rates of two VMs.
inline constexpr double kMaxClockDriftRatio = 0.05;

/// \brief Time by this process's clock, which may be fast, after which a hold
/// has ended by the target's clock, which may be slow.
[[nodiscard]] inline Duration LongestHold(Duration hold) {
  return std::chrono::ceil<Duration>(hold * (1 + kMaxClockDriftRatio) /
                                     (1 - kMaxTargetClockDriftRatio));
}

/// \brief What a decision about the target's holds depends on.
struct HoldContext {
  const Ownership& m_ownership;
  /// Number of slices of the target's service.
  SliceIndex m_slices = 0;
  /// Time for which no other process can serve the slices owned here.
  Duration m_lease_left{};
  std::string_view m_target;
  /// Requests that the target executes, by slice.
  const std::map<SliceIndex, std::uint32_t>& m_running;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_HOLD_CONTEXT_H_
