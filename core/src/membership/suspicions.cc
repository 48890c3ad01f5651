#include "figlug/core/membership/suspicions.h"

#include <algorithm>
#include <utility>

namespace figlug::core {
namespace {

/// The rates of two clocks differ by less than 5%; the rest is for late timers.
constexpr double kClockRateMargin = 0.06;
constexpr Duration kMaxLogReadWait = std::chrono::seconds(3);
constexpr int kReadsPerLogLease = 8;
/// Members take turns, so that usually only one appends the removal.
constexpr Duration kTurnInterval = std::chrono::milliseconds(150);
constexpr std::ptrdiff_t kMaxTurns = 6;
/// Bounds the appends of one review.
constexpr std::size_t kMaxRemovals = 16;

// Suspected members take no turn.
Duration TurnOf(MemberId self, const ControlState& state) {
  const std::ptrdiff_t before =
      std::ranges::count_if(state.members(), [&](const auto& entry) {
        return entry.first < self && entry.second.m_suspected_at == 0;
      });
  return std::min(before, kMaxTurns) * kTurnInterval;
}

}  // namespace

Duration LongestLogLease(Duration log_lease) {
  return std::chrono::ceil<Duration>(log_lease * (1 + kClockRateMargin));
}

Duration LogReadWait(Duration log_lease) {
  return log_lease == Duration::zero()
             ? kMaxLogReadWait
             : std::min(kMaxLogReadWait, log_lease / kReadsPerLogLease);
}

std::optional<RefutationRecord> Suspicions::DueRefutation(
    MemberId self,
    const ControlState& state) {
  const Member* member = state.FindMember(self);
  if (member == nullptr || member->m_suspected_at == 0 ||
      std::exchange(m_refuted, member->m_suspected_at) ==
          member->m_suspected_at) {
    return std::nullopt;
  }
  return RefutationRecord{self, member->m_suspected_at};
}

std::vector<RemovalRecord> Suspicions::DueRemovals(Time now,
                                                   MemberId self,
                                                   const ControlState& state) {
  Follow(now, state);
  std::vector<RemovalRecord> removals;
  const Member* own = state.FindMember(self);
  if (own == nullptr || own->m_suspected_at != 0) {
    return removals;
  }
  const Duration turn = TurnOf(self, state);
  for (auto& [id, suspicion] : m_suspicions) {
    const Duration lease = state.FindMember(id)->m_info.m_log_lease;
    if (removals.size() < kMaxRemovals && suspicion.m_is_removal_due &&
        now > suspicion.m_seen_at + LongestLogLease(lease) + turn) {
      suspicion.m_is_removal_due = false;
      removals.push_back({id, suspicion.m_position});
    }
  }
  return removals;
}

void Suspicions::Follow(Time now, const ControlState& state) {
  std::erase_if(m_suspicions, [&](const auto& entry) {
    const Member* member = state.FindMember(entry.first);
    return member == nullptr ||
           member->m_suspected_at != entry.second.m_position;
  });
  for (const auto& [id, member] : state.members()) {
    if (member.m_suspected_at != 0) {
      m_suspicions.try_emplace(id, Suspicion{member.m_suspected_at, now});
    }
  }
}

void Suspicions::OnRestored() {
  m_suspicions.clear();
  m_refuted = 0;
}

}  // namespace figlug::core
