#ifndef FIGLUG_RUNTIME_HEADERS_H_
#define FIGLUG_RUNTIME_HEADERS_H_

#include <string_view>

#include <tl/expected.hpp>

#include "figlug/core/ingress.h"
#include "figlug/wire/http_message.h"

namespace figlug::runtime {

inline constexpr std::string_view kServiceHeader = "Figlug-Service";
inline constexpr std::string_view kKeyHeader = "Figlug-Key";
/// \brief Identifies a tenant; never forwarded.
inline constexpr std::string_view kCredentialHeader = "Figlug-Credential";
/// \brief Names the tenant to targets.
inline constexpr std::string_view kTenantHeader = "Figlug-Tenant";
inline constexpr std::string_view kRequestIdHeader = "Figlug-Request-Id";
inline constexpr std::string_view kDeadlineHeader = "Figlug-Deadline-Ms";
inline constexpr std::string_view kFenceHeader = "Figlug-Fence";
inline constexpr std::string_view kOutcomeHeader = "Figlug-Outcome";
inline constexpr std::string_view kReasonHeader = "Figlug-Reason";
inline constexpr std::string_view kNotRunHeader = "Figlug-Not-Run";
inline constexpr std::string_view kTraceparentHeader = "traceparent";

/// \brief A request whose headers are missing or invalid.
struct BadRequest {
  std::string m_problem;
};

/// \brief Extracts what routing decisions need from a request's headers.
[[nodiscard]] tl::expected<core::CallHead, BadRequest> ParseCallHead(
    const wire::Headers& headers);

/// \brief Returns the headers to forward: without hop-by-hop headers, those
/// that the router handles or sets itself, and the router's own.
[[nodiscard]] wire::Headers EndToEndHeaders(const wire::Headers& headers);

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_HEADERS_H_
