#ifndef FIGLUG_CORE_STATE_CHANGE_H_
#define FIGLUG_CORE_STATE_CHANGE_H_

#include <cstdint>
#include <string_view>

#include "figlug/core/ids.h"

namespace figlug::core {

/// \brief What a process may change its mind about.
enum class StateChangeKind : std::uint8_t {
  /// A record of the log took effect.
  kRecordApplied,
  /// A record of the log was void.
  kRecordRejected,
  kTargetUp,
  kTargetDown,
  kTargetDraining,
  kTargetReplaced,
  kDomainsExcluded,
  kLeaseHeld,
  kLeaseLost,
  /// The slices that the target is to hold are others than before.
  kHoldsChanged,
};

/// \brief The number of beliefs.
inline constexpr std::uint8_t kStateChangeKindCount =
    static_cast<std::uint8_t>(StateChangeKind::kHoldsChanged) + 1;

/// \brief Short name of a belief, as logs show it.
[[nodiscard]] std::string_view ToString(StateChangeKind belief) noexcept;

/// \brief A change of mind, with what decided it.
struct StateChanged {
  StateChangeKind m_change = StateChangeKind::kRecordApplied;
  /// Member that it is about, or kNoMember.
  MemberId m_member = kNoMember;
  /// Kind of the record that decided it, empty for none.
  std::string_view m_record;
  /// First offset of the log that was not folded then.
  Offset m_next = 0;
  /// Slices or domains that it is about.
  std::uint64_t m_count = 0;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_STATE_CHANGE_H_
