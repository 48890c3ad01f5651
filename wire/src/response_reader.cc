// Assertions of the parser would end the process for bytes from outside: one of
// them does not hold for a last chunk that arrives in pieces.
#define BOOST_DISABLE_ASSERTS

#include "figlug/wire/response_reader.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace figlug::wire {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;

constexpr int kMinStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kMinFinalStatus = 200;
constexpr int kMaxStatus = 599;
/// HTTP/1.1, as the parser writes versions.
constexpr int kFirstVersionWithCodings = 11;
/// Interim responses that are passed over before one final response.
constexpr int kMaxInterimResponses = 8;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

// Readers disagree on values that go on in the next line.
bool ContainsFold(std::string_view head) {
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

ResponseError ToResponseError(const error_code& error) {
  if (error == http::error::header_limit || error == http::error::body_limit ||
      error == http::error::buffer_overflow) {
    return ResponseError::kTooLarge;
  }
  return error == http::error::partial_message ? ResponseError::kIncomplete
                                               : ResponseError::kMalformed;
}

}  // namespace

// A head that is cut off in its reason phrase or in a value is completed by the
// head of the next response, so that status and fields come from two responses.
bool ContainsStatusLine(std::string_view text) noexcept {
  constexpr std::string_view protocol = "HTTP/";
  constexpr std::string_view shape = "0.0 000";
  for (std::size_t at = text.find(protocol); at != std::string_view::npos;
       at = text.find(protocol, at + 1)) {
    const std::string_view rest = text.substr(at + protocol.size());
    if (rest.size() >= shape.size() &&
        std::equal(
            shape.begin(), shape.end(), rest.begin(),
            [](char a, char b) { return a == '0' ? IsDigit(b) : a == b; })) {
      return true;
    }
  }
  return false;
}

class ResponseReader::Parser : public http::basic_parser<false> {
 public:
  Parser(const ResponseLimits& limits, bool is_head_request) {
    eager(false);
    header_limit(static_cast<std::uint32_t>(limits.m_head_bytes));
    body_limit(limits.m_body_bytes);
    skip(is_head_request);
  }

  [[nodiscard]] HttpResponse& response() noexcept { return m_response; }

 private:
  using View = boost::beast::string_view;

  static std::string_view ToView(View text) {
    return {text.data(), text.size()};
  }

  void on_request_impl(http::verb, View, View, int, error_code&) override {}

  void on_response_impl(int status,
                        View reason,
                        int version,
                        error_code& error) override {
    m_version = version;
    if (status < kMinStatus || status > kMaxStatus ||
        status == kSwitchingProtocols || ContainsStatusLine(ToView(reason))) {
      error = http::error::bad_status;
    }
    m_response.m_status = static_cast<std::uint16_t>(status);
  }

  // Fields after a chunked body are not part of the head.
  void on_field_impl(http::field name,
                     View name_text,
                     View value,
                     error_code& error) override {
    if (ContainsStatusLine(ToView(value))) {
      error = http::error::bad_value;
    }
    if (error || is_header_done()) {
      return;
    }
    const bool is_framing = name == http::field::content_length ||
                            name == http::field::transfer_encoding;
    const bool is_list = value.find(',') != View::npos;
    if (is_framing && (is_list || std::exchange(m_is_framed, true))) {
      error = http::error::bad_content_length;
      return;
    }
    m_response.m_headers.push_back(
        {std::string(ToView(name_text)), std::string(ToView(value))});
  }

  // Another transfer coding would be passed on as the body. HTTP/1.0 has none.
  void on_header_impl(error_code& error) override {
    const std::string* coding =
        FindHeader(m_response.m_headers, "Transfer-Encoding");
    if (coding != nullptr && (m_version < kFirstVersionWithCodings ||
                              !boost::beast::iequals(*coding, "chunked"))) {
      error = http::error::bad_transfer_encoding;
    }
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         error_code&) override {}

  std::size_t on_body_impl(View bytes, error_code&) override {
    m_response.m_body.append(bytes.data(), bytes.size());
    return bytes.size();
  }

