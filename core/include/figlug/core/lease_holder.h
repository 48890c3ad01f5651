#ifndef FIGLUG_CORE_LEASE_HOLDER_H_
#define FIGLUG_CORE_LEASE_HOLDER_H_

#include <map>
#include <span>
#include <vector>

#include "figlug/core/ids.h"
#include "figlug/core/lease_timing.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Tracks the validity of this member's own lease.
///
/// The lease is valid while a majority of the confirmed watcher set, and of the
/// proposed set if there is one, has pledged in reply to heartbeats sent less
/// than one lease duration ago.
///
/// \code
/// holder.Confirm(now, 1, watchers);
/// holder.OnAck(now, watcher, 1, sent_at, true);
/// if (holder.IsValid(now)) Dispatch();
/// \endcode
class LeaseHolder {
 public:
  explicit LeaseHolder(const LeaseTiming& timing) : m_timing(timing) {}

  /// \brief Replaces all sets by the watcher set that the log has confirmed.
  void Confirm(Time now,
               Generation generation,
               std::span<const MemberId> watchers);
  /// \brief Adds a watcher set whose record may still be rejected.
  void Propose(Time now,
               Generation generation,
               std::span<const MemberId> watchers);
  /// \brief Counts an acknowledgement of a heartbeat sent at `sent_at`.
  /// \param is_pledge Whether the watcher also pledged not to vote for now.
  void OnAck(Time now,
             MemberId watcher,
             Generation generation,
             Time sent_at,
             bool is_pledge);
  /// \brief Whether this member may admit requests at `now`.
  [[nodiscard]] bool IsValid(Time now) const noexcept;
  /// \brief Time for which no other member can take over what this one holds:
  /// one lease duration at most, and zero when the lease is not valid.
  [[nodiscard]] Duration RemainingTime(Time now) const;
  /// \brief Whether a majority of the watchers has acknowledged this member
  /// recently, with or without a pledge. Only then may this member's own
  /// acknowledgements count as pledges for the leases of others.
  [[nodiscard]] bool IsAcknowledgedByMajority(Time now) const noexcept;
  /// \brief Watchers that have not acknowledged a heartbeat within
  /// `LeaseTiming::m_watcher_silence_timeout`.
  [[nodiscard]] std::vector<MemberId> SilentWatchers(Time now) const;

  /// \brief Send times of the newest heartbeats that a watcher acknowledged,
  /// and of the newest that it acknowledged with a pledge.
  struct AckTimes {
    Time m_last_acked = Time::min();
    Time m_last_pledged = Time::min();
  };
  /// \brief A watcher set with the acknowledgements received from it.
  struct WatcherSet {
    Generation m_generation = 0;
    Time m_created_at{};
    std::map<MemberId, AckTimes> m_watcher_acks;
  };
  /// \brief The confirmed set, followed by the proposed one if there is one.
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
