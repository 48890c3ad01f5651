#include "figlug/core/balance/target_speeds.h"

#include <algorithm>
#include <cmath>

namespace figlug::core {
namespace {

/// Time constant with which observations of a target fade, seconds. A target
/// whose speed halves is known as slow within 3 s.
constexpr double kFadeSeconds = 2;
/// Observations that count as one target of average speed: a target with few
/// observations is taken for an average one.
constexpr double kPriorWeight = 4;
constexpr double kMaxWeight = 20;
constexpr double kClassSmoothingFactor = 0.02;
/// Bounds of a ratio.
constexpr double kMinRatio = 0.25;
constexpr double kMaxRatio = 4;

}  // namespace

double TargetSpeeds::Fade(Time now, const Ratio& ratio) noexcept {
  const auto age = std::chrono::duration<double>(
      std::max(now - ratio.m_updated_at, Duration{}));
  return std::exp(-age.count() / kFadeSeconds);
}

// Means of logarithms, since single service times are skewed: the mean itself
// would follow the few longest ones.
void TargetSpeeds::Observe(Time now,
                           std::string_view service,
                           WorkClass work,
                           MemberId member,
                           Duration taken) {
  if (taken <= Duration::zero()) {
    return;
  }
  const double log_us = std::log(static_cast<double>(taken.count()));
  auto classes = m_means.find(service);
  if (classes == m_means.end()) {
    classes = m_means.emplace(service, std::map<WorkClass, double>()).first;
  }
  const auto [mean, is_first] = classes->second.emplace(work, log_us);
  if (!is_first) {
    mean->second += kClassSmoothingFactor * (log_us - mean->second);
  }
  Ratio& ratio = m_ratios[member];
  const double weight = ratio.m_weight * Fade(now, ratio);
  ratio.m_log_mean =
      (weight * ratio.m_log_mean + (log_us - mean->second)) / (weight + 1);
  ratio.m_weight = std::min(weight + 1, kMaxWeight);
  ratio.m_updated_at = now;
}

double TargetSpeeds::RatioOf(Time now, MemberId member) const {
  const auto it = m_ratios.find(member);
  if (it == m_ratios.end()) {
    return 1;
  }
  const double weight = it->second.m_weight * Fade(now, it->second);
  const double log_ratio =
      it->second.m_log_mean * weight / (weight + kPriorWeight);
  return std::clamp(std::exp(log_ratio), kMinRatio, kMaxRatio);
}

std::optional<Duration> TargetSpeeds::Expected(Time now,
                                               std::string_view service,
                                               WorkClass work,
                                               MemberId member) const {
  const auto classes = m_means.find(service);
  if (classes == m_means.end()) {
    return std::nullopt;
  }
  const auto mean = classes->second.find(work);
  if (mean == classes->second.end()) {
    return std::nullopt;
  }
  return Duration(static_cast<Duration::rep>(std::exp(mean->second) *
                                             RatioOf(now, member)));
}

}  // namespace figlug::core
