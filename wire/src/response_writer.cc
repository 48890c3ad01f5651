#include "figlug/wire/response_writer.h"

#include <algorithm>
#include <ostream>
#include <string_view>

#include <boost/beast/http/status.hpp>

namespace figlug::wire {
namespace {

namespace http = boost::beast::http;

constexpr std::uint16_t kMinFinalStatus = 200;
constexpr std::uint16_t kMaxStatus = 599;
constexpr std::uint16_t kNoContent = 204;
constexpr std::uint16_t kNotModified = 304;

void AppendField(std::string& head,
                 std::string_view name,
                 std::string_view value) {
  head.append(name).append(": ").append(value).append("\r\n");
}

}  // namespace

bool IsWritable(const HttpResponse& response) noexcept {
  return response.m_status >= kMinFinalStatus &&
         response.m_status <= kMaxStatus &&
         std::ranges::all_of(response.m_headers, [](const Header& header) {
           return IsValidField(header.m_name, header.m_value);
         });
}

bool HasBody(const HttpResponse& response, bool is_head_request) noexcept {
  return !is_head_request && response.m_status != kNoContent &&
         response.m_status != kNotModified;
}

std::string EncodeResponseHead(const HttpResponse& response,
                               bool is_head_request,
                               ConnectionOption option) {
  const auto reason =
      http::obsolete_reason(http::int_to_status(response.m_status));
  std::string head = "HTTP/1.1 " + std::to_string(response.m_status) + " ";
  head.append(reason.data(), reason.size()).append("\r\n");
  const bool has_body = HasBody(response, is_head_request);
  for (const Header& header : response.m_headers) {
    // The length of a body that is not sent is known to the sender alone.
    const bool is_written = !IsNamed(header, "Transfer-Encoding") &&
                            !(has_body && IsNamed(header, "Content-Length"));
    if (is_written) {
      AppendField(head, header.m_name, header.m_value);
    }
  }
  const bool has_length =
      !has_body && FindHeader(response.m_headers, "Content-Length") != nullptr;
  if (has_body || (is_head_request && !has_length)) {
    AppendField(head, "Content-Length", std::to_string(response.m_body.size()));
  }
  if (FindHeader(response.m_headers, "Connection") == nullptr &&
      option != ConnectionOption::kNone) {
    AppendField(head, "Connection",
                option == ConnectionOption::kClose ? "close" : "keep-alive");
  }
  return head + "\r\n";
}

}  // namespace figlug::wire
