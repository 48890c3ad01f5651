#ifndef FIGLUG_CORE_LINK_LINK_SCHEDULER_H_
#define FIGLUG_CORE_LINK_LINK_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "figlug/core/link/link_load.h"
#include "figlug/core/link/rate_meter.h"
#include "figlug/core/link/send_window.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief One large message on its way to a peer; unique within a process.
enum class TransferId : std::uint64_t {};
/// \brief A connection to or from a peer; unique within a process.
enum class LinkPeerId : std::uint64_t {};

/// \brief A large message to send.
struct Transfer {
  LinkPeerId m_peer{0};
  std::size_t m_bytes = 0;
  /// Transfers with lower values go first.
  std::uint32_t m_priority = 0;
  /// From here on, the message is of no use to the peer.
  Time m_deadline = kNever;
};

/// \brief The next part of a transfer.
struct Fragment {
  TransferId m_transfer{0};
  std::size_t m_bytes = 0;
  bool m_is_last = false;
};

/// \brief Decides when the parts of large messages are handed to the link of
/// this process's VM, which all its connections share.
///
/// A short message that is sent beside them waits for what is under way, so
/// that is kept to what the link needs to be busy. Peers acknowledge fragments
/// in the order in which they were sent.
///
/// What a round trip spends in queues is its excess over one of the idle link.
/// That is measured by draining the link: no fragment is sent until nothing is
/// under way, and the next one is then alone.
///
/// \code
/// scheduler.Add(id, {peer, bytes, priority, deadline});
/// while (auto fragment = scheduler.Next(now)) { Send(*fragment); }
/// scheduler.OnAck(now, peer);
/// \endcode
class LinkScheduler {
 public:
  void Add(TransferId id, const Transfer& transfer);
  /// \brief Forgets a transfer that is no longer needed; fragments that are
  /// under way stay so.
  void Remove(TransferId id);
  /// \brief Removes the transfers that cannot be complete by their deadline, as
  /// far as the link's rate is known. Reviews them a few times a second only.
  [[nodiscard]] std::vector<TransferId> TakeExpired(Time now);
  /// \brief The fragment to send now, which counts as sent.
  /// \returns Nothing while the window is full or nothing waits.
  [[nodiscard]] std::optional<Fragment> Next(Time now);
  /// \brief The peer has received the oldest fragment that it has not
  /// acknowledged yet.
  void OnAck(Time now, LinkPeerId peer);
  /// \brief Forgets a connection with all its transfers.
  void OnClosed(LinkPeerId peer);
  /// \brief When Next may return a fragment without a further acknowledgement.
  [[nodiscard]] Time NextDeadline() const;
  [[nodiscard]] LinkLoad Load(Time now) const;
  /// \brief Bytes under way to peers that do not stand still.
  [[nodiscard]] std::size_t InFlightBytes(Time now) const;
  [[nodiscard]] std::size_t window() const noexcept { return m_window.bytes(); }
  [[nodiscard]] std::size_t in_flight() const noexcept { return m_in_flight; }

 private:
  struct Sent {
    Time m_at{};
    std::size_t m_bytes = 0;
    /// Nothing was under way before it.
    bool m_is_alone = false;
    /// Under way while the peer stood still: its round trip shows nothing.
    bool m_was_stalled = false;
  };
  struct Peer {
    std::deque<Sent> m_in_flight;
    std::size_t m_in_flight_bytes = 0;
    /// Shortest round trips of the idle link, in the current and in the
    /// previous period.
    Duration m_shortest = Duration::max();
    Duration m_previous_shortest = Duration::max();
    Time m_period_start{};
    /// Nothing was acknowledged for long; its fragments do not count.
    bool m_is_stalled = false;
  };
  struct Waiting {
    Transfer m_transfer;
    std::size_t m_left = 0;
  };
  /// Order in which transfers are sent.
  struct Rank {
    std::uint32_t m_priority = 0;
    Time m_deadline{};
    TransferId m_id{0};

    auto operator<=>(const Rank&) const = default;
  };

  [[nodiscard]] static Rank RankOf(TransferId id,
                                   const Transfer& transfer) noexcept {
    return {transfer.m_priority, transfer.m_deadline, id};
  }
  [[nodiscard]] Duration StallTime() const noexcept;
  [[nodiscard]] std::size_t Limit() const noexcept;
  [[nodiscard]] bool HasToDrain(Time now, Peer& peer);
  [[nodiscard]] Duration IdleRoundTripOf(const Peer& peer) const;
  /// Whether a peer has acknowledged nothing for too long.
  [[nodiscard]] bool IsOverdue(Time now, const Peer& peer) const noexcept;
  void FindStalled(Time now);
  void ObserveRoundTrip(Time now, Peer& peer, const Sent& sent);

  SendWindow m_window;
  RateMeter m_rate;
  std::map<TransferId, Waiting> m_waiting;
  std::set<Rank> m_order;
  std::unordered_map<LinkPeerId, Peer> m_peers;
  /// Bytes under way to peers that are not stalled.
  std::size_t m_in_flight = 0;
  /// Bytes that wait or are under way, stalled peers included.
  std::size_t m_queued = 0;
  Duration m_smoothed_round_trip{};
  bool m_is_limiting = false;
  Time m_reviewed_at = Time::min();
  /// Until when the window may stay unused for a measurement.
  Time m_drain_end = kNever;
  Time m_no_drain_before{};
  /// From the first fragment after a drain until its acknowledgement.
  bool m_is_refilling = false;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_LINK_LINK_SCHEDULER_H_
