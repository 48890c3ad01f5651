#ifndef FIGLUG_RUNTIME_ADJUSTABLE_TIMER_H_
#define FIGLUG_RUNTIME_ADJUSTABLE_TIMER_H_

#include <functional>

#include "figlug/core/time.h"
#include "figlug/runtime/event_loop.h"

namespace figlug::runtime {

/// \brief A one-shot timer whose delay may change while it runs.
///
/// \code
/// AdjustableTimer timer(loop, [&] { return node.ReadDelay(); }, read);
/// timer.Start(std::chrono::milliseconds(60));
/// \endcode
class AdjustableTimer {
 public:
  /// \param delay Returns the current delay; called repeatedly while the timer
  /// runs.
  /// \param on_expiry Called once when the timer expires.
  AdjustableTimer(EventLoop& loop,
                  std::function<core::Duration()> delay,
                  std::function<void()> on_expiry);

  /// \brief Starts or restarts the timer.
  /// \param min_delay Lower bound of the delay.
  void Start(core::Duration min_delay);
  void Cancel() noexcept { m_timer.Cancel(); }

 private:
  void Check();

  std::function<core::Duration()> m_delay;
  std::function<void()> m_on_expiry;
  Timer m_timer;
  core::Time m_start{};
  core::Duration m_min_delay{};
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_ADJUSTABLE_TIMER_H_
