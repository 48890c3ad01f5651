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

/// \brief Both clocks of this process, read now.
[[nodiscard]] core::Now ReadClocks() noexcept;

/// \brief How exactly a loop keeps its timers.
enum class TimerGrain : std::uint8_t { kMilliseconds, kMicroseconds };

/// \brief The one loop of a process.
///
/// \code
/// EventLoop loop;
/// loop.Run();
/// \endcode
class EventLoop {
 public:
  explicit EventLoop(TimerGrain grain = TimerGrain::kMilliseconds);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// \brief Handles events until Stop is called.
  void Run();
  /// \brief Ends Run after the event in hand.
  void Stop() noexcept;
  [[nodiscard]] event_base* base() const noexcept { return m_base; }

 private:
  event_base* m_base;
};

/// \brief A timer that calls a function once each time it is set.
class Timer {
 public:
  Timer(EventLoop& loop, std::function<void()> on_time);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// \brief Sets or moves the call; a delay below zero counts as zero.
  void Set(core::Duration delay);
  void Cancel() noexcept;

 private:
  std::function<void()> m_on_time;
  event* m_event;
};

/// \brief Calls a function when the process gets a signal.
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
