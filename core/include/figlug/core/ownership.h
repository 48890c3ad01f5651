#ifndef FIGLUG_CORE_OWNERSHIP_H_
#define FIGLUG_CORE_OWNERSHIP_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

#include "figlug/core/control_state.h"
#include "figlug/core/ids.h"
#include "figlug/core/messages.h"
#include "figlug/core/request_id_filter.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Whether this member may serve a slice.
enum class SliceStatus : std::uint8_t {
  kNotOwner,
  /// Owner in the control state, but a previous holder has not released the
  /// slice yet or the takeover wait has not passed.
  kWaiting,
  kReady,
};

/// \brief Tracks which slices of its service this member owns, may serve and
/// still has to release.
///
/// \code
/// ownership.OnRecordApplied(now, wall, service, takeover_wait);
/// if (ownership.StatusOf(now, slice) == SliceStatus::kReady) Admit();
/// \endcode
class Ownership {
 public:
  explicit Ownership(MemberId self) : m_self(self) {}

  /// \brief Updates the slices after one record has been applied.
  /// \param takeover_wait Wait before serving a slice whose holder was lost.
  void OnRecordApplied(Time now,
                       WallTime wall,
                       const Service& service,
                       Duration takeover_wait);
  /// \brief Replaces all slices, because the log has been restored.
  /// \param is_lease_valid Whether this member held its lease until now. Then
  /// the slices that were ready and are still its own stay ready.
  void OnRestored(Time now, const Service* service, bool is_lease_valid);
  /// \brief Sets whether holders that only lost records had named may be left.
  /// Until then only slices that stayed ready are.
  void set_may_have_unknown_holders(bool may_have) noexcept {
    m_may_have_unknown_holders = may_have;
  }
  [[nodiscard]] SliceStatus StatusOf(Time now, SliceIndex slice) const;
  /// \brief Fencing token of a slice this member owns; never lower than the
  /// one that a continued slice was served under.
  [[nodiscard]] Position EpochOf(SliceIndex slice) const;
  /// \brief Handles a previous holder's confirmation that it released slices.
  void OnRelease(const Release& release);
  /// \brief Records a request id of a slice that is ready.
  /// \returns False if the request may have been executed before.
  [[nodiscard]] bool InsertId(SliceIndex slice, const RequestId& id);
  void RemoveId(SliceIndex slice, const RequestId& id);

  /// \brief Slices reassigned to other members whose release by this member is
  /// not in the control state yet.
  [[nodiscard]] std::vector<SliceIndex> PendingReleases() const;
  /// \brief Returns whether this member's release of a slice is not in the
  /// control state yet.
  ///
  /// Once it is, the slice's request ids are discarded here.
  [[nodiscard]] bool IsReleasePending(SliceIndex slice) const;
  [[nodiscard]] bool has_pending_releases() const noexcept {
    return !m_pending_releases.empty();
  }
  /// \brief Creates the release of a slice, with the request ids known for it.
  [[nodiscard]] ReleasedSlice MakeRelease(SliceIndex slice) const;
  /// \brief Previous holders that have not released own slices, with these
  /// slices.
  [[nodiscard]] std::map<MemberId, std::vector<SliceIndex>> AwaitedReleases()
      const;
  [[nodiscard]] bool IsOwner(SliceIndex slice) const;
  [[nodiscard]] std::uint32_t owned_count() const;

 private:
  struct LocalSlice {
    Slice m_slice;
    /// Position of the latest holder loss that the request id filter covers.
    Position m_covered_loss = 0;
    /// Whether the slice was ready when the log was restored and has been this
    /// member's own since.
    bool m_is_continued = false;
    /// Fencing token that the slice was served under when it became continued.
    Position m_continued_epoch = 0;
    WallTime m_lost_wall_time{};
    Time m_ready_at{};
  };

  [[nodiscard]] bool IsOwn(const Slice& slice) const;
  [[nodiscard]] bool IsPreviousHolder(const Slice& slice) const;
  [[nodiscard]] bool HasReleased(SliceIndex slice,
                                 const PreviousHolder& previous) const;
  /// \brief Raises the request id barrier for previous holders that have been
  /// removed without a release.
  void CoverRemovedHolders(WallTime wall, SliceIndex index, const Slice& next);
  void Classify(SliceIndex index, const Slice& next);
  /// \brief Local state of a slice; an unowned slice if the index is unknown.
  [[nodiscard]] const LocalSlice& LocalOf(SliceIndex slice) const;

  MemberId m_self;
  std::vector<LocalSlice> m_local;
  std::uint32_t m_owned = 0;
  bool m_may_have_unknown_holders = false;
  /// Position up to which each previous holder of an own slice confirmed its
  /// release.
  std::map<SliceIndex, std::map<MemberId, Position>> m_released;
  /// Own slices with previous holders in the control state.
  std::set<SliceIndex> m_awaiting_release;
  /// Slices owned by others, or unowned, of which this member is a previous
  /// holder.
  std::set<SliceIndex> m_pending_releases;
  RequestIdFilter m_ids;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_OWNERSHIP_H_
