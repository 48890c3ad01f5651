#ifndef FIGLUG_CORE_PUSHED_HOLDS_H_
#define FIGLUG_CORE_PUSHED_HOLDS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "figlug/core/action.h"
#include "figlug/core/control_state.h"
#include "figlug/core/hold_call.h"
#include "figlug/core/hold_context.h"
#include "figlug/core/target_report.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Tracks the slices that the local target may hold, where it is called
/// for each range: granted, renewed before the hold ends, and released.
///
/// A call without an answer may take effect seconds later, after newer calls;
/// its hold still counts from its arrival.
///
/// \code
/// holds.Review(now, context, actions);        // emits GrantKeys, ReleaseKeys
/// holds.OnResult(now, id, {HoldResult::kDone});
/// if (holds.IsUsable(now, slice)) Dispatch();
/// \endcode
class PushedHolds {
 public:
  /// \param now Start of this process. Until about `max_hold` has passed, the
  /// target may hold any slices that a predecessor of this process granted.
  /// \param max_hold Longest hold that a process on this VM grants.
  PushedHolds(Time now, Duration max_hold);

  /// \brief The target's process is the one that was known before.
  void OnReport(Time now, const TargetReport& report, SliceIndex slices);
  /// \brief Clears all holds, because the target's process has stopped.
  void OnTargetEnded();
  /// \brief No connection to the target is left, so that its process may have
  /// been replaced: nothing is granted until it reports.
  void OnDisconnected() { m_is_reachable = false; }
  /// \brief Stores the handover token that a previous holder's target issued.
  void OnHandover(SliceIndex slice, std::string token);
  /// \brief Handover token of a slice that the target has released; empty if
  /// there is none.
  [[nodiscard]] const std::string& HandoverOf(SliceIndex slice) const;
  /// \brief The target has refused work of a slice because it does not hold it.
  void OnRejected(Time now, SliceIndex slice);
  /// \brief Replies to reports grant nothing.
  [[nodiscard]] HoldGrant Grant(Time, const HoldContext&) { return {}; }
  /// \brief A record, a release or an answer may have changed which slices this
  /// member may serve.
  void OnOwnershipChanged() { m_next_scan = Time::min(); }

  /// \brief Emits the calls that are due.
  void Review(Time now, const HoldContext& context, Actions& out);
  /// \returns Slices that were released, or whose fence was refused.
  [[nodiscard]] std::optional<HoldEvent> OnResult(Time now,
                                                  HoldCallId id,
                                                  const HoldAnswer& answer);
  /// \brief Returns whether the target may still hold a slice.
  [[nodiscard]] bool MayHold(Time now, SliceIndex slice) const;
  /// \brief Returns whether the target accepts requests for a slice now.
  [[nodiscard]] bool IsUsable(Time now, SliceIndex slice) const;

 private:
  struct Slice {
    /// Latest end of the grants that were answered, if the target's clock is
    /// slow.
    Time m_held_until = Time::min();
    /// Earliest end of the last grant that was answered.
    Time m_usable_until = Time::min();
    /// When the next call for this slice is due.
    Time m_next_call = Time::min();
    /// Fence of the last grant.
    Position m_fence = 0;
    /// Highest fence that the target has refused.
    Position m_refused_fence = 0;
    bool m_has_open_call = false;
    /// Whether the slice gets no new work, because it is going to be released.
    bool m_is_closing = false;
    std::string m_handover;
  };
  /// A call that is open, or a grant without an answer that may be in effect.
  struct Call {
    bool m_is_release = false;
    bool m_is_open = true;
    SliceIndex m_first = 0;
    SliceIndex m_last = 0;
    Position m_fence = 0;
    Time m_sent_at{};
    Duration m_hold{};
    /// Latest end of the hold that it may have granted.
    Time m_held_until = Time::min();
  };
  /// Contiguous slices for which one call is due.
  struct DueRange {
    SliceIndex m_first = 0;
    SliceIndex m_last = 0;
    bool m_is_release = false;
    bool m_is_renewal = false;
    Position m_fence = 0;
    Time m_due_at{};
    Time m_usable_until{};
  };

  void DropExpiredCalls(Time now);
  void Scan(Time now, const HoldContext& context);
  /// \brief The call that a slice needs next, as a range of one slice.
  [[nodiscard]] std::optional<DueRange> Plan(Time now,
                                             SliceIndex index,
                                             const HoldContext& context);
  [[nodiscard]] bool Continues(const DueRange& range,
                               const DueRange& next) const;
  [[nodiscard]] bool SendGrant(Time now,
                               const DueRange& range,
                               const HoldContext& context,
                               Actions& out);
  void SendRelease(Time now,
                   const DueRange& range,
                   const HoldContext& context,
                   Actions& out);
  [[nodiscard]] HoldCallId OpenCall(const Call& call);
  void EndGrant(Time now, Call& call, HoldResult result);
  void EndRelease(Time now, const Call& call, const HoldAnswer& answer);
  template <class Function>
  void ForEachSlice(const Call& call, Function&& function) {
    for (SliceIndex i = call.m_first; i <= call.m_last; ++i) {
      function(m_slices[i]);
    }
  }

  Duration m_max_hold;
  Time m_unknown_until;
  /// Whether the target's process is known to be the one that reported last.
  bool m_is_reachable = false;
  Time m_next_scan = Time::min();
  std::vector<Slice> m_slices;
  /// Ranges whose calls are due, most urgent first.
  std::vector<DueRange> m_due;
  std::map<HoldCallId, Call> m_calls;
  std::uint64_t m_last_call = 0;
  std::size_t m_open_grants = 0;
  std::size_t m_open_releases = 0;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_PUSHED_HOLDS_H_
