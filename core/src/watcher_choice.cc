#include "figlug/core/watcher_choice.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <tuple>
#include <unordered_map>

#include <xxhash.h>

namespace figlug::core {
namespace {

enum class Proximity : std::uint8_t { kSameDomain, kSameRegion, kOtherRegion };

Proximity ProximityOf(const MemberInfo& self, const MemberInfo& other) {
  if (other.m_region != self.m_region) {
    return Proximity::kOtherRegion;
  }
  return other.m_domain == self.m_domain ? Proximity::kSameDomain
                                         : Proximity::kSameRegion;
}

std::uint64_t Score(MemberId self, MemberId other) {
  const std::uint64_t ids[] = {static_cast<std::uint64_t>(self),
                               static_cast<std::uint64_t>(other)};
  return XXH3_64bits(ids, sizeof(ids));
}

std::unordered_map<MemberId, std::size_t> CountWatchedMembers(
    const ControlState& state) {
  std::unordered_map<MemberId, std::size_t> duties;
  for (const auto& [id, member] : state.members()) {
    for (MemberId watcher : member.m_watchers) {
      ++duties[watcher];
    }
  }
  return duties;
}

bool Contains(std::span<const MemberId> members, MemberId id) {
  return std::ranges::find(members, id) != members.end();
}

// Members that watch no more than their share come first, in an order of their
// own for each member.
std::vector<const Member*> OrderCandidates(const MemberInfo& self,
                                           const ControlState& state,
                                           std::span<const MemberId> avoid) {
  std::vector<const Member*> others;
  for (const auto& [id, member] : state.members()) {
    if (id != self.m_id && !member.m_draining) {
      others.push_back(&member);
    }
  }
  const auto duties = CountWatchedMembers(state);
  const auto order = [&](const Member* member) {
    const MemberId id = member->m_info.m_id;
    const auto it = duties.find(id);
    const std::size_t load = it == duties.end() ? 0 : it->second;
    return std::tuple(Contains(avoid, id), std::max(load, kWatchersPerMember),
                      Score(self.m_id, id));
  };
  std::ranges::sort(others, std::less<>{}, order);
  return others;
}

}  // namespace

// No single loss takes a majority of such a set, and a split leaves one on
// both sides, as long as a region has three members.
std::vector<MemberId> ChooseWatchers(const MemberInfo& self,
                                     const ControlState& state,
                                     std::span<const MemberId> avoid) {
  const auto candidates = OrderCandidates(self, state, avoid);
  std::vector<MemberId> chosen;
  const auto take = [&](std::size_t most, const auto& suits) {
    for (const Member* member : candidates) {
      const MemberId id = member->m_info.m_id;
      if (chosen.size() < most && suits(ProximityOf(self, member->m_info)) &&
          !Contains(chosen, id)) {
        chosen.push_back(id);
      }
    }
  };
  take(1, [](Proximity place) { return place == Proximity::kSameDomain; });
  take(chosen.size() + 1,
       [](Proximity place) { return place == Proximity::kSameRegion; });
  take(kWatchersPerMember - 1,
       [](Proximity place) { return place != Proximity::kOtherRegion; });
  take(kWatchersPerMember,
       [](Proximity place) { return place == Proximity::kOtherRegion; });
  take(kWatchersPerMember, [](Proximity) { return true; });
  std::ranges::sort(chosen);
  return chosen;
}

bool HasOverloadedWatcher(const ControlState& state,
                          std::span<const MemberId> watchers) {
  const auto duties = CountWatchedMembers(state);
  return std::ranges::any_of(watchers, [&](MemberId watcher) {
    const auto it = duties.find(watcher);
    return it != duties.end() && it->second > kMaxWatchedMembers;
  });
}

std::size_t RateWatchers(const MemberInfo& self,
                         const ControlState& state,
                         std::span<const MemberId> watchers) {
  std::size_t own = 0;
  std::size_t beside = 0;
  std::size_t far = 0;
  for (MemberId watcher : watchers) {
    const Member* member = state.FindMember(watcher);
    if (member == nullptr) {
      continue;
    }
    const Proximity place = ProximityOf(self, member->m_info);
    own += place == Proximity::kSameDomain ? 1 : 0;
    beside += place == Proximity::kSameRegion ? 1 : 0;
    far += place == Proximity::kOtherRegion ? 1 : 0;
  }
  return std::min<std::size_t>(own, 1) + std::min<std::size_t>(beside, 1) +
         std::min<std::size_t>(far, 1) + (own + beside >= 2 ? 1 : 0);
}

}  // namespace figlug::core
