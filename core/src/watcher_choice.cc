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
  std::unordered_map<MemberId, std::size_t> watched_counts;
  for (const auto& [id, member] : state.members()) {
    for (MemberId watcher : member.m_watchers) {
      ++watched_counts[watcher];
    }
  }
  return watched_counts;
}

bool Contains(std::span<const MemberId> members, MemberId id) {
  return std::ranges::find(members, id) != members.end();
}

// Orders the other members by preference: those not to be avoided or suspected
// first, then by the number of members that they watch. Up to
// kWatchersPerMember, the average share, that number makes no difference. Ties
// are broken by a hash, so that each member has a different order.
std::vector<const Member*> OrderCandidates(const MemberInfo& self,
                                           const ControlState& state,
                                           std::span<const MemberId> avoid) {
  std::vector<const Member*> others;
  for (const auto& [id, member] : state.members()) {
    if (id != self.m_id && !member.m_draining) {
      others.push_back(&member);
    }
  }
  const auto watched_counts = CountWatchedMembers(state);
  const auto order = [&](const Member* member) {
    const MemberId id = member->m_info.m_id;
    const auto it = watched_counts.find(id);
    const std::size_t load = it == watched_counts.end() ? 0 : it->second;
    return std::tuple(Contains(avoid, id) || member->m_suspected_at != 0,
                      std::max(load, kWatchersPerMember), Score(self.m_id, id));
  };
  std::ranges::sort(others, std::less<>{}, order);
  return others;
}

}  // namespace

// As long as a region has three members, no loss of a single domain removes a
// majority of such a set, and after a partition between regions watchers remain
// on both sides.
std::vector<MemberId> ChooseWatchers(const MemberInfo& self,
                                     const ControlState& state,
                                     std::span<const MemberId> avoid) {
  const auto candidates = OrderCandidates(self, state, avoid);
  std::vector<MemberId> chosen;
  const auto choose = [&](std::size_t max_size, const auto& is_suitable) {
    for (const Member* member : candidates) {
      const MemberId id = member->m_info.m_id;
      if (chosen.size() < max_size &&
          is_suitable(ProximityOf(self, member->m_info)) &&
          !Contains(chosen, id)) {
        chosen.push_back(id);
      }
    }
  };
  choose(1, [](Proximity proximity) {
    return proximity == Proximity::kSameDomain;
  });
  choose(chosen.size() + 1, [](Proximity proximity) {
    return proximity == Proximity::kSameRegion;
  });
  choose(kWatchersPerMember - 1, [](Proximity proximity) {
    return proximity != Proximity::kOtherRegion;
  });
  choose(kWatchersPerMember, [](Proximity proximity) {
    return proximity == Proximity::kOtherRegion;
  });
  choose(kWatchersPerMember, [](Proximity) { return true; });
  std::ranges::sort(chosen);
  return chosen;
}

bool HasOverloadedWatcher(const ControlState& state,
                          std::span<const MemberId> watchers) {
  const auto watched_counts = CountWatchedMembers(state);
  return std::ranges::any_of(watchers, [&](MemberId watcher) {
    const auto it = watched_counts.find(watcher);
    return it != watched_counts.end() && it->second > kMaxWatchedMembers;
  });
}

std::size_t RateWatchers(const MemberInfo& self,
                         const ControlState& state,
                         std::span<const MemberId> watchers) {
  std::size_t same_domain = 0;
  std::size_t same_region = 0;
  std::size_t other_region = 0;
  for (MemberId watcher : watchers) {
    const Member* member = state.FindMember(watcher);
    if (member == nullptr) {
      continue;
    }
    const Proximity proximity = ProximityOf(self, member->m_info);
    same_domain += proximity == Proximity::kSameDomain ? 1 : 0;
    same_region += proximity == Proximity::kSameRegion ? 1 : 0;
    other_region += proximity == Proximity::kOtherRegion ? 1 : 0;
  }
  return std::min<std::size_t>(same_domain, 1) +
         std::min<std::size_t>(same_region, 1) +
         std::min<std::size_t>(other_region, 1) +
         (same_domain + same_region >= 2 ? 1 : 0);
}

}  // namespace figlug::core
