#ifndef FIGLUG_RUNTIME_DIALECT_H_
#define FIGLUG_RUNTIME_DIALECT_H_

#include <concepts>
#include <optional>
#include <string_view>

#include <tl/expected.hpp>

#include "figlug/core/node.h"
#include "figlug/runtime/http_client.h"
#include "figlug/wire/http_message.h"

namespace figlug::runtime {

/// \brief The HTTP conventions, such as header names and status codes, that the
/// router uses with callers and targets.
///
/// - ParseCall extracts what routing decisions need, or returns the response to
///   an invalid request.
/// - Screen returns a response if the headers alone suffice to reject a
/// request.
/// - MakeErrorResponse builds the response to a call that no target answered.
/// - RequestHeaders and ResponseHeaders return the headers to forward. Those of
/// a
///   request name its tenant where tenants are configured, and no credential.
/// - MakeTargetRequest adds the router's own headers.
/// - ClassifyResponse derives a call's outcome from the target's response.
/// - MakeResponseTie returns how the responses on a connection are tied to the
///   request.
/// - RequestIdOf returns the id of a request for logs and traces.
/// - EchoedIdOf returns the id of the request that a target's response names,
/// or
///   nothing.
template <class T>
concept Dialect = requires(const T dialect,
                           const core::Node& node,
                           core::Time now,
                           const core::Tenancy& tenancy,
                           const wire::HttpRequest& request,
                           const wire::HttpResponse& response,
                           const core::FinishCall& end,
                           const core::AttemptHead& head,
                           const core::DispatchWork& work) {
  {
    dialect.ParseCall(request)
    } -> std::same_as<tl::expected<core::CallHead, wire::HttpResponse>>;
  {
    dialect.Screen(node, now, request)
    } -> std::same_as<std::optional<wire::HttpResponse>>;
  {
    dialect.MakeErrorResponse(request, end)
    } -> std::same_as<wire::HttpResponse>;
  {
    dialect.RequestHeaders(request.m_headers, tenancy)
    } -> std::same_as<wire::Headers>;
  { dialect.ResponseHeaders(request, response) } -> std::same_as<wire::Headers>;
  {
    dialect.MakeTargetRequest(request, head, work)
    } -> std::same_as<wire::HttpRequest>;
  {
    dialect.ClassifyResponse(request, response)
    } -> std::same_as<core::TargetResult>;
  { dialect.MakeResponseTie(request) } -> std::same_as<ResponseTie>;
  { dialect.RequestIdOf(request) } -> std::convertible_to<std::string_view>;
  { dialect.EchoedIdOf(response) } -> std::convertible_to<std::string_view>;
  { T::kServesAdminPages } -> std::convertible_to<bool>;
  { T::kAlwaysTraces } -> std::convertible_to<bool>;
  { T::kProbesTarget } -> std::convertible_to<bool>;
};

/// \brief A dialect whose targets are called for the keys that they hold.
///
/// - MakeGrantRequest and MakeReleaseRequest build the calls.
/// - MakeHoldTie is MakeResponseTie for these calls.
/// - ParseHoldAnswer derives what the response to either says.
template <class T>
concept HoldDialect = requires(const T dialect,
                               const core::GrantKeys& grant,
                               const core::ReleaseKeys& release,
                               const wire::HttpRequest& request,
                               const wire::HttpResponse& response) {
  { dialect.MakeGrantRequest(grant) } -> std::same_as<wire::HttpRequest>;
  { dialect.MakeReleaseRequest(release) } -> std::same_as<wire::HttpRequest>;
  { dialect.MakeHoldTie(request) } -> std::same_as<ResponseTie>;
  { dialect.ParseHoldAnswer(response) } -> std::same_as<core::HoldAnswer>;
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_DIALECT_H_
