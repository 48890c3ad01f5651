#ifndef FIGLUG_CORE_CONCURRENCY_LIMIT_H_
#define FIGLUG_CORE_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Bounds of a concurrency limit, in requests at once.
struct LimitBounds {
  std::uint32_t m_cold = 2;
  std::uint32_t m_max = 64;
};

/// \brief Finds how many requests a target bears at once.
///
/// Grows with full-limit successes at an undisturbed latency, shrinks when
/// latency rises over the undisturbed one, and falls back to the cold limit
/// when the target sheds or suddenly slows down.
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
  /// \brief Takes new bounds, keeping the limit within them.
  void SetBounds(LimitBounds bounds) noexcept;
  /// \brief Counts an answer.
  /// \param in_flight Requests at the target when the answer came, this one
  /// included.
  void OnSuccess(Time now, Duration latency, std::uint32_t in_flight);
  /// \brief Counts a refusal by the target.
  void OnShed(Time now) noexcept;
  /// \brief Starts over: the target is known to be cold.
  void Reset() noexcept;

 private:
  void Shrink(Time now, double factor) noexcept;

  LimitBounds m_bounds;
  double m_limit = 1;
  bool m_is_slow_start = true;
  /// Undisturbed latency, microseconds; 0 before the first answer.
  double m_base = 0;
  /// Smoothed latency, microseconds.
  double m_recent = 0;
  Time m_shrunk_at{};
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_CONCURRENCY_LIMIT_H_
