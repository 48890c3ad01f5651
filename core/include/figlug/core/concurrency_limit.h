#ifndef FIGLUG_CORE_CONCURRENCY_LIMIT_H_
#define FIGLUG_CORE_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Bounds of a concurrency limit, in concurrent requests.
struct LimitBounds {
  /// Limit of a cold target, and the lower bound.
  std::uint32_t m_cold = 2;
  std::uint32_t m_max = 64;
};

/// \brief Estimates how many concurrent requests a target can handle.
///
/// Grows on successes while the limit is in full use and the latency stays near
/// its base, shrinks when the latency rises above the base or the target sheds,
/// and falls back to the cold limit when the target suddenly slows down.
///
/// \code
/// if (in_flight < limit.value()) Dispatch();
/// limit.OnSuccess(now, latency, in_flight);
/// \endcode
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(LimitBounds bounds) : m_bounds(bounds) {
    m_limit = bounds.m_cold;
  }

  [[nodiscard]] std::uint32_t value() const noexcept {
    return static_cast<std::uint32_t>(m_limit);
  }
  /// \brief Sets new bounds and clamps the limit to them.
  void SetBounds(LimitBounds bounds) noexcept;
  /// \brief Updates the limit after a successful answer.
  /// \param in_flight Requests at the target when the answer came, this one
  /// included.
  void OnSuccess(Time now, Duration latency, std::uint32_t in_flight);
  /// \brief Shrinks the limit after the target has shed a request.
  void OnShed(Time now) noexcept;
  /// \brief Returns to the cold limit and discards the latencies, because the
  /// target is known to be cold.
  void Reset() noexcept;

 private:
  void Shrink(Time now, double factor) noexcept;

  LimitBounds m_bounds;
  double m_limit = 1;
  bool m_is_slow_start = true;
  /// Latency without queueing at the target; 0 before the first answer.
  double m_base_us = 0;
  /// Smoothed latency.
  double m_recent_us = 0;
  Time m_shrunk_at{};
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_CONCURRENCY_LIMIT_H_
