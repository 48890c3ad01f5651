#include "figlug/core/link/link_scheduler.h"

#include <algorithm>

namespace figlug::core {
namespace {

/// Time for which a shortest round trip counts as that of the idle link.
constexpr Duration kShortestPeriod = std::chrono::seconds(15);
/// A peer that acknowledges nothing for this time, and for several usual round
/// trips, stands still or is cut off; it must not keep the others waiting.
constexpr Duration kMinStallTime = std::chrono::milliseconds(300);
constexpr int kStallRoundTrips = 4;
constexpr int kRoundTripWeightDivisor = 8;
/// Longest time, in usual round trips, that the link drains for a measurement,
/// and shortest time between two.
constexpr int kDrainRoundTrips = 2;
constexpr int kDrainIntervalRoundTrips = 16;

constexpr Duration kReviewInterval = std::chrono::milliseconds(20);
constexpr double kMicrosPerSecond = 1e6;

// Zero if the rate is not known.
Duration SendTime(std::size_t bytes, double bytes_per_second) {
  if (bytes_per_second <= 0) {
    return Duration::zero();
  }
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(bytes) * kMicrosPerSecond / bytes_per_second));
}

}  // namespace

void LinkScheduler::Add(TransferId id, const Transfer& transfer) {
  m_waiting.emplace(id, Waiting{transfer, transfer.m_bytes});
  m_order.insert(RankOf(id, transfer));
  m_queued += transfer.m_bytes;
}

void LinkScheduler::Remove(TransferId id) {
  const auto it = m_waiting.find(id);
  if (it == m_waiting.end()) {
    return;
  }
  m_queued -= it->second.m_left;
  m_order.erase(RankOf(id, it->second.m_transfer));
  m_waiting.erase(it);
}

// What would be sent in part, or too late, only delays the rest: a link that is
// overloaded would deliver nothing in time.
std::vector<TransferId> LinkScheduler::TakeExpired(Time now) {
  std::vector<TransferId> expired;
  if (m_reviewed_at != Time::min() && now < m_reviewed_at + kReviewInterval) {
    return expired;
  }
  m_reviewed_at = now;
  const double rate = m_rate.BytesPerSecond(now);
  std::size_t ahead = m_in_flight;
  for (const Rank& rank : m_order) {
    const std::size_t left = m_waiting.at(rank.m_id).m_left;
    if (now + SendTime(ahead + left, rate) >= rank.m_deadline) {
      expired.push_back(rank.m_id);
    } else {
      ahead += left;
    }
  }
  std::ranges::sort(expired);
  std::ranges::for_each(expired, [&](TransferId id) { Remove(id); });
  return expired;
}

// One fragment is always allowed, as the window may be smaller than it.
std::optional<Fragment> LinkScheduler::Next(Time now) {
  FindStalled(now);
  for (const Rank& rank : m_order) {
    Waiting& waiting = m_waiting.at(rank.m_id);
    const std::size_t bytes = std::min(waiting.m_left, kFragmentBytes);
    Peer& peer = m_peers[waiting.m_transfer.m_peer];
    if (peer.m_is_stalled) {
      continue;
    }
    const bool is_full = m_in_flight > 0 && m_in_flight + bytes > Limit();
    if (is_full) {
      m_drain_end = kNever;
    }
    if (is_full || (m_in_flight > 0 && HasToDrain(now, peer))) {
      m_is_limiting = true;
      return std::nullopt;
    }
    if (m_in_flight == 0) {
      m_is_refilling = m_drain_end != kNever;
    }
    m_drain_end = kNever;
    peer.m_in_flight.push_back({now, bytes, m_in_flight == 0});
    peer.m_in_flight_bytes += bytes;
    m_in_flight += bytes;
    waiting.m_left -= bytes;
    const Fragment fragment{rank.m_id, bytes, waiting.m_left == 0};
    if (fragment.m_is_last) {
      m_waiting.erase(fragment.m_transfer);
      m_order.erase(rank);
    }
    return fragment;
  }
  m_is_limiting = false;
  m_drain_end = kNever;
  return std::nullopt;
}

void LinkScheduler::OnAck(Time now, LinkPeerId id) {
  const auto it = m_peers.find(id);
  if (it == m_peers.end() || it->second.m_in_flight.empty()) {
    return;
  }
  Peer& peer = it->second;
  const Sent sent = peer.m_in_flight.front();
  peer.m_in_flight.pop_front();
  peer.m_in_flight_bytes -= sent.m_bytes;
  m_queued -= sent.m_bytes;
  if (peer.m_is_stalled) {
    // It counts again.
    m_rate.OnArrived(now, sent.m_bytes, false);
    peer.m_is_stalled = false;
    m_in_flight += peer.m_in_flight_bytes;
    for (Sent& other : peer.m_in_flight) {
      other.m_at = now;
      other.m_was_stalled = true;
    }
    return;
  }
  m_in_flight -= sent.m_bytes;
  if (sent.m_was_stalled) {
    m_rate.OnArrived(now, sent.m_bytes, false);
    return;
  }
  const Duration round_trip = now - sent.m_at;
  ObserveRoundTrip(now, peer, sent);
  const Duration queueing =
      std::max(round_trip - IdleRoundTripOf(peer), Duration::zero());
  m_window.OnAck(now, {sent.m_bytes, queueing, round_trip, m_is_limiting});
  m_rate.OnArrived(now, sent.m_bytes, m_is_limiting);
}

