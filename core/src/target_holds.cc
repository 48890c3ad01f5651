#include "figlug/core/target_holds.h"

#include <algorithm>

namespace figlug::core {
namespace {

/// Rate by which a target's clock may be slow, from the platform's contract.
constexpr double kClockDrift = 0.02;
/// Spared at the end of a lease for the time that an answer takes.
constexpr Duration kLeaseMargin = std::chrono::milliseconds(50);
/// A hold that is shorter than this is not worth an answer.
constexpr Duration kLeastHold = std::chrono::milliseconds(200);
/// Bytes of rows that fit into an answer of 4 KiB beside its other fields.
constexpr std::size_t kRowBytes = 3600;
constexpr std::size_t kBytesPerRow = 26;
/// Length of a handover token with its quotes.
constexpr std::size_t kHandoverBytes = 18;

}  // namespace

// A slice that is held in part counts as held. One that this process has not
// granted was granted by a predecessor, for the longest time at most.
void TargetHolds::OnReport(Time now,
                           const TargetReport& report,
                           SliceIndex slices) {
  m_unknown_until = Time::min();
  for (Slice& slice : m_slices) {
    slice.m_is_held = false;
  }
  if (slices == 0) {
    return;
  }
  if (m_slices.size() < slices) {
    m_slices.resize(slices);
  }
  const auto for_each = [&](const KeyRange& keys, auto&& function) {
    if (keys.m_first > keys.m_last || keys.m_last >= kKeySpaceSize) {
      return;
    }
    for (SliceIndex i = SliceOfNumber(keys.m_first, slices);
         i <= SliceOfNumber(keys.m_last, slices); ++i) {
      function(m_slices[i]);
    }
  };
  for (const ReleasedRange& released : report.m_released) {
    for_each(released.m_keys,
             [&](Slice& slice) { slice.m_handover = released.m_handover; });
  }
  for (const KeyRange& held : report.m_held) {
    for_each(held, [&](Slice& slice) {
      slice.m_is_held = true;
      slice.m_handover.clear();
      if (slice.m_ends <= now) {
        slice.m_ends = now + m_most_hold;
      }
    });
  }
  for (Slice& slice : m_slices) {
    if (!slice.m_is_held) {
      slice.m_ends = Time::min();
      slice.m_usable_until = Time::min();
    }
  }
}

void TargetHolds::OnTargetEnded() {
  m_unknown_until = Time::min();
  for (Slice& slice : m_slices) {
    slice = {};
  }
}

void TargetHolds::OnHandover(SliceIndex slice, std::string token) {
  if (slice >= kMostSlices) {
    return;
  }
  if (m_slices.size() <= slice) {
    m_slices.resize(slice + 1);
  }
  m_slices[slice].m_handover = std::move(token);
}

const std::string& TargetHolds::HandoverOf(SliceIndex slice) const {
  static const std::string none;
  return slice < m_slices.size() ? m_slices[slice].m_handover : none;
}

std::vector<TargetHolds::Row> TargetHolds::CollectRows(
    Time now,
    const Ownership& ownership,
    SliceIndex slices) const {
  std::vector<Row> rows;
  for (SliceIndex i = 0; i < slices; ++i) {
    if (ownership.StatusOf(now, i) != SliceStatus::kReady) {
      continue;
    }
    const Slice& slice = m_slices[i];
    const Offset fence = ownership.EpochOf(i);
    if (!rows.empty() && rows.back().m_last + 1 == i &&
        rows.back().m_fence == fence &&
        rows.back().m_handover == slice.m_handover &&
        rows.back().m_is_held == slice.m_is_held) {
      rows.back().m_last = i;
      continue;
    }
    rows.push_back({i, i, fence, slice.m_handover, slice.m_is_held});
  }
  return rows;
}

// What is left out would be let go of, so rows that the target holds come
// first; others follow with a later answer.
void TargetHolds::Fit(std::vector<Row>& rows) {
  std::stable_partition(rows.begin(), rows.end(),
                        [](const Row& row) { return row.m_is_held; });
  std::size_t bytes = 0;
  const auto end = std::ranges::find_if(rows, [&](const Row& row) {
    bytes += kBytesPerRow + (row.m_handover.empty() ? 0 : kHandoverBytes);
    return bytes > kRowBytes;
  });
  rows.erase(end, rows.end());
}

HoldGrant TargetHolds::Grant(Time now,
                             const Ownership& ownership,
                             SliceIndex slices,
                             Duration lease_left) {
  using std::chrono::duration_cast;
  const Duration bound = std::min(lease_left, m_most_hold) - kLeaseMargin;
  const auto hold =
      duration_cast<std::chrono::milliseconds>(bound / (1 + kClockDrift));
  HoldGrant grant;
  if (hold < kLeastHold) {
    return grant;
  }
  grant.m_is_granted = true;
  grant.m_hold = hold;
  if (m_slices.size() < slices) {
    m_slices.resize(slices);
  }
  std::vector<Row> rows = CollectRows(now, ownership, slices);
  Fit(rows);
  for (Row& row : rows) {
    for (SliceIndex i = row.m_first; i <= row.m_last; ++i) {
      m_slices[i].m_ends = now + bound;
      m_slices[i].m_usable_until = now + hold - kLeaseMargin;
    }
    grant.m_ranges.push_back({{FirstKeyOf(row.m_first, slices),
                               FirstKeyOf(row.m_last + 1, slices) - 1},
                              row.m_fence,
                              std::move(row.m_handover)});
  }
  return grant;
}

bool TargetHolds::MayHold(Time now, SliceIndex slice) const {
  return now < m_unknown_until ||
         (slice < m_slices.size() && now < m_slices[slice].m_ends);
}

bool TargetHolds::IsUsable(Time now, SliceIndex slice) const {
  return slice < m_slices.size() && now < m_slices[slice].m_usable_until;
}

}  // namespace figlug::core
