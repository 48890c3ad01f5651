#include "figlug/core/node.h"

#include <algorithm>
#include <utility>

#include "figlug/core/watcher_choice.h"

namespace figlug::core {
namespace {

constexpr std::size_t kKeptEntries = 512;
constexpr std::uint32_t kWarmUpSteps = 3;
constexpr Duration kReviewPeriod = std::chrono::milliseconds(50);
constexpr Duration kReleaseQueryPeriod = std::chrono::milliseconds(100);
/// The same where targets hold keys: they let go with their next report, a
/// second or so later, and the former holder tells it at once.
constexpr Duration kHoldQueryPeriod = std::chrono::milliseconds(500);
constexpr Duration kReleaseRecordPeriod = std::chrono::seconds(2);
constexpr Duration kRecordsQueryPeriod = std::chrono::milliseconds(300);
constexpr Duration kFirstAppendBackoff = std::chrono::milliseconds(500);
constexpr Duration kMostAppendBackoff = std::chrono::seconds(5);
constexpr Duration kCheckpointTurn = std::chrono::seconds(1);
constexpr std::size_t kMostCheckpointTurns = 30;
constexpr Duration kFirstWatchersBackoff = std::chrono::milliseconds(500);
constexpr Duration kMostWatchersBackoff = std::chrono::seconds(64);
constexpr Duration kWatchersCalm = std::chrono::minutes(3);
constexpr Duration kPauseMargin = std::chrono::milliseconds(150);
/// Time in which processes that start together have all joined, so that the
/// first ones are not given what the others take from them at once.
constexpr Duration kSettleTime = std::chrono::milliseconds(700);

}  // namespace

Node::Node(NodeSettings settings, Now now)
    : m_settings(std::move(settings)),
      m_random(m_settings.m_seed),
      m_lease(m_settings.m_timing),
      m_watcher(m_settings.m_timing),
      m_ownership(m_settings.m_self.m_id),
      m_ingress(m_settings.m_balancer, m_settings.m_seed),
      m_holds(now.m_time, m_settings.m_most_hold),
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

void Node::HandleStart(Now now, ControlState state) {
  m_state = std::move(state);
  m_checkpointed = m_state.next();
  m_checkpointed_at = now.m_time;
  m_log_first = 0;
  m_fold_marks.clear();
  m_recent_entries.clear();
  AfterFold(now);
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
  Note({is_up ? Belief::kTargetUp : Belief::kTargetGone,
        m_settings.m_self.m_id});
  if (is_up) {
    JoinIfReady(now);
    return;
  }
  m_gate.OnTargetGone();
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
      Fold(now, entry);
    }
  }
  if (m_state.next() == before) {
    return;
  }
  MarkFold(now);
  AfterFold(now);
}

// Only the newest mark that is old enough is ever asked for.
void Node::MarkFold(Now now) {
  m_fold_marks.push_back({now.m_time, m_state.next()});
  while (m_fold_marks.size() > 1 &&
         m_fold_marks[1].m_time + m_settings.m_timing.m_stale_reader_timeout <=
             now.m_time) {
    m_fold_marks.pop_front();
  }
}

void Node::Fold(Now now, const LogEntry& entry) {
  const std::uint64_t slice_changes = m_state.slice_changes();
  const ApplyResult result = m_state.Apply(entry);
  Note({result.m_applied ? Belief::kRecordFolded : Belief::kRecordVoid,
        result.m_removed, NameOf(entry.m_record)});
  m_appends.erase(entry.m_append_id);
  m_recent_entries.push_back(entry);
  if (m_recent_entries.size() > kKeptEntries) {
    m_recent_entries.pop_front();
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
    m_ownership.OnFolded(now.m_time, now.m_wall, *service,
                         m_state.ProfileOf(name).m_takeover_wait);
  }
  const Member* self = FindSelf();
  if (self != nullptr && self->m_generation != m_generation) {
    m_generation = self->m_generation;
    m_lease.Confirm(now.m_time, m_generation, self->m_watchers);
    m_next_heartbeat = now.m_time;
  }
}

void Node::Note(BeliefChanged change) {
  change.m_next = m_state.next();
  m_actions.emplace_back(change);
}

