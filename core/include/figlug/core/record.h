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

namespace figlug::core {

/// \brief A new member with its first watcher set.
struct JoinRecord {
  MemberInfo m_info;
  std::vector<MemberId> m_watchers;
};

/// \brief Replaces a member's watcher set; void unless the generation follows.
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
  /// Cast by another member for a watcher that was itself voted down.
  bool m_is_substitute = false;
};

/// \brief Raises a member's share of its service's slices.
struct WeightRecord {
  MemberId m_member = kNoMember;
  /// More than before, up to kMaxWeight.
  std::uint32_t m_weight = 0;
};

/// \brief A member that is about to stop: its slices go to others.
struct DrainRecord {
  MemberId m_member = kNoMember;
};

/// \brief A member that has stopped and holds nothing any more.
struct LeaveRecord {
  MemberId m_member = kNoMember;
};

/// \brief Slices of its service that a former owner has let go of.
struct ReleaseRecord {
  MemberId m_member = kNoMember;
  /// Records up to here were folded when the slices were let go.
  Offset m_folded = 0;
  std::vector<SliceIndex> m_slices;
};

/// \brief An owner gives slices to another member of its service.
struct MoveRecord {
  MemberId m_from = kNoMember;
  MemberId m_to = kNoMember;
  /// Records up to here were folded; slices assigned later are not moved.
  Offset m_folded = 0;
  std::vector<SliceIndex> m_slices;
};

/// \brief Publishes a profile by compare-and-set on its version.
struct ProfileRecord {
  Profile m_profile;
  std::uint64_t m_expected_version = 0;
};

/// \brief What an operator takes out or brings back.
enum class ExclusionKind : std::uint8_t { kDomain, kTarget };

/// \brief Takes out or brings back, by compare-and-set on the exclusions.
struct ExclusionRecord {
  ExclusionKind m_kind = ExclusionKind::kDomain;
  std::string m_name;
  bool m_out = false;
  std::uint64_t m_expected_version = 0;
};

/// \brief Word that a member serves no more: an operator's, whose VM is off,
/// or its own.
struct ForceDownRecord {
  MemberId m_member = kNoMember;
};

/// \brief The state folded from all records up to a base offset.
struct CheckpointRecord {
  /// First offset that is not part of the state.
  Offset m_next = 0;
  /// Unset in a notice of a checkpoint that is kept elsewhere.
  std::shared_ptr<const ControlState> m_state;
};

/// \brief Bytes in the log that are no record of ours.
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
                            MoveRecord>;

/// \brief Short name of a record's kind, as logs show it.
[[nodiscard]] std::string_view NameOf(const Record& record) noexcept;

/// \brief One record at its place in the log.
struct LogEntry {
  Offset m_offset = 0;
  AppendId m_append_id{0};
  Record m_record;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_RECORD_H_
