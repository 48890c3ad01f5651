#include "figlug/core/connection_liveness.h"

#include <utility>

namespace figlug::core {
namespace {

/// Most attempts are answered within this time, which saves their probes.
constexpr Duration kProbeAfter = std::chrono::milliseconds(250);
/// Below the second within which service resumes after a loss. A process
/// answers a probe at once, so the rest is room for the delay between regions
/// and for a process that waits for processor time.
constexpr Duration kCloseAfter = std::chrono::milliseconds(750);
/// Time between two reviews that shows a pause of this process; several times
/// the interval at which its user reviews.
constexpr Duration kPauseTime = std::chrono::milliseconds(300);

}  // namespace

void ConnectionLiveness::OnSent(Time now) {
  if (!m_silent_since) {
    m_silent_since = now;
  }
}

void ConnectionLiveness::OnReceived(Time now, bool is_awaiting) {
  m_silent_since = is_awaiting ? std::optional(now) : std::nullopt;
  m_is_probed = false;
}

// A process that was paused itself has not read what arrived meanwhile, so the
// silence counts from the probe on, or anew from the end of the pause.
LivenessAction ConnectionLiveness::Review(Time now) {
  const Time previous = std::exchange(m_reviewed_at, now);
  if (m_is_probed && now > previous + kPauseTime) {
    m_silent_since = now - kProbeAfter;
  }
  const Duration silence = Silence(now);
  if (silence >= kProbeAfter && !std::exchange(m_is_probed, true)) {
    m_silent_since = now - kProbeAfter;
    return LivenessAction::kProbe;
  }
  return silence >= kCloseAfter ? LivenessAction::kClose
                                : LivenessAction::kNone;
}

Duration ConnectionLiveness::Silence(Time now) const {
  return m_silent_since ? now - *m_silent_since : Duration::zero();
}

}  // namespace figlug::core
