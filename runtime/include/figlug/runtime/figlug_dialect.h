#ifndef FIGLUG_RUNTIME_FIGLUG_DIALECT_H_
#define FIGLUG_RUNTIME_FIGLUG_DIALECT_H_

#include <optional>
#include <string_view>

#include <tl/expected.hpp>

#include "figlug/core/node.h"
#include "figlug/runtime/dialect.h"
#include "figlug/wire/http_message.h"

namespace figlug::runtime {

/// \brief Figlug's own headers and status codes (docs/PROTOCOL.md).
class FiglugDialect {
 public:
  static constexpr bool kServesAdminPages = true;
  static constexpr bool kAlwaysTraces = true;
  static constexpr bool kProbesTarget = true;

  [[nodiscard]] tl::expected<core::CallHead, wire::HttpResponse> ParseCall(
      const wire::HttpRequest& request) const;
  [[nodiscard]] std::optional<wire::HttpResponse> Screen(
      const core::Node& node,
      core::Time now,
      const wire::HttpRequest& head) const;
  [[nodiscard]] wire::HttpResponse MakeErrorResponse(
      const wire::HttpRequest& request,
      const core::FinishCall& end) const;
  [[nodiscard]] wire::Headers RequestHeaders(
      const wire::Headers& headers,
      const core::Tenancy& tenancy) const;
  [[nodiscard]] wire::Headers ResponseHeaders(
      const wire::HttpRequest& request,
      const wire::HttpResponse& response) const;
  [[nodiscard]] wire::HttpRequest MakeTargetRequest(
      const wire::HttpRequest& request,
      const core::AttemptHead& head,
      const core::DispatchWork& work) const;
  [[nodiscard]] std::string_view RequestIdOf(
      const wire::HttpRequest& request) const;
  [[nodiscard]] std::string_view EchoedIdOf(
      const wire::HttpResponse& response) const;
  /// \brief Rejects a response that names another request. Targets need not
  /// name the request; a response without a name is accepted.
  [[nodiscard]] ResponseTie MakeResponseTie(
      const wire::HttpRequest& request) const;
  [[nodiscard]] core::TargetResult ClassifyResponse(
      const wire::HttpRequest& request,
      const wire::HttpResponse& response) const;
};

static_assert(Dialect<FiglugDialect>);

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_FIGLUG_DIALECT_H_