void Node::AfterFold(Now now) {
  m_gate.Refresh(now.m_time, ViewForGate(now), m_actions);
  m_next_review = now.m_time;
  GiveReleases(now);
  if (!m_settings.m_is_routed) {
    AskForReleases(now);
  }
}

// What this process knew as a member is void; its running work goes on, and
// its callers are still served.
void Node::ForgetIdentity() {
  m_identity_lost = true;
  m_joined = false;
  m_leaving = false;
  m_generation = 0;
  m_asked_weight = 0;
  m_lease = LeaseHolder(m_settings.m_timing);
  m_watcher = LeaseWatcher(m_settings.m_timing);
  m_ownership = Ownership(kNoMember);
  m_appends.clear();
  m_told_releases.clear();
  m_logged_releases.clear();
}

void Node::HandleLogGap(Now) {
  ForgetIdentity();
  m_state = ControlState();
  m_caught_up = false;
  m_recent_entries.clear();
  m_fold_marks.clear();
  m_actions.emplace_back(IdentityLost{});
}

void Node::HandleNewIdentity(Now now, MemberId id) {
  m_identity_lost = false;
  m_settings.m_self.m_id = id;
  m_ownership = Ownership(id);
  if (const Service* service =
          m_state.FindService(m_settings.m_self.m_service)) {
    m_ownership.OnFolded(now.m_time, now.m_wall, *service, Duration::zero());
  }
  JoinIfReady(now);
}

void Node::HandleDatagram(Now now, const Datagram& datagram) {
  std::visit([&](const auto& message) { On(now, message); }, datagram);
}

void Node::HandlePeerMessage(Now now, const PeerMessage& message) {
  std::visit([&](const auto& typed) { On(now, typed); }, message);
}

// A member that has not read the log for long may not know that it was taken
// out. Without acknowledgements its lease ends.
void Node::On(Now now, const Heartbeat& heartbeat) {
  if (m_identity_lost || IsBehind(now, heartbeat.m_next)) {
    return;
  }
  const Member* member = m_state.FindMember(heartbeat.m_member);
  if (member == nullptr) {
    return;
  }
  AskForNews(now, heartbeat.m_member, heartbeat.m_operators_next);
  HeartbeatAck ack{
      .m_watcher = m_settings.m_self.m_id,
      .m_member = heartbeat.m_member,
      .m_sent_at = heartbeat.m_sent_at,
      .m_is_pledge = !m_leaving && m_lease.IsAcknowledgedByMajority(now.m_time),
      .m_next = m_state.next(),
      .m_operators_next = m_news.m_next};
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
  const bool had_lease = m_lease.IsValid(now.m_time);
  for (Generation generation : {ack.m_generation, ack.m_proposed}) {
    m_lease.OnAck(now.m_time, ack.m_watcher, generation, ack.m_sent_at,
                  ack.m_is_pledge);
  }
  if (!had_lease && m_lease.IsValid(now.m_time)) {
    m_gate.Refresh(now.m_time, ViewForGate(now), m_actions);
  }
  AskForNews(now, ack.m_watcher, ack.m_operators_next);
  if (ack.m_next <= m_state.next()) {
    m_behind_since.reset();
    return;
  }
  const Time since = m_behind_since.value_or(now.m_time);
  m_behind_since = since;
  const Member* watcher = m_state.FindMember(ack.m_watcher);
  if (watcher != nullptr && now.m_time > since + kRecordsQueryPeriod &&
      now.m_time >= m_next_records_query) {
    m_next_records_query = now.m_time + kRecordsQueryPeriod;
    m_actions.emplace_back(
        SendPeerMessage{watcher->m_info.m_peer,
                        RecordsQuery{m_settings.m_self.m_id, m_state.next()}});
  }
}

void Node::On(Now now, const ReleaseQuery& query) {
  SendRelease(now, query.m_from, query.m_slices);
}

void Node::On(Now now, const Release& release) {
  m_ownership.OnRelease(release);
  for (const ReleasedSlice& released : release.m_slices) {
    if (!released.m_handover.empty() && m_ownership.IsOwner(released.m_slice)) {
      m_holds.OnHandover(released.m_slice, released.m_handover);
    }
  }
  m_gate.Refresh(now.m_time, ViewForGate(now), m_actions);
}

