#ifndef FIGLUG_CORE_LINK_RATE_METER_H_
#define FIGLUG_CORE_LINK_RATE_METER_H_

#include <cstddef>
#include <optional>

#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Learns the rate of a link from what it carries while more waits.
class RateMeter {
 public:
  /// \brief Bytes have arrived.
  /// \param is_saturated Whether more has waited for the link since the last
  /// call.
  void OnArrived(Time now, std::size_t bytes, bool is_saturated);
  /// \brief Bytes per second; 0 if the link has not been full recently.
  [[nodiscard]] double BytesPerSecond(Time now) const;

 private:
  /// Start of the current interval of saturation.
  std::optional<Time> m_interval_start;
  std::size_t m_interval_bytes = 0;
  double m_bytes_per_second = 0;
  Time m_measured_at{};
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_LINK_RATE_METER_H_
