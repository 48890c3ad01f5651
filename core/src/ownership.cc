#include "figlug/core/ownership.h"

#include <algorithm>

namespace figlug::core {

void Ownership::OnFolded(Time now,
                         WallTime wall,
                         const Service& service,
                         Duration takeover_wait) {
  if (m_local.size() < service.m_slices.size()) {
    m_local.resize(service.m_slices.size());
  }
  for (SliceIndex i = 0; i < service.m_slices.size(); ++i) {
    const Slice& next = service.m_slices[i];
    Local& local = m_local[i];
    if (next == local.m_slice) {
      continue;
    }
    CoverVanishedPriors(wall, i, next);
    if (next.m_lost_at != local.m_slice.m_lost_at) {
      local.m_loss_wall = wall;
      local.m_ready_at = now + takeover_wait;
    }
    Classify(i, next);
    local.m_slice = next;
    if (next.m_owner != m_self) {
      m_released.erase(i);
      if (!IsPrior(next)) {
        m_ids.ClearSlice(i);
      }
    }
  }
}

// Few slices change hands at a time, so those are kept apart from the rest.
void Ownership::Classify(SliceIndex index, const Slice& next) {
  m_owned -= IsOwn(m_local[index].m_slice) ? 1 : 0;
  m_owned += IsOwn(next) ? 1 : 0;
  m_contested.erase(index);
  m_owed.erase(index);
  if (IsOwn(next) && !next.m_priors.empty()) {
    m_contested.insert(index);
  } else if (!IsOwn(next) && IsPrior(next)) {
    m_owed.insert(index);
  }
}

bool Ownership::IsOwn(const Slice& slice) const {
  return m_self != kNoMember && slice.m_owner == m_self;
}

const Ownership::Local& Ownership::LocalOf(SliceIndex slice) const {
  static const Local unknown;
  return slice < m_local.size() ? m_local[slice] : unknown;
}

// A prior holder that let go by record alone has not told which requests it
// ran. All that are older than now may have run.
void Ownership::CoverVanishedPriors(WallTime wall,
                                    SliceIndex index,
                                    const Slice& next) {
  const Local& local = m_local[index];
  if (local.m_slice.m_owner != m_self) {
    return;
  }
  for (const PriorHolder& prior : local.m_slice.m_priors) {
    const bool is_left =
        std::ranges::any_of(next.m_priors, [&](const PriorHolder& other) {
          return other.m_member == prior.m_member;
        });
    if (!is_left && !HasLetGo(index, prior)) {
      m_ids.RaiseUnknownBefore(index, wall);
    }
  }
}

SliceStatus Ownership::StatusOf(Time now, SliceIndex slice) const {
  const Local& local = LocalOf(slice);
  if (!IsOwn(local.m_slice)) {
    return SliceStatus::kNotOwner;
  }
  const bool is_free = std::ranges::all_of(
      local.m_slice.m_priors,
      [&](const PriorHolder& prior) { return HasLetGo(slice, prior); });
  return is_free && now >= local.m_ready_at ? SliceStatus::kReady
                                            : SliceStatus::kWaiting;
}

bool Ownership::IsPrior(const Slice& slice) const {
  return std::ranges::any_of(slice.m_priors, [&](const PriorHolder& prior) {
    return prior.m_member == m_self;
  });
}

bool Ownership::HasLetGo(SliceIndex slice, const PriorHolder& prior) const {
  if (prior.m_member == m_self) {
    return true;
  }
  const auto words = m_released.find(slice);
  if (words == m_released.end()) {
    return false;
  }
  const auto it = words->second.find(prior.m_member);
  return it != words->second.end() && it->second >= prior.m_taken_at;
}

Offset Ownership::EpochOf(SliceIndex slice) const {
  return LocalOf(slice).m_slice.m_epoch;
}

// A word given before the slice was taken away says nothing about it: the
// sender may have served again since.
void Ownership::OnRelease(const Release& release) {
  for (const ReleasedSlice& released : release.m_slices) {
    if (released.m_slice >= m_local.size()) {
      continue;
    }
    Local& local = m_local[released.m_slice];
    if (local.m_slice.m_owner != m_self) {
      continue;
    }
    Offset& folded = m_released[released.m_slice][release.m_from];
    folded = std::max(folded, release.m_folded);
    local.m_covered_loss = std::max(local.m_covered_loss, released.m_lost_at);
    m_ids.Merge(released.m_slice, released.m_ids);
  }
}

// What a lost holder ran is not known, so each id older than the loss may have
// run.
bool Ownership::InsertId(SliceIndex slice, const RequestId& id) {
  Local& local = m_local[slice];
  if (local.m_slice.m_lost_at > local.m_covered_loss) {
    m_ids.RaiseUnknownBefore(slice, local.m_loss_wall);
    local.m_covered_loss = local.m_slice.m_lost_at;
  }
  return m_ids.Insert(slice, id);
}

void Ownership::RemoveId(SliceIndex slice, const RequestId& id) {
  m_ids.Remove(slice, id);
}

std::vector<SliceIndex> Ownership::OwedReleases() const {
  return {m_owed.begin(), m_owed.end()};
}

bool Ownership::Owes(SliceIndex slice) const {
  return m_owed.contains(slice);
}

ReleasedSlice Ownership::MakeRelease(SliceIndex slice) const {
  return {slice, LocalOf(slice).m_covered_loss, m_ids.Find(slice)};
}

std::map<MemberId, std::vector<SliceIndex>> Ownership::MissingReleases() const {
  std::map<MemberId, std::vector<SliceIndex>> missing;
  for (SliceIndex i : m_contested) {
    const Local& local = m_local[i];
    for (const PriorHolder& prior : local.m_slice.m_priors) {
      if (!HasLetGo(i, prior)) {
        missing[prior.m_member].push_back(i);
      }
    }
  }
  return missing;
}

bool Ownership::IsOwner(SliceIndex slice) const {
  return IsOwn(LocalOf(slice).m_slice);
}

std::uint32_t Ownership::owned_count() const {
  return m_owned;
}

}  // namespace figlug::core
