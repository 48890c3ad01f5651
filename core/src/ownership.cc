#include "figlug/core/ownership.h"

#include <algorithm>

namespace figlug::core {

void Ownership::OnRecordApplied(Time now,
                                WallTime wall,
                                const Service& service,
                                Duration takeover_wait) {
  if (m_local.size() < service.m_slices.size()) {
    m_local.resize(service.m_slices.size());
  }
  for (SliceIndex i = 0; i < service.m_slices.size(); ++i) {
    const Slice& next = service.m_slices[i];
    LocalSlice& local = m_local[i];
    if (next == local.m_slice) {
      continue;
    }
    TrackExclusiveness(local, next);
    if (local.m_is_continued) {
      local.m_covered_loss = next.m_lost_at;
    } else {
      CoverRemovedHolders(wall, i, next);
    }
    if (next.m_lost_at != local.m_slice.m_lost_at && !local.m_is_continued) {
      local.m_lost_wall_time = wall;
      local.m_ready_at = now + takeover_wait;
    }
    Classify(i, next);
    local.m_slice = next;
    if (next.m_owner != m_self) {
      m_released.erase(i);
      if (!IsPreviousHolder(next)) {
        m_ids.ClearSlice(i);
      }
    }
  }
}

// What a former owner knew goes with its release; a new owner learns it from
// the releases of its own epoch.
void Ownership::TrackExclusiveness(LocalSlice& local, const Slice& next) const {
  const bool was_own = IsOwn(local.m_slice);
  if (was_own && next.m_owner != m_self) {
    local.m_was_exclusive = local.m_is_exclusive;
  }
  local.m_is_continued &= next.m_owner == m_self;
  if (!local.m_is_continued && next.m_epoch != local.m_slice.m_epoch) {
    local.m_is_exclusive = false;
  }
  if (!IsOwn(next) && !IsPreviousHolder(next)) {
    local.m_was_exclusive = false;
  }
}

// While this member holds its lease and has not released a slice, nobody else
// can have been given it, by lost records either.
void Ownership::OnRestored(Time now,
                           const Service* service,
                           bool is_lease_valid) {
  static const std::vector<Slice> none;
  const std::vector<Slice>& slices =
      service == nullptr ? none : service->m_slices;
  m_local.resize(std::max(m_local.size(), slices.size()));
  for (SliceIndex i = 0; i < m_local.size(); ++i) {
    const Slice next = i < slices.size() ? slices[i] : Slice{};
    const bool was_ready =
        is_lease_valid && StatusOf(now, i) == SliceStatus::kReady;
    LocalSlice& local = m_local[i];
    local.m_is_continued = was_ready && next.m_owner == m_self;
    local.m_is_exclusive = local.m_is_continued;
    local.m_min_epoch = local.m_is_continued ? EpochOf(i) : 0;
    local.m_was_exclusive = false;
    Classify(i, next);
    local.m_slice = next;
  }
  m_released.clear();
}

// Only a few slices change owners at a time. They are kept in separate sets, so
// that queries need not scan all slices.
void Ownership::Classify(SliceIndex index, const Slice& next) {
  m_owned -= IsOwn(m_local[index].m_slice) ? 1 : 0;
  m_owned += IsOwn(next) ? 1 : 0;
  m_awaiting_release.erase(index);
  m_pending_releases.erase(index);
  if (IsOwn(next) && !next.m_previous_holders.empty()) {
    m_awaiting_release.insert(index);
  } else if (!IsOwn(next) && IsPreviousHolder(next)) {
    m_pending_releases.insert(index);
  }
}

bool Ownership::IsOwn(const Slice& slice) const {
  return m_self != kNoMember && slice.m_owner == m_self;
}

const Ownership::LocalSlice& Ownership::LocalOf(SliceIndex slice) const {
  static const LocalSlice unknown;
  return slice < m_local.size() ? m_local[slice] : unknown;
}

// A previous holder that disappeared from the control state without a Release
// message has not reported which requests it executed. Any request id created
// before now may have been executed.
void Ownership::CoverRemovedHolders(WallTime wall,
                                    SliceIndex index,
                                    const Slice& next) {
  const LocalSlice& local = m_local[index];
  if (local.m_slice.m_owner != m_self) {
    return;
  }
  for (const PreviousHolder& previous : local.m_slice.m_previous_holders) {
    const bool is_still_listed = std::ranges::any_of(
        next.m_previous_holders, [&](const PreviousHolder& remaining) {
          return remaining.m_member == previous.m_member;
        });
    if (!is_still_listed && !HasReleased(index, previous)) {
      m_ids.RaiseUnknownBefore(index, wall);
    }
  }
}

SliceStatus Ownership::StatusOf(Time now, SliceIndex slice) const {
  const LocalSlice& local = LocalOf(slice);
  if (!IsOwn(local.m_slice)) {
    return SliceStatus::kNotOwner;
  }
  if (local.m_is_continued) {
    return SliceStatus::kReady;
  }
  if (m_may_have_unknown_holders && !local.m_is_exclusive) {
    return SliceStatus::kWaiting;
  }
  const bool is_released = std::ranges::all_of(
      local.m_slice.m_previous_holders, [&](const PreviousHolder& previous) {
        return HasReleased(slice, previous);
      });
  return is_released && now >= local.m_ready_at ? SliceStatus::kReady
                                                : SliceStatus::kWaiting;
}

bool Ownership::IsPreviousHolder(const Slice& slice) const {
  return std::ranges::any_of(slice.m_previous_holders,
                             [&](const PreviousHolder& previous) {
                               return previous.m_member == m_self;
                             });
}

bool Ownership::HasReleased(SliceIndex slice,
                            const PreviousHolder& previous) const {
  if (previous.m_member == m_self) {
    return true;
  }
  const auto releases = m_released.find(slice);
  if (releases == m_released.end()) {
    return false;
  }
  const auto it = releases->second.find(previous.m_member);
  return it != releases->second.end() && it->second >= previous.m_taken_at;
}

// Until a record has begun the new era, the restored state has a fencing token
// from before the lost records.
Position Ownership::EpochOf(SliceIndex slice) const {
  const LocalSlice& local = LocalOf(slice);
  return std::max(local.m_slice.m_epoch, local.m_min_epoch);
}

// A release sent before the slice was last taken from the sender is outdated:
// the sender may have served the slice again since. HasReleased compares the
// positions.
void Ownership::OnRelease(const Release& release) {
  for (const ReleasedSlice& released : release.m_slices) {
    if (released.m_slice >= m_local.size()) {
      continue;
    }
    LocalSlice& local = m_local[released.m_slice];
    if (local.m_slice.m_owner != m_self) {
      continue;
    }
    Position& applied = m_released[released.m_slice][release.m_from];
    applied = std::max(applied, release.m_folded);
    local.m_covered_loss = std::max(local.m_covered_loss, released.m_lost_at);
    local.m_is_exclusive |=
        released.m_was_exclusive &&
        std::ranges::any_of(local.m_slice.m_previous_holders,
                            [&](const PreviousHolder& previous) {
                              return previous.m_member == release.m_from &&
                                     previous.m_taken_at <= release.m_folded;
                            });
    m_ids.Merge(released.m_slice, released.m_ids);
  }
}

// It is unknown which requests a lost holder executed, so every request with an
// id created before the loss may have been executed.
//
// An id of a slice that is not known cannot be kept, so its request may be a
// copy.
bool Ownership::InsertId(SliceIndex slice, const RequestId& id) {
  if (slice >= m_local.size()) {
    return false;
  }
  LocalSlice& local = m_local[slice];
  if (local.m_slice.m_lost_at > local.m_covered_loss) {
    m_ids.RaiseUnknownBefore(slice, local.m_lost_wall_time);
    local.m_covered_loss = local.m_slice.m_lost_at;
  }
  return m_ids.Insert(slice, id);
}

void Ownership::RemoveId(SliceIndex slice, const RequestId& id) {
  m_ids.Remove(slice, id);
}

std::vector<SliceIndex> Ownership::PendingReleases() const {
  return {m_pending_releases.begin(), m_pending_releases.end()};
}

bool Ownership::IsReleasePending(SliceIndex slice) const {
  return m_pending_releases.contains(slice);
}

ReleasedSlice Ownership::MakeRelease(SliceIndex slice) const {
  const LocalSlice& local = LocalOf(slice);
  return {
      .m_slice = slice,
      .m_lost_at = local.m_covered_loss,
      .m_ids = m_ids.Find(slice),
      .m_was_exclusive = !m_may_have_unknown_holders || local.m_was_exclusive};
}

std::map<MemberId, std::vector<SliceIndex>> Ownership::AwaitedReleases() const {
  std::map<MemberId, std::vector<SliceIndex>> awaited;
  for (SliceIndex i : m_awaiting_release) {
    const LocalSlice& local = m_local[i];
    for (const PreviousHolder& previous : local.m_slice.m_previous_holders) {
      if (!HasReleased(i, previous)) {
        awaited[previous.m_member].push_back(i);
      }
    }
  }
  return awaited;
}

bool Ownership::IsOwner(SliceIndex slice) const {
  return IsOwn(LocalOf(slice).m_slice);
}

std::uint32_t Ownership::owned_count() const {
  return m_owned;
}

}  // namespace figlug::core
