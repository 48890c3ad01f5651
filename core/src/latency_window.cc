#include "figlug/core/latency_window.h"

#include <algorithm>
#include <bit>

namespace figlug::core {
namespace {

constexpr std::uint64_t kStepsPerDoubling = 8;

std::size_t BucketOf(Duration latency) {
  const auto us =
      static_cast<std::uint64_t>(std::max<Duration::rep>(latency.count(), 1));
  if (us < kStepsPerDoubling) {
    return us;
  }
  const auto shift = static_cast<unsigned>(std::bit_width(us)) - 4;
  return (shift + 1) * kStepsPerDoubling +
         ((us >> shift) & (kStepsPerDoubling - 1));
}

Duration UpperBound(std::size_t bucket) {
  if (bucket < kStepsPerDoubling) {
    return Duration(bucket);
  }
  const auto shift = bucket / kStepsPerDoubling - 1;
  const auto mantissa = kStepsPerDoubling + bucket % kStepsPerDoubling + 1;
  return Duration(static_cast<Duration::rep>((mantissa << shift) - 1));
}

}  // namespace

void LatencyWindow::Add(Time now, Duration latency) {
  Rotate(now);
  const std::size_t bucket = std::min(BucketOf(latency), kBuckets - 1);
  ++m_current.m_counts[bucket];
  ++m_current.m_total;
}

Duration LatencyWindow::Quantile(Time now, double q) {
  Rotate(now);
  const std::uint32_t total = m_current.m_total + m_previous.m_total;
  if (total == 0) {
    return Duration::zero();
  }
  const auto rank = static_cast<std::uint32_t>(q * (total - 1));
  std::uint32_t seen = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    seen += m_current.m_counts[i] + m_previous.m_counts[i];
    if (seen > rank) {
      return UpperBound(i);
    }
  }
  return UpperBound(kBuckets - 1);
}

std::uint32_t LatencyWindow::count(Time now) {
  Rotate(now);
  return m_current.m_total + m_previous.m_total;
}

void LatencyWindow::Rotate(Time now) {
  if (now < m_rotated_at + m_window) {
    return;
  }
  const bool is_previous_expired = now >= m_rotated_at + 2 * m_window;
  m_previous = is_previous_expired ? Histogram{} : m_current;
  m_current = Histogram{};
  m_rotated_at = now;
}

}  // namespace figlug::core
