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

/// \brief Weight of a member that owns its full share of slices.
inline constexpr std::uint32_t kMaxWeight = 8;
/// \brief Number of departed targets that are remembered.
inline constexpr std::size_t kMaxDepartedTargets = 256;
/// \brief Number of recent append ids kept to reject duplicate appends.
inline constexpr std::size_t kMaxRecentAppends = 1024;

/// \brief A member as recorded in the log.
struct Member {
  MemberInfo m_info;
  Generation m_generation = 1;
  std::vector<MemberId> m_watchers;
  std::vector<MemberId> m_votes;
  /// Share of the service's slices: 0 (has not held a lease yet) to kMaxWeight.
  std::uint32_t m_weight = 0;
  bool m_draining = false;
  /// Whether one of the votes was cast on behalf of a removed watcher.
  bool m_has_substitute = false;
  /// Position of the suspicion that the member has not answered; 0 for none.
  Position m_suspected_at = 0;

  bool operator==(const Member&) const = default;
};

/// \brief A former owner that has not confirmed the release of a slice.
struct PreviousHolder {
  MemberId m_member = kNoMember;
  /// Position of the record that reassigned the slice.
  Position m_taken_at = 0;

  bool operator==(const PreviousHolder&) const = default;
};

/// \brief A part of a service's key space and its single owner.
struct Slice {
  MemberId m_owner = kNoMember;
  /// Position of the assigning record: the fencing token.
  Position m_epoch = 0;
  /// Position at which a holder was last removed without a release, or may have
  /// been; 0 if never.
  Position m_lost_at = 0;
  std::vector<PreviousHolder> m_previous_holders;

  bool operator==(const Slice&) const = default;
};

/// \brief A service, the profile that it uses and its slices.
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

/// \brief Why a record was rejected and had no effect.
enum class RejectReason : std::uint8_t {
  kDuplicate,
  kStale,
  kUnknownMember,
  kInvalid,
};

/// \brief Result of applying one record.
struct ApplyResult {
  bool m_applied = false;
  RejectReason m_reason = RejectReason::kStale;
  /// The member that this record removed, or kNoMember.
  MemberId m_removed = kNoMember;
};

/// \brief State that every process derives by applying the same records in
/// log order.
///
/// \code
/// ControlState state;
/// for (const LogEntry& entry : entries)
///   state.Apply(entry);
/// \endcode
class ControlState {
 public:
  using Exclusion = std::pair<ExclusionKind, std::string>;

  /// \brief Applies one record; its offset must be `next()`.
  /// \returns Whether the record took effect and, if not, why.
  ApplyResult Apply(const LogEntry& entry);

  /// \brief First offset that has not been applied.
  [[nodiscard]] Offset next() const noexcept { return m_next; }
  /// \brief Skips to an offset, for a log whose first offset is above zero.
  void set_next(Offset next) noexcept { m_next = next; }
  /// \brief Era of the records applied last.
  [[nodiscard]] Era era() const noexcept { return m_era; }
  /// \brief Whether no holder is left that only lost records of an earlier era
  /// had named.
  [[nodiscard]] bool is_era_settled() const noexcept {
    return m_is_era_settled;
  }
  /// \brief Position of the first record that has not been applied.
  [[nodiscard]] Position position() const noexcept {
    return MakePosition(m_era, m_next);
  }

  [[nodiscard]] const Member* FindMember(MemberId id) const noexcept;
  [[nodiscard]] const Service* FindService(
      std::string_view name) const noexcept;
  [[nodiscard]] const VersionedProfile* FindProfile(
      std::string_view name) const noexcept;
  /// \brief Profile of a service, or a default one if none is published.
  [[nodiscard]] const Profile& ProfileOf(std::string_view service) const;
  /// \brief Returns whether operators have excluded a member's target or
  /// failure domain.
  [[nodiscard]] bool IsExcluded(const MemberInfo& info) const;
  /// \brief Returns whether a member may be assigned slices and requests.
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
  /// \brief Tenants that have been published to the log, by name.
  using PublishedTenants = std::map<std::string, VersionedTenant, std::less<>>;
  [[nodiscard]] const PublishedTenants& tenants() const noexcept {
    return m_tenants;
  }
  /// \brief The published tenants, indexed.
  [[nodiscard]] const TenantTable& tenant_table() const noexcept {
    return m_tenant_index.m_table;
  }
  [[nodiscard]] const std::set<Exclusion>& exclusions() const noexcept {
    return m_exclusions;
  }
  [[nodiscard]] std::uint64_t exclusions_version() const noexcept {
    return m_exclusions_version;
  }
  /// \brief Watchers that are no longer members but are still listed by one.
  ///
  /// A watcher whose removal relied on a substitute vote is not included.
  /// None of these watchers pledges any more.
  [[nodiscard]] const std::set<MemberId>& removed_watchers() const noexcept {
    return m_removed_watchers;
  }
  /// \brief Incarnations of targets that have announced that they leave, by id
  /// and start (Unix ms); the oldest first.
  using DepartedTarget = std::pair<std::string, std::int64_t>;
  /// \brief Returns whether a member's target has announced that it leaves.
  [[nodiscard]] bool HasDeparted(const MemberInfo& info) const;
  [[nodiscard]] const std::deque<DepartedTarget>& departed_targets()
      const noexcept {
    return m_departed_targets;
  }
  [[nodiscard]] const std::deque<AppendId>& recent_appends() const noexcept {
    return m_recent_appends;
  }

  /// \brief Counter that increases whenever a slice may have changed.
  [[nodiscard]] std::uint64_t slice_changes() const noexcept {
    return m_slice_changes.m_count;
  }

