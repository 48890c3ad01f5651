#include "figlug/runtime/event_loop.h"

#include <event2/event.h>

#include <ctime>

#include <algorithm>
#include <utility>

namespace figlug::runtime {
namespace {

constexpr core::Duration::rep kMicrosPerSecond = 1'000'000;

void Invoke(evutil_socket_t, short, void* function) {
  (*static_cast<std::function<void()>*>(function))();
}

}  // namespace

core::Now ReadClocks() noexcept {
  using std::chrono::duration_cast;
  // Leases must also expire while the VM is suspended. CLOCK_BOOTTIME includes
  // that time, std::chrono::steady_clock does not.
  timespec boot{};
  clock_gettime(CLOCK_BOOTTIME, &boot);
  const auto monotonic = std::chrono::seconds(boot.tv_sec) +
                         std::chrono::nanoseconds(boot.tv_nsec);
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return {core::Time(duration_cast<core::Duration>(monotonic)),
          core::WallTime(duration_cast<std::chrono::milliseconds>(wall))};
}

// Microsecond timers cost a system call each time the earliest deadline
// changes.
EventLoop::EventLoop(TimerPrecision precision) {
  event_config* config = event_config_new();
  if (precision == TimerPrecision::kMicroseconds) {
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  }
  event_config_set_flag(config, EVENT_BASE_FLAG_NO_CACHE_TIME);
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  m_base = event_base_new_with_config(config);
  event_config_free(config);
}

EventLoop::~EventLoop() {
  event_base_free(m_base);
}

void EventLoop::Run() {
  event_base_dispatch(m_base);
}

void EventLoop::RunPending() {
  event_base_loop(m_base, EVLOOP_NONBLOCK);
}

void EventLoop::Stop() noexcept {
  event_base_loopbreak(m_base);
}

Timer::Timer(EventLoop& loop, std::function<void()> on_expiry)
    : m_on_expiry(std::move(on_expiry)),
      m_event(evtimer_new(loop.base(), &Invoke, &m_on_expiry)) {}

Timer::~Timer() {
  event_free(m_event);
}

void Timer::Set(core::Duration delay) {
  const auto us = std::max<core::Duration::rep>(delay.count(), 0);
  const timeval timeout{us / kMicrosPerSecond, us % kMicrosPerSecond};
  evtimer_add(m_event, &timeout);
}

void Timer::Cancel() noexcept {
  evtimer_del(m_event);
}

SignalHandler::SignalHandler(EventLoop& loop,
                             int signal,
                             std::function<void()> on_signal)
    : m_on_signal(std::move(on_signal)),
      m_event(evsignal_new(loop.base(), signal, &Invoke, &m_on_signal)) {
  evsignal_add(m_event, nullptr);
}

SignalHandler::~SignalHandler() {
  event_free(m_event);
}

}  // namespace figlug::runtime
