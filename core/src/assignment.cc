#include "figlug/core/assignment.h"

#include <algorithm>
#include <cstddef>
#include <unordered_map>

namespace figlug::core {
namespace {

/// Ranges of slices that a member is initially assigned. This is a third of the
/// ranges that fit into a reply to a target, so that busy slices can still be
/// moved out of a range, which splits it.
constexpr std::size_t kInitialRangesPerMember = 40;

struct Share {
  MemberId m_member = kNoMember;
  std::size_t m_owned = 0;
  std::size_t m_quota = 0;
};

std::vector<Share> CountOwned(std::span<const MemberId> owners,
                              std::span<const Candidate> candidates) {
  std::unordered_map<MemberId, std::size_t> owned;
  for (MemberId owner : owners) {
    ++owned[owner];
  }
  std::vector<Share> shares;
  shares.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    shares.push_back({candidate.m_member, owned[candidate.m_member], 0});
  }
  return shares;
}

// Each quota is rounded down. The remaining slices go first to members that own
// more than their quota, so that rounding alone moves no slices.
void SetQuotas(std::size_t slices,
               std::span<const Candidate> candidates,
               std::vector<Share>& shares) {
  std::uint64_t total = 0;
  for (const Candidate& candidate : candidates) {
    total += candidate.m_weight;
  }
  std::size_t remaining = slices;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    shares[i].m_quota = slices * candidates[i].m_weight / total;
    remaining -= shares[i].m_quota;
  }
  for (bool is_over_quota : {true, false}) {
    for (Share& share : shares) {
      if (remaining > 0 && (share.m_owned > share.m_quota) == is_over_quota) {
        ++share.m_quota;
        --remaining;
      }
    }
  }
}

using RemainingQuotas = std::unordered_map<MemberId, std::size_t>;

// Busy slices lie close together, so neighbouring slices are assigned to
// different members. Assigning ranges of a few slices limits the number of
// ranges that a member owns.
void AssignUnownedInRanges(std::span<const Share> shares,
                           RemainingQuotas& quotas,
                           std::vector<MemberId>& owners) {
  const std::size_t range_size = std::max<std::size_t>(
      1, owners.size() / (shares.size() * kInitialRangesPerMember));
  std::size_t share_index = 0;
  std::size_t in_range = 0;
  for (MemberId& owner : owners) {
    if (owner != kNoMember) {
      continue;
    }
    if (in_range == range_size) {
      in_range = 0;
      ++share_index;
    }
    while (quotas[shares[share_index % shares.size()].m_member] == 0) {
      in_range = 0;
      ++share_index;
    }
    owner = shares[share_index % shares.size()].m_member;
    --quotas[owner];
    ++in_range;
  }
}

}  // namespace

std::vector<MemberId> AssignSlices(std::span<const MemberId> owners,
                                   std::span<const Candidate> candidates) {
  std::vector<MemberId> next(owners.size(), kNoMember);
  if (candidates.empty()) {
    return next;
  }
  std::vector<Share> shares = CountOwned(owners, candidates);
  SetQuotas(owners.size(), candidates, shares);

  RemainingQuotas quotas;
  for (const Share& share : shares) {
    quotas[share.m_member] = share.m_quota;
  }
  for (std::size_t i = 0; i < owners.size(); ++i) {
    const auto it = quotas.find(owners[i]);
    if (it != quotas.end() && it->second > 0) {
      --it->second;
      next[i] = owners[i];
    }
  }
  AssignUnownedInRanges(shares, quotas, next);
  return next;
}

}  // namespace figlug::core
