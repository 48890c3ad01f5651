// Assertions of the parser would end the process for bytes from outside: one of
// them does not hold for a last chunk that arrives in pieces.
#define BOOST_DISABLE_ASSERTS

#include "figlug/wire/request_reader.h"

#include <limits>
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

/// HTTP/1.1, as the parser writes versions.
constexpr int kHttp11 = 11;
/// Memory of a header field besides its name and value.
constexpr std::size_t kFieldMemory = 64;
constexpr std::size_t kLineBreakBytes = 2;

bool IsControl(char c) {
  return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
}

// Whether a byte may follow another in a head. Lines end with CRLF; a line that
// begins with white space would go on the one before it, which readers see in
// different ways.
bool MayFollow(char before, char c) {
  switch (before) {
    case '\r':
      return c == '\n';
    case '\n':
      return c == '\r' || (!IsControl(c) && c != ' ');
    default:
      return c == '\r' || c == '\t' || !IsControl(c);
  }
}

}  // namespace

std::string_view ToString(RequestError error) noexcept {
  switch (error) {
    case RequestError::kMalformed:
      return "malformed";
    case RequestError::kTooLarge:
      return "too-large";
  }
  return "unknown";
}

class RequestReader::Parser : public http::basic_parser<true> {
 public:
  explicit Parser(std::size_t head_limit) {
    eager(false);
    header_limit(static_cast<std::uint32_t>(head_limit));
    // The parser takes an unset limit for one that each length exceeds.
    body_limit(std::numeric_limits<std::uint64_t>::max());
  }

  void DiscardBody() {
    m_is_discarding = true;
    // Assigning an empty string would keep the memory.
    std::string().swap(m_request.m_body);
  }

  [[nodiscard]] HttpRequest& request() noexcept { return m_request; }
  [[nodiscard]] int version() const noexcept { return m_version; }
  [[nodiscard]] std::size_t head_memory() const noexcept {
    return m_head_memory;
  }
  [[nodiscard]] std::uint64_t body_bytes() const noexcept {
    return m_body_bytes;
  }

 private:
  using View = boost::beast::string_view;

  static std::string_view ToView(View text) {
    return {text.data(), text.size()};
  }

  // Only targets in origin form name a path of this host. A request names no
  // fragment.
  void on_request_impl(http::verb verb,
                       View method,
                       View target,
                       int version,
                       error_code& error) override {
    if (verb == http::verb::unknown || verb == http::verb::connect) {
      error = http::error::bad_method;
    } else if (target.front() != '/' || target.find('#') != View::npos) {
      error = http::error::bad_target;
    }
    m_version = version;
    m_request.m_method = std::string(ToView(method));
    m_request.m_path = std::string(ToView(target));
    m_head_memory = method.size() + target.size();
  }

  void on_response_impl(int, View, int, error_code&) override {}

  // Fields after a chunked body are not part of the head.
  void on_field_impl(http::field name,
                     View name_text,
                     View value,
                     error_code& error) override {
    if (is_header_done()) {
      return;
    }
    const bool is_length = name == http::field::content_length;
    const bool is_framing = is_length || name == http::field::transfer_encoding;
    if (is_framing && !IsClearFraming(value)) {
      error = is_length ? http::error::bad_content_length
                        : http::error::bad_transfer_encoding;
      return;
    }
    if (name == http::field::host && std::exchange(m_has_host, true)) {
      error = http::error::bad_field;
      return;
    }
    m_request.m_headers.push_back(
        {std::string(ToView(name_text)), std::string(ToView(value))});
    m_head_memory += name_text.size() + value.size() + kFieldMemory;
  }

  // One field at most may say where the body ends, and one value. Some readers
  // do not know a value behind a tab.
  bool IsClearFraming(View value) {
    const bool is_repeated = std::exchange(m_is_framed, true);
    return !is_repeated && !value.empty() && value.find(',') == View::npos &&
           value.data()[-1] != '\t';
  }

  // Another transfer coding would be passed on as the body. HTTP/1.0 has none.
  void on_header_impl(error_code& error) override {
    const std::string* coding =
        FindHeader(m_request.m_headers, "Transfer-Encoding");
    if (coding != nullptr &&
        (m_version < kHttp11 || !boost::beast::iequals(*coding, "chunked"))) {
      error = http::error::bad_transfer_encoding;
    }
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         error_code&) override {}

  std::size_t on_body_impl(View bytes, error_code&) override {
    m_body_bytes += bytes.size();
    if (!m_is_discarding) {
      m_request.m_body.append(bytes.data(), bytes.size());
    }
    return bytes.size();
  }

  void on_chunk_header_impl(std::uint64_t, View, error_code&) override {}

  std::size_t on_chunk_body_impl(std::uint64_t,
                                 View bytes,
                                 error_code& error) override {
    return on_body_impl(bytes, error);
  }

  void on_finish_impl(error_code&) override {}

  HttpRequest m_request;
  int m_version = 0;
  std::size_t m_head_memory = 0;
  std::uint64_t m_body_bytes = 0;
  bool m_has_host = false;
  bool m_is_framed = false;
  bool m_is_discarding = false;
};

struct RequestReader::State {
  explicit State(std::size_t head_limit)
      : m_head_limit(head_limit), m_parser(head_limit) {}

