#include "figlug/core/pushed_holds.h"

#include <algorithm>

namespace figlug::core {
namespace {

/// Time after which a grant counts as unanswered. Its connection is closed
/// then, so this also bounds the time until it arrives.
constexpr Duration kGrantTimeout = std::chrono::milliseconds(250);
/// The answer to a release comes when the work of the keys has ended.
constexpr Duration kReleaseTimeout = std::chrono::seconds(1);
/// Margin at the end of a lease and of a hold for late timers.
constexpr Duration kMargin = std::chrono::milliseconds(50);
/// Holds that would be shorter than this are not granted.
constexpr Duration kMinHold = std::chrono::milliseconds(200);
/// Part of a hold after which it is renewed; the rest is left for repeated
/// calls.
constexpr double kRenewalRatio = 0.45;
/// Pause before a call is repeated that the target refused.
constexpr Duration kRefusalPause = std::chrono::milliseconds(200);
constexpr std::size_t kMaxOpenGrants = 4;
constexpr std::size_t kMaxOpenReleases = 4;

}  // namespace

PushedHolds::PushedHolds(Time now, Duration max_hold)
    : m_max_hold(max_hold), m_unknown_until(now + LongestHold(max_hold)) {}

void PushedHolds::OnReport(Time, const TargetReport&, SliceIndex slices) {
  if (m_slices.size() < slices) {
    m_slices.resize(slices);
    m_next_scan = Time::min();
  }
  if (!m_is_reachable) {
    m_is_reachable = true;
    m_next_scan = Time::min();
  }
}

void PushedHolds::OnTargetEnded() {
  m_unknown_until = Time::min();
  m_is_reachable = false;
  m_slices.assign(m_slices.size(), {});
  m_due.clear();
  m_calls.clear();
  m_open_grants = 0;
  m_open_releases = 0;
}

void PushedHolds::OnHandover(SliceIndex slice, std::string token) {
  if (slice >= kMaxSlicesPerService) {
    return;
  }
  if (m_slices.size() <= slice) {
    m_slices.resize(slice + 1);
  }
  m_slices[slice].m_handover = std::move(token);
  m_next_scan = Time::min();
}

const std::string& PushedHolds::HandoverOf(SliceIndex slice) const {
  static const std::string none;
  return slice < m_slices.size() ? m_slices[slice].m_handover : none;
}

void PushedHolds::OnRejected(Time now, SliceIndex slice) {
  if (slice >= m_slices.size()) {
    return;
  }
  m_slices[slice].m_usable_until = Time::min();
  m_slices[slice].m_next_call = now + kRefusalPause;
  m_next_scan = Time::min();
}

void PushedHolds::DropExpiredCalls(Time now) {
  std::erase_if(m_calls, [&](const auto& entry) {
    return !entry.second.m_is_open && entry.second.m_held_until <= now;
  });
}

void PushedHolds::Review(Time now, const HoldContext& context, Actions& out) {
  DropExpiredCalls(now);
  if (!m_is_reachable) {
    return;
  }
  if (m_slices.size() < context.m_slices) {
    m_slices.resize(context.m_slices);
  }
  if (now >= m_next_scan) {
    Scan(now, context);
  }
  std::erase_if(m_due, [&](const DueRange& range) {
    if (range.m_is_release) {
      if (m_open_releases == kMaxOpenReleases) {
        return false;
      }
      SendRelease(now, range, context, out);
      return true;
    }
    return m_open_grants < kMaxOpenGrants &&
           SendGrant(now, range, context, out);
  });
}

// Neighbours with the same fence share a call, also those whose renewal is not
// due yet: otherwise ranges that were once granted apart would stay apart.
void PushedHolds::Scan(Time now, const HoldContext& context) {
  m_due.clear();
  m_next_scan = kNever;
  std::vector<DueRange> ranges;
  for (SliceIndex i = 0; i < context.m_slices; ++i) {
    const std::optional<DueRange> next = Plan(now, i, context);
    if (!next) {
      continue;
    }
    if (ranges.empty() || !Continues(ranges.back(), *next)) {
      ranges.push_back(*next);
      continue;
    }
    DueRange& range = ranges.back();
    range.m_last = i;
    range.m_is_renewal &= next->m_is_renewal;
    range.m_due_at = std::min(range.m_due_at, next->m_due_at);
    range.m_usable_until = std::min(range.m_usable_until, next->m_usable_until);
  }
  for (const DueRange& range : ranges) {
    if (range.m_due_at <= now) {
      m_due.push_back(range);
    } else {
      m_next_scan = std::min(m_next_scan, range.m_due_at);
    }
  }
  std::ranges::stable_sort(m_due, {}, &DueRange::m_usable_until);
}

// A slice that may not be served any more is released once the work that this
// process has sent has ended: the target would wait for it, and that work needs
// the hold.
std::optional<PushedHolds::DueRange>
PushedHolds::Plan(Time now, SliceIndex index, const HoldContext& context) {
  Slice& slice = m_slices[index];
  DueRange plan{.m_first = index,
                .m_last = index,
                .m_is_renewal = now < slice.m_usable_until,
                .m_fence = slice.m_fence,
                .m_due_at = slice.m_next_call,
                .m_usable_until = slice.m_usable_until};
  const SliceStatus status = context.m_ownership.StatusOf(now, index);
  if (status == SliceStatus::kReady) {
    plan.m_fence = context.m_ownership.EpochOf(index);
    slice.m_is_closing &= slice.m_has_open_call;
    if (slice.m_has_open_call || plan.m_fence <= slice.m_refused_fence) {
      return std::nullopt;
    }
    if (plan.m_fence != slice.m_fence) {
      plan.m_due_at = now;
    }
    return plan;
  }
  // A slice whose takeover wait ends is noticed by a later review.
  if (status == SliceStatus::kWaiting) {
    m_next_scan = now;
  }
  if (now >= slice.m_held_until) {
    slice.m_usable_until = Time::min();
    return std::nullopt;
  }
  if (!slice.m_is_closing) {
    slice.m_is_closing = true;
    plan.m_due_at = now;
  }
  slice.m_usable_until = Time::min();
  if (slice.m_has_open_call) {
    return std::nullopt;
  }
  plan.m_is_release = !context.m_running.contains(index);
  if (!plan.m_is_release) {
    m_next_scan = now;
    plan.m_due_at = slice.m_next_call;
    plan.m_is_renewal = true;
    if (slice.m_fence <= slice.m_refused_fence) {
      return std::nullopt;
    }
  }
  return plan;
}

bool PushedHolds::Continues(const DueRange& range, const DueRange& next) const {
  return range.m_last + 1 == next.m_first &&
         range.m_is_release == next.m_is_release &&
         range.m_fence == next.m_fence &&
         m_slices[range.m_last].m_is_closing ==
             m_slices[next.m_first].m_is_closing &&
         (range.m_is_release || m_slices[range.m_last].m_handover ==
                                    m_slices[next.m_first].m_handover);
}

HoldCallId PushedHolds::OpenCall(const Call& call) {
  const HoldCallId id{++m_last_call};
  m_calls.emplace(id, call);
  ++(call.m_is_release ? m_open_releases : m_open_grants);
  ForEachSlice(call, [&](Slice& slice) { slice.m_has_open_call = true; });
  return id;
}

// The hold counts from the call's arrival, so it has to end within the lease
// even if the call arrives as late as it can.
bool PushedHolds::SendGrant(Time now,
                            const DueRange& range,
                            const HoldContext& context,
                            Actions& out) {
  const Duration bound =
      std::min(context.m_lease_left, m_max_hold) - kGrantTimeout - kMargin;
  const auto hold = std::chrono::duration_cast<std::chrono::milliseconds>(
      bound / (1 + kMaxTargetClockDriftRatio));
  if (hold < kMinHold) {
    m_next_scan = now;
    return false;
  }
  const Call call{.m_first = range.m_first,
                  .m_last = range.m_last,
                  .m_fence = range.m_fence,
                  .m_sent_at = now,
                  .m_hold = hold,
                  .m_held_until = now + kGrantTimeout + LongestHold(hold)};
  const HoldCallId id = OpenCall(call);
  const Duration renewal =
      std::chrono::duration_cast<Duration>(kRenewalRatio * hold);
  ForEachSlice(call, [&](Slice& slice) {
    slice.m_fence = range.m_fence;
    slice.m_next_call = now + renewal;
  });
  m_next_scan = std::min(m_next_scan, now + renewal);
  out.emplace_back(
      GrantKeys{id,
                std::string(context.m_target),
                {{FirstKeyOf(range.m_first, context.m_slices),
                  FirstKeyOf(range.m_last + 1, context.m_slices) - 1},
                 range.m_fence,
                 m_slices[range.m_first].m_handover},
                hold,
                kGrantTimeout,
                range.m_is_renewal});
  return true;
}

void PushedHolds::SendRelease(Time now,
                              const DueRange& range,
                              const HoldContext& context,
                              Actions& out) {
  const HoldCallId id = OpenCall({.m_is_release = true,
                                  .m_first = range.m_first,
                                  .m_last = range.m_last,
                                  .m_fence = range.m_fence,
                                  .m_sent_at = now});
  out.emplace_back(
      ReleaseKeys{id,
                  std::string(context.m_target),
                  {FirstKeyOf(range.m_first, context.m_slices),
                   FirstKeyOf(range.m_last + 1, context.m_slices) - 1},
                  range.m_fence,
                  kReleaseTimeout});
}

std::optional<HoldEvent> PushedHolds::OnResult(Time now,
                                               HoldCallId id,
                                               const HoldAnswer& answer) {
  const auto it = m_calls.find(id);
  if (it == m_calls.end() || !it->second.m_is_open) {
    return std::nullopt;
  }
  Call& call = it->second;
  call.m_is_open = false;
  --(call.m_is_release ? m_open_releases : m_open_grants);
  ForEachSlice(call, [&](Slice& slice) { slice.m_has_open_call = false; });
  m_next_scan = Time::min();
  if (answer.m_result == HoldResult::kDisconnected) {
    m_is_reachable = false;
  }
  const HoldEvent event{answer.m_result, call.m_first, call.m_last,
                        call.m_fence};
  const bool is_release = call.m_is_release;
  if (is_release) {
    EndRelease(now, call, answer);
  } else {
    EndGrant(now, call, answer.m_result);
  }
  const bool is_unanswered = answer.m_result == HoldResult::kUnanswered ||
                             answer.m_result == HoldResult::kDisconnected;
  if (is_release || !is_unanswered) {
    m_calls.erase(id);
  }
  const bool is_event = (is_release && answer.m_result == HoldResult::kDone) ||
                        (!is_release && answer.m_result == HoldResult::kFenced);
  return is_event ? std::optional(event) : std::nullopt;
}

// An unanswered grant stays in m_calls, whatever later grants are answered: it
// may take effect after them.
void PushedHolds::EndGrant(Time now, Call& call, HoldResult result) {
  ForEachSlice(call, [&](Slice& slice) {
    switch (result) {
      case HoldResult::kDone:
        slice.m_held_until =
            std::max(slice.m_held_until, now + LongestHold(call.m_hold));
        if (!slice.m_is_closing) {
          slice.m_usable_until = call.m_sent_at + call.m_hold - kMargin;
        }
        slice.m_handover.clear();
        break;
      case HoldResult::kFenced:
        slice.m_refused_fence = std::max(slice.m_refused_fence, call.m_fence);
        slice.m_usable_until = Time::min();
        break;
      case HoldResult::kNotApplied:
        slice.m_next_call = now + kRefusalPause;
        break;
      case HoldResult::kUnanswered:
      case HoldResult::kDisconnected:
        slice.m_next_call = call.m_sent_at + kGrantTimeout;
        break;
    }
  });
}

void PushedHolds::EndRelease(Time now,
                             const Call& call,
                             const HoldAnswer& answer) {
  ForEachSlice(call, [&](Slice& slice) {
    if (answer.m_result != HoldResult::kDone) {
      slice.m_next_call = now + kRefusalPause;
      return;
    }
    const Position refused = slice.m_refused_fence;
    slice = {};
    slice.m_refused_fence = refused;
    slice.m_handover = answer.m_handover;
  });
}

bool PushedHolds::MayHold(Time now, SliceIndex slice) const {
  if (now < m_unknown_until) {
    return true;
  }
  if (slice < m_slices.size() && now < m_slices[slice].m_held_until) {
    return true;
  }
  return std::ranges::any_of(m_calls, [&](const auto& entry) {
    const Call& call = entry.second;
    return call.m_first <= slice && slice <= call.m_last &&
           (call.m_is_open || now < call.m_held_until);
  });
}

bool PushedHolds::IsUsable(Time now, SliceIndex slice) const {
  return slice < m_slices.size() && now < m_slices[slice].m_usable_until;
}

}  // namespace figlug::core
