#include "figlug/core/node.h"

#include <algorithm>
#include <utility>

#include "figlug/core/watcher_choice.h"

namespace figlug::core {
namespace {

constexpr std::size_t kMaxRecentEntries = 512;
constexpr std::uint32_t kWarmUpSteps = 3;
/// Left after the limit of a stop for its last responses to be written: less
/// than half of the time that the platform's settings leave for the exit.
constexpr Duration kLastWriteTime = std::chrono::milliseconds(100);
constexpr Duration kReviewInterval = std::chrono::milliseconds(50);
constexpr Duration kReleaseQueryInterval = std::chrono::milliseconds(100);
/// Used where targets hold keys. A target releases keys with its next report,
/// about a second later, and the previous holder then reports the release at
/// once, so frequent queries would gain nothing.
constexpr Duration kHoldReleaseQueryInterval = std::chrono::milliseconds(500);
constexpr Duration kReleaseRecordInterval = std::chrono::seconds(2);
constexpr Duration kRecordsQueryInterval = std::chrono::milliseconds(300);
constexpr Duration kInitialAppendBackoff = std::chrono::milliseconds(500);
constexpr Duration kMaxAppendBackoff = std::chrono::seconds(5);
constexpr Duration kCheckpointTurnInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxCheckpointTurns = 30;
constexpr Duration kInitialWatchersBackoff = std::chrono::milliseconds(500);
constexpr Duration kMaxWatchersBackoff = std::chrono::seconds(64);
constexpr Duration kWatchersBackoffResetTime = std::chrono::minutes(3);
/// Older acknowledgements say nothing of use about the configuration.
constexpr Duration kMaxAckDelay = std::chrono::minutes(1);
/// Time within which watchers pledge again after an outage of the log: they
/// read it again after a back-off of up to 1 s.
constexpr Duration kPledgeResumeTime = std::chrono::seconds(2);
constexpr Duration kPauseMargin = std::chrono::milliseconds(150);
/// Time within which processes that start together have all joined. Without it
/// the first ones would receive slices that move on to the others right away.
constexpr Duration kJoinSettleTime = std::chrono::milliseconds(700);

}  // namespace

Node::Node(NodeSettings settings, Now now)
    : m_settings(std::move(settings)),
      m_random(m_settings.m_seed),
      m_lease(m_settings.m_timing),
      m_watcher(m_settings.m_timing),
      m_ownership(m_settings.m_self.m_id),
      m_gate(m_settings.m_learns_capacity ? AnyLimit(LearnedLimit{})
                                          : AnyLimit(ReportedLimit{})),
      m_ingress(m_settings.m_balancer, m_settings.m_seed),
      m_quotas(m_settings.m_quota_terms),
      m_holds(m_settings.m_hold_delivery,
              now.m_time,
              m_settings.m_max_hold,
              m_settings.m_timing.m_lease_duration),
      m_next_heartbeat(now.m_time),
      m_next_review(now.m_time),
      m_last_timer(now.m_time) {}

void Node::OnLogHealth(Now, bool is_healthy) {
  m_log_healthy = is_healthy;
}

void Node::OnLogBounds(Now now, Offset first) {
  if (first > m_checkpointed && m_log_first <= m_checkpointed) {
    m_checkpointed_at = now.m_time;
  }
  m_log_first = first;
}

void Node::HandleStart(Now now, Era era, ControlState state) {
  m_log_era = era;
  m_later_era_since.reset();
  m_state = std::move(state);
  m_checkpointed = m_state.next();
  m_checkpointed_at = now.m_time;
  m_log_first = 0;
  m_progress_marks.clear();
  m_recent_entries.clear();
  m_era_changed_at = now.m_time;
  m_quotas.OnStateReplaced();
  m_suspicions.OnRestored();
  AfterApply(now);
}

void Node::HandleCaughtUp(Now now) {
  m_caught_up = true;
  JoinIfReady(now);
}

void Node::HandleTargetHealth(Now now, bool is_up) {
  if (m_target_up == is_up) {
    return;
  }
  m_target_up = is_up;
  ReportStateChange(
      {is_up ? StateChangeKind::kTargetUp : StateChangeKind::kTargetDown,
       m_settings.m_self.m_id});
  if (is_up) {
    JoinIfReady(now);
    return;
  }
  m_gate.OnTargetLost();
  if (!m_stopping_since) {
    StartDrain(now);
  }
}

void Node::JoinIfReady(Now now) {
  if (m_joined || m_stopping_since || !m_caught_up || !m_target_up ||
      m_identity_lost || (m_settings.m_is_routed && m_routing == nullptr)) {
    return;
  }
  m_joined = true;
  m_joined_at = now.m_time;
  if (m_settings.m_is_routed) {
    m_settings.m_self.m_slice_count =
        IsKeyed() ? m_settings.m_granted_slices : 0;
  }
  Append(now, JoinRecord{m_settings.m_self,
                         ChooseWatchers(m_settings.m_self, m_state, {})});
}

void Node::HandleRecords(Now now, std::span<const LogEntry> entries) {
  const Offset before = m_state.next();
  for (const LogEntry& entry : entries) {
    if (entry.m_offset == m_state.next()) {
      ApplyEntry(now, entry);
    }
  }
  if (m_state.next() == before) {
    return;
  }
  RecordProgress(now);
  ConfirmPendingLog();
  AfterApply(now);
}

// Only the newest mark that is older than the stale-reader limit is ever used;
// earlier ones are dropped.
void Node::RecordProgress(Now now) {
  m_progress_marks.push_back({now.m_time, ReadPosition()});
  while (m_progress_marks.size() > 1 &&
         m_progress_marks[1].m_time +
                 m_settings.m_timing.m_stale_reader_timeout <=
             now.m_time) {
    m_progress_marks.pop_front();
  }
}

void Node::ApplyEntry(Now now, const LogEntry& entry) {
  const std::uint64_t slice_changes = m_state.slice_changes();
  const Era era = m_state.era();
  const ApplyResult result = m_state.Apply(entry);
  if (m_state.era() != era) {
    m_era_changed_at = now.m_time;
  }
  // Each record by itself: who has held a ledger between two records may still
  // hold it by the first one.
  if (result.m_applied && m_has_tenants) {
    m_quotas.OnStateChanged(ViewForQuotas(now));
  }
  ReportStateChange({result.m_applied ? StateChangeKind::kRecordApplied
                                      : StateChangeKind::kRecordRejected,
                     result.m_removed, NameOf(entry.m_record)});
  m_appends.erase(entry.m_append_id);
  m_recent_entries.push_back(entry);
  if (m_recent_entries.size() > kMaxRecentEntries) {
    m_recent_entries.pop_front();
  }
  // A record of before a restore may take effect late.
  if (result.m_applied &&
      std::holds_alternative<ExclusionRecord>(entry.m_record)) {
    m_exclusions_differ_since = now.m_time;
  }
  if (const auto* checkpoint = std::get_if<CheckpointRecord>(&entry.m_record)) {
    m_checkpointed = std::max(m_checkpointed, checkpoint->m_next);
    m_checkpointed_at = now.m_time;
  }
  if (result.m_removed != kNoMember &&
      result.m_removed != m_settings.m_self.m_id) {
    m_ingress.OnMemberRemoved(now.m_time, result.m_removed, ViewForIngress(),
                              m_actions);
  }
  if (result.m_removed == m_settings.m_self.m_id) {
    if (m_stopping_since) {
      return;
    }
    ForgetIdentity();
    m_actions.emplace_back(IdentityLost{});
    return;
  }
  const std::string& name = m_settings.m_self.m_service;
  if (const Service* service = m_state.FindService(name);
      service != nullptr && m_state.slice_changes() != slice_changes) {
    m_ownership.OnRecordApplied(now.m_time, now.m_wall, *service,
                                m_state.ProfileOf(name).m_takeover_wait);
  }
  const Member* self = FindSelf();
  if (self != nullptr && self->m_generation != m_generation) {
    m_generation = self->m_generation;
    m_lease.Confirm(now.m_time, m_generation, self->m_watchers);
    OnLeaseExtended(now);
    m_next_heartbeat = now.m_time;
  }
}

void Node::ReportStateChange(StateChanged change) {
  change.m_next = m_state.next();
  m_actions.emplace_back(change);
}

void Node::AfterApply(Now now) {
  RefreshTenants(now);
  m_ownership.set_may_have_unknown_holders(!IsEraSettled());
  m_holds.Visit([](auto& holds) { holds.OnOwnershipChanged(); });
  ReviewHolds(now);
  m_gate.Refresh(now.m_time, ViewForGate(now), m_actions);
  m_next_review = now.m_time;
  PublishReleases(now);
  if (!m_settings.m_is_routed) {
    RequestReleases(now);
  }
}

// Discards everything tied to the old member id. Running work continues, and
// callers are still served.
void Node::ForgetIdentity() {
  m_identity_lost = true;
  m_joined = false;
  m_leaving = false;
  m_generation = 0;
  m_requested_weight = 0;
  m_lease = LeaseHolder(m_settings.m_timing);
  m_watcher = LeaseWatcher(m_settings.m_timing);
  m_ownership = Ownership(kNoMember);
  m_ownership.set_may_have_unknown_holders(!IsEraSettled());
  m_appends.clear();
  m_sent_releases.clear();
  m_logged_releases.clear();
}

void Node::HandleLogGap(Now) {
  ForgetIdentity();
  m_state = ControlState();
  m_caught_up = false;
  m_recent_entries.clear();
  m_progress_marks.clear();
  m_actions.emplace_back(IdentityLost{});
}

void Node::HandleNewIdentity(Now now, MemberId id) {
  m_identity_lost = false;
  m_former_ids.push_back(m_settings.m_self.m_id);
  m_settings.m_self.m_id = id;
  m_ownership = Ownership(id);
  m_ownership.set_may_have_unknown_holders(!IsEraSettled());
  if (const Service* service =
          m_state.FindService(m_settings.m_self.m_service)) {
    m_ownership.OnRecordApplied(now.m_time, now.m_wall, *service,
                                Duration::zero());
  }
  JoinIfReady(now);
}

void Node::HandleDatagram(Now now, const Datagram& datagram) {
  std::visit([&](const auto& message) { On(now, message); }, datagram);
}

void Node::HandlePeerMessage(Now now, const PeerMessage& message) {
  std::visit([&](const auto& typed) { On(now, typed); }, message);
}

// A member that has not read the log for a long time may not know that it was
// removed. Its heartbeats are not acknowledged, so that its lease expires.
void Node::On(Now now, const Heartbeat& heartbeat) {
  m_prober.OnContact(heartbeat.m_member);
  RequestReload(now, heartbeat.m_next);
  const bool is_of_earlier_era = EraOf(heartbeat.m_next) < m_log_era;
  if (m_identity_lost || IsOutdated(now) ||
      (!is_of_earlier_era && IsBehind(now, heartbeat.m_next))) {
    return;
  }
  const Member* member = m_state.FindMember(heartbeat.m_member);
  if (member == nullptr) {
    return;
  }
  RequestOperatorUpdate(now, heartbeat.m_member, heartbeat.m_operators_next,
                        heartbeat.m_configuration);
  HeartbeatAck ack{.m_watcher = m_settings.m_self.m_id,
                   .m_member = heartbeat.m_member,
                   .m_sent_at = heartbeat.m_sent_at,
                   .m_is_pledge = !m_leaving && HasLogLease(now.m_time) &&
                                  m_lease.IsAcknowledgedByMajority(now.m_time),
                   .m_next = ReadPosition(),
                   .m_operators_next = m_operator_update.m_next,
                   .m_configuration = ConfigurationVersion()};
  if (m_settings.m_max_credential_age > Duration::zero()) {
    ack.m_configuration_age =
        m_freshness.Age(now.m_time).value_or(Duration(-1));
  }
  if (m_settings.m_self.m_log_lease > Duration::zero()) {
    ack.m_log_age = LogAge(now.m_time).value_or(Duration(-1));
  }
  // The member holds what lost records had given it. It is told, and its lease
  // expires unless it reads the log again.
  if (is_of_earlier_era) {
    m_actions.emplace_back(SendDatagram{member->m_info.m_peer, ack});
    return;
  }
  if (heartbeat.m_generation != 0 &&
      m_watcher.OnHeartbeat(now.m_time, heartbeat.m_member,
                            heartbeat.m_generation)) {
    ack.m_generation = heartbeat.m_generation;
  }
  if (heartbeat.m_proposed != 0 &&
      m_watcher.OnHeartbeat(now.m_time, heartbeat.m_member,
                            heartbeat.m_proposed)) {
    ack.m_proposed = heartbeat.m_proposed;
  }
  if (ack.m_generation != 0 || ack.m_proposed != 0) {
    m_actions.emplace_back(SendDatagram{member->m_info.m_peer, ack});
  }
}

void Node::On(Now now, const HeartbeatAck& ack) {
  if (ack.m_member != m_settings.m_self.m_id) {
    return;
  }
  m_prober.OnContact(ack.m_watcher);
  if (ack.m_configuration <= ConfigurationVersion() &&
      ack.m_sent_at <= now.m_time &&
      ack.m_sent_at > now.m_time - kMaxAckDelay) {
    m_freshness.ConfirmByPeer(ack.m_sent_at, ack.m_configuration_age);
  }
  RequestReload(now, ack.m_next);
  if (IsOutdated(now)) {
    return;
  }
  ConfirmLogByPeer(ack);
  const bool had_lease = m_lease.IsValid(now.m_time);
  for (Generation generation : {ack.m_generation, ack.m_proposed}) {
    m_lease.OnAck(now.m_time, ack.m_watcher, generation, ack.m_sent_at,
                  ack.m_is_pledge);
  }
  OnLeaseExtended(now);
  if (!had_lease && m_lease.IsValid(now.m_time)) {
    ReviewHolds(now);
    m_gate.Refresh(now.m_time, ViewForGate(now), m_actions);
  }
  RequestOperatorUpdate(now, ack.m_watcher, ack.m_operators_next,
                        ack.m_configuration);
  if (ack.m_next <= ReadPosition() || EraOf(ack.m_next) > m_log_era) {
    m_behind_since.reset();
    return;
  }
  const Time since = m_behind_since.value_or(now.m_time);
  m_behind_since = since;
  const Member* watcher = m_state.FindMember(ack.m_watcher);
  if (watcher != nullptr && now.m_time > since + kRecordsQueryInterval &&
      now.m_time >= m_next_records_query) {
    m_next_records_query = now.m_time + kRecordsQueryInterval;
    m_actions.emplace_back(
        SendPeerMessage{watcher->m_info.m_peer,
                        RecordsQuery{m_settings.m_self.m_id, ReadPosition()}});
  }
}

void Node::On(Now now, const ReleaseQuery& query) {
  SendRelease(now, query.m_from, query.m_slices);
}

// A release from another era refers to records that this member does not have.
// Before the era's record, positions of the lost records look alike.
void Node::On(Now now, const Release& release) {
  if (EraOf(release.m_folded) != m_state.era() || !IsEraBegun()) {
    return;
  }
  m_ownership.OnRelease(release);
  for (const ReleasedSlice& released : release.m_slices) {
    if (!released.m_handover.empty() && m_ownership.IsOwner(released.m_slice)) {
      m_holds.Visit([&](auto& holds) {
        holds.OnHandover(released.m_slice, released.m_handover);
      });
    }
  }
  m_holds.Visit([](auto& holds) { holds.OnOwnershipChanged(); });
  ReviewHolds(now);
  m_gate.Refresh(now.m_time, ViewForGate(now), m_actions);
}

void Node::On(Now, const RecordsQuery& query) {
  const Member* member = m_state.FindMember(query.m_from);
  const Offset next = OffsetOf(query.m_next);
  if (member == nullptr || m_recent_entries.empty() ||
      EraOf(query.m_next) != m_log_era ||
      next < m_recent_entries.front().m_offset || next >= m_state.next()) {
    return;
  }
  const auto skipped =
      static_cast<std::ptrdiff_t>(next - m_recent_entries.front().m_offset);
  m_actions.emplace_back(SendPeerMessage{
      member->m_info.m_peer,
      Records{m_log_era,
              {m_recent_entries.begin() + skipped, m_recent_entries.end()}}});
}

void Node::On(Now now, const Records& records) {
  if (records.m_era == m_log_era) {
    HandleRecords(now, records.m_entries);
    return;
  }
  RequestReload(now, MakePosition(records.m_era, 0));
}

void Node::HandleStop(Now now) {
  if (m_stopping_since) {
    return;
  }
  m_stopping_since = now.m_time;
  m_stop_times = {
      .m_no_calls_from = now.m_time + m_settings.m_stop_admission_time,
      .m_no_attempts_from =
          now.m_time + WorkTimeWithin(m_settings.m_stop_limit),
      .m_ends_at = now.m_time + m_settings.m_stop_limit};
  m_ingress.EndCallsBy(m_stop_times.m_ends_at);
  StartDrain(now);
  m_next_review = now.m_time;
}

void Node::HandleTimer(Now now) {
  if (now.m_time >
      m_last_timer + m_settings.m_timing.m_heartbeat_interval + kPauseMargin) {
    m_watcher.OnResumed(now.m_time);
    m_prober.OnResumed();
  }
  m_last_timer = now.m_time;
  ReviewTenants(now);
  m_ingress.OnTimer(now.m_time, ViewForIngress(), m_actions);
  if (now.m_time >= m_next_heartbeat) {
    m_next_heartbeat = now.m_time + m_settings.m_timing.m_heartbeat_interval;
    SendHeartbeats(now);
  }
  const bool is_gate_due = now.m_time >= m_gate.NextDeadline();
  const bool is_review_due = now.m_time >= m_next_review;
  if (is_review_due) {
    Review(now);
  }
  if (is_gate_due || is_review_due) {
    m_gate.Refresh(now.m_time, ViewForGate(now), m_actions);
  }
}

// Everything that may close the gate runs before the gate dispatches work.
void Node::Review(Now now) {
  m_next_review = now.m_time + kReviewInterval;
  ReviewEra(now);
  RetryAppends(now);
  CastVotes(now);
  ReviewSuspicions(now);
  ReviewWatchers(now);
  PublishReleases(now);
  if (now.m_time >= m_next_release_query) {
    RequestReleases(now);
  }
  ReviewTarget(now);
  ReviewHolds(now);
  if (const bool has_lease = HasLease(now.m_time); has_lease != m_had_lease) {
    m_had_lease = has_lease;
    ReportStateChange(
        {has_lease ? StateChangeKind::kLeaseHeld : StateChangeKind::kLeaseLost,
         m_settings.m_self.m_id});
  }
  ReviewReader(now);
  ReviewExclusions(now);
  ReviewBalance(now);
  ReviewLease(now);
  StepWeight(now);
  WriteCheckpoint(now);
  ReviewDrain(now);
  ReviewStop(now);
}

Time Node::NextDeadline() const noexcept {
  return std::min({m_ingress.NextDeadline(), m_gate.NextDeadline(),
                   m_quotas.NextDeadline(), m_next_heartbeat, m_next_review});
}

void Node::Append(Now now, Record record) {
  const AppendId id{m_random()};
  m_appends[id] = {record, now.m_time + kInitialAppendBackoff,
                   kInitialAppendBackoff};
  m_actions.emplace_back(AppendRecord{id, std::move(record), m_log_era});
}

// An append is confirmed only when it has been read back. Until then it is
// retried under the same id, which the control state applies once.
void Node::RetryAppends(Now now) {
  for (auto& [id, append] : m_appends) {
    if (now.m_time < append.m_next_try) {
      continue;
    }
    append.m_backoff = std::min(2 * append.m_backoff, kMaxAppendBackoff);
    append.m_next_try = now.m_time + append.m_backoff;
    m_actions.emplace_back(AppendRecord{id, append.m_record, m_log_era});
  }
}

void Node::SendHeartbeats(Now now) {
  if (FindSelf() == nullptr) {
    return;
  }
  std::map<MemberId, Heartbeat> heartbeats;
  for (const LeaseHolder::WatcherSet& set : m_lease.watcher_sets()) {
    for (const auto& [watcher, answers] : set.m_watcher_acks) {
      Heartbeat& heartbeat = heartbeats[watcher];
      heartbeat.m_member = m_settings.m_self.m_id;
      heartbeat.m_sent_at = now.m_time;
      heartbeat.m_next = ReadPosition();
      heartbeat.m_operators_next = m_operator_update.m_next;
      heartbeat.m_configuration = ConfigurationVersion();
      (set.m_generation == m_generation ? heartbeat.m_generation
                                        : heartbeat.m_proposed) =
          set.m_generation;
    }
  }
  for (const auto& [watcher, heartbeat] : heartbeats) {
    if (const Member* member = m_state.FindMember(watcher)) {
      m_actions.emplace_back(SendDatagram{member->m_info.m_peer, heartbeat});
    }
  }
}

// A watcher that is draining or not in the control state is replaced at once,
// and so is a set that can be spread better. Silent watchers are replaced with
// an increasing backoff, which then delays the other changes too: during a
// network partition each new choice would fail again.
void Node::ReviewWatchers(Now now) {
  const Member* self = FindSelf();
  if (self == nullptr || !m_log_healthy || m_lease.has_proposal() ||
      m_leaving) {
    return;
  }
  const std::vector<MemberId> silent = m_lease.SilentWatchers(now.m_time);
  const bool must_replace =
      std::ranges::any_of(self->m_watchers, [&](MemberId watcher) {
        const Member* member = m_state.FindMember(watcher);
        return member == nullptr || member->m_draining;
      });
  if (!must_replace && silent.empty() && m_reviewed_offset == m_state.next()) {
    return;
  }
  const std::vector<MemberId> next =
      ChooseWatchers(m_settings.m_self, m_state, silent);
  const bool is_better =
      next.size() > self->m_watchers.size() ||
      RateWatchers(m_settings.m_self, m_state, next) >
          RateWatchers(m_settings.m_self, m_state, self->m_watchers);
  const bool is_uneven = HasOverloadedWatcher(m_state, self->m_watchers) &&
                         !HasOverloadedWatcher(m_state, next);
  const bool may_wait = !silent.empty() || is_better || is_uneven;
  if (next == self->m_watchers || (!must_replace && !may_wait)) {
    m_reviewed_offset = m_state.next();
    return;
  }
  const bool is_calm = m_next_watchers == Time::min() ||
                       now.m_time > m_next_watchers + kWatchersBackoffResetTime;
  if (!must_replace && !(is_better && is_calm)) {
    if (now.m_time < m_next_watchers) {
      return;
    }
    m_watchers_backoff =
        is_calm ? kInitialWatchersBackoff
                : std::min(2 * m_watchers_backoff, kMaxWatchersBackoff);
    m_next_watchers = now.m_time + m_watchers_backoff;
  }
  ProposeWatchers(now, next);
}

// Until the proposal appears in the log, both sets must acknowledge the lease,
// so a proposed set is never changed.
void Node::ProposeWatchers(Now now, std::span<const MemberId> watchers) {
  const Generation generation = m_generation + 1;
  m_lease.Propose(now.m_time, generation, watchers);
  Append(now, WatchersRecord{m_settings.m_self.m_id,
                             generation,
                             {watchers.begin(), watchers.end()}});
  SendHeartbeats(now);
}

// While the log does not answer, no member can be voted down, and a pending
// vote would only withdraw a pledge.
void Node::CastVotes(Now now) {
  if (!m_log_healthy || FindSelf() == nullptr) {
    return;
  }
  for (const VoteRecord& vote :
       m_watcher.DueVotes(now.m_time, m_settings.m_self.m_id, m_state)) {
    Append(now, vote);
  }
  for (const VoteRecord& vote : m_watcher.DueSubstituteVotes(
           now.m_time, m_settings.m_self.m_id, m_state)) {
    Append(now, vote);
  }
}

void Node::RequestReleases(Now now) {
  m_next_release_query =
      now.m_time + (m_settings.m_is_routed ? kHoldReleaseQueryInterval
                                           : kReleaseQueryInterval);
  for (auto& [holder, slices] : m_ownership.AwaitedReleases()) {
    if (const Member* member = m_state.FindMember(holder)) {
      m_actions.emplace_back(SendPeerMessage{
          member->m_info.m_peer,
          ReleaseQuery{m_settings.m_self.m_id, std::move(slices)}});
    }
  }
}

// New owners are notified at once. Releases are also appended to the log, so
// that later owners need not ask; batching them keeps the number of records low
// when many slices move in a short time.
void Node::PublishReleases(Now now) {
  const Service* service = m_state.FindService(m_settings.m_self.m_service);
  const Member* self = FindSelf();
  if (service == nullptr || self == nullptr) {
    return;
  }
  std::map<MemberId, std::vector<SliceIndex>> by_owner;
  ReleaseRecord record{m_settings.m_self.m_id, m_state.position() - 1, {}};
  for (SliceIndex index : m_ownership.PendingReleases()) {
    if (MayBeInUse(now, index)) {
      continue;
    }
    const Slice& slice = service->m_slices[index];
    if (std::exchange(m_sent_releases[index], slice.m_epoch) != slice.m_epoch) {
      by_owner[slice.m_owner].push_back(index);
    }
    if (m_logged_releases[index] != slice.m_epoch) {
      record.m_slices.push_back(index);
    }
  }
  for (const auto& [owner, slices] : by_owner) {
    SendRelease(now, owner, slices);
  }
  const bool is_due = self->m_draining || now.m_time >= m_next_release_record;
  if (record.m_slices.empty() || !is_due) {
    return;
  }
  m_next_release_record = now.m_time + kReleaseRecordInterval;
  for (SliceIndex index : record.m_slices) {
    m_logged_releases[index] = service->m_slices[index].m_epoch;
  }
  Append(now, std::move(record));
}

// Only the owner is told: a member that owns the slice by records that the log
// has lost must not take it for its own.
void Node::SendRelease(Now now,
                       MemberId to,
                       std::span<const SliceIndex> slices) {
  const Member* member = m_state.FindMember(to);
  const Service* service = m_state.FindService(m_settings.m_self.m_service);
  if (member == nullptr || service == nullptr || m_identity_lost) {
    return;
  }
  Release release{m_settings.m_self.m_id, m_state.position() - 1, {}};
  for (SliceIndex index : slices) {
    if (m_ownership.IsReleasePending(index) &&
        service->m_slices[index].m_owner == to && !MayBeInUse(now, index)) {
      release.m_slices.push_back(m_ownership.MakeRelease(index));
      release.m_slices.back().m_handover = m_holds.HandoverOf(index);
    }
  }
  if (!release.m_slices.empty()) {
    m_actions.emplace_back(
        SendPeerMessage{member->m_info.m_peer, std::move(release)});
  }
}

// A member asks for slices once it has held a lease, and for its full share
// once it is warm. A service's first member serves at once.
void Node::StepWeight(Now now) {
  const Member* self = FindSelf();
  if (self == nullptr || self->m_weight >= kMaxWeight || self->m_draining ||
      !HasLease(now.m_time)) {
    return;
  }
  if (m_settings.m_is_routed && now.m_time < m_joined_at + kJoinSettleTime) {
    return;
  }
  if (self->m_weight == 0 && m_requested_weight == 0) {
    m_warm_since = now.m_time;
  }
  const Duration warm_up = m_state.ProfileOf(self->m_info.m_service).m_warm_up;
  std::uint32_t due = 1;
  for (std::uint32_t step = 1; step <= kWarmUpSteps; ++step) {
    if (now.m_time >= m_warm_since + warm_up * step / kWarmUpSteps) {
      due *= 2;
    }
  }
  if (due > self->m_weight && due > m_requested_weight) {
    m_requested_weight = due;
    Append(now, WeightRecord{m_settings.m_self.m_id, due});
  }
}

// A lease that is valid only between two reviews counts as well: the target may
// have been granted keys in that time.
void Node::OnLeaseExtended(Now now) {
  if (m_lease.IsValid(now.m_time)) {
    m_lease_lost_at.reset();
  }
}

// With a one-way network failure the watchers still receive the member's
// heartbeats and never vote it down, while the member receives no
// acknowledgements. It therefore gives up its slices itself. A member that is
// out of the log's reach keeps them: it serves again once it and its watchers
// have read the log.
void Node::ReviewLease(Now now) {
  const Member* self = FindSelf();
  if (self == nullptr || m_leaving || m_lease.IsValid(now.m_time) ||
      (m_settings.m_is_routed && !IsKeyed())) {
    m_lease_lost_at.reset();
    return;
  }
  if (!HasLogLease(now.m_time)) {
    m_lease_lost_at = now.m_time + kPledgeResumeTime;
    return;
  }
  const Time since = m_lease_lost_at.value_or(now.m_time);
  m_lease_lost_at = since;
  if (self->m_weight > 0 && m_log_healthy &&
      now.m_time >= since + m_settings.m_timing.m_lease_duration) {
    m_leaving = true;
    Append(now, ForceDownRecord{m_settings.m_self.m_id});
  }
}

// Members take turns in the order of their ids, so that usually only one writes
// a checkpoint and the next one replaces a lost write.
void Node::WriteCheckpoint(Now now) {
  if (FindSelf() == nullptr || !m_log_healthy) {
    return;
  }
  // A checkpoint that nothing has followed is written again, too: it can be
  // used only as long as the log holds the records after it.
  Time due = m_checkpointed_at + m_settings.m_checkpoint_period;
  const bool is_log_long =
      m_state.next() >= m_checkpointed + m_settings.m_checkpoint_records;
  const bool is_expired = m_checkpointed < m_log_first;
  if (is_log_long || is_expired) {
    due = m_checkpointed_at;
  }
  due += std::min(RankOfSelf(), kMaxCheckpointTurns) * kCheckpointTurnInterval;
  if (now.m_time < due) {
    return;
  }
  m_checkpointed = m_state.next();
  m_checkpointed_at = now.m_time;
  Append(now, CheckpointRecord{m_state.next(),
                               std::make_shared<const ControlState>(m_state)});
}

// A draining member leaves when no work is running, it owns no slices and all
// its releases are done.
void Node::ReviewDrain(Now now) {
  const Member* self = FindSelf();
  if (self == nullptr || !self->m_draining || m_leaving || !m_gate.IsIdle() ||
      m_ownership.owned_count() > 0 || !m_ownership.PendingReleases().empty()) {
    return;
  }
  const bool still_routes =
      m_stopping_since && m_ingress.open_calls() + m_quotas.waiting() > 0;
  if (!still_routes) {
    m_leaving = true;
    Append(now, LeaveRecord{m_settings.m_self.m_id});
  }
}

void Node::ReviewStop(Now now) {
  if (!m_stopping_since || m_stop_reported) {
    return;
  }
  m_refuses_new_calls |= now.m_time >= m_stop_times.m_no_calls_from;
  const bool is_done =
      FindSelf() == nullptr && m_gate.IsIdle() && m_ingress.open_calls() == 0 &&
      m_quotas.waiting() == 0 &&
      now.m_time >= *m_stopping_since + m_settings.m_min_stop_time;
  const bool is_out_of_time =
      now.m_time >= *m_stopping_since + m_settings.m_stop_limit;
  if (is_done || is_out_of_time) {
    m_stop_reported = true;
    m_stop_times.m_no_calls_from = now.m_time;
    const Time end = *m_stopping_since + m_settings.m_stop_limit;
    m_actions.emplace_back(
        ReadyToStop{std::max(now.m_time, end) + kLastWriteTime});
  }
}

bool Node::IsBehind(Now now, Position next) const {
  const auto it = std::ranges::find_if(
      m_progress_marks.rbegin(), m_progress_marks.rend(),
      [&](const ProgressMark& mark) {
        return mark.m_time + m_settings.m_timing.m_stale_reader_timeout <=
               now.m_time;
      });
  return it != m_progress_marks.rend() && next < it->m_next;
}

const Member* Node::FindSelf() const noexcept {
  return m_identity_lost ? nullptr : m_state.FindMember(m_settings.m_self.m_id);
}

Reason Node::ClosedReason(Time now) const {
  if (m_settings.m_is_routed) {
    return RoutedClosedReason(now);
  }
  const Member* self = FindSelf();
  if (self == nullptr || !HasLease(now)) {
    return Reason::kNoLease;
  }
  if (m_leaving) {
    return Reason::kStopping;
  }
  const Profile& profile = m_state.ProfileOf(self->m_info.m_service);
  if (!IsHomeRegion(profile, self->m_info.m_region)) {
    return Reason::kWrongRegion;
  }
  if (IsSliced(profile)) {
    return Reason::kNone;
  }
  if (self->m_draining) {
    return Reason::kStopping;
  }
  return m_state.IsExcluded(self->m_info) ? Reason::kExcluded : Reason::kNone;
}

GateView Node::ViewForGate(Now now) {
  const MemberInfo& self = m_settings.m_self;
  GateView view{.m_profile = m_settings.m_is_routed
                                 ? m_gate_profile
                                 : m_state.ProfileOf(self.m_service),
                .m_ownership = m_ownership,
                .m_closed_reason = ClosedReason(now.m_time),
                .m_service = self.m_service,
                .m_link = m_link_load};
  if (m_settings.m_is_routed) {
    view.m_capacity = m_target.m_capacity;
    view.m_holds = &m_holds;
    view.m_target = m_target.m_id;
  }
  return view;
}

IngressView Node::ViewForIngress() const {
  return {m_state,         m_settings.m_self,   m_settings.m_is_routed,
          m_routing.get(), &m_excluded_domains, m_refuses_new_calls,
          m_stop_times,    Tenants(),           CredentialsValidUntil()};
}

bool Node::IsServing(Time now) const {
  return ClosedReason(now) == Reason::kNone;
}

bool Node::Admits(Time now, SliceIndex slice) const {
  return ClosedReason(now) == Reason::kNone &&
         m_ownership.StatusOf(now, slice) == SliceStatus::kReady;
}

}  // namespace figlug::core
