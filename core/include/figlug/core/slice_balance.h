#ifndef FIGLUG_CORE_SLICE_BALANCE_H_
#define FIGLUG_CORE_SLICE_BALANCE_H_

#include <map>
#include <span>
#include <vector>

#include "figlug/core/ids.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Utilization of a member's target.
struct MemberUtilization {
  MemberId m_member = kNoMember;
  /// Running and queued requests per slot.
  double m_utilization = 0;
  /// Smoothed service time of a request; zero if unknown.
  Duration m_service_time{};
};

/// \brief Utilization from which on an owner moves slices to other members.
inline constexpr double kHighUtilization = 0.9;

/// \brief Slices to move to another member.
struct SliceMove {
  MemberId m_to = kNoMember;
  std::vector<SliceIndex> m_slices;
};

/// \brief Decides which slices an overloaded owner moves to another member.
/// \param own Utilization of the owner.
/// \param work Recent work of each slice of the owner.
/// \param others Other members that may own slices.
/// \returns No slices if no move would reduce the imbalance.
[[nodiscard]] SliceMove ChooseSliceMove(
    const MemberUtilization& own,
    const std::map<SliceIndex, double>& work,
    std::span<const MemberUtilization> others);

/// \brief Recent work of each slice, decaying exponentially with age.
///
/// \code
/// work.Add(now, slice, service_time);
/// ChooseSliceMove(own, work.Recent(now), others);
/// \endcode
class SliceWorkTracker {
 public:
  void Add(Time now, SliceIndex slice, Duration service_time);
  /// \brief Recent work of each slice that has any.
  [[nodiscard]] const std::map<SliceIndex, double>& Recent(Time now);

 private:
  void Decay(Time now);

  std::map<SliceIndex, double> m_work;
  Time m_decayed_at{};
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_SLICE_BALANCE_H_
