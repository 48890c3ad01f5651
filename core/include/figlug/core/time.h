#ifndef FIGLUG_CORE_TIME_H_
#define FIGLUG_CORE_TIME_H_

#include <chrono>
#include <cstdint>

namespace figlug::core {

/// \brief Every duration in the core, in microseconds.
using Duration = std::chrono::duration<std::int64_t, std::micro>;

/// \brief Clock tag for the monotonic time of one process. It has no `now`: the
/// core does not read clocks.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  static constexpr bool is_steady = true;
};

/// \brief Monotonic time of one process; never compared between processes.
using Time = MonotonicClock::time_point;

/// \brief Wall-clock time in milliseconds since 1970-01-01 UTC.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// \brief Later than every deadline.
inline constexpr Time kNever = Time::max();

}  // namespace figlug::core

#endif  // FIGLUG_CORE_TIME_H_