// While the link is full, a round trip contains the queue that the window is to
// limit: learned from such ones, the idle round trip would grow with the
// window, and the window with it. They can only show that it is shorter.
void LinkScheduler::ObserveRoundTrip(Time now, Peer& peer, const Sent& sent) {
  const Duration round_trip = now - sent.m_at;
  if (now >= peer.m_period_start + kShortestPeriod) {
    peer.m_period_start = now;
    peer.m_previous_shortest = peer.m_shortest;
    peer.m_shortest = Duration::max();
  }
  const Duration known = std::min(peer.m_shortest, peer.m_previous_shortest);
  if (sent.m_is_alone || (known != Duration::max() && round_trip < known)) {
    peer.m_shortest = std::min(peer.m_shortest, round_trip);
  }
  if (sent.m_is_alone) {
    m_is_refilling = false;
    m_no_drain_before = now + kDrainIntervalRoundTrips * round_trip;
  }
  m_smoothed_round_trip +=
      (round_trip - m_smoothed_round_trip) / kRoundTripWeightDivisor;
}

// A whole window that is sent at once to an empty link would all stand in its
// queue, as nothing of it is on the way back yet.
std::size_t LinkScheduler::Limit() const noexcept {
  return m_is_refilling ? m_window.bytes() / 2 : m_window.bytes();
}

// A peer that was not measured yet counts as near as the nearest, which keeps
// the window small rather than large.
Duration LinkScheduler::IdleRoundTripOf(const Peer& peer) const {
  const auto shortest = [](const Peer& of) {
    return std::min(of.m_shortest, of.m_previous_shortest);
  };
  Duration idle = shortest(peer);
  if (idle == Duration::max()) {
    for (const auto& [id, other] : m_peers) {
      idle = std::min(idle, shortest(other));
    }
  }
  return idle;
}

// A peer whose idle round trip is not known in this period gets its next
// fragment while nothing is under way. The time in which the link then stands
// idle, a round trip without queue, is bounded by the interval.
bool LinkScheduler::HasToDrain(Time now, Peer& peer) {
  const bool is_known = peer.m_shortest != Duration::max() &&
                        now < peer.m_period_start + kShortestPeriod;
  if (is_known || now < m_no_drain_before) {
    m_drain_end = kNever;
    return false;
  }
  if (m_drain_end == kNever) {
    m_drain_end = now + kDrainRoundTrips * m_smoothed_round_trip;
  }
  if (now >= m_drain_end) {
    m_drain_end = kNever;
    m_no_drain_before = now + kDrainIntervalRoundTrips * m_smoothed_round_trip;
    return false;
  }
  return true;
}

void LinkScheduler::OnClosed(LinkPeerId id) {
  std::vector<TransferId> ended;
  for (const auto& [transfer, waiting] : m_waiting) {
    if (waiting.m_transfer.m_peer == id) {
      ended.push_back(transfer);
    }
  }
  std::ranges::for_each(ended, [&](TransferId transfer) { Remove(transfer); });
  const auto it = m_peers.find(id);
  if (it == m_peers.end()) {
    return;
  }
  m_queued -= it->second.m_in_flight_bytes;
  if (!it->second.m_is_stalled) {
    m_in_flight -= it->second.m_in_flight_bytes;
  }
  m_peers.erase(it);
}

Duration LinkScheduler::StallTime() const noexcept {
  return std::max(kMinStallTime, kStallRoundTrips * m_smoothed_round_trip);
}

bool LinkScheduler::IsOverdue(Time now, const Peer& peer) const noexcept {
  return !peer.m_in_flight.empty() &&
         now >= peer.m_in_flight.front().m_at + StallTime();
}

void LinkScheduler::FindStalled(Time now) {
  for (auto& [id, peer] : m_peers) {
    if (!peer.m_is_stalled && IsOverdue(now, peer)) {
      peer.m_is_stalled = true;
      m_in_flight -= peer.m_in_flight_bytes;
    }
  }
}

Time LinkScheduler::NextDeadline() const {
  if (m_waiting.empty()) {
    return kNever;
  }
  const Time next_review = m_reviewed_at == Time::min()
                               ? m_reviewed_at
                               : m_reviewed_at + kReviewInterval;
  Time next = m_drain_end;
  for (const auto& [id, waiting] : m_waiting) {
    next = std::min(next, std::max(waiting.m_transfer.m_deadline, next_review));
  }
  for (const auto& [id, peer] : m_peers) {
    if (!peer.m_is_stalled && !peer.m_in_flight.empty()) {
      next = std::min(next, peer.m_in_flight.front().m_at + StallTime());
    }
  }
  return next;
}

std::size_t LinkScheduler::InFlightBytes(Time now) const {
  std::size_t bytes = 0;
  for (const auto& [id, peer] : m_peers) {
    if (!peer.m_is_stalled && !IsOverdue(now, peer)) {
      bytes += peer.m_in_flight_bytes;
    }
  }
  return bytes;
}

LinkLoad LinkScheduler::Load(Time now) const {
  return {m_queued, m_rate.BytesPerSecond(now)};
}

}  // namespace figlug::core