  /// \brief The full content of a state, as stored in a checkpoint.
  struct Snapshot {
    Offset m_next = 0;
    Era m_era = 0;
    bool m_is_era_settled = true;
    std::map<MemberId, Member> m_members;
    std::map<std::string, Service, std::less<>> m_services;
    std::map<std::string, VersionedProfile, std::less<>> m_profiles;
    PublishedTenants m_tenants;
    std::set<Exclusion> m_exclusions;
    std::uint64_t m_exclusions_version = 0;
    std::set<MemberId> m_removed_watchers;
    std::deque<DepartedTarget> m_departed_targets;
    std::deque<AppendId> m_recent_appends;
  };
  /// \brief Rebuilds a state from the content of a checkpoint.
  [[nodiscard]] static ControlState FromSnapshot(Snapshot snapshot);

  bool operator==(const ControlState&) const = default;

 private:
  ApplyResult ApplyRecord(Offset offset, const UnreadableRecord& record);
  ApplyResult ApplyRecord(Offset offset, const JoinRecord& record);
  ApplyResult ApplyRecord(Offset offset, const WatchersRecord& record);
  ApplyResult ApplyRecord(Offset offset, const VoteRecord& record);
  ApplyResult ApplyRecord(Offset offset, const WeightRecord& record);
  ApplyResult ApplyRecord(Offset offset, const DrainRecord& record);
  ApplyResult ApplyRecord(Offset offset, const LeaveRecord& record);
  ApplyResult ApplyRecord(Offset offset, const ReleaseRecord& record);
  ApplyResult ApplyRecord(Offset offset, const ProfileRecord& record);
  ApplyResult ApplyRecord(Offset offset, const ExclusionRecord& record);
  ApplyResult ApplyRecord(Offset offset, const ForceDownRecord& record);
  ApplyResult ApplyRecord(Offset offset, const CheckpointRecord& record);
  ApplyResult ApplyRecord(Offset offset, const MoveRecord& record);
  ApplyResult ApplyRecord(Offset offset, const EraRecord& record);
  ApplyResult ApplyRecord(Offset offset, const EraSettledRecord& record);
  ApplyResult ApplyRecord(Offset offset, const DepartureRecord& record);
  ApplyResult ApplyRecord(Offset offset, const TenantRecord& record);
  ApplyResult ApplyRecord(Offset offset, const SuspicionRecord& record);
  ApplyResult ApplyRecord(Offset offset, const RefutationRecord& record);
  ApplyResult ApplyRecord(Offset offset, const RemovalRecord& record);
  void ForgetSuspicions();
  /// \returns Whether the tenants form a valid table.
  bool IndexTenants(const PublishedTenants& tenants);

  [[nodiscard]] Position PositionOf(Offset offset) const noexcept {
    return MakePosition(m_era, offset);
  }
  [[nodiscard]] bool EnablesSlicing(std::string_view from,
                                    const Profile& to) const;
  bool RememberAppend(AppendId id);
  [[nodiscard]] const Member* FindPredecessor(const MemberInfo& info) const;
  ApplyResult ReplacePredecessor(Offset offset, MemberId old, Member&& next);
  ApplyResult Remove(Offset offset, MemberId id);
  void AddRemovedWatcher(MemberId id, bool is_certain);
  [[nodiscard]] bool IsListedWatcher(MemberId watcher) const;
  void Reassign(Offset offset, std::string_view service);
  void ReassignAll(Offset offset);

  /// Number of changes; ignored when states are compared.
  struct ChangeCount {
    std::uint64_t m_count = 0;
    bool operator==(const ChangeCount&) const noexcept { return true; }
  };

  /// Derived from m_tenants; ignored when states are compared.
  struct TenantIndex {
    TenantTable m_table;
    bool operator==(const TenantIndex&) const noexcept { return true; }
  };

  Offset m_next = 0;
  Era m_era = 0;
  bool m_is_era_settled = true;
  std::map<MemberId, Member> m_members;
  std::map<std::string, Service, std::less<>> m_services;
  std::map<std::string, VersionedProfile, std::less<>> m_profiles;
  PublishedTenants m_tenants;
  TenantIndex m_tenant_index;
  std::set<Exclusion> m_exclusions;
  std::uint64_t m_exclusions_version = 0;
  std::set<MemberId> m_removed_watchers;
  std::deque<DepartedTarget> m_departed_targets;
  std::deque<AppendId> m_recent_appends;
  std::set<AppendId> m_recent_append_set;
  ChangeCount m_slice_changes;
};

/// \brief Returns the slice of a key by the key's hash.
[[nodiscard]] SliceIndex SliceOf(std::string_view key) noexcept;

/// \brief Size of the key space of a range-sharded service: keys are numbers
/// from 0 to kKeySpaceSize - 1.
inline constexpr std::uint32_t kKeySpaceSize = 65536;

/// \brief Returns the slice of a numeric key; slices are contiguous key
/// ranges.
/// \param slices Number of slices of the service, at least 1.
[[nodiscard]] SliceIndex SliceOfNumber(std::uint32_t key,
                                       SliceIndex slices) noexcept;
/// \brief Counts the ranges of contiguous slices that a member owns under one
/// epoch.
[[nodiscard]] std::size_t CountSliceRanges(const Service& service,
                                           MemberId owner);
/// \brief Returns the first key of a slice; kKeySpaceSize for the index past
/// the last slice.
[[nodiscard]] std::uint32_t FirstKeyOf(SliceIndex slice,
                                       SliceIndex slices) noexcept;

}  // namespace figlug::core

#endif  // FIGLUG_CORE_CONTROL_STATE_H_
