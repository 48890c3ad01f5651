#ifndef FIGLUG_CORE_LEASE_HOLDER_H_
#define FIGLUG_CORE_LEASE_HOLDER_H_

#include <map>
#include <span>
#include <vector>

#include "figlug/core/ids.h"
#include "figlug/core/lease_timing.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief A member's own side of its lease.
///
/// The lease holds while a majority of the current watcher set, and of a
/// proposed one, has acknowledged heartbeats that are not older than the lease.
///
/// \code
/// holder.Confirm(now, 1, watchers);
/// holder.OnAck(watcher, 1, sent_at);
/// if (holder.IsValid(now)) Dispatch();
/// \endcode
class LeaseHolder {
 public:
  explicit LeaseHolder(const LeaseTiming& timing) : m_timing(timing) {}

  /// \brief Takes the watcher set that the log has confirmed.
  void Confirm(Time now, Generation generation, std::span<const MemberId> set);
  /// \brief Adds a set whose record may or may not take effect.
  void Propose(Time now, Generation generation, std::span<const MemberId> set);
  /// \brief Counts an acknowledgement of a heartbeat sent at `sent_at`.
  void OnAck(Time now,
             MemberId watcher,
             Generation generation,
             Time sent_at,
             bool is_pledge);
  /// \brief Tells whether this member may admit work at `now`.
  [[nodiscard]] bool IsValid(Time now) const noexcept;
  /// \brief Time for which the lease still holds; zero when it does not.
  /// \param most Bound for a member that nobody watches.
  [[nodiscard]] Duration RemainingTime(Time now, Duration most) const;
  /// \brief Tells whether this member's own word may hold up others' leases:
  /// a majority has acknowledged it, pledge or not.
  [[nodiscard]] bool IsAcknowledgedByMajority(Time now) const noexcept;
  /// \brief Watchers silent for longer than the timing allows.
  [[nodiscard]] std::vector<MemberId> SilentWatchers(Time now) const;

  /// \brief Send times of the newest heartbeats that a watcher answered.
  struct AckTimes {
    Time m_last_acked = Time::min();
    Time m_last_pledged = Time::min();
  };
  /// \brief One watcher set with its acknowledgements.
  struct WatcherSet {
    Generation m_generation = 0;
    Time m_created_at{};
    std::map<MemberId, AckTimes> m_watcher_acks;
  };
  /// \brief The confirmed set and, while one is proposed, a second.
  [[nodiscard]] std::span<const WatcherSet> watcher_sets() const noexcept {
    return m_sets;
  }
  [[nodiscard]] bool has_proposal() const noexcept { return m_sets.size() > 1; }

 private:
  [[nodiscard]] bool HasMajority(Time now, Time AckTimes::*kind) const noexcept;

  LeaseTiming m_timing;
  std::vector<WatcherSet> m_sets;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_LEASE_HOLDER_H_
