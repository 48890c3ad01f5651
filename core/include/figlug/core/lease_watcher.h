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

/// \brief A watcher's side of the leases of the members it watches.
///
/// An acknowledgement pledges that no vote is cast before the pledge ends. A
/// watcher that has decided to vote never acknowledges that generation again.
///
/// \code
/// if (watcher.OnHeartbeat(now, member, generation)) SendAck();
/// for (const VoteRecord& vote : watcher.DueVotes(now, self, state))
/// Append(vote); \endcode
class LeaseWatcher {
 public:
  explicit LeaseWatcher(const LeaseTiming& timing) : m_timing(timing) {}

  /// \brief Decides whether a heartbeat is acknowledged.
  [[nodiscard]] bool OnHeartbeat(Time now,
                                 MemberId member,
                                 Generation generation);
  /// \brief Votes to cast now, each returned at every call until it is void.
  [[nodiscard]] std::vector<VoteRecord> DueVotes(Time now,
                                                 MemberId self,
                                                 const ControlState& state);
  /// \brief Votes to cast now for watchers that are gone.
  [[nodiscard]] std::vector<VoteRecord>
  DueSubstituteVotes(Time now, MemberId self, const ControlState& state);
  /// \brief This process did not run for a while: heartbeats may wait unread.
  void OnResumed(Time now);

 private:
  struct Pledge {
    Time m_until{};
    bool m_voted = false;
  };
  using Subject = std::pair<MemberId, Generation>;

  void PrunePledges(Time now, const ControlState& state);

  LeaseTiming m_timing;
  std::map<Subject, Pledge> m_pledges;
  /// When each gone watcher was first seen to be gone.
  std::map<MemberId, Time> m_removed_since;
  /// Substitute votes already cast, by subject and watcher.
  std::set<std::pair<MemberId, MemberId>> m_substitute_votes;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_LEASE_WATCHER_H_
