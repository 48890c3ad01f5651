#include "figlug/core/admission.h"

#include <algorithm>

namespace figlug::core {
namespace {

/// Weight of a new observation in a smoothed service time.
constexpr double kServiceTimeWeight = 0.1;
/// Ratio of the target latency that work may always wait, so that a slow target
/// whose service time exceeds the target latency keeps a short queue, too.
constexpr double kMinWaitRatio = 0.15;
/// Service times vary: work that starts less than this multiple of its expected
/// service time before a bound is likely to miss the bound.
constexpr double kServiceTimeMargin = 1.7;

void Smooth(double& mean_us, Duration taken) {
  const auto us = static_cast<double>(taken.count());
  mean_us = mean_us == 0 ? us : mean_us + kServiceTimeWeight * (us - mean_us);
}

Duration Micros(double us) {
  return Duration(static_cast<Duration::rep>(us));
}

Duration Scale(double factor, Duration span) {
  return Micros(factor * static_cast<double>(span.count()));
}

}  // namespace

WorkClass ClassOf(const AttemptHead& head) noexcept {
  return {head.m_priority, head.m_target_latency};
}

void ServiceTimes::Observe(WorkClass work, Duration taken) {
  Smooth(m_by_class_us[work], taken);
  Smooth(m_all_us, taken);
}

Duration ServiceTimes::Expected(WorkClass work) const {
  const auto it = m_by_class_us.find(work);
  return it == m_by_class_us.end() ? ExpectedOverall() : Micros(it->second);
}

Duration ServiceTimes::ExpectedOverall() const noexcept {
  return Micros(m_all_us);
}

Duration MaxUsefulWait(const AttemptHead& head,
                       Duration service_time,
                       bool may_be_late) {
  const Duration long_service_time = Scale(kServiceTimeMargin, service_time);
  const Duration before_deadline = head.m_time_left - long_service_time;
  const Duration within_target =
      std::max(head.m_target_latency_left - long_service_time,
               Scale(kMinWaitRatio, head.m_target_latency));
  return std::max(
      Duration::zero(),
      may_be_late ? before_deadline : std::min(within_target, before_deadline));
}

}  // namespace figlug::core
