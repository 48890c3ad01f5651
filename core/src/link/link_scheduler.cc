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

std::vector<TransferId> LinkScheduler::TakeExpired(Time now) {
  std::vector<TransferId> expired;
  for (const auto& [id, waiting] : m_waiting) {
    if (now >= waiting.m_transfer.m_deadline) {
      expired.push_back(id);
    }
  }
  std::ranges::for_each(expired, [&](TransferId id) { Remove(id); });
  return expired;
}

// One fragment is always allowed, as the window may be smaller than it.
std::optional<Fragment> LinkScheduler::Next(Time now) {
  FindStalled(now);
  for (const Rank& rank : m_order) {
    Waiting& waiting = m_waiting.at(rank.m_id);
    const std::size_t bytes = std::min(waiting.m_left, kFragmentBytes);
    if (m_in_flight > 0 && m_in_flight + bytes > m_window.bytes()) {
      m_is_limiting = true;
      return std::nullopt;
    }
    Peer& peer = m_peers[waiting.m_transfer.m_peer];
    if (peer.m_is_stalled) {
      continue;
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
  ObserveRoundTrip(now, peer, round_trip);
  const Duration shortest = std::min(peer.m_shortest, peer.m_previous_shortest);
  m_window.OnAck(
      now, {sent.m_bytes, round_trip - shortest, round_trip, m_is_limiting});
  m_rate.OnArrived(now, sent.m_bytes, m_is_limiting);
}

void LinkScheduler::ObserveRoundTrip(Time now,
                                     Peer& peer,
                                     Duration round_trip) {
  if (now >= peer.m_period_start + kShortestPeriod) {
    peer.m_period_start = now;
    peer.m_previous_shortest = peer.m_shortest;
    peer.m_shortest = Duration::max();
  }
  peer.m_shortest = std::min(peer.m_shortest, round_trip);
  m_smoothed_round_trip +=
      (round_trip - m_smoothed_round_trip) / kRoundTripWeightDivisor;
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

void LinkScheduler::FindStalled(Time now) {
  for (auto& [id, peer] : m_peers) {
    if (!peer.m_is_stalled && !peer.m_in_flight.empty() &&
        now >= peer.m_in_flight.front().m_at + StallTime()) {
      peer.m_is_stalled = true;
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
