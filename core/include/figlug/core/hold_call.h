#ifndef FIGLUG_CORE_HOLD_CALL_H_
#define FIGLUG_CORE_HOLD_CALL_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "figlug/core/ids.h"
#include "figlug/core/target_report.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief How a target learns which keys it holds.
enum class HoldDelivery : std::uint8_t {
  /// The replies to its reports name all of them.
  kPulled,
  /// It is called for each range.
  kPushed,
};

/// \brief Grant a range of keys to the target, or renew it.
struct GrantKeys {
  HoldCallId m_id{0};
  std::string m_target;
  GrantedRange m_range;
  /// Time for which the target may hold the keys, from the call's arrival.
  Duration m_hold{};
  /// Time after which the call counts as unanswered and its connection is
  /// closed, so that it cannot arrive any later.
  Duration m_timeout{};
  bool m_is_renewal = false;
};

/// \brief Take a range of keys back from the target.
struct ReleaseKeys {
  HoldCallId m_id{0};
  std::string m_target;
  KeyRange m_keys;
  Position m_fence = 0;
  Duration m_timeout{};
};

/// \brief The result of a GrantKeys or ReleaseKeys.
enum class HoldResult : std::uint8_t {
  /// Granted, or released with all work ended.
  kDone,
  /// The target has seen a higher fence on one of the keys.
  kFenced,
  /// The call had no effect, and never will.
  kNotApplied,
  /// It may have had an effect, or have one later.
  kUnanswered,
  /// The same, and no connection to the target is left: the target's process
  /// may have been replaced.
  kDisconnected,
};

/// \brief Name of a result, as used in logs.
[[nodiscard]] std::string_view ToString(HoldResult result) noexcept;

/// \brief The target's answer to a GrantKeys or ReleaseKeys.
struct HoldAnswer {
  HoldResult m_result = HoldResult::kUnanswered;
  /// Handover token of released keys; empty for none.
  std::string m_handover;
};

/// \brief Slices that a target has released, or whose fence it refuses.
struct HoldEvent {
  HoldResult m_result = HoldResult::kDone;
  SliceIndex m_first = 0;
  SliceIndex m_last = 0;
  Position m_fence = 0;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_HOLD_CALL_H_