void Node::On(Now, const RecordsQuery& query) {
  const Member* member = m_state.FindMember(query.m_from);
  if (member == nullptr || m_recent_entries.empty() ||
      query.m_next < m_recent_entries.front().m_offset ||
      query.m_next >= m_state.next()) {
    return;
  }
  const auto skipped = static_cast<std::ptrdiff_t>(
      query.m_next - m_recent_entries.front().m_offset);
  m_actions.emplace_back(SendPeerMessage{
      member->m_info.m_peer,
      Records{{m_recent_entries.begin() + skipped, m_recent_entries.end()}}});
}

void Node::On(Now now, const Records& records) {
  HandleRecords(now, records.m_entries);
}

void Node::HandleStop(Now now) {
  if (m_stopping_since) {
    return;
  }
  m_stopping_since = now.m_time;
  StartDrain(now);
  m_next_review = now.m_time;
}

void Node::HandleTimer(Now now) {
  if (now.m_time >
      m_last_timer + m_settings.m_timing.m_heartbeat_interval + kPauseMargin) {
    m_watcher.OnResumed(now.m_time);
  }
  m_last_timer = now.m_time;
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

// What may close the gate comes before the gate takes up work.
void Node::Review(Now now) {
  m_next_review = now.m_time + kReviewPeriod;
  RetryAppends(now);
  CastVotes(now);
  ReviewWatchers(now);
  GiveReleases(now);
  if (now.m_time >= m_next_release_query) {
    AskForReleases(now);
  }
  ReviewTarget(now);
  if (const bool has_lease = m_lease.IsValid(now.m_time);
      has_lease != m_had_lease) {
    m_had_lease = has_lease;
    Note({has_lease ? Belief::kLeaseHeld : Belief::kLeaseLost,
          m_settings.m_self.m_id});
  }
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
                   m_next_heartbeat, m_next_review});
}

void Node::Append(Now now, Record record) {
  const AppendId id{m_random()};
  m_appends[id] = {record, now.m_time + kFirstAppendBackoff,
                   kFirstAppendBackoff};
  m_actions.emplace_back(AppendRecord{id, std::move(record)});
}

