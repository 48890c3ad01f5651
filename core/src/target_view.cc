#include "figlug/core/target_view.h"

#include <algorithm>

namespace figlug::core {
namespace {

/// Slots of a target that tells none.
constexpr double kGuessedSlots = 8;
/// Service time of a target that has answered nothing yet, microseconds.
constexpr double kGuessedServiceUs = 100'000;
/// Age at which a gate's word on its load says nothing any more.
constexpr Duration kLoadAge = std::chrono::milliseconds(1000);
/// A full target's answers take longer by this share.
constexpr double kCrowding = 0.5;
/// What a certain failure costs a caller, microseconds.
constexpr double kFailureCostUs = 500'000;

}  // namespace

bool IsLoadFresh(const TargetView& target, Time now) noexcept {
  return target.m_load_at != Time::min() && now < target.m_load_at + kLoadAge;
}

double ExpectedAnswerTime(const TargetView& target,
                          std::uint32_t slots,
                          Time now) noexcept {
  const double told = IsLoadFresh(target, now)
                          ? target.m_load.m_running + target.m_load.m_queued
                          : 0;
  const double open = std::max(told, static_cast<double>(target.m_outstanding));
  const double room = slots > 0 ? slots : kGuessedSlots;
  double service = static_cast<double>(target.m_load.m_service_time.count());
  if (service <= 0) {
    service = target.m_latency > 0 ? target.m_latency : kGuessedServiceUs;
  }
  const double use = std::min(1.0, open / room);
  const double wait = std::max(0.0, open + 1 - room) * service / room;
  return wait + service * (1 + kCrowding * use * use) +
         target.m_failure_share * kFailureCostUs;
}

}  // namespace figlug::core
