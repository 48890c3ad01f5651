#include "figlug/core/outcome.h"

#include <array>

namespace figlug::core {
namespace {

constexpr std::array<std::string_view, kReasonCount> kReasonNames = {
    "none",
    "unknown-service",
    "wrong-region",
    "no-target",
    "not-owner",
    "no-lease",
    "stopping",
    "excluded",
    "overloaded",
    "deadline",
    "target-shed",
    "target-unreachable",
    "target-failed",
    "peer-unreachable",
    "peer-lost",
    "duplicate",
    "cancelled",
    "bad-request-id",
    "unknown-route",
    "no-routing",
    "target-error",
    "target-misdirected",
    "unknown-credential",
    "stale-configuration",
    "over-quota",
    "quota-unknown",
    "no-common-region",
};

constexpr std::array<std::string_view, 3> kOutcomeNames = {
    "answered", "not-run", "unknown"};

}  // namespace

std::string_view ToString(Reason reason) noexcept {
  return kReasonNames[static_cast<std::size_t>(reason)];
}

std::string_view ToString(Outcome outcome) noexcept {
  return kOutcomeNames[static_cast<std::size_t>(outcome)];
}

}  // namespace figlug::core