// An append is known only when it has been read back. Until then it is
// repeated under the same id, which the fold takes once.
void Node::RetryAppends(Now now) {
  for (auto& [id, append] : m_appends) {
    if (now.m_time < append.m_next_try) {
      continue;
    }
    append.m_backoff = std::min(2 * append.m_backoff, kMostAppendBackoff);
    append.m_next_try = now.m_time + append.m_backoff;
    m_actions.emplace_back(AppendRecord{id, append.m_record});
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
      heartbeat.m_next = m_state.next();
      heartbeat.m_operators_next = m_news.m_next;
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

// A watcher that is off the record is replaced at once, and a set that can be
// spread better too. One that is silent waits longer each time, and so does all
// else for a while: during a split each choice would fail again.
void Node::ReviewWatchers(Now now) {
  const Member* self = FindSelf();
  if (self == nullptr || !m_log_healthy || m_lease.has_proposal() ||
      m_leaving) {
    return;
  }
  const std::vector<MemberId> silent = m_lease.SilentWatchers(now.m_time);
  const bool is_worn =
      std::ranges::any_of(self->m_watchers, [&](MemberId watcher) {
        const Member* member = m_state.FindMember(watcher);
        return member == nullptr || member->m_draining;
      });
  if (!is_worn && silent.empty() && m_reviewed == m_state.next()) {
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
  if (next == self->m_watchers || (!is_worn && !may_wait)) {
    m_reviewed = m_state.next();
    return;
  }
  const bool is_calm = m_next_watchers == Time::min() ||
                       now.m_time > m_next_watchers + kWatchersCalm;
  if (!is_worn && !(is_better && is_calm)) {
    if (now.m_time < m_next_watchers) {
      return;
    }
    m_watchers_backoff =
        is_calm ? kFirstWatchersBackoff
                : std::min(2 * m_watchers_backoff, kMostWatchersBackoff);
    m_next_watchers = now.m_time + m_watchers_backoff;
  }
  ProposeWatchers(now, next);
}

// Between the proposal and its place in the log both sets must agree, so a set
// that has been proposed is never changed.
void Node::ProposeWatchers(Now now, std::span<const MemberId> watchers) {
  const Generation generation = m_generation + 1;
  m_lease.Propose(now.m_time, generation, watchers);
  Append(now, WatchersRecord{m_settings.m_self.m_id,
                             generation,
                             {watchers.begin(), watchers.end()}});
  SendHeartbeats(now);
}

// While the log does not answer nobody can be voted down, and a vote in waiting
// would only take a pledge away.
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

void Node::AskForReleases(Now now) {
  m_next_release_query =
      now.m_time +
      (m_settings.m_is_routed ? kHoldQueryPeriod : kReleaseQueryPeriod);
  for (auto& [holder, slices] : m_ownership.MissingReleases()) {
    if (const Member* member = m_state.FindMember(holder)) {
      m_actions.emplace_back(SendPeerMessage{
          member->m_info.m_peer,
          ReleaseQuery{m_settings.m_self.m_id, std::move(slices)}});
    }
  }
}

// The new owners hear at once. The log hears in batches, so that later owners
// need not ask; many moves in a short time make few records.
void Node::GiveReleases(Now now) {
  const Service* service = m_state.FindService(m_settings.m_self.m_service);
  const Member* self = FindSelf();
  if (service == nullptr || self == nullptr) {
    return;
  }
  std::map<MemberId, std::vector<SliceIndex>> by_owner;
  ReleaseRecord record{m_settings.m_self.m_id, m_state.next() - 1, {}};
  for (SliceIndex index : m_ownership.OwedReleases()) {
    if (MayBeBusy(now, index)) {
      continue;
    }
    const Slice& slice = service->m_slices[index];
    if (std::exchange(m_told_releases[index], slice.m_epoch) != slice.m_epoch) {
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
  m_next_release_record = now.m_time + kReleaseRecordPeriod;
  for (SliceIndex index : record.m_slices) {
    m_logged_releases[index] = service->m_slices[index].m_epoch;
  }
  Append(now, std::move(record));
}

void Node::SendRelease(Now now,
                       MemberId to,
                       std::span<const SliceIndex> slices) {
  const Member* member = m_state.FindMember(to);
  if (member == nullptr || m_identity_lost) {
    return;
  }
  Release release{m_settings.m_self.m_id, m_state.next() - 1, {}};
  for (SliceIndex index : slices) {
    if (m_ownership.Owes(index) && !MayBeBusy(now, index)) {
      release.m_slices.push_back(m_ownership.MakeRelease(index));
      release.m_slices.back().m_handover = m_holds.HandoverOf(index);
    }
  }
  if (!release.m_slices.empty()) {
    m_actions.emplace_back(
        SendPeerMessage{member->m_info.m_peer, std::move(release)});
  }
}

// A member asks for slices when it has shown that it can hold a lease, and for
// its whole share when it is warm. A service's first member serves at once.
void Node::StepWeight(Now now) {
  const Member* self = FindSelf();
  if (self == nullptr || self->m_weight >= kFullWeight || self->m_draining ||
      !m_lease.IsValid(now.m_time)) {
    return;
  }
  if (m_settings.m_is_routed && now.m_time < m_joined_at + kSettleTime) {
    return;
  }
  if (self->m_weight == 0 && m_asked_weight == 0) {
    m_warm_since = now.m_time;
  }
  const Duration warm_up = m_state.ProfileOf(self->m_info.m_service).m_warm_up;
  std::uint32_t due = 1;
  for (std::uint32_t step = 1; step <= kWarmUpSteps; ++step) {
    if (now.m_time >= m_warm_since + warm_up * step / kWarmUpSteps) {
      due *= 2;
    }
  }
  if (due > self->m_weight && due > m_asked_weight) {
    m_asked_weight = due;
    Append(now, WeightRecord{m_settings.m_self.m_id, due});
  }
}

// Watchers that hear a member whose own side hears none of them would never
// vote it down. It gives up its slices by its own word.
void Node::ReviewLease(Now now) {
  const Member* self = FindSelf();
  if (self == nullptr || m_leaving || m_lease.IsValid(now.m_time) ||
      (m_settings.m_is_routed && !IsKeyed())) {
    m_lease_lost_at.reset();
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

// Members take turns by the order of their ids, so that usually one writes and
// a lost one is made up for.
void Node::WriteCheckpoint(Now now) {
  if (FindSelf() == nullptr || !m_log_healthy) {
    return;
  }
  const bool is_current = m_state.next() <= m_checkpointed + 1;
  if (!m_settings.m_checkpoint_expires && is_current) {
    return;
  }
  Time due = m_checkpointed_at + m_settings.m_checkpoint_period;
  const bool is_long =
      m_state.next() >= m_checkpointed + m_settings.m_checkpoint_records;
  const bool is_expired = m_checkpointed < m_log_first;
  if (is_long || is_expired) {
    due = m_checkpointed_at;
  }
  due += std::min(RankOfSelf(), kMostCheckpointTurns) * kCheckpointTurn;
  if (now.m_time < due) {
    return;
  }
  m_checkpointed = m_state.next();
  m_checkpointed_at = now.m_time;
  Append(now, CheckpointRecord{m_state.next(),
                               std::make_shared<const ControlState>(m_state)});
}

// A member that drains leaves when nothing runs and nothing is held.
void Node::ReviewDrain(Now now) {
  const Member* self = FindSelf();
  if (self == nullptr || !self->m_draining || m_leaving || !m_gate.IsIdle() ||
      m_ownership.owned_count() > 0 || !m_ownership.OwedReleases().empty()) {
    return;
  }
  const bool still_routes = m_stopping_since && m_ingress.open_calls() > 0;
  if (!still_routes) {
    m_leaving = true;
    Append(now, LeaveRecord{m_settings.m_self.m_id});
  }
}

void Node::ReviewStop(Now now) {
  if (!m_stopping_since || m_stop_reported) {
    return;
  }
  m_is_closing |= now.m_time >= *m_stopping_since + m_settings.m_stop_admission;
  const bool is_done =
      FindSelf() == nullptr && m_gate.IsIdle() && m_ingress.open_calls() == 0 &&
      now.m_time >= *m_stopping_since + m_settings.m_stop_least;
  const bool is_out_of_time =
      now.m_time >= *m_stopping_since + m_settings.m_stop_limit;
  if (is_done || is_out_of_time) {
    m_stop_reported = true;
    m_actions.emplace_back(ReadyToStop{});
  }
}

bool Node::IsBehind(Now now, Offset next) const {
  const auto it = std::ranges::find_if(
      m_fold_marks.rbegin(), m_fold_marks.rend(), [&](const FoldMark& mark) {
        return mark.m_time + m_settings.m_timing.m_stale_reader_timeout <=
               now.m_time;
      });
  return it != m_fold_marks.rend() && next < it->m_next;
}

const Member* Node::FindSelf() const noexcept {
  return m_identity_lost ? nullptr : m_state.FindMember(m_settings.m_self.m_id);
}

Reason Node::ClosedReason(Time now) const {
  if (m_settings.m_is_routed) {
    return RoutedClosedReason(now);
  }
  const Member* self = FindSelf();
  if (self == nullptr || !m_lease.IsValid(now)) {
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
                .m_closed = ClosedReason(now.m_time),
                .m_service = self.m_service};
  if (m_settings.m_is_routed) {
    view.m_capacity = m_target.m_capacity;
    view.m_holds = &m_holds;
    view.m_target = m_target.m_id;
  }
  return view;
}

IngressView Node::ViewForIngress() const {
  return {m_state,         m_settings.m_self, m_settings.m_is_routed,
          m_routing.get(), &m_domains_out,    m_is_closing};
}

bool Node::IsServing(Time now) const {
  return ClosedReason(now) == Reason::kNone;
}

bool Node::Admits(Time now, SliceIndex slice) const {
  return ClosedReason(now) == Reason::kNone &&
         m_ownership.StatusOf(now, slice) == SliceStatus::kReady;
}

}  // namespace figlug::core
