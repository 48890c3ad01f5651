#ifndef FIGLUG_CORE_RECORD_H_
#define FIGLUG_CORE_RECORD_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "figlug/core/fwd.h"
#include "figlug/core/ids.h"
#include "figlug/core/member_info.h"
#include "figlug/core/profile.h"
#include "figlug/core/tenants/tenant.h"

namespace figlug::core {

/// \brief Adds a member with its first watcher set.
struct JoinRecord {
  MemberInfo m_info;
  std::vector<MemberId> m_watchers;
};

/// \brief Replaces a member's watcher set; rejected unless its generation is
/// the current one plus 1.
struct WatchersRecord {
  MemberId m_member = kNoMember;
  Generation m_generation = 0;
  std::vector<MemberId> m_watchers;
};

/// \brief A watcher's vote that a member is down.
struct VoteRecord {
  MemberId m_voter = kNoMember;
  MemberId m_subject = kNoMember;
  Generation m_generation = 0;
  /// Whether another member cast the vote on behalf of a removed watcher.
  bool m_is_substitute = false;
};

/// \brief Raises a member's share of its service's slices.
struct WeightRecord {
  MemberId m_member = kNoMember;
  /// Greater than the current weight, at most kMaxWeight.
  std::uint32_t m_weight = 0;
};

/// \brief Marks a member that is about to stop; its slices move to others.
struct DrainRecord {
  MemberId m_member = kNoMember;
};

/// \brief Marks a member whose target has announced that it leaves. Like a
/// drain; besides, no member can join with that incarnation of the target
/// again.
struct DepartureRecord {
  MemberId m_member = kNoMember;
};

/// \brief Removes a member that has stopped and no longer holds any slices.
struct LeaveRecord {
  MemberId m_member = kNoMember;
};

/// \brief Confirms that a previous holder has released slices.
struct ReleaseRecord {
  MemberId m_member = kNoMember;
  /// Position of the last record applied when the slices were released.
  Position m_folded = 0;
  std::vector<SliceIndex> m_slices;
};

/// \brief Moves slices from their owner to another member of its service.
struct MoveRecord {
  MemberId m_from = kNoMember;
  MemberId m_to = kNoMember;
  /// Position of the last record applied when the move was decided; slices
  /// assigned later are not moved.
  Position m_folded = 0;
  std::vector<SliceIndex> m_slices;
};

/// \brief Publishes a profile by compare-and-set on its version.
struct ProfileRecord {
  Profile m_profile;
  std::uint64_t m_expected_version = 0;
};

/// \brief Publishes or removes a tenant by compare-and-set on its version.
struct TenantRecord {
  /// Only the name matters for a removal.
  Tenant m_tenant;
  bool m_is_removed = false;
  std::uint64_t m_expected_version = 0;
};

/// \brief What an operator excludes from service.
enum class ExclusionKind : std::uint8_t { kDomain, kTarget };

/// \brief Adds or removes an exclusion by compare-and-set on the version of the
/// exclusions.
struct ExclusionRecord {
  ExclusionKind m_kind = ExclusionKind::kDomain;
  std::string m_name;
  bool m_out = false;
  std::uint64_t m_expected_version = 0;
};

/// \brief Removes a member that no longer serves, as confirmed by the member
/// itself or by an operator because the member's VM is off.
struct ForceDownRecord {
  MemberId m_member = kNoMember;
};

/// \brief State after all records below an offset have been applied.
struct CheckpointRecord {
  /// First offset that is not part of the state.
  Offset m_next = 0;
  /// Null if the record only announces a checkpoint that is stored elsewhere.
  std::shared_ptr<const ControlState> m_state;
};

/// \brief Begins an era: the log has been restored from a copy, and the records
/// after that copy are lost. Ends all fencing tokens given before.
struct EraRecord {
  Era m_era = 0;
};

/// \brief Confirms that whatever lost records had granted has expired.
struct EraSettledRecord {
  Era m_era = 0;
};

/// \brief Asks a member that does not respond, and that no vote can remove, to
/// answer in the log.
struct SuspicionRecord {
  MemberId m_member = kNoMember;
};

/// \brief A member's answer to a suspicion.
struct RefutationRecord {
  MemberId m_member = kNoMember;
  /// Position of the suspicion.
  Position m_suspected_at = 0;
};

/// \brief Removes a member that has left a suspicion unanswered.
struct RemovalRecord {
  MemberId m_member = kNoMember;
  /// Position of the suspicion; without effect once it is answered.
  Position m_suspected_at = 0;
};

/// \brief A log entry that cannot be decoded as a record of figlug.
struct UnreadableRecord {};

using Record = std::variant<UnreadableRecord,
                            JoinRecord,
                            WatchersRecord,
                            VoteRecord,
                            WeightRecord,
                            DrainRecord,
                            LeaveRecord,
                            ReleaseRecord,
                            ProfileRecord,
                            ExclusionRecord,
                            ForceDownRecord,
                            CheckpointRecord,
                            MoveRecord,
                            EraRecord,
                            EraSettledRecord,
                            DepartureRecord,
                            TenantRecord,
                            SuspicionRecord,
                            RefutationRecord,
                            RemovalRecord>;

/// \brief Name of a record's kind, as used in logs.
[[nodiscard]] std::string_view NameOf(const Record& record) noexcept;

/// \brief One record with its offset in the log.
struct LogEntry {
  Offset m_offset = 0;
  AppendId m_append_id{0};
  Record m_record;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_RECORD_H_
