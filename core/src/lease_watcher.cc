#include "figlug/core/lease_watcher.h"

#include <algorithm>

namespace figlug::core {
namespace {

constexpr Duration kUnknownMemberMemory = std::chrono::seconds(10);

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
  pledge.m_until = std::max(pledge.m_until, now + m_timing.m_pledge);
  return true;
}

std::vector<VoteRecord> LeaseWatcher::DueVotes(Time now,
                                               MemberId self,
                                               const ControlState& state) {
  Forget(now, state);
  std::vector<VoteRecord> votes;
  for (const auto& [id, member] : state.members()) {
    if (std::ranges::count(member.m_watchers, self) == 0 ||
        std::ranges::count(member.m_votes, self) > 0) {
      continue;
    }
    const auto [it, is_new] = m_pledges.try_emplace(
        Subject{id, member.m_generation},
        Pledge{.m_until = now + m_timing.m_first_contact});
    if (!is_new && now > it->second.m_until) {
      it->second.m_voted = true;
      votes.push_back({self, id, member.m_generation});
    }
  }
  return votes;
}

// Silence counts only while this process could hear.
void LeaseWatcher::OnResumed(Time now) {
  for (auto& [subject, pledge] : m_pledges) {
    pledge.m_until = std::max(pledge.m_until, now + m_timing.m_pledge);
  }
}

// A pledge for a member or generation that is not on record yet is kept for a
// while: its record may be on the way. An id that was removed never comes back.
void LeaseWatcher::Forget(Time now, const ControlState& state) {
  std::erase_if(m_pledges, [&](const auto& entry) {
    const auto& [id, generation] = entry.first;
    const Member* member = state.FindMember(id);
    if (member == nullptr) {
      return now > entry.second.m_until + kUnknownMemberMemory;
    }
    return generation < member->m_generation;
  });
}

}  // namespace figlug::core
