#ifndef FIGLUG_CORE_CONTROL_STATE_H_
#define FIGLUG_CORE_CONTROL_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "figlug/core/ids.h"
#include "figlug/core/member_info.h"
#include "figlug/core/profile.h"
#include "figlug/core/record.h"

namespace figlug::core {

/// \brief Weight of a member that takes its whole share.
inline constexpr std::uint32_t kMaxWeight = 8;
/// \brief Append ids remembered to drop second copies.
inline constexpr std::size_t kMaxRecentAppends = 1024;

/// \brief A member as the log knows it.
struct Member {
  MemberInfo m_info;
  Generation m_generation = 1;
  std::vector<MemberId> m_watchers;
  std::vector<MemberId> m_votes;
  /// Share of the service's slices, 0 (not proved yet) to kMaxWeight.
  std::uint32_t m_weight = 0;
  bool m_draining = false;
  /// Whether one of the votes was cast for a watcher that is gone.
  bool m_has_substitute = false;

  bool operator==(const Member&) const = default;
};

/// \brief A former owner not known to have let go of a slice.
struct PreviousHolder {
  MemberId m_member = kNoMember;
  /// Offset of the record that took the slice away.
  Offset m_taken_at = 0;

  bool operator==(const PreviousHolder&) const = default;
};

/// \brief A part of a service's key space and its sole owner.
struct Slice {
  MemberId m_owner = kNoMember;
  /// Offset of the assigning record: the fencing token.
  Offset m_epoch = 0;
  /// Offset at which a holder was last lost without release; 0 for never.
  Offset m_lost_at = 0;
  std::vector<PreviousHolder> m_previous_holders;

  bool operator==(const Slice&) const = default;
};

/// \brief A service, the profile it picked and its slices.
struct Service {
  std::string m_profile;
  std::vector<Slice> m_slices;

  bool operator==(const Service&) const = default;
};

/// \brief A profile with its version; the first version is 1.
struct VersionedProfile {
  Profile m_profile;
  std::uint64_t m_version = 0;

  bool operator==(const VersionedProfile&) const = default;
};

/// \brief Why a record changed nothing.
enum class RejectReason : std::uint8_t {
  kDuplicate,
  kStale,
  kUnknownMember,
  kInvalid,
};

/// \brief What folding one record did.
struct ApplyResult {
  bool m_applied = false;
  RejectReason m_reason = RejectReason::kStale;
  /// Member that this record removed, or kNoMember.
  MemberId m_removed = kNoMember;
};

/// \brief State that every process folds from the same records.
///
/// \code
/// ControlState state;
/// for (const LogEntry& entry : entries)
///   state.Apply(entry);
/// \endcode
class ControlState {
 public:
  using Exclusion = std::pair<ExclusionKind, std::string>;

  /// \brief Folds one record; the offset must be `next()`.
  /// \returns Whether the record took effect and, if not, why.
  ApplyResult Apply(const LogEntry& entry);

  /// \brief First offset not yet folded.
  [[nodiscard]] Offset next() const noexcept { return m_next; }
  /// \brief Skips to an offset; for a log that starts behind zero.
  void set_next(Offset next) noexcept { m_next = next; }

  [[nodiscard]] const Member* FindMember(MemberId id) const noexcept;
  [[nodiscard]] const Service* FindService(
      std::string_view name) const noexcept;
  [[nodiscard]] const VersionedProfile* FindProfile(
      std::string_view name) const noexcept;
  /// \brief Profile of a service; a default one when none is published.
  [[nodiscard]] const Profile& ProfileOf(std::string_view service) const;
  /// \brief Tells whether operators have taken a member's target or domain out.
  [[nodiscard]] bool IsExcluded(const MemberInfo& info) const;
  /// \brief Tells whether a member may be given new work.
  [[nodiscard]] bool IsEligible(const Member& member) const;

  [[nodiscard]] const std::map<MemberId, Member>& members() const noexcept {
    return m_members;
  }
  [[nodiscard]] const std::map<std::string, Service, std::less<>>& services()
      const noexcept {
    return m_services;
  }
  [[nodiscard]] const std::map<std::string, VersionedProfile, std::less<>>&
  profiles() const noexcept {
    return m_profiles;
  }
  [[nodiscard]] const std::set<Exclusion>& exclusions() const noexcept {
    return m_exclusions;
  }
  [[nodiscard]] std::uint64_t exclusions_version() const noexcept {
    return m_exclusions_version;
  }
  /// \brief Watchers removed by their own watchers or by word, as long as a
  /// member still lists them. None of them pledges any more.
  [[nodiscard]] const std::set<MemberId>& removed_watchers() const noexcept {
    return m_removed_watchers;
  }
  [[nodiscard]] const std::deque<AppendId>& recent_appends() const noexcept {
    return m_recent_appends;
  }

