#include "figlug/core/lease_holder.h"

#include <algorithm>

namespace figlug::core {
namespace {

LeaseHolder::Set MakeSet(Time now,
                         Generation generation,
                         std::span<const MemberId> watchers) {
  LeaseHolder::Set set{.m_generation = generation, .m_since = now};
  for (MemberId watcher : watchers) {
    set.m_acked[watcher] = Time::min();
  }
  return set;
}

}  // namespace

// Acknowledgements already counted for a proposal stay with it when the log
// confirms it, so that the lease has no gap.
void LeaseHolder::Adopt(Time now,
                        Generation generation,
                        std::span<const MemberId> set) {
  const auto it = std::ranges::find(m_sets, generation, &Set::m_generation);
  Set adopted =
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
                        Time sent_at) {
  if (sent_at > now) {
    return;
  }
  for (Set& set : m_sets) {
    const auto it = set.m_acked.find(watcher);
    if (set.m_generation == generation && it != set.m_acked.end()) {
      it->second = std::max(it->second, sent_at);
    }
  }
}

bool LeaseHolder::IsValid(Time now) const noexcept {
  return !m_sets.empty() && std::ranges::all_of(m_sets, [&](const Set& set) {
    return HasMajority(set, now);
  });
}

// A member without watchers is alone: nobody can vote it down.
bool LeaseHolder::HasMajority(const Set& set, Time now) const noexcept {
  if (set.m_acked.empty()) {
    return true;
  }
  const auto held = std::ranges::count_if(set.m_acked, [&](const auto& entry) {
    return entry.second != Time::min() && now < entry.second + m_timing.m_lease;
  });
  return static_cast<std::size_t>(held) * 2 > set.m_acked.size();
}

std::vector<MemberId> LeaseHolder::SilentWatchers(Time now) const {
  std::vector<MemberId> silent;
  if (m_sets.empty()) {
    return silent;
  }
  const Set& set = m_sets.front();
  for (const auto& [watcher, acked] : set.m_acked) {
    const Time heard = std::max(acked, set.m_since);
    if (now > heard + m_timing.m_watcher_silence) {
      silent.push_back(watcher);
    }
  }
  return silent;
}

}  // namespace figlug::core
