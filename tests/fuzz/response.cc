#include "response.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <optional>
#include <random>

#include <tl/expected.hpp>

#include "figlug/wire/response_reader.h"

namespace figlug::testing {
namespace {

using wire::FindHeader;
using wire::HttpResponse;

constexpr wire::ResponseLimits kLimits = {1U << 10, 1U << 10};
constexpr std::size_t kWhole = std::string_view::npos;
constexpr std::uint64_t kMaxPiece = 40;
constexpr int kSplits = 3;
constexpr int kHexBase = 16;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

struct Reading {
  tl::expected<HttpResponse, wire::ResponseError> m_result;
  std::size_t m_used = 0;
  bool m_keeps_connection = false;
  /// The reader claims to have read more than it was given.
  bool m_is_beyond_end = false;
};

/// Reads what a peer sends before it closes; each piece has the size that the
/// function returns.
template <class NextPiece>
Reading Read(std::string_view bytes, bool is_head, NextPiece&& next_piece) {
  wire::ResponseReader reader(kLimits, is_head);
  Reading reading;
  for (std::size_t arrived = 0;
       arrived < bytes.size() && !reader.is_complete();) {
    arrived += std::min<std::size_t>(next_piece(), bytes.size() - arrived);
    const std::vector<char> pending(
        bytes.begin() + static_cast<std::ptrdiff_t>(reading.m_used),
        bytes.begin() + static_cast<std::ptrdiff_t>(arrived));
    const auto used = reader.Read({pending.data(), pending.size()});
    if (!used) {
      reading.m_result = tl::unexpected(used.error());
      return reading;
    }
    reading.m_used += *used;
    if (reading.m_used > arrived) {
      reading.m_is_beyond_end = true;
      return reading;
    }
  }
  const bool is_framed = reader.is_complete();
  if (const auto ended = reader.End(); !ended) {
    reading.m_result = tl::unexpected(ended.error());
    return reading;
  }
  reading.m_keeps_connection = is_framed && reader.KeepsConnection();
  reading.m_result = reader.Take();
  return reading;
}

// Why bytes are rejected may depend on how they arrive: the reader need not
// look into a head before it has arrived.
bool IsSame(const Reading& a, const Reading& b) {
  if (!a.m_result || !b.m_result) {
    return a.m_result.has_value() == b.m_result.has_value();
  }
  return a.m_result->m_status == b.m_result->m_status &&
         a.m_result->m_headers == b.m_result->m_headers &&
         a.m_result->m_body == b.m_result->m_body && a.m_used == b.m_used &&
         a.m_keeps_connection == b.m_keeps_connection;
}

/// \returns Nothing unless the text is a chunked body and nothing else.
std::optional<std::string> Unchunk(std::string_view text) {
  std::string body;
  while (true) {
    std::size_t size = 0;
    const auto [stop, error] =
        std::from_chars(text.data(), text.data() + text.size(), size, kHexBase);
    const std::size_t line = text.find(kLineEnd);
    if (error != std::errc() || line == std::string_view::npos) {
      return std::nullopt;
    }
    text.remove_prefix(line + kLineEnd.size());
    if (size == 0) {
      return text == kLineEnd || text.ends_with(kHeadEnd) ? std::optional(body)
                                                          : std::nullopt;
    }
    if (text.size() < size || !text.substr(size).starts_with(kLineEnd)) {
      return std::nullopt;
    }
    body += text.substr(0, size);
    text.remove_prefix(size + kLineEnd.size());
  }
}

/// Whether the body is as long as the framing says, and follows all fields.
bool IsFramed(const HttpResponse& response,
              std::string_view used,
              bool is_head) {
  constexpr std::uint16_t no_content = 204;
  constexpr std::uint16_t not_modified = 304;
  if (is_head || response.m_status == no_content ||
      response.m_status == not_modified) {
    return response.m_body.empty();
  }
  if (const std::string* length =
          FindHeader(response.m_headers, "Content-Length")) {
    return std::to_string(response.m_body.size()) ==
               length->substr(std::min(length->find_first_not_of('0'),
                                       length->size() - 1)) &&
           used.ends_with(response.m_body);
  }
  if (FindHeader(response.m_headers, "Transfer-Encoding") == nullptr) {
    return used.ends_with(response.m_body);
  }
  // Interim responses have heads of their own.
  for (std::size_t at = used.find(kHeadEnd); at != std::string_view::npos;
       at = used.find(kHeadEnd, at + 1)) {
    const std::string_view head = used.substr(0, at);
    if (Unchunk(used.substr(at + kHeadEnd.size())) == response.m_body) {
      return std::ranges::all_of(
          response.m_headers, [&](const wire::Header& header) {
            return head.find(header.m_name) != std::string_view::npos;
          });
    }
  }
  return false;
}

bool IsFramingField(const wire::Header& header) {
  return wire::CountHeaders({header}, "Content-Length") +
             wire::CountHeaders({header}, "Transfer-Encoding") >
         0;
}

std::string WritePlainly(HttpResponse response) {
  std::erase_if(response.m_headers, IsFramingField);
  std::string text = "HTTP/1.1 " + std::to_string(response.m_status) + " \r\n";
  for (const wire::Header& header : response.m_headers) {
    text.append(header.m_name).append(": ").append(header.m_value) += kLineEnd;
  }
  text += "Content-Length: " + std::to_string(response.m_body.size());
  return text.append(kHeadEnd) + response.m_body;
}

std::string FindFault(std::string_view bytes,
                      const Reading& reading,
                      bool is_head) {
  constexpr std::uint16_t min_status = 200;
  constexpr std::uint16_t max_status = 599;
  const HttpResponse& response = *reading.m_result;
  if (response.m_status < min_status || response.m_status > max_status) {
    return "the status is out of range";
  }
  if (std::ranges::count_if(response.m_headers, IsFramingField) > 1) {
    return "the response has two framing fields";
  }
  if (response.m_body.size() > kLimits.m_body_bytes) {
    return "the body exceeds its limit";
  }
  if (!IsFramed(response, bytes.substr(0, reading.m_used), is_head)) {
    return "the body is not as long as its framing says";
  }
  const std::string plain = WritePlainly(response);
  if (plain.find(kHeadEnd) + kHeadEnd.size() > kLimits.m_head_bytes) {
    return "";
  }
  const Reading again = Read(plain, is_head, [] { return kWhole; });
  HttpResponse expected = response;
  std::erase_if(expected.m_headers, IsFramingField);
  expected.m_headers.push_back(
      {"Content-Length", std::to_string(expected.m_body.size())});
  return again.m_result && again.m_result->m_status == expected.m_status &&
                 again.m_result->m_headers == expected.m_headers &&
                 again.m_result->m_body == expected.m_body
             ? ""
             : "the response is rejected or changes when it is written plainly";
}

}  // namespace

Verdict CheckResponse(std::string_view bytes) {
  std::mt19937_64 random(std::hash<std::string_view>{}(bytes));
  Verdict verdict;
  for (const bool is_head : {false, true}) {
    const Reading whole = Read(bytes, is_head, [] { return kWhole; });
    if (whole.m_is_beyond_end) {
      return {true, "more bytes are used than were given"};
    }
    for (int split = 0; split < kSplits; ++split) {
      const std::uint64_t max_piece = split == 0 ? 1 : random() % kMaxPiece + 1;
      const Reading pieces =
          Read(bytes, is_head, [&] { return random() % max_piece + 1; });
      if (!IsSame(whole, pieces)) {
        return {true, "the result depends on how the bytes arrive"};
      }
    }
    if (whole.m_result) {
      verdict.m_is_accepted = true;
      verdict.m_fault = FindFault(bytes, whole, is_head);
      if (!verdict.m_fault.empty()) {
        return verdict;
      }
    }
  }
  return verdict;
}

}  // namespace figlug::testing