  /// \brief Grows whenever a slice may have changed since this state began.
  [[nodiscard]] std::uint64_t slice_changes() const noexcept {
    return m_slice_changes.m_count;
  }

  /// \brief All parts of a state, as a checkpoint carries them.
  struct Snapshot {
    Offset m_next = 0;
    std::map<MemberId, Member> m_members;
    std::map<std::string, Service, std::less<>> m_services;
    std::map<std::string, VersionedProfile, std::less<>> m_profiles;
    std::set<Exclusion> m_exclusions;
    std::uint64_t m_exclusions_version = 0;
    std::set<MemberId> m_removed_watchers;
    std::deque<AppendId> m_recent_appends;
  };
  /// \brief Rebuilds a state from the parts of a checkpoint.
  [[nodiscard]] static ControlState FromSnapshot(Snapshot parts);

  bool operator==(const ControlState&) const = default;

 private:
  ApplyResult Fold(Offset offset, const UnreadableRecord& record);
  ApplyResult Fold(Offset offset, const JoinRecord& record);
  ApplyResult Fold(Offset offset, const WatchersRecord& record);
  ApplyResult Fold(Offset offset, const VoteRecord& record);
  ApplyResult Fold(Offset offset, const WeightRecord& record);
  ApplyResult Fold(Offset offset, const DrainRecord& record);
  ApplyResult Fold(Offset offset, const LeaveRecord& record);
  ApplyResult Fold(Offset offset, const ReleaseRecord& record);
  ApplyResult Fold(Offset offset, const ProfileRecord& record);
  ApplyResult Fold(Offset offset, const ExclusionRecord& record);
  ApplyResult Fold(Offset offset, const ForceDownRecord& record);
  ApplyResult Fold(Offset offset, const CheckpointRecord& record);
  ApplyResult Fold(Offset offset, const MoveRecord& record);

  [[nodiscard]] bool StartsSlicing(std::string_view from,
                                   const Profile& to) const;
  bool Remember(AppendId id);
  [[nodiscard]] const Member* FindPredecessor(const MemberInfo& info) const;
  ApplyResult Succeed(Offset offset, MemberId old, Member&& next);
  ApplyResult Remove(Offset offset, MemberId id);
  void NoteGone(MemberId id, bool is_certain);
  [[nodiscard]] bool IsListed(MemberId watcher) const;
  void Reassign(Offset offset, std::string_view service);
  void ReassignAll(Offset offset);

  /// How often something has changed; no part of what is equal.
  struct ChangeCount {
    std::uint64_t m_count = 0;
    bool operator==(const ChangeCount&) const noexcept { return true; }
  };

  Offset m_next = 0;
  std::map<MemberId, Member> m_members;
  std::map<std::string, Service, std::less<>> m_services;
  std::map<std::string, VersionedProfile, std::less<>> m_profiles;
  std::set<Exclusion> m_exclusions;
  std::uint64_t m_exclusions_version = 0;
  std::set<MemberId> m_removed_watchers;
  std::deque<AppendId> m_recent_appends;
  std::set<AppendId> m_recent_append_set;
  ChangeCount m_slice_changes;
};

/// \brief Slice of a key, by its hash.
[[nodiscard]] SliceIndex SliceOf(std::string_view key) noexcept;

/// \brief Numbers that keys of a range-divided service have: 0 to one below.
inline constexpr std::uint32_t kKeySpaceSize = 65536;

/// \brief Slice of a numbered key; adjoining keys share one.
/// \param slices Slices of the service, at least 1.
[[nodiscard]] SliceIndex SliceOfNumber(std::uint32_t key,
                                       SliceIndex slices) noexcept;
/// \brief Ranges of adjoining slices that a member owns under one epoch.
[[nodiscard]] std::size_t CountSliceRanges(const Service& service,
                                           MemberId owner);
/// \brief First key number of a slice; of the slice past the last one,
/// kKeySpaceSize.
[[nodiscard]] std::uint32_t FirstKeyOf(SliceIndex slice,
                                       SliceIndex slices) noexcept;

}  // namespace figlug::core

#endif  // FIGLUG_CORE_CONTROL_STATE_H_
