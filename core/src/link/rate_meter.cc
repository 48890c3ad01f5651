#include "figlug/core/link/rate_meter.h"

namespace figlug::core {
namespace {

constexpr Duration kInterval = std::chrono::milliseconds(200);
constexpr double kNewIntervalWeight = 0.3;
/// A rate that was measured long ago says little: work that is refused because
/// of it would keep the link from being measured again.
constexpr Duration kMaxAge = std::chrono::seconds(3);
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

void RateMeter::OnArrived(Time now, std::size_t bytes, bool is_saturated) {
  if (!is_saturated || !m_interval_start) {
    m_interval_start = is_saturated ? std::optional(now) : std::nullopt;
    m_interval_bytes = 0;
    return;
  }
  m_interval_bytes += bytes;
  const Duration length = now - *m_interval_start;
  if (length < kInterval) {
    return;
  }
  const double rate = static_cast<double>(m_interval_bytes) * kMicrosPerSecond /
                      static_cast<double>(length.count());
  const bool is_first = BytesPerSecond(now) == 0;
  m_bytes_per_second =
      is_first ? rate
               : m_bytes_per_second +
                     kNewIntervalWeight * (rate - m_bytes_per_second);
  m_measured_at = now;
  m_interval_start = now;
  m_interval_bytes = 0;
}

double RateMeter::BytesPerSecond(Time now) const {
  return m_bytes_per_second > 0 && now < m_measured_at + kMaxAge
             ? m_bytes_per_second
             : 0;
}

}  // namespace figlug::core
