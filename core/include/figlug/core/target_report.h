#ifndef FIGLUG_CORE_TARGET_REPORT_H_
#define FIGLUG_CORE_TARGET_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "figlug/core/ids.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Adjoining keys, both ends included.
struct KeyRange {
  std::uint32_t m_first = 0;
  std::uint32_t m_last = 0;

  bool operator==(const KeyRange&) const = default;
};

/// \brief Keys that a target has let go of.
struct ReleasedRange {
  KeyRange m_keys;
  /// Token that spares the next holder a warm-up.
  std::string m_handover;
};

/// \brief What a target says of itself in a heartbeat.
struct TargetReport {
  std::string m_target;
  std::string m_service;
  /// Start of its present incarnation, Unix ms.
  std::int64_t m_start_ms = 0;
  /// Rises with each report of an incarnation.
  std::uint64_t m_sequence = 0;
  std::uint32_t m_slots = 0;
  bool m_is_draining = false;
  /// Time for which the target is still cold.
  Duration m_cold_time_left{};
  /// Keys that it holds or still works on.
  std::vector<KeyRange> m_held;
  /// Keys let go of since the last acknowledged report.
  std::vector<ReleasedRange> m_released;
};

/// \brief Keys that a target may hold.
struct GrantedRange {
  KeyRange m_keys;
  Offset m_fence = 0;
  /// Token of the former holder; empty for none.
  std::string m_handover;
};

/// \brief The answer to a report: all that the target is to hold.
struct HoldGrant {
  /// Unset when the answer renews nothing.
  bool m_is_granted = false;
  /// How long the target may hold the keys, from when it sent its report.
  Duration m_hold{};
  std::vector<GrantedRange> m_ranges;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_TARGET_REPORT_H_
