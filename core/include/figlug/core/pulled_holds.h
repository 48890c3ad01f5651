#ifndef FIGLUG_CORE_PULLED_HOLDS_H_
#define FIGLUG_CORE_PULLED_HOLDS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "figlug/core/action.h"
#include "figlug/core/control_state.h"
#include "figlug/core/hold_context.h"
#include "figlug/core/ownership.h"
#include "figlug/core/target_report.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Tracks the slices that the local target may hold, where the target
/// asks for them: the reply to each of its reports names all of them.
///
/// \code
/// holds.OnReport(now, report, slices);
/// HoldGrant grant = holds.Grant(now, context);
/// if (!holds.MayHold(now, slice)) Release(slice);
/// \endcode
class PulledHolds {
 public:
  /// \param now Start of this process. Until the first report, the target may
  /// hold any slices that a predecessor of this process granted.
  /// \param max_hold Longest hold that a target accepts.
  PulledHolds(Time now, Duration max_hold)
      : m_max_hold(max_hold), m_unknown_until(now + max_hold) {}

  /// \brief Updates the slices that the target holds and has released.
  void OnReport(Time now, const TargetReport& report, SliceIndex slices);
  /// \brief Clears all holds, because the target's process has stopped.
  void OnTargetEnded();
  /// \brief Stores the handover token that a previous holder's target issued.
  void OnHandover(SliceIndex slice, std::string token);
  /// \brief Handover token of a slice that the target has released; empty if
  /// there is none.
  [[nodiscard]] const std::string& HandoverOf(SliceIndex slice) const;

  /// \brief The target has refused work of a slice because it does not hold it.
  /// The slice is not usable until a report says that it is held.
  void OnRejected(Time now, SliceIndex slice);

  /// \brief Decides which slices the target may hold from now on.
  [[nodiscard]] HoldGrant Grant(Time now, const HoldContext& context);
  /// \brief Nothing is sent to the target: it asks.
  void Review(Time, const HoldContext&, Actions&) {}
  void OnOwnershipChanged() {}
  void OnDisconnected() {}
  [[nodiscard]] std::optional<HoldEvent> OnResult(Time,
                                                  HoldCallId,
                                                  const HoldAnswer&) {
    return std::nullopt;
  }
  /// \brief Returns whether the target may still hold a slice.
  [[nodiscard]] bool MayHold(Time now, SliceIndex slice) const;
  /// \brief Returns whether the target accepts requests for a slice now.
  [[nodiscard]] bool IsUsable(Time now, SliceIndex slice) const;

 private:
  struct Slice {
    bool m_is_held = false;
    /// Latest end of the last grant, if the target's clock is slow.
    Time m_held_until{};
    /// Earliest end of the last grant, if the target's clock is fast.
    Time m_usable_until{};
    std::string m_handover;
    /// Whether the target has refused work of the slice since its last report.
    bool m_is_rejected = false;
  };
  struct SliceRange {
    SliceIndex m_first = 0;
    SliceIndex m_last = 0;
    Position m_fence = 0;
    std::string m_handover;
    bool m_is_held = false;
  };

  [[nodiscard]] std::vector<SliceRange>
  CollectRanges(Time now, const Ownership& ownership, SliceIndex slices) const;
  /// \brief Drops the ranges that do not fit into one reply.
  static void TrimToReplySize(std::vector<SliceRange>& ranges);

  Duration m_max_hold;
  Time m_unknown_until;
  /// Resized by the first report, handover or grant.
  std::vector<Slice> m_slices;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_PULLED_HOLDS_H_
