#ifndef FIGLUG_CORE_STATE_CHANGE_H_
#define FIGLUG_CORE_STATE_CHANGE_H_

#include <cstdint>
#include <string_view>

#include "figlug/core/ids.h"

namespace figlug::core {

/// \brief The state changes that a process writes to its decision log.
enum class StateChangeKind : std::uint8_t {
  /// A record of the log was applied.
  kRecordApplied,
  /// A record of the log had no effect.
  kRecordRejected,
  kTargetUp,
  kTargetDown,
  kTargetDraining,
  kTargetReplaced,
  kDomainsExcluded,
  kLeaseHeld,
  kLeaseLost,
  /// The keys that the target may hold have changed.
  kHoldsChanged,
  /// This member reads the store for its domain.
  kReaderStarted,
  kReaderStopped,
  /// The target has named the requests per second that it takes.
  kTargetLimited,
  kTargetUnlimited,
  /// The log has been restored from a copy; the count is its era.
  kLogRestored,
};

inline constexpr std::uint8_t kStateChangeKindCount =
    static_cast<std::uint8_t>(StateChangeKind::kLogRestored) + 1;

/// \brief Event name in the decision log.
[[nodiscard]] std::string_view ToString(StateChangeKind kind) noexcept;

/// \brief A state change and what caused it.
struct StateChanged {
  StateChangeKind m_change = StateChangeKind::kRecordApplied;
  /// Member concerned, or kNoMember.
  MemberId m_member = kNoMember;
  /// Kind of the record that caused it; empty for none.
  std::string_view m_record;
  /// First offset of the log that was not applied at that time.
  Offset m_next = 0;
  /// Number of keys, domains or requests per second concerned, or an era.
  std::uint64_t m_count = 0;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_STATE_CHANGE_H_
