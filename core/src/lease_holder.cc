#include "figlug/core/lease_holder.h"

#include <algorithm>
#include <functional>

namespace figlug::core {
namespace {

LeaseHolder::WatcherSet MakeSet(Time now,
                                Generation generation,
                                std::span<const MemberId> watchers) {
  LeaseHolder::WatcherSet set{.m_generation = generation, .m_created_at = now};
  for (MemberId watcher : watchers) {
    set.m_watcher_acks[watcher] = {};
  }
  return set;
}

}  // namespace

// A proposed set keeps the acknowledgements counted so far when the log
// confirms it, so that the lease stays valid without a gap.
void LeaseHolder::Confirm(Time now,
                          Generation generation,
                          std::span<const MemberId> watchers) {
  const auto it =
      std::ranges::find(m_sets, generation, &WatcherSet::m_generation);
  WatcherSet confirmed =
      it == m_sets.end() ? MakeSet(now, generation, watchers) : std::move(*it);
  m_sets.clear();
  m_sets.push_back(std::move(confirmed));
}

void LeaseHolder::Propose(Time now,
                          Generation generation,
                          std::span<const MemberId> watchers) {
  m_sets.push_back(MakeSet(now, generation, watchers));
}

void LeaseHolder::OnAck(Time now,
                        MemberId watcher,
                        Generation generation,
                        Time sent_at,
                        bool is_pledge) {
  if (sent_at > now) {
    return;
  }
  for (WatcherSet& set : m_sets) {
    const auto it = set.m_watcher_acks.find(watcher);
    if (set.m_generation != generation || it == set.m_watcher_acks.end()) {
      continue;
    }
    AckTimes& ack_times = it->second;
    ack_times.m_last_acked = std::max(ack_times.m_last_acked, sent_at);
    if (is_pledge) {
      ack_times.m_last_pledged = std::max(ack_times.m_last_pledged, sent_at);
    }
  }
}

bool LeaseHolder::IsValid(Time now) const noexcept {
  return HasMajority(now, &AckTimes::m_last_pledged);
}

bool LeaseHolder::IsAcknowledgedByMajority(Time now) const noexcept {
  return HasMajority(now, &AckTimes::m_last_acked);
}

// A member without watchers is the only member, so nobody can vote to remove
// it.
bool LeaseHolder::HasMajority(Time now, Time AckTimes::*kind) const noexcept {
  const auto has_majority = [&](const WatcherSet& set) {
    const auto fresh =
        std::ranges::count_if(set.m_watcher_acks, [&](const auto& entry) {
          const Time sent_at = entry.second.*kind;
          return sent_at != Time::min() &&
                 now < sent_at + m_timing.m_lease_duration;
        });
    return set.m_watcher_acks.empty() ||
           static_cast<std::size_t>(fresh) * 2 > set.m_watcher_acks.size();
  };
  return !m_sets.empty() && std::ranges::all_of(m_sets, has_majority);
}

// The lease expires when the oldest pledge of the newest majority expires: in
// descending order that is the pledge at index size / 2. Without watchers
// nobody can vote, but a watcher that is chosen next may do so one pledge
// duration after the first heartbeat to it.
Duration LeaseHolder::RemainingTime(Time now) const {
  if (!IsValid(now)) {
    return Duration::zero();
  }
  Duration remaining = m_timing.m_lease_duration;
  for (const WatcherSet& set : m_sets) {
    std::vector<Time> pledged;
    for (const auto& [watcher, ack_times] : set.m_watcher_acks) {
      pledged.push_back(ack_times.m_last_pledged);
    }
    if (pledged.empty()) {
      continue;
    }
    std::ranges::sort(pledged, std::greater<>());
    const Time oldest_needed = pledged[pledged.size() / 2];
    remaining =
        std::min(remaining, oldest_needed + m_timing.m_lease_duration - now);
  }
  return remaining;
}

std::vector<MemberId> LeaseHolder::SilentWatchers(Time now) const {
  std::vector<MemberId> silent;
  if (m_sets.empty()) {
    return silent;
  }
  const WatcherSet& set = m_sets.front();
  for (const auto& [watcher, ack_times] : set.m_watcher_acks) {
    const Time last_contact =
        std::max(ack_times.m_last_acked, set.m_created_at);
    if (now > last_contact + m_timing.m_watcher_silence_timeout) {
      silent.push_back(watcher);
    }
  }
  return silent;
}

}  // namespace figlug::core
