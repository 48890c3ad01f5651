// The part of Node that finds members which do not respond, asks them to answer
// in the log, and stops this member when it may have been asked.

#include <algorithm>

#include "figlug/core/node.h"

namespace figlug::core {
namespace {

/// A removal is decided only by a member that has read the log this recently: a
/// refutation that it has not read would make the removal void.
constexpr Duration kMaxLogAgeForRemoval = std::chrono::seconds(3);

}  // namespace

bool Node::IsSuspected() const noexcept {
  const Member* self = FindSelf();
  return self != nullptr && self->m_suspected_at != 0;
}

// While a suspicion stands, only what was known before it counts.
void Node::OnLogConfirmed(Time read_sent_at) {
  if (!IsSuspected()) {
    m_log_freshness.Confirm(read_sent_at);
  }
}

// A watcher's knowledge counts once this member has applied as much. Of those
// that have to wait for that the first is kept: while records come in close
// succession, a watcher is ahead most of the time.
void Node::ConfirmLogByPeer(const HeartbeatAck& ack) {
  if (EraOf(ack.m_next) != m_log_era || ack.m_log_age < Duration::zero()) {
    return;
  }
  if (!m_pending_log) {
    m_pending_log = {ack.m_next, ack.m_sent_at - ack.m_log_age};
    ConfirmPendingLog();
  } else if (ack.m_next <= ReadPosition() && !IsSuspected()) {
    m_log_freshness.ConfirmByPeer(ack.m_sent_at, ack.m_log_age);
  }
}

void Node::ConfirmPendingLog() {
  if (!m_pending_log || ReadPosition() < m_pending_log->m_next) {
    return;
  }
  if (EraOf(m_pending_log->m_next) == m_log_era) {
    OnLogConfirmed(m_pending_log->m_known_at);
  }
  m_pending_log.reset();
}

bool Node::HasLogLease(Time now) const noexcept {
  const Duration lease = m_settings.m_self.m_log_lease;
  return lease == Duration::zero() || now < m_log_freshness.ValidUntil(lease);
}

Duration Node::HoldableTime(Time now) const {
  const Duration lease = m_settings.m_self.m_log_lease;
  if (!HasLogLease(now)) {
    return Duration::zero();
  }
  const Duration remaining = m_lease.RemainingTime(now);
  return lease == Duration::zero()
             ? remaining
             : std::min(remaining, m_log_freshness.ValidUntil(lease) - now);
}

void Node::On(Now, const LivenessProbe& probe) {
  m_prober.OnContact(probe.m_from);
  const Member* from = m_state.FindMember(probe.m_from);
  if (from != nullptr && !m_identity_lost &&
      probe.m_to == m_settings.m_self.m_id) {
    m_actions.emplace_back(
        SendDatagram{from->m_info.m_peer, LivenessReply{probe.m_to}});
  }
}

void Node::On(Now, const LivenessReply& reply) {
  m_prober.OnContact(reply.m_member);
}

void Node::ReviewSuspicions(Now now) {
  const MemberId self = m_settings.m_self.m_id;
  if (FindSelf() == nullptr ||
      m_settings.m_self.m_log_lease == Duration::zero()) {
    return;
  }
  if (const auto refutation = m_suspicions.DueRefutation(self, m_state)) {
    Append(now, *refutation);
  }
  for (MemberId id : m_prober.DueProbes(now.m_time, self, m_state)) {
    m_actions.emplace_back(
        SendDatagram{m_state.FindMember(id)->m_info.m_peer,
                     LivenessProbe{.m_from = self, .m_to = id}});
  }
  if (!m_log_healthy) {
    return;
  }
  for (MemberId id : m_prober.DueSuspects(now.m_time, self, m_state)) {
    Append(now, SuspicionRecord{id});
  }
  const auto age = LogAge(now.m_time);
  if (!age || *age > kMaxLogAgeForRemoval) {
    return;
  }
  for (const RemovalRecord& removal :
       m_suspicions.DueRemovals(now.m_time, self, m_state)) {
    Append(now, removal);
  }
}

}  // namespace figlug::core
