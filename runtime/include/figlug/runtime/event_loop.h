#ifndef FIGLUG_RUNTIME_EVENT_LOOP_H_
#define FIGLUG_RUNTIME_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "figlug/core/node.h"
#include "figlug/core/time.h"

struct event;
struct event_base;

namespace figlug::runtime {

/// \brief Reads the monotonic and the wall clock.
[[nodiscard]] core::Now ReadClocks() noexcept;

/// \brief Precision of the timers of a loop.
enum class TimerPrecision : std::uint8_t { kMilliseconds, kMicroseconds };

/// \brief The event loop of a process; all callbacks run on the thread of Run.
///
/// \code
/// EventLoop loop;
/// loop.Run();
/// \endcode
class EventLoop {
 public:
  explicit EventLoop(TimerPrecision precision = TimerPrecision::kMilliseconds);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// \brief Handles events until Stop is called.
  void Run();
  /// \brief Handles events that are pending, without waiting.
  void RunPending();
  /// \brief Makes Run return after the current event's handler.
  void Stop() noexcept;
  [[nodiscard]] event_base* base() const noexcept { return m_base; }

 private:
  event_base* m_base;
};

/// \brief A one-shot timer that can be set again.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> on_expiry);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// \brief Starts the timer, or restarts it with a new delay; a negative delay
  /// counts as zero.
  void Set(core::Duration delay);
  void Cancel() noexcept;

 private:
  std::function<void()> m_on_expiry;
  event* m_event;
};

/// \brief Calls a function when the process receives a signal.
class SignalHandler {
 public:
  SignalHandler(EventLoop& loop, int signal, std::function<void()> on_signal);
  ~SignalHandler();
  SignalHandler(const SignalHandler&) = delete;
  SignalHandler& operator=(const SignalHandler&) = delete;

 private:
  std::function<void()> m_on_signal;
  event* m_event;
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_EVENT_LOOP_H_
