#ifndef FIGLUG_CORE_OUTCOME_H_
#define FIGLUG_CORE_OUTCOME_H_

#include <cstdint>
#include <string_view>

namespace figlug::core {

/// \brief What is known about the execution of a request.
enum class Outcome : std::uint8_t {
  /// The target returned a complete response.
  kAnswered,
  /// The target has not executed the request and will not execute it.
  kNotRun,
  /// The target may or may not have executed the request.
  kUnknown,
};

/// \brief Why a request got no complete response.
enum class Reason : std::uint8_t {
  kNone,
  kUnknownService,
  kWrongRegion,
  kNoTarget,
  kNotOwner,
  kNoLease,
  kStopping,
  kExcluded,
  kOverloaded,
  kDeadline,
  kTargetShed,
  kTargetUnreachable,
  kTargetFailed,
  kPeerUnreachable,
  kPeerLost,
  kDuplicate,
  kCancelled,
  kBadRequestId,
  kUnknownRoute,
  /// No configuration from the operators has been received yet.
  kNoRouting,
  /// The target responded with an error of its own.
  kTargetError,
  /// The target does not hold the request's key, or is not the one that the
  /// request was sent to.
  kTargetMisdirected,
};

/// \brief Number of enumerators of Reason.
inline constexpr std::uint8_t kReasonCount =
    static_cast<std::uint8_t>(Reason::kTargetMisdirected) + 1;

/// \brief Name of a reason, as used in responses and logs.
[[nodiscard]] std::string_view ToString(Reason reason) noexcept;
[[nodiscard]] std::string_view ToString(Outcome outcome) noexcept;

}  // namespace figlug::core

#endif  // FIGLUG_CORE_OUTCOME_H_