  void on_chunk_header_impl(std::uint64_t, View, error_code&) override {}

  std::size_t on_chunk_body_impl(std::uint64_t,
                                 View bytes,
                                 error_code& error) override {
    return on_body_impl(bytes, error);
  }

  void on_finish_impl(error_code&) override {}

  HttpResponse m_response;
  int m_version = 0;
  /// One field at most says where the body ends.
  bool m_is_framed = false;
};

struct ResponseReader::State {
  ResponseLimits m_limits;
  bool m_is_head_request = false;
  int m_interim_responses = 0;
  /// Bytes of the present head, chunk line or trailer that have been read.
  std::size_t m_framing_bytes = 0;
  bool m_is_complete = false;
  /// Replaced after an interim response.
  std::optional<Parser> m_parser;
};

ResponseReader::ResponseReader(ResponseLimits limits, bool is_head_request)
    : m_state(std::make_unique<State>()) {
  m_state->m_limits = limits;
  m_state->m_is_head_request = is_head_request;
  m_state->m_parser.emplace(limits, is_head_request);
}

ResponseReader::~ResponseReader() = default;
ResponseReader::ResponseReader(ResponseReader&&) noexcept = default;
ResponseReader& ResponseReader::operator=(ResponseReader&&) noexcept = default;

tl::expected<std::size_t, ResponseError> ResponseReader::Read(
    std::string_view bytes) {
  State& state = *m_state;
  std::size_t used = 0;
  while (!state.m_is_complete && used < bytes.size()) {
    const std::string_view rest = bytes.substr(used);
    error_code error;
    const bool is_head = !state.m_parser->is_header_done();
    const std::size_t body_bytes = this->body_bytes();
    const std::size_t read = state.m_parser->put(
        boost::asio::const_buffer(rest.data(), rest.size()), error);
    used += read;
    if (is_head && ContainsFold(rest.substr(0, read))) {
      return tl::unexpected(ResponseError::kMalformed);
    }
    const std::size_t framing = read - (this->body_bytes() - body_bytes);
    state.m_framing_bytes = is_head ? state.m_framing_bytes + framing : framing;
    if (state.m_framing_bytes > state.m_limits.m_head_bytes) {
      return tl::unexpected(ResponseError::kTooLarge);
    }
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      return tl::unexpected(ToResponseError(error));
    }
    if (!state.m_parser->is_done()) {
      continue;
    }
    if (state.m_parser->response().m_status >= kMinFinalStatus) {
      state.m_is_complete = true;
    } else if (++state.m_interim_responses > kMaxInterimResponses) {
      return tl::unexpected(ResponseError::kMalformed);
    } else {
      state.m_parser.emplace(state.m_limits, state.m_is_head_request);
      state.m_framing_bytes = 0;
    }
  }
  // The parser bounds heads and bodies, but not the line that begins a chunk.
  if (!state.m_is_complete &&
      bytes.size() - used > state.m_limits.m_head_bytes) {
    return tl::unexpected(ResponseError::kTooLarge);
  }
  return used;
}

tl::expected<void, ResponseError> ResponseReader::End() {
  State& state = *m_state;
  if (state.m_is_complete) {
    return {};
  }
  if (!state.m_parser->got_some()) {
    return tl::unexpected(ResponseError::kIncomplete);
  }
  error_code error;
  state.m_parser->put_eof(error);
  if (error) {
    return tl::unexpected(ToResponseError(error));
  }
  state.m_is_complete = true;
  return {};
}

bool ResponseReader::is_complete() const noexcept {
  return m_state->m_is_complete;
}

bool ResponseReader::KeepsConnection() const {
  return m_state->m_parser->keep_alive() && !m_state->m_parser->need_eof();
}

std::size_t ResponseReader::body_bytes() const noexcept {
  return m_state->m_parser->response().m_body.size();
}

const HttpResponse& ResponseReader::response() const noexcept {
  return m_state->m_parser->response();
}

HttpResponse ResponseReader::Take() {
  return std::move(m_state->m_parser->response());
}

}  // namespace figlug::wire
