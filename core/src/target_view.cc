#include "figlug/core/target_view.h"

#include <algorithm>

namespace figlug::core {
namespace {

/// Slots of a target that tells none.
constexpr double kDefaultSlots = 8;
/// Service time of a target that has answered nothing yet, microseconds.
constexpr double kDefaultServiceTimeUs = 100'000;
/// Age at which a gate's word on its load says nothing any more.
constexpr Duration kMaxLoadAge = std::chrono::milliseconds(1000);
/// A full target's answers take longer by this share.
constexpr double kFullLoadSlowdownRatio = 0.5;
/// What a certain failure costs a caller, microseconds.
constexpr double kFailureCostUs = 500'000;

}  // namespace

bool IsLoadFresh(const TargetView& target, Time now) noexcept {
  return target.m_load_reported_at != Time::min() &&
         now < target.m_load_reported_at + kMaxLoadAge;
}

double ExpectedAnswerTime(const TargetView& target,
                          std::uint32_t slots,
                          Time now) noexcept {
  const double reported = IsLoadFresh(target, now)
                              ? target.m_load.m_running + target.m_load.m_queued
                              : 0;
  const double open =
      std::max(reported, static_cast<double>(target.m_outstanding));
  const double slot_count = slots > 0 ? slots : kDefaultSlots;
  double service_us = static_cast<double>(target.m_load.m_service.count());
  if (service_us <= 0) {
    service_us =
        target.m_latency_us > 0 ? target.m_latency_us : kDefaultServiceTimeUs;
  }
  const double utilization = std::min(1.0, open / slot_count);
  const double wait =
      std::max(0.0, open + 1 - slot_count) * service_us / slot_count;
  return wait +
         service_us * (1 + kFullLoadSlowdownRatio * utilization * utilization) +
         target.m_failure_ratio * kFailureCostUs;
}

}  // namespace figlug::core
