#ifndef FIGLUG_CORE_TARGET_REPORT_H_
#define FIGLUG_CORE_TARGET_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "figlug/core/ids.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief A contiguous key range, both ends inclusive.
struct KeyRange {
  std::uint32_t m_first = 0;
  std::uint32_t m_last = 0;

  bool operator==(const KeyRange&) const = default;
};

/// \brief Keys that a target has released.
struct ReleasedRange {
  KeyRange m_keys;
  /// Handover token with which the next holder can skip the warm-up.
  std::string m_handover;
};

/// \brief A target's heartbeat.
struct TargetReport {
  std::string m_target;
  std::string m_service;
  /// Start of the target's current incarnation, Unix ms.
  std::int64_t m_start_ms = 0;
  /// Increases with each report of an incarnation.
  std::uint64_t m_sequence = 0;
  std::uint32_t m_slots = 0;
  bool m_is_draining = false;
  /// Time until the target is warm.
  Duration m_cold_time_left{};
  /// Whether the report says which keys the target holds and has released;
  /// targets of services that are not divided by key do not.
  bool m_lists_keys = true;
  /// Keys that the target holds or still has work for.
  std::vector<KeyRange> m_held;
  /// Keys released since the last acknowledged report.
  std::vector<ReleasedRange> m_released;
};

/// \brief A target's notice that it leaves.
struct TargetLeave {
  std::string m_target;
  /// Start of the incarnation that leaves, Unix ms; unset if it does not say.
  std::optional<std::int64_t> m_start_ms;
};

/// \brief Keys that a target may hold.
struct GrantedRange {
  KeyRange m_keys;
  Position m_fence = 0;
  /// Handover token of the previous holder; empty for none.
  std::string m_handover;
};

/// \brief The reply to a report: all keys that the target may hold.
struct HoldGrant {
  /// False when the reply renews no holds.
  bool m_is_granted = false;
  /// Time for which the target may hold the keys, from when it sent its report.
  Duration m_hold{};
  std::vector<GrantedRange> m_ranges;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_TARGET_REPORT_H_
