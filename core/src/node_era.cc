// The part of Node that continues after the log has been restored from an older
// copy: the records after that copy are lost, and their offsets are assigned
// again.

#include <algorithm>
#include <utility>

#include "figlug/core/node.h"

namespace figlug::core {
namespace {

/// Members take turns before they append a record about the era.
constexpr Duration kEraTurnInterval = std::chrono::milliseconds(150);
constexpr std::size_t kMaxEraTurns = 6;
/// Time within which an appended record is usually read back.
constexpr Duration kEraAppendInterval = std::chrono::seconds(2);
/// Time for a reload after a peer has named a later era. With the pledges given
/// until then it stays below the time after which the era is settled.
constexpr Duration kReloadTimeout = std::chrono::milliseconds(1500);
/// Min time between two reads of the whole log on behalf of a peer.
constexpr Duration kReloadInterval = std::chrono::milliseconds(500);
/// The first era that a log names: nothing has been lost, so that no record has
/// to begin it.
constexpr Era kFirstEra = 1;

}  // namespace

Position Node::ReadPosition() const {
  return MakePosition(m_log_era, m_state.next());
}

// Until the log holds the era's record, fences of this era and of an earlier
// one could be equal.
bool Node::IsEraBegun() const {
  return m_log_era <= kFirstEra || m_state.era() >= m_log_era;
}

bool Node::IsEraSettled() const {
  return IsEraBegun() && m_state.is_era_settled();
}

void Node::RequestReload(Now now, Position peer_next) {
  if (EraOf(peer_next) <= m_log_era) {
    return;
  }
  m_later_era_since = m_later_era_since.value_or(now.m_time);
  if (m_caught_up && now.m_time >= m_next_reload) {
    m_next_reload = now.m_time + kReloadInterval;
    m_actions.emplace_back(ReloadLog{});
  }
}

// A member that knows of a later era but cannot read the log neither gives
// pledges nor counts them: what it holds may be another member's.
bool Node::IsOutdated(Now now) const {
  return m_later_era_since && now.m_time >= *m_later_era_since + kReloadTimeout;
}

// A member that the restored log still knows keeps its id, its lease and the
// keys that it serves. Whatever it had appended and the log has lost is decided
// again from the state that the log has now; only votes are never decided twice
// and have to be repeated. A member that has given itself up may have been
// removed by a record that the log has lost, so it joins under a new id.
void Node::HandleRestored(Now now, Era era, ControlState state) {
  // The log has been read since and names no later era, whatever a peer said.
  m_later_era_since.reset();
  if (era <= m_log_era) {
    return;
  }
  const bool is_lease_valid = HasLease(now.m_time);
  const bool was_leaving = std::exchange(m_leaving, false);
  m_log_era = era;
  m_era_changed_at = now.m_time;
  m_state = std::move(state);
  m_quotas.OnStateReplaced();
  m_checkpointed = 0;
  m_checkpointed_at = now.m_time;
  m_log_first = 0;
  m_progress_marks.clear();
  m_recent_entries.clear();
  m_suspicions.OnRestored();
  m_behind_since.reset();
  m_reviewed_offset = 0;
  m_requested_weight = 0;
  m_sent_releases.clear();
  m_logged_releases.clear();
  m_next_era_append = now.m_time;
  m_exclusions_differ_since = now.m_time;
  ReportStateChange({.m_change = StateChangeKind::kLogRestored,
                     .m_member = m_settings.m_self.m_id,
                     .m_count = era});
  const Member* self = FindSelf();
  if (self != nullptr && self->m_generation == m_generation && !was_leaving) {
    std::erase_if(m_appends, [](const auto& entry) {
      return !std::holds_alternative<VoteRecord>(entry.second.m_record) &&
             !std::holds_alternative<WatchersRecord>(entry.second.m_record);
    });
    m_watcher.RepeatVotes();
    m_ownership.OnRestored(now.m_time,
                           m_state.FindService(m_settings.m_self.m_service),
                           is_lease_valid);
    if (m_stopping_since || m_target.m_draining_since || !m_target_up) {
      StartDrain(now);
    }
  } else if (m_joined && !m_identity_lost) {
    ForgetIdentity();
    m_actions.emplace_back(IdentityLost{});
  }
  RemoveFormerIds(now);
  AfterApply(now);
}

// Members that forget their identity at the same time leave nobody who could
// vote the former ones down, and a restored log may know former ones again. A
// routed node's new member replaces the former one instead.
void Node::RemoveFormerIds(Now now) {
  if (m_settings.m_is_routed) {
    return;
  }
  std::vector<MemberId> known = m_former_ids;
  if (m_identity_lost) {
    known.push_back(m_settings.m_self.m_id);
  }
  for (MemberId id : known) {
    if (m_state.FindMember(id) != nullptr) {
      Append(now, ForceDownRecord{id});
    }
  }
}

// Whoever held keys by lost records has heard of the new era, or lost its
// lease, once a reader that lags behind and the pledges to it have timed out.
void Node::ReviewEra(Now now) {
  if (FindSelf() == nullptr || !m_log_healthy || IsEraSettled() ||
      now.m_time < m_next_era_append) {
    return;
  }
  Time due = m_era_changed_at +
             std::min(RankOfSelf(), kMaxEraTurns) * kEraTurnInterval;
  const bool is_begun = IsEraBegun();
  if (is_begun) {
    due += m_settings.m_timing.m_stale_reader_timeout +
           m_settings.m_timing.m_pledge_duration;
  }
  if (now.m_time < due) {
    return;
  }
  m_next_era_append = now.m_time + kEraAppendInterval;
  if (is_begun) {
    Append(now, EraSettledRecord{m_state.era()});
  } else {
    Append(now, EraRecord{m_log_era});
  }
}

}  // namespace figlug::core
