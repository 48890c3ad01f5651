#include "figlug/core/slice_balance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace figlug::core {
namespace {

/// Least difference of use that is worth the gap in service of a move.
constexpr double kLeastDifference = 0.3;
/// Share of its work after which an owner gives no more away at once, so that
/// late knowledge of the others' load does not turn the imbalance round.
constexpr double kMostShare = 0.4;
/// Least fall of the higher use that is worth moving one more slice.
constexpr double kLeastGain = 0.01;
/// Share of the own work for which targets are compared.
constexpr double kTriedShare = 0.25;
/// Bounds of what short observations of two targets may claim.
constexpr double kLeastSlowness = 0.3;
constexpr double kMostSlowness = 3;
/// Time in which remembered work falls to half.
constexpr Duration kHalfLife = std::chrono::seconds(2);
constexpr Duration kFadePeriod = std::chrono::milliseconds(250);
constexpr double kForgotten = 1000;

// The same work takes longer at a slower target.
double Slowness(const MemberUtilization& own, const MemberUtilization& other) {
  if (own.m_service <= Duration::zero() ||
      other.m_service <= Duration::zero()) {
    return 1;
  }
  return std::clamp(static_cast<double>(other.m_service.count()) /
                        static_cast<double>(own.m_service.count()),
                    kLeastSlowness, kMostSlowness);
}

}  // namespace

// The hottest slices go first. Each is moved if that lowers the higher of the
// two uses, so one slice that is most of the load goes to a faster target, and
// from a target that is as fast its neighbours leave.
SliceMove ChooseSliceMove(const MemberUtilization& own,
                          const std::map<SliceIndex, double>& work,
                          std::span<const MemberUtilization> others) {
  const double tried = kTriedShare * own.m_use;
  const auto least =
      std::ranges::min_element(others, {}, [&](const MemberUtilization& other) {
        return other.m_use + tried * Slowness(own, other);
      });
  if (least == others.end() || own.m_use < kHighUtilization ||
      own.m_use - least->m_use < kLeastDifference) {
    return {};
  }
  double total = 0;
  std::vector<std::pair<double, SliceIndex>> by_work;
  for (const auto& [slice, amount] : work) {
    total += amount;
    by_work.emplace_back(amount, slice);
  }
  std::ranges::sort(by_work, std::greater<>());
  const double slowness = Slowness(own, *least);
  double from = own.m_use;
  double to = least->m_use;
  SliceMove move{.m_to = least->m_member};
  for (const auto& [amount, slice] : by_work) {
    const double use = own.m_use * amount / total;
    const double next = std::max(from - use, to + use * slowness);
    if (next < std::max(from, to) - kLeastGain) {
      move.m_slices.push_back(slice);
      from -= use;
      to += use * slowness;
    }
    if (from < (1 - kMostShare) * own.m_use) {
      break;
    }
  }
  return move;
}

void SliceWorkTracker::Add(Time now, SliceIndex slice, Duration taken) {
  Fade(now);
  m_work[slice] += static_cast<double>(taken.count());
}

const std::map<SliceIndex, double>& SliceWorkTracker::Recent(Time now) {
  Fade(now);
  return m_work;
}

void SliceWorkTracker::Fade(Time now) {
  if (now < m_faded_at + kFadePeriod) {
    return;
  }
  const double age = static_cast<double>((now - m_faded_at).count()) /
                     static_cast<double>(kHalfLife.count());
  m_faded_at = now;
  const double left = std::exp2(-age);
  for (auto& [slice, amount] : m_work) {
    amount *= left;
  }
  std::erase_if(m_work,
                [](const auto& entry) { return entry.second < kForgotten; });
}

}  // namespace figlug::core
