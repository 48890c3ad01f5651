#ifndef FIGLUG_CORE_LATENCY_WINDOW_H_
#define FIGLUG_CORE_LATENCY_WINDOW_H_

#include <array>
#include <cstdint>

#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Quantiles of the latencies recorded in the last one to two windows.
///
/// Each power of two is split into eight buckets, so a quantile is
/// overestimated by at most 13%.
///
/// \code
/// window.Add(now, latency);
/// Duration p95 = window.Quantile(now, 0.95);
/// \endcode
class LatencyWindow {
 public:
  explicit LatencyWindow(Duration window) : m_window(window) {}

  void Add(Time now, Duration latency);
  /// \brief Upper bound of a quantile.
  /// \param q 0 to 1.
  /// \returns Zero without samples.
  [[nodiscard]] Duration Quantile(Time now, double q);
  [[nodiscard]] std::uint32_t count(Time now);

 private:
  static constexpr std::size_t kBuckets = 256;
  struct Histogram {
    std::array<std::uint32_t, kBuckets> m_counts{};
    std::uint32_t m_total = 0;
  };

  void Rotate(Time now);

  Duration m_window;
  Time m_rotated_at{};
  Histogram m_current;
  Histogram m_previous;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_LATENCY_WINDOW_H_
