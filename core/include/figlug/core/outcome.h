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
  /// The request's credential is missing or belongs to no tenant.
  kUnknownCredential,
  /// The configuration in force may be too old to tell whether a credential has
  /// been revoked.
  kStaleConfiguration,
  /// The tenant has used up its quota.
  kOverQuota,
  /// Whether the tenant's quota has room cannot be found out now.
  kQuotaUnknown,
  /// Route and tenant have no home region in common.
  kNoCommonRegion,
};

/// \brief Number of enumerators of Reason.
inline constexpr std::uint8_t kReasonCount =
    static_cast<std::uint8_t>(Reason::kNoCommonRegion) + 1;

/// \brief Name of a reason, as used in responses and logs.
[[nodiscard]] std::string_view ToString(Reason reason) noexcept;
[[nodiscard]] std::string_view ToString(Outcome outcome) noexcept;

}  // namespace figlug::core

#endif  // FIGLUG_CORE_OUTCOME_H_
