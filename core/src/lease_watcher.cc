#include "figlug/core/lease_watcher.h"

#include <algorithm>

#include <xxhash.h>

namespace figlug::core {
namespace {

constexpr Duration kUnknownMemberRetention = std::chrono::seconds(10);
/// Time in which a living member replaces watchers that are gone.
constexpr Duration kMaxWatcherReplacementTime = std::chrono::milliseconds(1000);
constexpr Duration kSubstituteVoteInterval = std::chrono::milliseconds(300);

// Members take turns, in another order for each subject.
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
// decided to vote gives no further pledge to that generation.
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

std::vector<VoteRecord> LeaseWatcher::DueVotes(Time now,
                                               MemberId self,
                                               const ControlState& state) {
  PrunePledges(now, state);
  std::vector<VoteRecord> votes;
  for (const auto& [id, member] : state.members()) {
    if (std::ranges::count(member.m_watchers, self) == 0 ||
        std::ranges::count(member.m_votes, self) > 0) {
      continue;
    }
    const auto [it, is_new] = m_pledges.try_emplace(
        Subject{id, member.m_generation},
        Pledge{.m_until = now + m_timing.m_first_contact_timeout});
    // The append is repeated until it is read back; another vote would be void.
    if (!is_new && now > it->second.m_until && !it->second.m_voted) {
      it->second.m_voted = true;
      votes.push_back({self, id, member.m_generation});
    }
  }
  return votes;
}

// A gone watcher pledged nothing after its own watchers ceased to hear it. All
// that it pledged before has lapsed when one pledge's time has passed since its
// removal was seen.
std::vector<VoteRecord> LeaseWatcher::DueSubstituteVotes(
    Time now,
    MemberId self,
    const ControlState& state) {
  std::erase_if(m_removed_since, [&](const auto& entry) {
    return !state.gone_watchers().contains(entry.first);
  });
  for (MemberId gone : state.gone_watchers()) {
    m_removed_since.try_emplace(gone, now);
  }
  std::vector<VoteRecord> votes;
  if (m_removed_since.empty()) {
    m_substitute_votes.clear();
    return votes;
  }
  for (const auto& entry : state.members()) {
    const MemberId id = entry.first;
    const Member& member = entry.second;
    const auto open = [&](MemberId watcher) {
      return m_removed_since.contains(watcher) &&
             std::ranges::count(member.m_votes, watcher) == 0;
    };
    const auto gone = std::ranges::count_if(member.m_watchers, open);
    const auto reachable =
        static_cast<std::size_t>(gone) + member.m_votes.size();
    if (id == self || gone == 0 || reachable * 2 <= member.m_watchers.size()) {
      continue;
    }
    const Time turn = now - kMaxWatcherReplacementTime -
                      m_timing.m_pledge_duration -
                      TurnIndex(self, id, state) * kSubstituteVoteInterval;
    for (MemberId watcher : member.m_watchers) {
      if (open(watcher) && m_removed_since.at(watcher) < turn &&
          m_substitute_votes.insert({id, watcher}).second) {
        votes.push_back({watcher, id, member.m_generation, true});
      }
    }
  }
  return votes;
}

// Silence counts only while this process could hear.
void LeaseWatcher::OnResumed(Time now) {
  for (auto& [subject, pledge] : m_pledges) {
    pledge.m_until = std::max(pledge.m_until, now + m_timing.m_pledge_duration);
  }
}

// A pledge for a member or generation that is not on record yet is kept for a
// while: its record may be on the way. An id that was removed never comes back.
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
