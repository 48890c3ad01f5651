#include "figlug/core/target_view.h"

#include <algorithm>

namespace figlug::core {
namespace {

/// Slots assumed for a target that reports none.
constexpr double kDefaultSlots = 8;
/// Service time assumed for a target that has not answered yet, microseconds.
constexpr double kDefaultServiceTimeUs = 100'000;
/// Age at which a gate's load report is ignored as outdated.
constexpr Duration kMaxLoadAge = std::chrono::milliseconds(1000);
/// Relative increase of the service time at full utilization.
constexpr double kFullLoadSlowdownRatio = 0.5;
/// Time added to the estimate at a failure ratio of 1, microseconds.
constexpr double kFailureCostUs = 500'000;
/// Weight of one attempt in the smoothed failure ratio.
constexpr double kFailureSmoothingFactor = 0.1;
constexpr Duration kEjectionTime = std::chrono::milliseconds(1000);
constexpr std::uint32_t kConsecutiveFailuresToEject = 3;

}  // namespace

void CountAttempt(TargetView& target, bool is_failure) noexcept {
  target.m_failure_ratio +=
      kFailureSmoothingFactor * ((is_failure ? 1 : 0) - target.m_failure_ratio);
}

void RecordFailure(Time now, TargetView& target) noexcept {
  if (++target.m_consecutive_failures >= kConsecutiveFailuresToEject) {
    target.m_ejected_until = now + kEjectionTime;
    target.m_consecutive_failures = 0;
  }
}

bool IsLoadFresh(const TargetView& target, Time now) noexcept {
  return target.m_load_reported_at != Time::min() &&
         now < target.m_load_reported_at + kMaxLoadAge;
}

// A report that came with a large answer is as old as that answer's wait for
// the link, and short answers overtake it.
void UpdateLoad(TargetView& target,
                Time now,
                const GateLoad& load,
                bool is_behind_large) noexcept {
  const Time made_at = is_behind_large ? now - load.m_link_wait : now;
  if (made_at < target.m_load_made_at) {
    return;
  }
  target.m_load = load;
  target.m_load_made_at = made_at;
  target.m_load_reported_at = now;
}

// A link's queue lasts for seconds, so a report that is no longer recent still
// says that what it names is being sent.
Duration LinkWaitLeft(const TargetView& target, Time now) noexcept {
  if (target.m_load_reported_at == Time::min()) {
    return Duration::zero();
  }
  const Duration outdated_for =
      std::max(Duration::zero(), now - target.m_load_reported_at - kMaxLoadAge);
  return std::max(Duration::zero(), target.m_load.m_link_wait - outdated_for);
}

double ExpectedAnswerTime(const TargetView& target,
                          std::uint32_t slots,
                          Time now,
                          std::optional<Duration> service_time,
                          bool has_large_answer) noexcept {
  const bool is_fresh = IsLoadFresh(target, now);
  const double reported =
      is_fresh ? target.m_load.m_running + target.m_load.m_queued : 0;
  const double open =
      std::max(reported, static_cast<double>(target.m_outstanding));
  const double slot_count = slots > 0 ? slots : kDefaultSlots;
  double service_us = static_cast<double>(target.m_load.m_service_time.count());
  if (service_us <= 0) {
    service_us =
        target.m_latency_us > 0 ? target.m_latency_us : kDefaultServiceTimeUs;
  }
  const double utilization = std::min(1.0, open / slot_count);
  const double wait =
      std::max(0.0, open + 1 - slot_count) * service_us / slot_count;
  // The wait depends on the work that is there, the rest on this request.
  const double own_us =
      service_time ? static_cast<double>(service_time->count()) : service_us;
  const double link_us =
      has_large_answer ? static_cast<double>(LinkWaitLeft(target, now).count())
                       : 0;
  return wait + link_us +
         own_us * (1 + kFullLoadSlowdownRatio * utilization * utilization) +
         target.m_failure_ratio * kFailureCostUs;
}

}  // namespace figlug::core
