#ifndef FIGLUG_CORE_SLICE_BALANCE_H_
#define FIGLUG_CORE_SLICE_BALANCE_H_

#include <map>
#include <span>
#include <vector>

#include "figlug/core/ids.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief How busy a target is.
struct MemberUtilization {
  MemberId m_member = kNoMember;
  /// Open work per slot.
  double m_use = 0;
  /// Smoothed time that a request takes there; zero when unknown.
  Duration m_service{};
};

/// \brief Open work per slot above which an owner gives slices away.
inline constexpr double kHighUtilization = 0.9;

/// \brief Slices to give to another member.
struct SliceMove {
  MemberId m_to = kNoMember;
  std::vector<SliceIndex> m_slices;
};

/// \brief Decides which slices an overloaded owner gives away.
/// \param own How busy the owner is.
/// \param work Recent work of each slice that the owner has.
/// \param others Other members that may own slices.
/// \returns No slices when nothing would be gained.
[[nodiscard]] SliceMove ChooseSliceMove(
    const MemberUtilization& own,
    const std::map<SliceIndex, double>& work,
    std::span<const MemberUtilization> others);

/// \brief Recent work of each slice; what is older counts less.
///
/// \code
/// work.Add(now, slice, taken);
/// ChooseSliceMove(use, work.Recent(now), others);
/// \endcode
class SliceWorkTracker {
 public:
  void Add(Time now, SliceIndex slice, Duration taken);
  /// \brief Work of each slice that had some lately.
  [[nodiscard]] const std::map<SliceIndex, double>& Recent(Time now);

 private:
  void Fade(Time now);

  std::map<SliceIndex, double> m_work;
  Time m_faded_at{};
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_SLICE_BALANCE_H_
