#include "figlug/core/pulled_holds.h"

#include <algorithm>

namespace figlug::core {
namespace {

/// Margin at the end of a lease for the time until a reply arrives.
constexpr Duration kLeaseMargin = std::chrono::milliseconds(50);
/// Holds that would be shorter than this are not granted.
constexpr Duration kMinHold = std::chrono::milliseconds(200);
/// Bytes available for ranges in a reply of 4 KiB beside its other fields.
constexpr std::size_t kMaxRangesBytes = 3600;
/// Two keys, a fence of 13 digits and the punctuation.
constexpr std::size_t kBytesPerRange = 32;
/// Length of a handover token including its quotes.
constexpr std::size_t kHandoverBytes = 18;

}  // namespace

// A partly held slice counts as held. A held slice that this process has not
// granted was granted by a predecessor, for at most the longest hold.
void PulledHolds::OnReport(Time now,
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
      slice.m_is_rejected = false;
      slice.m_handover.clear();
      if (slice.m_held_until <= now) {
        slice.m_held_until = now + m_max_hold;
      }
    });
  }
  for (Slice& slice : m_slices) {
    if (!slice.m_is_held) {
      slice.m_held_until = Time::min();
      slice.m_usable_until = Time::min();
    }
  }
}

void PulledHolds::OnTargetEnded() {
  m_unknown_until = Time::min();
  for (Slice& slice : m_slices) {
    slice = {};
  }
}

void PulledHolds::OnRejected(Time, SliceIndex slice) {
  if (slice < m_slices.size()) {
    m_slices[slice].m_is_rejected = true;
    m_slices[slice].m_usable_until = Time::min();
  }
}

void PulledHolds::OnHandover(SliceIndex slice, std::string token) {
  if (slice >= kMaxSlicesPerService) {
    return;
  }
  if (m_slices.size() <= slice) {
    m_slices.resize(slice + 1);
  }
  m_slices[slice].m_handover = std::move(token);
}

const std::string& PulledHolds::HandoverOf(SliceIndex slice) const {
  static const std::string none;
  return slice < m_slices.size() ? m_slices[slice].m_handover : none;
}

std::vector<PulledHolds::SliceRange> PulledHolds::CollectRanges(
    Time now,
    const Ownership& ownership,
    SliceIndex slices) const {
  std::vector<SliceRange> ranges;
  for (SliceIndex i = 0; i < slices; ++i) {
    if (ownership.StatusOf(now, i) != SliceStatus::kReady) {
      continue;
    }
    const Slice& slice = m_slices[i];
    const Position fence = ownership.EpochOf(i);
    if (!ranges.empty() && ranges.back().m_last + 1 == i &&
        ranges.back().m_fence == fence &&
        ranges.back().m_handover == slice.m_handover &&
        ranges.back().m_is_held == slice.m_is_held) {
      ranges.back().m_last = i;
      continue;
    }
    ranges.push_back({i, i, fence, slice.m_handover, slice.m_is_held});
  }
  return ranges;
}

// The target releases every range that a reply omits, so ranges that it already
// holds come first. The others are granted by a later reply.
void PulledHolds::TrimToReplySize(std::vector<SliceRange>& ranges) {
  std::stable_partition(
      ranges.begin(), ranges.end(),
      [](const SliceRange& range) { return range.m_is_held; });
  std::size_t bytes = 0;
  const auto end = std::ranges::find_if(ranges, [&](const SliceRange& range) {
    bytes += kBytesPerRange + (range.m_handover.empty() ? 0 : kHandoverBytes);
    return bytes > kMaxRangesBytes;
  });
  ranges.erase(end, ranges.end());
}

HoldGrant PulledHolds::Grant(Time now, const HoldContext& context) {
  using std::chrono::duration_cast;
  const SliceIndex slices = context.m_slices;
  const Duration bound =
      std::min(context.m_lease_left, m_max_hold) - kLeaseMargin;
  const auto hold = duration_cast<std::chrono::milliseconds>(
      bound / (1 + kMaxTargetClockDriftRatio));
  HoldGrant grant;
  if (hold < kMinHold) {
    return grant;
  }
  grant.m_is_granted = true;
  grant.m_hold = hold;
  if (m_slices.size() < slices) {
    m_slices.resize(slices);
  }
  std::vector<SliceRange> ranges =
      CollectRanges(now, context.m_ownership, slices);
  TrimToReplySize(ranges);
  // The target lets go of what the reply omits as soon as it reads it.
  for (Slice& slice : m_slices) {
    slice.m_usable_until = Time::min();
  }
  for (SliceRange& range : ranges) {
    for (SliceIndex i = range.m_first; i <= range.m_last; ++i) {
      m_slices[i].m_held_until = now + LongestHold(hold);
      m_slices[i].m_usable_until =
          m_slices[i].m_is_rejected ? Time::min() : now + hold - kLeaseMargin;
    }
    grant.m_ranges.push_back({{FirstKeyOf(range.m_first, slices),
                               FirstKeyOf(range.m_last + 1, slices) - 1},
                              range.m_fence,
                              std::move(range.m_handover)});
  }
  return grant;
}

bool PulledHolds::MayHold(Time now, SliceIndex slice) const {
  return now < m_unknown_until ||
         (slice < m_slices.size() && now < m_slices[slice].m_held_until);
}

bool PulledHolds::IsUsable(Time now, SliceIndex slice) const {
  return slice < m_slices.size() && now < m_slices[slice].m_usable_until;
}

}  // namespace figlug::core
