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

// Acknowledgements already counted for a proposal stay with it when the log
// confirms it, so that the lease has no gap.
void LeaseHolder::Confirm(Time now,
                          Generation generation,
                          std::span<const MemberId> set) {
  const auto it =
      std::ranges::find(m_sets, generation, &WatcherSet::m_generation);
  WatcherSet adopted =
      it == m_sets.end() ? MakeSet(now, generation, set) : std::move(*it);
  m_sets.clear();
  m_sets.push_back(std::move(adopted));
}

void LeaseHolder::Propose(Time now,
                          Generation generation,
                          std::span<const MemberId> set) {
  m_sets.push_back(MakeSet(now, generation, set));
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
    AckTimes& answers = it->second;
    answers.m_last_acked = std::max(answers.m_last_acked, sent_at);
    if (is_pledge) {
      answers.m_last_pledged = std::max(answers.m_last_pledged, sent_at);
    }
  }
}

bool LeaseHolder::IsValid(Time now) const noexcept {
  return HasMajority(now, &AckTimes::m_last_pledged);
}

bool LeaseHolder::IsAcknowledgedByMajority(Time now) const noexcept {
  return HasMajority(now, &AckTimes::m_last_acked);
}

// A member without watchers is alone: nobody can vote it down.
bool LeaseHolder::HasMajority(Time now, Time AckTimes::*kind) const noexcept {
  const auto holds = [&](const WatcherSet& set) {
    const auto held =
        std::ranges::count_if(set.m_watcher_acks, [&](const auto& entry) {
          const Time sent_at = entry.second.*kind;
          return sent_at != Time::min() &&
                 now < sent_at + m_timing.m_lease_duration;
        });
    return set.m_watcher_acks.empty() ||
           static_cast<std::size_t>(held) * 2 > set.m_watcher_acks.size();
  };
  return !m_sets.empty() && std::ranges::all_of(m_sets, holds);
}

// The lease ends when the pledges that make up the smallest majority begin to
// lapse.
Duration LeaseHolder::RemainingTime(Time now, Duration most) const {
  if (!IsValid(now)) {
    return Duration::zero();
  }
  Duration left = most;
  for (const WatcherSet& set : m_sets) {
    std::vector<Time> pledged;
    for (const auto& [watcher, answers] : set.m_watcher_acks) {
      pledged.push_back(answers.m_last_pledged);
    }
    if (pledged.empty()) {
      continue;
    }
    std::ranges::sort(pledged, std::greater<>());
    const Time deciding = pledged[pledged.size() / 2];
    left = std::min(left, deciding + m_timing.m_lease_duration - now);
  }
  return left;
}

std::vector<MemberId> LeaseHolder::SilentWatchers(Time now) const {
  std::vector<MemberId> silent;
  if (m_sets.empty()) {
    return silent;
  }
  const WatcherSet& set = m_sets.front();
  for (const auto& [watcher, answers] : set.m_watcher_acks) {
    const Time heard = std::max(answers.m_last_acked, set.m_created_at);
    if (now > heard + m_timing.m_watcher_silence_timeout) {
      silent.push_back(watcher);
    }
  }
  return silent;
}

}  // namespace figlug::core
