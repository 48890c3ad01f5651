#include "figlug/runtime/headers.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

namespace figlug::runtime {
namespace {

constexpr std::int64_t kMaxDeadlineMs = 600'000;
constexpr std::string_view kRouterPrefix = "figlug-";
/// Hop-by-hop headers, and headers that the router handles or sets itself.
constexpr std::array<std::string_view, 12> kUnforwardedHeaders = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "traceparent"};

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool StartsWithIgnoreCase(std::string_view text, std::string_view prefix) {
  return text.size() >= prefix.size() &&
         EqualsIgnoreCase(text.substr(0, prefix.size()), prefix);
}

// The Connection header may list further hop-by-hop headers.
bool IsListedInConnection(const wire::Headers& headers, std::string_view name) {
  const std::string* connection = wire::FindHeader(headers, "Connection");
  if (connection == nullptr) {
    return false;
  }
  std::string_view rest = *connection;
  while (!rest.empty()) {
    const std::size_t comma = std::min(rest.find(','), rest.size());
    std::string_view item = rest.substr(0, comma);
    item.remove_prefix(std::min(item.find_first_not_of(' '), item.size()));
    if (EqualsIgnoreCase(item, name)) {
      return true;
    }
    rest.remove_prefix(std::min(comma + 1, rest.size()));
  }
  return false;
}

tl::unexpected<BadRequest> MakeError(std::string problem) {
  return tl::unexpected(BadRequest{std::move(problem)});
}

}  // namespace

tl::expected<core::CallHead, BadRequest> ParseCallHead(
    const wire::Headers& headers) {
  core::CallHead head;
  const std::string* service = wire::FindHeader(headers, kServiceHeader);
  if (service == nullptr || service->empty()) {
    return MakeError("header Figlug-Service is missing");
  }
  head.m_service = *service;
  if (const auto* key = wire::FindHeader(headers, kKeyHeader)) {
    head.m_key = *key;
  }
  // Two credentials identify nobody.
  if (wire::CountHeaders(headers, kCredentialHeader) == 1) {
    head.m_credential = *wire::FindHeader(headers, kCredentialHeader);
  }
  if (const auto* text = wire::FindHeader(headers, kRequestIdHeader)) {
    const auto id = core::ParseRequestId(*text);
    if (!id) {
      return MakeError(
          "header Figlug-Request-Id is not a UUID version 7: error at column " +
          std::to_string(id.error().m_column));
    }
    head.m_caller_id = *id;
  }
  if (const auto* text = wire::FindHeader(headers, kDeadlineHeader)) {
    std::int64_t ms = 0;
    const char* end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, ms);
    if (parsed.ec != std::errc() || parsed.ptr != end || ms < 1 ||
        ms > kMaxDeadlineMs) {
      return MakeError(
          "header Figlug-Deadline-Ms must be an integer, 1..600000");
    }
    head.m_deadline = std::chrono::milliseconds(ms);
  }
  return head;
}

wire::Headers EndToEndHeaders(const wire::Headers& headers) {
  wire::Headers kept;
  for (const wire::Header& header : headers) {
    const bool is_unforwarded = std::ranges::any_of(
        kUnforwardedHeaders,
        [&](auto name) { return EqualsIgnoreCase(name, header.m_name); });
    if (!is_unforwarded &&
        !StartsWithIgnoreCase(header.m_name, kRouterPrefix) &&
        !IsListedInConnection(headers, header.m_name)) {
      kept.push_back(header);
    }
  }
  return kept;
}

}  // namespace figlug::runtime