  /// Passes whole lines to the parser, which has to read them all: given a part
  /// of a line, it would wait for the end of the head before it rejects it.
  [[nodiscard]] bool Parse(std::string_view lines) {
    error_code error;
    const std::size_t read = m_parser.put(
        boost::asio::const_buffer(lines.data(), lines.size()), error);
    return (!error || error == http::error::need_more) && read == lines.size();
  }

  std::size_t m_head_limit;
  Parser m_parser;
  /// Bytes of the head that have been read.
  std::size_t m_head_bytes = 0;
  bool m_has_line = false;
  bool m_has_head = false;
  bool m_is_complete = false;
  /// How far the unread bytes have been checked, and where their last line
  /// begins.
  std::size_t m_checked = 0;
  std::size_t m_line_begin = 0;
};

RequestReader::RequestReader(std::size_t head_limit)
    : m_state(std::make_unique<State>(head_limit)) {}

RequestReader::~RequestReader() = default;
RequestReader::RequestReader(RequestReader&&) noexcept = default;
RequestReader& RequestReader::operator=(RequestReader&&) noexcept = default;

tl::expected<std::size_t, RequestError> RequestReader::Read(
    std::string_view bytes) {
  if (m_state->m_is_complete) {
    return 0;
  }
  return m_state->m_has_head ? ReadBody(bytes) : ReadHead(bytes);
}

// The parser gets the request line and the header fields each in one piece,
// whatever the pieces that arrive.
tl::expected<std::size_t, RequestError> RequestReader::ReadHead(
    std::string_view bytes) {
  State& state = *m_state;
  std::size_t used = 0;
  while (used + state.m_checked < bytes.size()) {
    const std::string_view rest = bytes.substr(used);
    if (state.m_head_bytes + state.m_checked >= state.m_head_limit) {
      return tl::unexpected(RequestError::kTooLarge);
    }
    const char c = rest[state.m_checked];
    if (!MayFollow(state.m_checked == 0 ? '\n' : rest[state.m_checked - 1],
                   c)) {
      return tl::unexpected(RequestError::kMalformed);
    }
    ++state.m_checked;
    if (c != '\n') {
      continue;
    }
    const bool is_empty =
        state.m_checked - state.m_line_begin == kLineBreakBytes;
    state.m_line_begin = state.m_checked;
    if (state.m_has_line && !is_empty) {
      continue;
    }
    // An empty line before the request is passed over.
    const bool is_parsed = state.m_has_line || !is_empty;
    if (is_parsed && !state.Parse(rest.substr(0, state.m_checked))) {
      return tl::unexpected(RequestError::kMalformed);
    }
    used += state.m_checked;
    state.m_head_bytes += state.m_checked;
    state.m_checked = 0;
    state.m_line_begin = 0;
    state.m_has_head = state.m_has_line;
    state.m_has_line = state.m_has_line || !is_empty;
    if (state.m_has_head) {
      state.m_is_complete = state.m_parser.is_done();
      break;
    }
  }
  return used;
}

tl::expected<std::size_t, RequestError> RequestReader::ReadBody(
    std::string_view bytes) {
  State& state = *m_state;
  std::size_t used = 0;
  while (!state.m_is_complete && used < bytes.size()) {
    const std::string_view rest = bytes.substr(used);
    const std::uint64_t body_bytes = state.m_parser.body_bytes();
    error_code error;
    const std::size_t read = state.m_parser.put(
        boost::asio::const_buffer(rest.data(), rest.size()), error);
    used += read;
    if (read - (state.m_parser.body_bytes() - body_bytes) >
        state.m_head_limit) {
      return tl::unexpected(RequestError::kTooLarge);
    }
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      return tl::unexpected(RequestError::kMalformed);
    }
    state.m_is_complete = state.m_parser.is_done();
  }
  // The parser does not bound the line that begins a chunk.
  if (!state.m_is_complete && bytes.size() - used > state.m_head_limit) {
    return tl::unexpected(RequestError::kTooLarge);
  }
  return used;
}

void RequestReader::DiscardBody() {
  m_state->m_parser.DiscardBody();
}

bool RequestReader::has_head() const noexcept {
  return m_state->m_has_head;
}

bool RequestReader::is_complete() const noexcept {
  return m_state->m_is_complete;
}

bool RequestReader::ExpectsContinue() const {
  const std::string* expect = FindHeader(request().m_headers, "Expect");
  return !IsHttp10() && !is_complete() && expect != nullptr &&
         boost::beast::iequals(*expect, "100-continue");
}

bool RequestReader::KeepsConnection() const {
  return m_state->m_parser.keep_alive();
}

bool RequestReader::IsHttp10() const noexcept {
  return m_state->m_parser.version() < kHttp11;
}

std::size_t RequestReader::head_memory() const noexcept {
  return m_state->m_parser.head_memory();
}

std::uint64_t RequestReader::body_bytes() const noexcept {
  return m_state->m_parser.body_bytes();
}

const HttpRequest& RequestReader::request() const noexcept {
  return m_state->m_parser.request();
}

HttpRequest RequestReader::Take() {
  return std::move(m_state->m_parser.request());
}

}  // namespace figlug::wire
