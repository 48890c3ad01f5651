#include "figlug/core/membership/peer_prober.h"

#include <algorithm>
#include <set>

namespace figlug::core {
namespace {

constexpr Duration kCalmInterval = std::chrono::seconds(2);
/// Time for a reply, and between probes of members that do not reply.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(300);
/// Unanswered probes after which a member counts as silent, besides the one
/// that is on its way. Datagrams are lost while a link is full.
constexpr std::size_t kSilentAfter = 6;
constexpr std::size_t kWindowGrowth = 4;
constexpr std::size_t kMaxWindow = 64;
/// A suspected member that is alive says so in the log, but may stay out of
/// this one's reach.
constexpr Duration kRepeatInterval = std::chrono::seconds(20);

// Suspected members are left out: their fate no longer depends on probes.
std::vector<MemberId> SuccessorsOf(MemberId self,
                                   std::size_t count,
                                   const ControlState& state) {
  std::vector<MemberId> after;
  std::vector<MemberId> before;
  for (const auto& [id, member] : state.members()) {
    if (id != self && member.m_suspected_at == 0) {
      (id > self ? after : before).push_back(id);
    }
  }
  after.insert(after.end(), before.begin(), before.end());
  after.resize(std::min(after.size(), count));
  return after;
}

}  // namespace

// A round of probes is followed by a wait for the replies, and by another round
// at once unless all have come.
std::vector<MemberId> PeerProber::DueProbes(Time now,
                                            MemberId self,
                                            const ControlState& state) {
  if (now < m_next_round) {
    return {};
  }
  std::erase_if(m_probed, [&](const auto& entry) {
    return state.FindMember(entry.first) == nullptr;
  });
  const std::vector<MemberId> successors = SuccessorsOf(self, m_window, state);
  const bool has_unanswered = std::ranges::any_of(successors, [&](MemberId id) {
    const auto it = m_probed.find(id);
    return it != m_probed.end() && it->second.m_unanswered > 0;
  });
  if (m_is_waiting && !has_unanswered) {
    m_is_waiting = false;
    m_window = 1;
    m_next_round = now + kCalmInterval - kReplyTimeout;
    return {};
  }
  AdjustWindow(successors);
  std::set<MemberId> due;
  for (MemberId id : SuccessorsOf(self, m_window, state)) {
    due.insert(id);
    const auto it = m_probed.find(id);
    if (it == m_probed.end() || it->second.m_unanswered == 0) {
      continue;
    }
    // Whether its watchers respond decides what becomes of a silent member.
    for (MemberId watcher : state.FindMember(id)->m_watchers) {
      if (watcher != self && state.FindMember(watcher) != nullptr) {
        due.insert(watcher);
      }
    }
  }
  for (MemberId id : due) {
    ++m_probed[id].m_unanswered;
  }
  m_is_waiting = true;
  m_next_round = now + kReplyTimeout;
  return {due.begin(), due.end()};
}

// The window grows while nobody in it responds.
void PeerProber::AdjustWindow(const std::vector<MemberId>& successors) {
  const bool is_any_responding =
      std::ranges::any_of(successors, [&](MemberId id) {
        const auto it = m_probed.find(id);
        return it == m_probed.end() || it->second.m_unanswered == 0;
      });
  if (!successors.empty() && !is_any_responding) {
    m_window = std::min(m_window * kWindowGrowth, kMaxWindow);
  }
}

void PeerProber::OnContact(MemberId member) {
  const auto it = m_probed.find(member);
  if (it != m_probed.end()) {
    it->second.m_unanswered = 0;
  }
}

void PeerProber::OnResumed() {
  for (auto& [id, probed] : m_probed) {
    probed.m_unanswered = 0;
  }
}

std::vector<MemberId> PeerProber::DueSuspects(Time now,
                                              MemberId self,
                                              const ControlState& state) {
  std::vector<MemberId> suspects;
  for (auto& [id, probed] : m_probed) {
    const Member* member = state.FindMember(id);
    if (member == nullptr || id == self) {
      continue;
    }
    if (member->m_suspected_at != 0) {
      probed.m_suspected_at = now;
      continue;
    }
    const bool is_recent = probed.m_suspected_at != Time::min() &&
                           now < probed.m_suspected_at + kRepeatInterval;
    if (is_recent || member->m_info.m_log_lease == Duration::zero() ||
        !IsSilent(id) || CanBeVotedDown(*member, state)) {
      continue;
    }
    probed.m_suspected_at = now;
    suspects.push_back(id);
  }
  return suspects;
}

bool PeerProber::IsSilent(MemberId member) const {
  const auto it = m_probed.find(member);
  return it != m_probed.end() && it->second.m_unanswered > kSilentAfter;
}

// Others may vote in the place of a watcher that has been removed with
// certainty. One that has not been probed may be alive.
bool PeerProber::MayVote(MemberId watcher,
                         const Member& subject,
                         const ControlState& state) const {
  if (std::ranges::count(subject.m_votes, watcher) > 0 ||
      state.removed_watchers().contains(watcher)) {
    return true;
  }
  const Member* found = state.FindMember(watcher);
  return found != nullptr && found->m_suspected_at == 0 && !IsSilent(watcher);
}

bool PeerProber::CanBeVotedDown(const Member& member,
                                const ControlState& state) const {
  const auto voters = std::ranges::count_if(
      member.m_watchers,
      [&](MemberId watcher) { return MayVote(watcher, member, state); });
  return static_cast<std::size_t>(voters) * 2 > member.m_watchers.size();
}

}  // namespace figlug::core
