#ifndef FIGLUG_CORE_MEMBERSHIP_SUSPICIONS_H_
#define FIGLUG_CORE_MEMBERSHIP_SUSPICIONS_H_

#include <map>
#include <optional>
#include <vector>

#include "figlug/core/control_state.h"
#include "figlug/core/ids.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Follows the suspicions in the log: refutes those of this member, and
/// removes the members that have left theirs unanswered.
///
/// A member promises to stop once it has not known for its *log lease* that the
/// log holds no unanswered suspicion of it. So it has stopped when a process
/// has seen the suspicion for longer than that.
///
/// \code
/// if (auto answer = suspicions.DueRefutation(self, state)) Append(*answer);
/// for (const auto& removal : suspicions.DueRemovals(now, self, state))
///   Append(removal);
/// \endcode
class Suspicions {
 public:
  /// \brief The answer to a suspicion of this member, returned once.
  [[nodiscard]] std::optional<RefutationRecord> DueRefutation(
      MemberId self,
      const ControlState& state);
  /// \brief Removals that are due now, each returned once: the caller repeats
  /// the append until the record is in the log.
  [[nodiscard]] std::vector<RemovalRecord>
  DueRemovals(Time now, MemberId self, const ControlState& state);
  /// \brief The log may have been restored from a copy. Members may rely on
  /// records that it has lost, until their log leases have expired.
  void OnRestored();

 private:
  struct Suspicion {
    Position m_position = 0;
    /// When this process saw it.
    Time m_seen_at{};
    bool m_is_removal_due = true;
  };

  void Follow(Time now, const ControlState& state);

  std::map<MemberId, Suspicion> m_suspicions;
  Position m_refuted = 0;
};

/// \brief Time after which a member has stopped that promises to do so within a
/// log lease by its own clock.
[[nodiscard]] Duration LongestLogLease(Duration log_lease);
/// \brief Time that one read of the log waits for records. What a member knows
/// of the log is as old as the read, so that a short log lease needs short
/// ones.
[[nodiscard]] Duration LogReadWait(Duration log_lease);

}  // namespace figlug::core

#endif  // FIGLUG_CORE_MEMBERSHIP_SUSPICIONS_H_
