#include "figlug/runtime/adjustable_pause.h"

#include <algorithm>
#include <utility>

namespace figlug::runtime {
namespace {

/// Time in which a change of the length is noticed; well below the seconds in
/// which a configuration has to be in force.
constexpr core::Duration kCheckPeriod = std::chrono::milliseconds(250);

}  // namespace

AdjustablePause::AdjustablePause(EventLoop& loop,
                                 std::function<core::Duration()> length,
                                 std::function<void()> on_end)
    : m_length(std::move(length)),
      m_on_end(std::move(on_end)),
      m_timer(loop, [this] { Check(); }) {}

void AdjustablePause::Begin(core::Duration least) {
  m_began = ReadClocks().m_time;
  m_least = least;
  Check();
}

void AdjustablePause::Check() {
  const core::Duration length = std::max(m_least, m_length());
  const core::Duration left = m_began + length - ReadClocks().m_time;
  if (left <= core::Duration::zero()) {
    m_on_end();
    return;
  }
  m_timer.Set(std::min(left, kCheckPeriod));
}

}  // namespace figlug::runtime
