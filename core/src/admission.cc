#include "figlug/core/admission.h"

#include <algorithm>

namespace figlug::core {
namespace {

/// Share of a new observation in a smoothed run time.
constexpr double kRunWeight = 0.1;
/// Share of the target latency that work may always wait, so that a slow
/// target, whose runs take longer than that, keeps a short queue, too.
constexpr double kLeastWaitShare = 0.15;
/// Runs vary; one that starts later than this many expected runs before a bound
/// is likely to miss it.
constexpr double kRunMargin = 1.7;

void Smooth(double& mean_us, Duration taken) {
  const auto us = static_cast<double>(taken.count());
  mean_us = mean_us == 0 ? us : mean_us + kRunWeight * (us - mean_us);
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

void RunTimes::Observe(WorkClass work, Duration taken) {
  Smooth(m_by_class_us[work], taken);
  Smooth(m_all_us, taken);
}

Duration RunTimes::Of(WorkClass work) const {
  const auto it = m_by_class_us.find(work);
  return it == m_by_class_us.end() ? OfAll() : Micros(it->second);
}

Duration RunTimes::OfAll() const noexcept {
  return Micros(m_all_us);
}

Duration UsefulWait(const AttemptHead& head, Duration run, bool may_be_late) {
  const Duration long_run = Scale(kRunMargin, run);
  const Duration uncut = head.m_time_left - long_run;
  const Duration in_time =
      std::max(head.m_target_latency_left - long_run,
               Scale(kLeastWaitShare, head.m_target_latency));
  return std::max(Duration::zero(),
                  may_be_late ? uncut : std::min(in_time, uncut));
}

}  // namespace figlug::core
