#include "figlug/core/concurrency_limit.h"

#include <algorithm>

namespace figlug::core {
namespace {

constexpr double kSlowFactor = 2.0;
constexpr double kColdFactor = 8.0;
constexpr double kShrinkOnSlow = 0.9;
constexpr double kShrinkOnShed = 0.6;
constexpr double kRecentWeight = 0.2;
constexpr double kBaseRise = 0.002;
constexpr double kSlowStartStep = 0.5;
/// Answers slower than this are never due to load alone, microseconds.
constexpr double kLeastSuspectLatency = 2000;
constexpr Duration kShrinkInterval = std::chrono::milliseconds(20);

}  // namespace

void ConcurrencyLimit::SetBounds(LimitBounds bounds) noexcept {
  m_bounds = bounds;
  m_limit = std::clamp(m_limit, static_cast<double>(bounds.m_cold),
                       static_cast<double>(bounds.m_max));
}

// The base follows the fastest answers at once and slow ones hardly, so that a
// queue at the target does not pass for its undisturbed latency.
void ConcurrencyLimit::OnSuccess(Time now,
                                 Duration latency,
                                 std::uint32_t in_flight) {
  const auto us =
      static_cast<double>(std::max<Duration::rep>(latency.count(), 1));
  m_recent = m_recent == 0 ? us : m_recent + kRecentWeight * (us - m_recent);
  if (m_base == 0) {
    m_base = us;
  }
  m_base += (us < m_base ? kRecentWeight : kBaseRise) * (us - m_base);

  if (m_recent > kColdFactor * m_base && m_recent > kLeastSuspectLatency) {
    Reset();
    return;
  }
  if (m_recent > kSlowFactor * m_base && m_recent > kLeastSuspectLatency) {
    Shrink(now, kShrinkOnSlow);
    return;
  }
  // Only work at the limit tells whether more is borne; more than the limit was
  // admitted under an older one.
  if (in_flight + 1 < m_limit || in_flight > value()) {
    return;
  }
  m_limit += m_is_slow_start ? kSlowStartStep : 1 / m_limit;
  m_limit = std::min(m_limit, static_cast<double>(m_bounds.m_max));
}

void ConcurrencyLimit::OnShed(Time now) noexcept {
  Shrink(now, kShrinkOnShed);
}

void ConcurrencyLimit::Reset() noexcept {
  m_limit = m_bounds.m_cold;
  m_is_slow_start = true;
  m_base = 0;
  m_recent = 0;
}

void ConcurrencyLimit::Shrink(Time now, double factor) noexcept {
  if (now < m_shrunk_at + kShrinkInterval) {
    return;
  }
  m_shrunk_at = now;
  m_is_slow_start = false;
  m_limit = std::max(m_limit * factor, static_cast<double>(m_bounds.m_cold));
}

}  // namespace figlug::core
