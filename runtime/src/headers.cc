#include "figlug/runtime/headers.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

namespace figlug::runtime {
namespace {

constexpr std::int64_t kMostDeadlineMs = 600'000;
constexpr std::string_view kOwnPrefix = "figlug-";
constexpr std::array<std::string_view, 12> kHopByHop = {"connection",
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

bool EqualNames(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool StartsWithName(std::string_view text, std::string_view prefix) {
  return text.size() >= prefix.size() &&
         EqualNames(text.substr(0, prefix.size()), prefix);
}

// The sender may name further fields that end at this hop.
bool IsNamedByConnection(const wire::Headers& headers, std::string_view name) {
  const std::string* connection = wire::FindHeader(headers, "Connection");
  if (connection == nullptr) {
    return false;
  }
  std::string_view rest = *connection;
  while (!rest.empty()) {
    const std::size_t comma = std::min(rest.find(','), rest.size());
    std::string_view item = rest.substr(0, comma);
    item.remove_prefix(std::min(item.find_first_not_of(' '), item.size()));
    if (EqualNames(item, name)) {
      return true;
    }
    rest.remove_prefix(std::min(comma + 1, rest.size()));
  }
  return false;
}

tl::unexpected<BadRequest> Bad(std::string problem) {
  return tl::unexpected(BadRequest{std::move(problem)});
}

}  // namespace

tl::expected<core::CallHead, BadRequest> ParseCallHead(
    const wire::Headers& headers) {
  core::CallHead head;
  const std::string* service = wire::FindHeader(headers, kServiceHeader);
  if (service == nullptr || service->empty()) {
    return Bad("header Figlug-Service is missing");
  }
  head.m_service = *service;
  if (const auto* key = wire::FindHeader(headers, kKeyHeader)) {
    head.m_key = *key;
  }
  if (const auto* text = wire::FindHeader(headers, kRequestIdHeader)) {
    const auto id = core::ParseRequestId(*text);
    if (!id) {
      return Bad("header Figlug-Request-Id is no UUID version 7: column " +
                 std::to_string(id.error().m_column));
    }
    head.m_caller_id = *id;
  }
  if (const auto* text = wire::FindHeader(headers, kDeadlineHeader)) {
    std::int64_t ms = 0;
    const char* end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, ms);
    if (parsed.ec != std::errc() || parsed.ptr != end || ms < 1 ||
        ms > kMostDeadlineMs) {
      return Bad("header Figlug-Deadline-Ms is no number from 1 to 600000");
    }
    head.m_deadline = std::chrono::milliseconds(ms);
  }
  return head;
}

wire::Headers EndToEndHeaders(const wire::Headers& headers) {
  wire::Headers kept;
  for (const wire::Header& header : headers) {
    const bool is_hop = std::ranges::any_of(
        kHopByHop, [&](auto name) { return EqualNames(name, header.m_name); });
    if (!is_hop && !StartsWithName(header.m_name, kOwnPrefix) &&
        !IsNamedByConnection(headers, header.m_name)) {
      kept.push_back(header);
    }
  }
  return kept;
}

}  // namespace figlug::runtime
