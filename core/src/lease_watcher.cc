#include "figlug/core/lease_watcher.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace figlug::core {
namespace {

constexpr Duration kUnknownMemberRetention = std::chrono::seconds(10);
/// A live member replaces removed watchers within this time, so that a
/// substitute vote is needed only for members that have failed.
constexpr Duration kMaxWatcherReplacementTime = std::chrono::milliseconds(1000);
constexpr Duration kSubstituteVoteInterval = std::chrono::milliseconds(300);

// Position of `self` in the order in which members cast substitute votes for
// `subject`. The order differs per subject.
std::int64_t TurnIndex(MemberId self,
                       MemberId subject,
                       const ControlState& state) {
  const auto score = [&](MemberId id) {
    const std::uint64_t ids[] = {static_cast<std::uint64_t>(subject),
                                 static_cast<std::uint64_t>(id)};
    return XXH3_64bits(ids, sizeof(ids));
  };
  return std::ranges::count_if(state.members(), [&](const auto& entry) {
    return entry.first != subject && score(entry.first) < score(self);
  });
}

}  // namespace

// An append that seems lost may still take effect, so a watcher that has
// decided to vote makes no further pledge to that generation.
bool LeaseWatcher::OnHeartbeat(Time now,
                               MemberId member,
                               Generation generation) {
  Pledge& pledge = m_pledges[{member, generation}];
  if (pledge.m_voted) {
    return false;
  }
  pledge.m_until = std::max(pledge.m_until, now + m_timing.m_pledge_duration);
  return true;
}

// A member that has just named this watcher may hold a lease by the pledges of
// its former ones.
std::vector<VoteRecord> LeaseWatcher::DueVotes(Time now,
                                               MemberId self,
                                               const ControlState& state) {
  PrunePledges(now, state);
  const Duration first_contact_timeout =
      std::max(m_timing.m_first_contact_timeout, m_timing.m_pledge_duration);
  std::vector<VoteRecord> votes;
  for (const auto& [id, member] : state.members()) {
    if (std::ranges::count(member.m_watchers, self) == 0 ||
        std::ranges::count(member.m_votes, self) > 0) {
      continue;
    }
    const auto [it, is_new] =
        m_pledges.try_emplace(Subject{id, member.m_generation},
                              Pledge{.m_until = now + first_contact_timeout});
    // The caller repeats the append until the record is read back from the log;
    // a second vote would be rejected.
    Pledge& pledge = it->second;
    const bool is_due = !is_new && now > pledge.m_until && !pledge.m_voted;
    if (is_due || std::exchange(pledge.m_repeats_vote, false)) {
      pledge.m_voted = true;
      votes.push_back({self, id, member.m_generation});
    }
  }
  return votes;
}

// A removed watcher made no pledges after its own watchers stopped receiving
// its heartbeats. So all its pledges have expired one pledge duration after its
// removal was seen here.
std::vector<VoteRecord> LeaseWatcher::DueSubstituteVotes(
    Time now,
    MemberId self,
    const ControlState& state) {
  std::erase_if(m_removed_since, [&](const auto& entry) {
    return !state.removed_watchers().contains(entry.first);
  });
  for (MemberId removed : state.removed_watchers()) {
    m_removed_since.try_emplace(removed, now);
  }
  std::vector<VoteRecord> votes;
  if (m_removed_since.empty()) {
    m_substitute_votes.clear();
    return votes;
  }
  for (const auto& entry : state.members()) {
    const MemberId id = entry.first;
    const Member& member = entry.second;
    const auto lacks_vote = [&](MemberId watcher) {
      return m_removed_since.contains(watcher) &&
             std::ranges::count(member.m_votes, watcher) == 0;
    };
    const auto substitutable =
        std::ranges::count_if(member.m_watchers, lacks_vote);
    const auto max_votes =
        static_cast<std::size_t>(substitutable) + member.m_votes.size();
    if (id == self || substitutable == 0 ||
        max_votes * 2 <= member.m_watchers.size()) {
      continue;
    }
    const Time latest_removal =
        now - kMaxWatcherReplacementTime - m_timing.m_pledge_duration -
        TurnIndex(self, id, state) * kSubstituteVoteInterval;
    for (MemberId watcher : member.m_watchers) {
      if (lacks_vote(watcher) && m_removed_since.at(watcher) < latest_removal &&
          m_substitute_votes.insert({id, watcher}).second) {
        votes.push_back({watcher, id, member.m_generation, true});
      }
    }
  }
  return votes;
}

void LeaseWatcher::RepeatVotes() {
  for (auto& [subject, pledge] : m_pledges) {
    pledge.m_repeats_vote = pledge.m_voted;
  }
  m_substitute_votes.clear();
}

// Silence counts only while this process was able to receive heartbeats.
void LeaseWatcher::OnResumed(Time now) {
  for (auto& [subject, pledge] : m_pledges) {
    pledge.m_until = std::max(pledge.m_until, now + m_timing.m_pledge_duration);
  }
}

// Pledges to a member that is not in the control state are kept for a while,
// and those to a later generation until the member is removed: the record may
// still be in flight. The id of a removed member is never used again.
void LeaseWatcher::PrunePledges(Time now, const ControlState& state) {
  std::erase_if(m_pledges, [&](const auto& entry) {
    const auto& [id, generation] = entry.first;
    const Member* member = state.FindMember(id);
    if (member == nullptr) {
      return now > entry.second.m_until + kUnknownMemberRetention;
    }
    return generation < member->m_generation;
  });
}

}  // namespace figlug::core
