#include "figlug/core/link/link_scheduler.h"

#include <algorithm>

namespace figlug::core {
namespace {

/// Time for which a round trip counts as that of the idle link.
constexpr Duration kMeasurementPeriod = std::chrono::seconds(60);
/// A peer that acknowledges nothing for this time, and for several usual round
/// trips, stands still or is cut off; it must not keep the others waiting.
constexpr Duration kMinStallTime = std::chrono::milliseconds(300);
constexpr int kStallRoundTrips = 4;
constexpr int kRoundTripWeightDivisor = 8;
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

// One fragment is always allowed, as the window may be smaller than it. Each
// peer's first one is sent alone: on a link that is never idle, the queue would
// otherwise count as part of the round trip, and the window would grow by as
// much again.
std::optional<Fragment> LinkScheduler::Next(Time now) {
  FindStalled(now);
  for (const Rank& rank : m_order) {
    Waiting& waiting = m_waiting.at(rank.m_id);
    const LinkPeerId id = waiting.m_transfer.m_peer;
    Peer& peer = m_peers[id];
    if (peer.m_is_stalled) {
      continue;
    }
    const std::size_t bytes = std::min(waiting.m_left, kFragmentBytes);
    const bool is_unmeasured = IsUnmeasured(now, peer);
    if (m_measuring ||
        (m_in_flight > 0 &&
         (is_unmeasured || m_in_flight + bytes > m_window.bytes()))) {
      m_is_limiting = true;
      return std::nullopt;
    }
    if (is_unmeasured) {
      m_measuring = id;
    }
    peer.m_in_flight.push_back({now, bytes});
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
  return std::nullopt;
}

bool LinkScheduler::IsUnmeasured(Time now, const Peer& peer) noexcept {
  return !peer.m_idle_round_trip ||
         now >= peer.m_measured_at + kMeasurementPeriod;
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
    // It counts again; its round trip says nothing about the link.
    peer.m_is_stalled = false;
    m_in_flight += peer.m_in_flight_bytes;
    for (Sent& other : peer.m_in_flight) {
      other.m_at = now;
    }
    return;
  }
  m_in_flight -= sent.m_bytes;
  const Duration round_trip = now - sent.m_at;
  m_smoothed_round_trip +=
      (round_trip - m_smoothed_round_trip) / kRoundTripWeightDivisor;
  m_rate.OnArrived(now, sent.m_bytes, m_is_limiting);
  if (m_measuring == id) {
    m_measuring.reset();
    peer.m_idle_round_trip = round_trip;
    peer.m_measured_at = now;
    return;
  }
  const Duration idle =
      std::min(peer.m_idle_round_trip.value_or(round_trip), round_trip);
  peer.m_idle_round_trip = idle;
  m_window.OnAck(now,
                 {sent.m_bytes, round_trip - idle, round_trip, m_is_limiting});
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
  if (m_measuring == id) {
    m_measuring.reset();
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

void LinkScheduler::FindStalled(Time now) {
  for (auto& [id, peer] : m_peers) {
    if (!peer.m_is_stalled && !peer.m_in_flight.empty() &&
        now >= peer.m_in_flight.front().m_at + StallTime()) {
      peer.m_is_stalled = true;
      if (m_measuring == id) {
        m_measuring.reset();
      }
      m_in_flight -= peer.m_in_flight_bytes;
    }
  }
}

Time LinkScheduler::NextDeadline() const {
  Time next = kNever;
  if (m_waiting.empty()) {
    return next;
  }
  for (const auto& [id, waiting] : m_waiting) {
    next = std::min(next, waiting.m_transfer.m_deadline);
  }
  for (const auto& [id, peer] : m_peers) {
    if (!peer.m_is_stalled && !peer.m_in_flight.empty()) {
      next = std::min(next, peer.m_in_flight.front().m_at + StallTime());
    }
  }
  return next;
}

LinkLoad LinkScheduler::Load(Time now) const {
  return {m_queued, m_rate.BytesPerSecond(now)};
}

}  // namespace figlug::core
