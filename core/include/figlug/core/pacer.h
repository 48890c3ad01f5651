#ifndef FIGLUG_CORE_PACER_H_
#define FIGLUG_CORE_PACER_H_

#include <algorithm>

#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Limits the rate of events, allowing short bursts.
///
/// \code
/// if (pacer.NextAt(now, rate) <= now) { pacer.Take(now, rate); Send(); }
/// \endcode
class Pacer {
 public:
  /// \brief Earliest time of the next event.
  /// \param rate Events per second, greater than 0.
  [[nodiscard]] Time NextAt(Time now, double rate) const noexcept {
    const Duration burst_credit = Interval(rate) * (kBurst - 1);
    return std::max(now, m_next - burst_credit);
  }
  /// \brief Records an event that takes place now.
  void Take(Time now, double rate) noexcept {
    m_next = std::max(now, m_next) + Interval(rate);
  }

 private:
  /// Events that may take place at once after a pause.
  static constexpr int kBurst = 3;
  static constexpr double kMicrosPerSecond = 1e6;

  static Duration Interval(double rate) noexcept {
    return Duration(static_cast<Duration::rep>(kMicrosPerSecond / rate));
  }

  /// Earliest time of the next event if bursts were not allowed.
  Time m_next{};
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_PACER_H_
