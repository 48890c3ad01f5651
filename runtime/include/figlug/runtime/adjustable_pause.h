#ifndef FIGLUG_RUNTIME_ADJUSTABLE_PAUSE_H_
#define FIGLUG_RUNTIME_ADJUSTABLE_PAUSE_H_

#include <functional>

#include "figlug/core/time.h"
#include "figlug/runtime/event_loop.h"

namespace figlug::runtime {

/// \brief A pause whose length may change while it lasts.
///
/// \code
/// AdjustablePause pause(loop, [&] { return node.ReadDelay(); }, read);
/// pause.Begin(std::chrono::milliseconds(60));
/// \endcode
class AdjustablePause {
 public:
  /// \param length What the pause should last, as things are now.
  /// \param on_end Called once for each Begin.
  AdjustablePause(EventLoop& loop,
                  std::function<core::Duration()> length,
                  std::function<void()> on_end);

  /// \brief Begins a pause, or begins it anew.
  /// \param least Shortest pause, whatever the length says.
  void Begin(core::Duration least);

 private:
  void Check();

  std::function<core::Duration()> m_length;
  std::function<void()> m_on_end;
  Timer m_timer;
  core::Time m_began{};
  core::Duration m_least{};
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_ADJUSTABLE_PAUSE_H_
