#ifndef FIGLUG_CORE_TARGET_HOLDS_H_
#define FIGLUG_CORE_TARGET_HOLDS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "figlug/core/control_state.h"

#include "figlug/core/ownership.h"
#include "figlug/core/target_report.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief The slices that the target beside this process may hold.
///
/// \code
/// holds.OnReport(now, report, slices);
/// HoldGrant grant = holds.Grant(now, ownership, slices, lease_left);
/// if (!holds.MayHold(now, slice)) Release(slice);
/// \endcode
class TargetHolds {
 public:
  /// \param now Start of this process: until the first report the target may
  /// hold whatever a predecessor of this process granted.
  /// \param most_hold Longest hold that a target accepts.
  TargetHolds(Time now, Duration most_hold)
      : m_most_hold(most_hold), m_unknown_until(now + most_hold) {}

  /// \brief Takes over what the target holds and has let go of.
  void OnReport(Time now, const TargetReport& report, SliceIndex slices);
  /// \brief The target's process has ended and holds nothing.
  void OnTargetEnded();
  /// \brief Keeps the token that a former holder's target gave.
  void OnHandover(SliceIndex slice, std::string token);
  /// \brief The token for a slice that the target has let go of; empty for
  /// none.
  [[nodiscard]] const std::string& HandoverOf(SliceIndex slice) const;

  /// \brief Decides what the target may hold from now on.
  /// \param lease_left Time for which no other process can own these slices.
  [[nodiscard]] HoldGrant Grant(Time now,
                                const Ownership& ownership,
                                SliceIndex slices,
                                Duration lease_left);
  /// \brief Tells whether the target may still hold a slice.
  [[nodiscard]] bool MayHold(Time now, SliceIndex slice) const;
  /// \brief Tells whether the target accepts requests of a slice now.
  [[nodiscard]] bool IsUsable(Time now, SliceIndex slice) const;

 private:
  struct Slice {
    bool m_is_held = false;
    /// End of the last grant by the target's clock at its slowest.
    Time m_ends{};
    /// End of the last grant by the target's clock at its fastest.
    Time m_usable_until{};
    std::string m_handover;
  };
  struct Row {
    SliceIndex m_first = 0;
    SliceIndex m_last = 0;
    Offset m_fence = 0;
    std::string m_handover;
    bool m_is_held = false;
  };

  [[nodiscard]] std::vector<Row> CollectRows(Time now,
                                             const Ownership& ownership,
                                             SliceIndex slices) const;
  static void Fit(std::vector<Row>& rows);

  Duration m_most_hold;
  Time m_unknown_until;
  /// Sized with the first report of a target that holds keys.
  std::vector<Slice> m_slices;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_TARGET_HOLDS_H_
