#include "figlug/core/tenants/ledger_groups.h"

#include <algorithm>

#include <xxhash.h>

namespace figlug::core {
namespace {

constexpr Duration kQueryInterval = std::chrono::milliseconds(200);

std::uint64_t Score(LedgerGroup group, MemberId member) noexcept {
  const std::array<std::uint64_t, 2> ids = {group,
                                            static_cast<std::uint64_t>(member)};
  return XXH3_64bits(ids.data(), sizeof(ids));
}

MemberId ChooseHolder(LedgerGroup group,
                      std::span<const MemberId> eligible) noexcept {
  MemberId best = kNoMember;
  for (MemberId member : eligible) {
    if (best == kNoMember || Score(group, member) > Score(group, best)) {
      best = member;
    }
  }
  return best;
}

}  // namespace

void LedgerGroups::Reset() noexcept {
  m_is_started = false;
  m_groups = {};
}

void LedgerGroups::OnMembers(Position position,
                             MemberId self,
                             std::span<const MemberId> eligible,
                             std::span<const MemberId> all) {
  if (self != m_self) {
    Reset();
    m_self = self;
  }
  for (LedgerGroup i = 0; i < kLedgerGroups; ++i) {
    Group& group = m_groups[i];
    const MemberId before = group.m_holder;
    group.m_holder = ChooseHolder(i, eligible);
    if (!m_is_started) {
      for (MemberId member : all) {
        group.m_former[member] = position;
      }
    } else if (before != group.m_holder && before != kNoMember) {
      group.m_former[before] = position;
    }
    // A removed member's lease had expired before its removal.
    std::erase_if(group.m_former, [&](const auto& entry) {
      return entry.first == m_self || std::ranges::count(all, entry.first) == 0;
    });
    if (group.m_holder != m_self) {
      group.m_held_since = kNever;
    }
  }
  m_is_started = true;
}

void LedgerGroups::OnRelease(const LedgerRelease& release) {
  if (release.m_group >= kLedgerGroups) {
    return;
  }
  Group& group = m_groups[release.m_group];
  const auto it = group.m_former.find(release.m_from);
  if (it != group.m_former.end() && release.m_position >= it->second) {
    group.m_former.erase(it);
  }
}

std::vector<std::pair<MemberId, LedgerQuery>> LedgerGroups::DueQueries(
    Time now) {
  std::vector<std::pair<MemberId, LedgerQuery>> queries;
  for (LedgerGroup i = 0; i < kLedgerGroups; ++i) {
    Group& group = m_groups[i];
    if (group.m_holder != m_self || m_self == kNoMember || MayGrant(now, i) ||
        now < group.m_next_query) {
      continue;
    }
    group.m_next_query = now + kQueryInterval;
    for (const auto& [member, needed] : group.m_former) {
      queries.push_back({member, {m_self, member, i, needed}});
    }
  }
  return queries;
}

std::optional<LedgerRelease> LedgerGroups::Answer(const LedgerQuery& query,
                                                  Position position) noexcept {
  if (query.m_group >= kLedgerGroups || position < query.m_position) {
    return std::nullopt;
  }
  return LedgerRelease{query.m_to, query.m_group, query.m_position};
}

bool LedgerGroups::MayGrant(Time now, LedgerGroup index) {
  Group& group = m_groups[index];
  if (group.m_holder != m_self || m_self == kNoMember) {
    return false;
  }
  if (!group.m_former.empty()) {
    return false;
  }
  if (group.m_held_since == kNever) {
    group.m_held_since = now;
  }
  return true;
}

}  // namespace figlug::core
