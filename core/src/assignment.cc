#include "figlug/core/assignment.h"

#include <algorithm>
#include <cstddef>
#include <unordered_map>

namespace figlug::core {
namespace {

/// Ranges of slices that a member is given at first; a third of the rows that
/// an answer to a target has room for, so that busy slices can still be cut
/// out.
constexpr std::size_t kFirstRuns = 40;

struct Share {
  MemberId m_member = kNoMember;
  std::size_t m_held = 0;
  std::size_t m_quota = 0;
};

std::vector<Share> CountHeld(std::span<const MemberId> owners,
                             std::span<const Candidate> candidates) {
  std::unordered_map<MemberId, std::size_t> held;
  for (MemberId owner : owners) {
    ++held[owner];
  }
  std::vector<Share> shares;
  shares.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    shares.push_back({candidate.m_member, held[candidate.m_member], 0});
  }
  return shares;
}

// Every share gets its rounded-down part. The slices left over go first to
// members that already hold them, so that rounding alone moves nothing.
void SetQuotas(std::size_t slices,
               std::span<const Candidate> candidates,
               std::vector<Share>& shares) {
  std::uint64_t total = 0;
  for (const Candidate& candidate : candidates) {
    total += candidate.m_weight;
  }
  std::size_t left = slices;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    shares[i].m_quota = slices * candidates[i].m_weight / total;
    left -= shares[i].m_quota;
  }
  for (bool keep : {true, false}) {
    for (Share& share : shares) {
      if (left > 0 && (share.m_held > share.m_quota) == keep) {
        ++share.m_quota;
        --left;
      }
    }
  }
}

using Room = std::unordered_map<MemberId, std::size_t>;

// Busy slices lie close together, so neighbours go to different members. Runs
// of a few slices bound the number of ranges that a member has.
void GiveInRuns(std::span<const Share> shares,
                Room& room,
                std::vector<MemberId>& owners) {
  const std::size_t run =
      std::max<std::size_t>(1, owners.size() / (shares.size() * kFirstRuns));
  std::size_t taker = 0;
  std::size_t given = 0;
  for (MemberId& owner : owners) {
    if (owner != kNoMember) {
      continue;
    }
    if (given == run) {
      given = 0;
      ++taker;
    }
    while (room[shares[taker % shares.size()].m_member] == 0) {
      given = 0;
      ++taker;
    }
    owner = shares[taker % shares.size()].m_member;
    --room[owner];
    ++given;
  }
}

}  // namespace

std::vector<MemberId> AssignSlices(std::span<const MemberId> owners,
                                   std::span<const Candidate> candidates) {
  std::vector<MemberId> next(owners.size(), kNoMember);
  if (candidates.empty()) {
    return next;
  }
  std::vector<Share> shares = CountHeld(owners, candidates);
  SetQuotas(owners.size(), candidates, shares);

  Room room;
  for (const Share& share : shares) {
    room[share.m_member] = share.m_quota;
  }
  for (std::size_t i = 0; i < owners.size(); ++i) {
    const auto it = room.find(owners[i]);
    if (it != room.end() && it->second > 0) {
      --it->second;
      next[i] = owners[i];
    }
  }
  GiveInRuns(shares, room, next);
  return next;
}

}  // namespace figlug::core
