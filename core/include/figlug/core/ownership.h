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
  /// Owner on record, but a former holder has not let go yet.
  kWaiting,
  kReady,
};

/// \brief This member's claims on the slices of its service.
///
/// \code
/// ownership.OnRecordApplied(now, wall, service, takeover_wait);
/// if (ownership.StatusOf(now, slice) == SliceStatus::kReady) Admit();
/// \endcode
class Ownership {
 public:
  explicit Ownership(MemberId self) : m_self(self) {}

  /// \brief Takes over the state after one record has been folded.
  /// \param takeover_wait Wait before serving what a lost holder had.
  void OnRecordApplied(Time now,
                       WallTime wall,
                       const Service& service,
                       Duration takeover_wait);
  [[nodiscard]] SliceStatus StatusOf(Time now, SliceIndex slice) const;
  /// \brief Fencing token of a slice this member owns.
  [[nodiscard]] Offset EpochOf(SliceIndex slice) const;
  /// \brief Counts a former holder's word.
  void OnRelease(const Release& release);
  /// \brief Notes a request id of a slice that is ready.
  /// \returns False when the request may have run before.
  [[nodiscard]] bool InsertId(SliceIndex slice, const RequestId& id);
  void RemoveId(SliceIndex slice, const RequestId& id);

  /// \brief Slices lost by record for which nobody has our word yet.
  [[nodiscard]] std::vector<SliceIndex> PendingReleases() const;
  /// \brief Tells whether the record still waits for our word on a slice.
  ///
  /// Once the record has it, the slice's request ids are forgotten here.
  [[nodiscard]] bool IsReleasePending(SliceIndex slice) const;
  [[nodiscard]] bool has_pending_releases() const noexcept {
    return !m_owed.empty();
  }
  /// \brief Our word on a slice, with what we know of its requests.
  [[nodiscard]] ReleasedSlice MakeRelease(SliceIndex slice) const;
  /// \brief Former holders to ask, with the slices they hold back.
  [[nodiscard]] std::map<MemberId, std::vector<SliceIndex>> AwaitedReleases()
      const;
  [[nodiscard]] bool IsOwner(SliceIndex slice) const;
  [[nodiscard]] std::uint32_t owned_count() const;

 private:
  struct Local {
    Slice m_slice;
    /// Loss that the id filter accounts for.
    Offset m_covered_loss = 0;
    WallTime m_loss_wall{};
    Time m_ready_at{};
  };

  [[nodiscard]] bool IsOwn(const Slice& slice) const;
  [[nodiscard]] bool IsPrior(const Slice& slice) const;
  [[nodiscard]] bool HasLetGo(SliceIndex slice,
                              const PreviousHolder& prior) const;
  void CoverVanishedPriors(WallTime wall, SliceIndex index, const Slice& next);
  void Classify(SliceIndex index, const Slice& next);
  /// \brief What is known of a slice; an unowned one past the last.
  [[nodiscard]] const Local& LocalOf(SliceIndex slice) const;

  MemberId m_self;
  std::vector<Local> m_local;
  std::uint32_t m_owned = 0;
  /// Folded offsets that former holders of own slices gave their word for.
  std::map<SliceIndex, std::map<MemberId, Offset>> m_released;
  /// Own slices with former holders on record.
  std::set<SliceIndex> m_contested;
  /// Slices of others that this member is a former holder of.
  std::set<SliceIndex> m_owed;
  RequestIdFilter m_ids;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_OWNERSHIP_H_
