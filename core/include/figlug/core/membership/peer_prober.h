#ifndef FIGLUG_CORE_MEMBERSHIP_PEER_PROBER_H_
#define FIGLUG_CORE_MEMBERSHIP_PEER_PROBER_H_

#include <cstddef>
#include <map>
#include <vector>

#include "figlug/core/control_state.h"
#include "figlug/core/ids.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Finds members that do not respond and that no vote can remove.
///
/// The members form a ring in the order of their ids, and each probes the one
/// after it. While that one is silent it probes those behind it too, so that
/// every silent member is found as long as one process lives.
///
/// \code
/// for (MemberId id : prober.DueProbes(now, self, state)) SendProbe(id);
/// prober.OnContact(id);
/// for (MemberId id : prober.DueSuspects(now, self, state)) Suspect(id);
/// \endcode
class PeerProber {
 public:
  /// \brief Members to be probed now.
  [[nodiscard]] std::vector<MemberId> DueProbes(Time now,
                                                MemberId self,
                                                const ControlState& state);
  /// \brief A member has replied to a probe, or sent anything else.
  void OnContact(MemberId member);
  /// \brief Replies may have arrived that are not read yet, because this
  /// process was paused.
  void OnResumed();
  /// \brief Silent members that are not suspected yet and that their watchers
  /// cannot vote down. Each is returned once in a while.
  [[nodiscard]] std::vector<MemberId> DueSuspects(Time now,
                                                  MemberId self,
                                                  const ControlState& state);

 private:
  struct Probed {
    std::size_t m_unanswered = 0;
    /// When the member was last suspected, by this process or another.
    Time m_suspected_at = Time::min();
  };

  [[nodiscard]] bool IsSilent(MemberId member) const;
  [[nodiscard]] bool MayVote(MemberId watcher,
                             const Member& subject,
                             const ControlState& state) const;
  [[nodiscard]] bool CanBeVotedDown(const Member& member,
                                    const ControlState& state) const;
  void AdjustWindow(const std::vector<MemberId>& successors);

  std::map<MemberId, Probed> m_probed;
  /// Number of successors that are probed.
  std::size_t m_window = 1;
  Time m_next_round = Time::min();
  /// Whether replies to the last round are awaited.
  bool m_is_waiting = false;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_MEMBERSHIP_PEER_PROBER_H_
