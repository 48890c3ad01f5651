#ifndef FIGLUG_WIRE_HTTP_MESSAGE_H_
#define FIGLUG_WIRE_HTTP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figlug::wire {

/// \brief One header field of an HTTP message.
struct Header {
  std::string m_name;
  std::string m_value;

  bool operator==(const Header&) const = default;
};

using Headers = std::vector<Header>;

/// \brief An HTTP request with its complete body.
struct HttpRequest {
  std::string m_method;
  /// Path including the query string.
  std::string m_path;
  Headers m_headers;
  std::string m_body;
};

/// \brief An HTTP response with its complete body.
struct HttpResponse {
  std::uint16_t m_status = 0;
  Headers m_headers;
  std::string m_body;
};

/// \brief Whether a header field has a name, ignoring case.
[[nodiscard]] bool IsNamed(const Header& header,
                           std::string_view name) noexcept;

/// \brief Finds a header field by name, ignoring case.
/// \returns The value of the first match, or nullptr.
[[nodiscard]] const std::string* FindHeader(const Headers& headers,
                                            std::string_view name) noexcept;

/// \brief Counts the header fields of a name, ignoring case.
[[nodiscard]] std::size_t CountHeaders(const Headers& headers,
                                       std::string_view name) noexcept;

/// \brief Whether a header field is read as it was written: its name is a token
/// and its value holds no control character but the tab.
[[nodiscard]] bool IsValidField(std::string_view name,
                                std::string_view value) noexcept;

}  // namespace figlug::wire

#endif  // FIGLUG_WIRE_HTTP_MESSAGE_H_
