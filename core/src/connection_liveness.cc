#include "figlug/core/connection_liveness.h"

#include <algorithm>
#include <utility>

namespace figlug::core {
namespace {

/// Most attempts are answered within this time, which saves their probes.
constexpr Duration kProbeAfter = std::chrono::milliseconds(250);
/// Below the second within which service resumes after a loss. A process
/// answers a probe at once, so the rest is room for the delay between regions
/// and for a process that waits for processor time.
constexpr Duration kRetireAfter = std::chrono::milliseconds(750);
/// Time that a peer that answers elsewhere has to answer on a retired
/// connection. It exceeds the wait before the system sends lost data again,
/// which has grown to 800 ms by the time that a connection is retired.
constexpr Duration kCloseAfter = std::chrono::milliseconds(1000);
/// Time after the end of its last attempt at which a retired connection is
/// closed, so that the deadline of the attempt takes effect first.
constexpr Duration kAttemptEndMargin = std::chrono::milliseconds(500);
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
  m_answered_elsewhere.reset();
}

void ConnectionLiveness::OnAttemptSent(Time end) {
  m_attempts_end = std::max(m_attempts_end, end);
}

// Before the probe, the peer may have had nothing to say on this connection.
void ConnectionLiveness::OnPeerAnsweredElsewhere(Time now) {
  if (m_is_probed && !m_answered_elsewhere) {
    m_answered_elsewhere = now;
  }
}

// A process that was paused itself has not read what arrived meanwhile, so the
// silence counts from the probe on, or anew from the end of the pause.
LivenessAction ConnectionLiveness::Review(Time now) {
  const Time previous = std::exchange(m_reviewed_at, now);
  if (m_is_probed && now > previous + kPauseTime) {
    m_silent_since = now - kProbeAfter;
    m_answered_elsewhere.reset();
  }
  if (m_is_retired && now >= m_attempts_end + kAttemptEndMargin) {
    return LivenessAction::kClose;
  }
  const Duration silence = Silence(now);
  if (silence >= kProbeAfter && !std::exchange(m_is_probed, true)) {
    m_silent_since = now - kProbeAfter;
    return LivenessAction::kProbe;
  }
  if (silence < kRetireAfter) {
    return LivenessAction::kNone;
  }
  if (!std::exchange(m_is_retired, true)) {
    return LivenessAction::kRetire;
  }
  return m_answered_elsewhere && now >= *m_answered_elsewhere + kCloseAfter
             ? LivenessAction::kClose
             : LivenessAction::kNone;
}

Duration ConnectionLiveness::Silence(Time now) const {
  return m_silent_since ? now - *m_silent_since : Duration::zero();
}

}  // namespace figlug::core
