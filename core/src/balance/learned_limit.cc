#include "figlug/core/balance/learned_limit.h"

#include <algorithm>
#include <cmath>

namespace figlug::core {
namespace {

/// Time constant with which observations fade, seconds.
constexpr double kFadeSeconds = 2;
/// Observations below which a concurrency counts as unknown. Service times vary
/// by about half of their mean.
constexpr double kMinWeight = 7;
/// Longest service time that counts, as a multiple of the class's mean: one
/// straggler must not change the limit.
constexpr double kMaxRatio = 4;
constexpr double kClassSmoothingFactor = 0.02;
/// Length of a turn; some service times.
constexpr Duration kTurn = std::chrono::milliseconds(200);
constexpr Duration kReviewInterval = std::chrono::milliseconds(300);
/// A step is this part of the limit.
constexpr std::uint32_t kStepsPerLimit = 6;
/// Parts of the gain in throughput that a step would bring at a target which
/// does not slow down: with less than the first the limit is lowered, with more
/// than the second it is raised.
constexpr double kMinGainRatio = 0.35;
constexpr double kRaiseGainRatio = 0.6;
/// A limit is raised faster than it is lowered: a target that has recovered and
/// is held back costs more than one that is a little too full.
constexpr std::uint32_t kRaiseSteps = 2;
/// Part of its slots below which a target is never held.
constexpr double kMinSlotRatio = 0.34;
constexpr std::size_t kMaxLevels = 1024;

std::uint32_t LeastOf(std::uint32_t slots) noexcept {
  return std::max(1U,
                  static_cast<std::uint32_t>(std::ceil(kMinSlotRatio * slots)));
}

}  // namespace

double LearnedLimit::Fade(Time now, const Level& level) noexcept {
  const auto age = std::chrono::duration<double>(
      std::max(now - level.m_updated_at, Duration{}));
  return std::exp(-age.count() / kFadeSeconds);
}

std::uint32_t LearnedLimit::Base(std::uint32_t slots) const noexcept {
  const std::uint32_t least = LeastOf(slots);
  return slots - std::min(m_below, slots - std::min(least, slots));
}

std::uint32_t LearnedLimit::StepOf(std::uint32_t base) noexcept {
  return std::max(1U, base / kStepsPerLimit);
}

// Every other turn is at the limit itself; the others are below and above it. A
// target that is not kept busy has no turns.
std::uint32_t LearnedLimit::Limit(Time now, std::uint32_t slots) const {
  if (slots == 0) {
    return 0;
  }
  const std::uint32_t base = Base(slots);
  const std::uint32_t step = StepOf(base);
  if (Throughput(now, base) == 0) {
    return base;
  }
  switch (now.time_since_epoch() / kTurn % 4) {
    case 1:
      return std::max(base, step + 1) - step;
    case 3:
      return std::min(base + step, slots);
    default:
      return base;
  }
}

void LearnedLimit::OnAnswer(Time now,
                            WorkClass work,
                            Duration taken,
                            std::uint32_t running,
                            std::uint32_t slots) {
  const auto us = static_cast<double>(taken.count());
  if (running == 0 || running > kMaxLevels || us <= 0) {
    return;
  }
  double& mean = m_class_means_us[work];
  mean = mean == 0 ? us : mean + kClassSmoothingFactor * (us - mean);
  if (m_levels.size() < running) {
    m_levels.resize(running);
  }
  Level& level = m_levels[running - 1];
  const double fade = Fade(now, level);
  level.m_weight = level.m_weight * fade + 1;
  level.m_sum = level.m_sum * fade + std::min(us / mean, kMaxRatio);
  level.m_updated_at = now;
  if (slots > 0 && now >= m_next_review) {
    m_next_review = now + kReviewInterval;
    Review(now, slots);
  }
}

double LearnedLimit::Throughput(Time now, std::uint32_t running) const {
  if (running == 0 || running > m_levels.size()) {
    return 0;
  }
  const Level& level = m_levels[running - 1];
  return level.m_weight * Fade(now, level) < kMinWeight
             ? 0
             : running * level.m_weight / level.m_sum;
}

// A concurrency that was never reached says that the target is not kept busy.
void LearnedLimit::Review(Time now, std::uint32_t slots) {
  const std::uint32_t base = Base(slots);
  const std::uint32_t step = StepOf(base);
  const double at = Throughput(now, base);
  if (at == 0) {
    return;
  }
  const double full_gain = static_cast<double>(step) / base;
  const double above = Throughput(now, std::min(base + step, slots));
  if (base < slots && above > 0 &&
      above - at > kRaiseGainRatio * full_gain * at) {
    m_below = slots - std::min(base + kRaiseSteps * step, slots);
    return;
  }
  const double below = base > step ? Throughput(now, base - step) : 0;
  if (below > 0 && at - below < kMinGainRatio * full_gain * at) {
    m_below = slots - std::max(base - step, LeastOf(slots));
  }
}

}  // namespace figlug::core
