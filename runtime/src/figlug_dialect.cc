#include "figlug/runtime/figlug_dialect.h"

#include <string>
#include <utility>
#include <vector>

#include "figlug/runtime/headers.h"

namespace figlug::runtime {
namespace {

using core::Outcome;
using core::Reason;

constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kUnauthorized = 401;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kConflict = 409;
constexpr std::uint16_t kMisdirected = 421;
constexpr std::uint16_t kTooManyRequests = 429;
constexpr std::uint16_t kBadGateway = 502;
constexpr std::uint16_t kUnavailable = 503;
constexpr std::uint16_t kGatewayTimeout = 504;

std::uint16_t ChooseStatus(Outcome outcome, Reason reason) {
  switch (reason) {
    case Reason::kUnknownService:
      return kNotFound;
    case Reason::kWrongRegion:
      return kMisdirected;
    case Reason::kDeadline:
      return kGatewayTimeout;
    case Reason::kUnknownCredential:
      return kUnauthorized;
    case Reason::kOverQuota:
      return kTooManyRequests;
    case Reason::kDuplicate:
      return kConflict;
    case Reason::kBadRequestId:
      return kBadRequest;
    default:
      return outcome == Outcome::kNotRun ? kUnavailable : kBadGateway;
  }
}

wire::HttpResponse MakeRefusal(Outcome outcome, Reason reason) {
  const std::string outcome_name(core::ToString(outcome));
  const std::string reason_name(core::ToString(reason));
  return {ChooseStatus(outcome, reason),
          {{std::string(kOutcomeHeader), outcome_name},
           {std::string(kReasonHeader), reason_name}},
          outcome_name + ": " + reason_name + "\n"};
}

wire::HttpResponse MakeBadRequest(const std::string& problem) {
  return {kBadRequest,
          {{std::string(kOutcomeHeader), "not-run"},
           {std::string(kReasonHeader), "bad-request"}},
          "not-run: " + problem + "\n"};
}

std::string JoinNames(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

wire::Header MakeHeader(std::string_view name, std::string value) {
  return {std::string(name), std::move(value)};
}

}  // namespace

tl::expected<core::CallHead, wire::HttpResponse> FiglugDialect::ParseCall(
    const wire::HttpRequest& request) const {
  auto head = ParseCallHead(request.m_headers);
  if (!head) {
    return tl::unexpected(MakeBadRequest(head.error().m_problem));
  }
  return std::move(*head);
}

std::optional<wire::HttpResponse> FiglugDialect::Screen(
    const core::Node& node,
    core::Time now,
    const wire::HttpRequest& head) const {
  const auto call = ParseCall(head);
  if (!call) {
    return call.error();
  }
  const Reason reason = node.Screen(now, *call);
  const core::Profile& profile = node.state().ProfileOf(call->m_service);
  if (reason == Reason::kNone) {
    return profile.m_keyed && call->m_key.empty()
               ? std::optional(MakeBadRequest("header Figlug-Key is missing"))
               : std::nullopt;
  }
  wire::HttpResponse refusal = MakeRefusal(Outcome::kNotRun, reason);
  if (reason == Reason::kWrongRegion) {
    refusal.m_headers.push_back(
        MakeHeader("Figlug-Home-Regions", JoinNames(profile.m_home_regions)));
  }
  return refusal;
}

wire::HttpResponse FiglugDialect::MakeErrorResponse(
    const wire::HttpRequest&,
    const core::FinishCall& end) const {
  return MakeRefusal(end.m_outcome, end.m_reason);
}

wire::Headers FiglugDialect::RequestHeaders(
    const wire::Headers& headers,
    const core::Tenancy& tenancy) const {
  wire::Headers kept = EndToEndHeaders(headers);
  if (!tenancy.m_tenant.empty()) {
    kept.push_back(MakeHeader(kTenantHeader, tenancy.m_tenant));
  }
  return kept;
}

// The response to HEAD has a Content-Length but no body to compute it from.
wire::Headers FiglugDialect::ResponseHeaders(
    const wire::HttpRequest& request,
    const wire::HttpResponse& response) const {
  wire::Headers headers = EndToEndHeaders(response.m_headers);
  const std::string* length =
      wire::FindHeader(response.m_headers, "Content-Length");
  if (request.m_method == "HEAD" && length != nullptr) {
    headers.push_back({"Content-Length", *length});
  }
  return headers;
}

wire::HttpRequest FiglugDialect::MakeTargetRequest(
    const wire::HttpRequest& request,
    const core::AttemptHead& head,
    const core::DispatchWork& work) const {
  wire::HttpRequest out = request;
  const auto left_ms =
      std::chrono::ceil<std::chrono::milliseconds>(work.m_time_left);
  out.m_headers.push_back(
      MakeHeader(kDeadlineHeader, std::to_string(left_ms.count())));
  out.m_headers.push_back(
      MakeHeader(kRequestIdHeader, core::ToString(head.m_request_id)));
  if (work.m_fence.m_epoch > 0) {
    out.m_headers.push_back(MakeHeader(
        kFenceHeader, work.m_fence.m_service + "/" +
                          std::to_string(work.m_fence.m_slice) + "/" +
                          std::to_string(work.m_fence.m_epoch)));
  }
  return out;
}

std::string_view FiglugDialect::RequestIdOf(
    const wire::HttpRequest& request) const {
  const auto* trace = wire::FindHeader(request.m_headers, kTraceparentHeader);
  return trace == nullptr ? std::string_view() : std::string_view(*trace);
}

std::string_view FiglugDialect::EchoedIdOf(
    const wire::HttpResponse& response) const {
  const auto* id = wire::FindHeader(response.m_headers, kRequestIdHeader);
  return id == nullptr ? std::string_view() : std::string_view(*id);
}

// Targets need not name the request.
ResponseTie FiglugDialect::MakeResponseTie(
    const wire::HttpRequest& request) const {
  const auto* id = wire::FindHeader(request.m_headers, kRequestIdHeader);
  if (id == nullptr) {
    return {};
  }
  return {*id, [id = *id](const wire::HttpResponse& response) {
            const auto* echoed =
                wire::FindHeader(response.m_headers, kRequestIdHeader);
            if (wire::CountHeaders(response.m_headers, kRequestIdHeader) > 1) {
              return ResponseMatch::kUnnamed;
            }
            return echoed == nullptr || *echoed == id ? ResponseMatch::kOwn
                                                      : ResponseMatch::kForeign;
          }};
}

core::TargetResult FiglugDialect::ClassifyResponse(
    const wire::HttpRequest&,
    const wire::HttpResponse& response) const {
  if (wire::FindHeader(response.m_headers, kNotRunHeader) != nullptr) {
    return {Outcome::kNotRun, Reason::kTargetShed};
  }
  return {};
}

}  // namespace figlug::runtime
