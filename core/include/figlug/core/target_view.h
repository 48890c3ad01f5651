#ifndef FIGLUG_CORE_TARGET_VIEW_H_
#define FIGLUG_CORE_TARGET_VIEW_H_

#include <cstdint>
#include <optional>

#include "figlug/core/action.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief What one ingress has observed of a target.
struct TargetView {
  /// Open attempts of this ingress at the target.
  std::uint32_t m_outstanding = 0;
  /// Smoothed latency of answers, microseconds; 0 when unknown.
  double m_latency_us = 0;
  std::uint32_t m_consecutive_failures = 0;
  /// Smoothed ratio of attempts that failed at the target or on the way to it,
  /// 0 to 1.
  double m_failure_ratio = 0;
  Time m_ejected_until{};
  /// Load that the gate reported with its last reply.
  GateLoad m_load;
  Time m_load_reported_at = Time::min();
  /// About when the gate made that report.
  Time m_load_made_at = Time::min();
};

/// \brief Adds one attempt to the smoothed ratio of failures.
void CountAttempt(TargetView& target, bool is_failure) noexcept;

/// \brief Ejects the target for a while after several failures in a row.
void RecordFailure(Time now, TargetView& target) noexcept;

/// \brief Reports whether a gate's last load report is recent.
[[nodiscard]] bool IsLoadFresh(const TargetView& target, Time now) noexcept;

/// \brief Takes over a gate's load report, unless a newer one came before it.
/// \param is_behind_large Whether it came with a large answer, and so waited
/// for the link of the gate's VM.
void UpdateLoad(TargetView& target,
                Time now,
                const GateLoad& load,
                bool is_behind_large) noexcept;

/// \brief How long a large answer of the target still waits for the link of its
/// VM, by the last report.
[[nodiscard]] Duration LinkWaitLeft(const TargetView& target,
                                    Time now) noexcept;

/// \brief Estimates the time to an answer from a target's load, microseconds.
/// \param slots Requests that the target executes concurrently; 0 when unknown.
/// \param service_time Expected service time of the request at the target, if
/// it has been learned; otherwise that of all requests is used.
/// \param has_large_answer Whether the answer is expected to wait for the link
/// of the target's VM.
[[nodiscard]] double ExpectedAnswerTime(
    const TargetView& target,
    std::uint32_t slots,
    Time now,
    std::optional<Duration> service_time = std::nullopt,
    bool has_large_answer = false) noexcept;

}  // namespace figlug::core

#endif  // FIGLUG_CORE_TARGET_VIEW_H_
