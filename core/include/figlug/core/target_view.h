#ifndef FIGLUG_CORE_TARGET_VIEW_H_
#define FIGLUG_CORE_TARGET_VIEW_H_

#include <cstdint>

#include "figlug/core/action.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief What one ingress has seen of a target.
struct TargetView {
  /// Attempts of this ingress that are open.
  std::uint32_t m_outstanding = 0;
  /// Smoothed latency of answers, microseconds; 0 when unknown.
  double m_latency_us = 0;
  /// Failures in a row.
  std::uint32_t m_consecutive_failures = 0;
  /// Smoothed share of attempts that the target itself failed, 0 to 1.
  double m_failure_ratio = 0;
  Time m_ejected_until{};
  /// Load that the gate told with its last reply.
  GateLoad m_load;
  Time m_load_reported_at = Time::min();
};

/// \brief Tells whether a gate's last word on its load is recent.
[[nodiscard]] bool IsLoadFresh(const TargetView& target, Time now) noexcept;

/// \brief Expected time to an answer, microseconds, from a target's load.
/// \param slots Requests the target runs at once; 0 when unknown.
[[nodiscard]] double ExpectedAnswerTime(const TargetView& target,
                                        std::uint32_t slots,
                                        Time now) noexcept;

}  // namespace figlug::core

#endif  // FIGLUG_CORE_TARGET_VIEW_H_
