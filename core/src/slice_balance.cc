#include "figlug/core/slice_balance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace figlug::core {
namespace {

/// Minimum difference in utilization that justifies the service interruption of
/// a move.
constexpr double kMinUtilizationDifference = 0.3;
/// Ratio of the owner's work that one move may exceed by at most one slice, so
/// that outdated load information does not reverse the imbalance.
constexpr double kMaxMovedRatio = 0.4;
/// Minimum decrease of the higher utilization that justifies moving one more
/// slice.
constexpr double kMinUtilizationGain = 0.01;
/// Ratio of the owner's work by whose placement targets are compared.
constexpr double kComparedWorkRatio = 0.25;
/// Bounds of the service time ratio of two targets, because it is based on
/// short observations.
constexpr double kMinServiceTimeRatio = 0.3;
constexpr double kMaxServiceTimeRatio = 3;
/// Time in which recorded work decays to half.
constexpr Duration kHalfLife = std::chrono::seconds(2);
constexpr Duration kDecayInterval = std::chrono::milliseconds(250);
/// Work below this is dropped, in microseconds.
constexpr double kMinWorkUs = 1000;

// Factor by which the same work takes longer at the other target.
double ServiceTimeRatio(const MemberUtilization& own,
                        const MemberUtilization& other) {
  if (own.m_service_time <= Duration::zero() ||
      other.m_service_time <= Duration::zero()) {
    return 1;
  }
  return std::clamp(static_cast<double>(other.m_service_time.count()) /
                        static_cast<double>(own.m_service_time.count()),
                    kMinServiceTimeRatio, kMaxServiceTimeRatio);
}

}  // namespace

// Considers the slices with the most work first. A slice is moved if that
// lowers the higher utilization of the two members. A slice that causes most of
// the load therefore moves to a faster target; if no target is faster, it stays
// and the owner's other slices move.
SliceMove ChooseSliceMove(const MemberUtilization& own,
                          const std::map<SliceIndex, double>& work,
                          std::span<const MemberUtilization> others) {
  const double compared = kComparedWorkRatio * own.m_utilization;
  const auto least_utilized =
      std::ranges::min_element(others, {}, [&](const MemberUtilization& other) {
        return other.m_utilization + compared * ServiceTimeRatio(own, other);
      });
  if (least_utilized == others.end() || own.m_utilization < kHighUtilization ||
      own.m_utilization - least_utilized->m_utilization <
          kMinUtilizationDifference) {
    return {};
  }
  double total = 0;
  std::vector<std::pair<double, SliceIndex>> by_work;
  for (const auto& [slice, amount] : work) {
    total += amount;
    by_work.emplace_back(amount, slice);
  }
  std::ranges::sort(by_work, std::greater<>());
  const double time_ratio = ServiceTimeRatio(own, *least_utilized);
  double from = own.m_utilization;
  double to = least_utilized->m_utilization;
  SliceMove move{.m_to = least_utilized->m_member};
  for (const auto& [amount, slice] : by_work) {
    const double utilization = own.m_utilization * amount / total;
    const double higher =
        std::max(from - utilization, to + utilization * time_ratio);
    if (higher < std::max(from, to) - kMinUtilizationGain) {
      move.m_slices.push_back(slice);
      from -= utilization;
      to += utilization * time_ratio;
    }
    if (from < (1 - kMaxMovedRatio) * own.m_utilization) {
      break;
    }
  }
  return move;
}

void SliceWorkTracker::Add(Time now, SliceIndex slice, Duration service_time) {
  Decay(now);
  m_work[slice] += static_cast<double>(service_time.count());
}

const std::map<SliceIndex, double>& SliceWorkTracker::Recent(Time now) {
  Decay(now);
  return m_work;
}

void SliceWorkTracker::Decay(Time now) {
  if (now < m_decayed_at + kDecayInterval) {
    return;
  }
  const double half_lives = static_cast<double>((now - m_decayed_at).count()) /
                            static_cast<double>(kHalfLife.count());
  m_decayed_at = now;
  const double decay_factor = std::exp2(-half_lives);
  for (auto& [slice, amount] : m_work) {
    amount *= decay_factor;
  }
  std::erase_if(m_work,
                [](const auto& entry) { return entry.second < kMinWorkUs; });
}

}  // namespace figlug::core
