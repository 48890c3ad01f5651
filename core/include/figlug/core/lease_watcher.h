#ifndef FIGLUG_CORE_LEASE_WATCHER_H_
#define FIGLUG_CORE_LEASE_WATCHER_H_

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "figlug/core/control_state.h"
#include "figlug/core/ids.h"
#include "figlug/core/lease_timing.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Acknowledges the heartbeats of the members that this member watches
/// and votes to remove those that have fallen silent.
///
/// An acknowledgement pledges that this watcher does not vote before the pledge
/// expires. Once it has decided to vote, it never acknowledges a heartbeat of
/// that generation again.
///
/// \code
/// if (watcher.OnHeartbeat(now, member, generation)) SendAck();
/// for (const VoteRecord& vote : watcher.DueVotes(now, self, state))
///   Append(vote);
/// \endcode
class LeaseWatcher {
 public:
  explicit LeaseWatcher(const LeaseTiming& timing) : m_timing(timing) {}

  /// \brief Extends the pledge to a member that sent a heartbeat.
  /// \returns Whether the heartbeat may be acknowledged.
  [[nodiscard]] bool OnHeartbeat(Time now,
                                 MemberId member,
                                 Generation generation);
  /// \brief Own votes that are due now. Each is returned only once: the caller
  /// repeats the append until the record is in the log.
  [[nodiscard]] std::vector<VoteRecord> DueVotes(Time now,
                                                 MemberId self,
                                                 const ControlState& state);
  /// \brief Votes that are due now on behalf of removed watchers, each returned
  /// once.
  [[nodiscard]] std::vector<VoteRecord>
  DueSubstituteVotes(Time now, MemberId self, const ControlState& state);
  /// \brief Makes the votes that the control state lacks due again, because the
  /// log may have lost them.
  void RepeatVotes();
  /// \brief Extends all pledges after a pause of this process, since heartbeats
  /// may have arrived that are not read yet.
  void OnResumed(Time now);

 private:
  struct Pledge {
    Time m_until{};
    bool m_voted = false;
    /// Whether the vote is due again.
    bool m_repeats_vote = false;
  };
  using Subject = std::pair<MemberId, Generation>;

  void PrunePledges(Time now, const ControlState& state);

  LeaseTiming m_timing;
  std::map<Subject, Pledge> m_pledges;
  /// When this member first saw that a watcher had been removed.
  std::map<MemberId, Time> m_removed_since;
  /// Subject and watcher of the substitute votes already returned.
  std::set<std::pair<MemberId, MemberId>> m_substitute_votes;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_LEASE_WATCHER_H_
