#include "figlug/core/concurrency_limit.h"

#include <algorithm>

namespace figlug::core {
namespace {

constexpr double kSlowFactor = 2.0;
constexpr double kColdFactor = 8.0;
constexpr double kShrinkOnSlow = 0.9;
constexpr double kShrinkOnShed = 0.6;
constexpr double kRecentWeight = 0.2;
constexpr double kBaseRiseWeight = 0.002;
constexpr double kSlowStartStep = 0.5;
/// Latencies up to this never count as slow, whatever their ratio to the base,
/// because load alone can cause them.
constexpr double kMinSlowLatencyUs = 2000;
constexpr Duration kShrinkInterval = std::chrono::milliseconds(20);

}  // namespace

void ConcurrencyLimit::SetBounds(LimitBounds bounds) noexcept {
  m_bounds = bounds;
  m_limit = std::clamp(m_limit, static_cast<double>(bounds.m_cold),
                       static_cast<double>(bounds.m_max));
}

// The base follows faster answers quickly and slower ones very slowly, so that
// latency caused by a queue at the target is not mistaken for the base.
void ConcurrencyLimit::OnSuccess(Time now,
                                 Duration latency,
                                 std::uint32_t in_flight) {
  const auto us =
      static_cast<double>(std::max<Duration::rep>(latency.count(), 1));
  m_recent_us =
      m_recent_us == 0 ? us : m_recent_us + kRecentWeight * (us - m_recent_us);
  if (m_base_us == 0) {
    m_base_us = us;
  }
  m_base_us +=
      (us < m_base_us ? kRecentWeight : kBaseRiseWeight) * (us - m_base_us);

  if (m_recent_us > kColdFactor * m_base_us &&
      m_recent_us > kMinSlowLatencyUs) {
    Reset();
    return;
  }
  if (m_recent_us > kSlowFactor * m_base_us &&
      m_recent_us > kMinSlowLatencyUs) {
    Shrink(now, kShrinkOnSlow);
    return;
  }
  // Only load at the limit shows whether the target can handle more. Load above
  // the limit was admitted under an earlier, higher limit.
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
  m_base_us = 0;
  m_recent_us = 0;
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
