#include "figlug/runtime/adjustable_timer.h"

#include <algorithm>
#include <utility>

namespace figlug::runtime {
namespace {

/// Interval at which the delay is read again; well below the few seconds within
/// which a configuration change must take effect.
constexpr core::Duration kCheckInterval = std::chrono::milliseconds(150);

}  // namespace

AdjustableTimer::AdjustableTimer(EventLoop& loop,
                                 std::function<core::Duration()> delay,
                                 std::function<void()> on_expiry)
    : m_delay(std::move(delay)),
      m_on_expiry(std::move(on_expiry)),
      m_timer(loop, [this] { Check(); }) {}

void AdjustableTimer::Start(core::Duration min_delay) {
  m_start = ReadClocks().m_time;
  m_min_delay = min_delay;
  Check();
}

void AdjustableTimer::Check() {
  const core::Duration delay = std::max(m_min_delay, m_delay());
  const core::Duration remaining = m_start + delay - ReadClocks().m_time;
  if (remaining <= core::Duration::zero()) {
    m_on_expiry();
    return;
  }
  m_timer.Set(std::min(remaining, kCheckInterval));
}

}  // namespace figlug::runtime
