#ifndef FIGLUG_WIRE_HTTP_MESSAGE_H_
#define FIGLUG_WIRE_HTTP_MESSAGE_H_

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

/// \brief A whole HTTP request.
struct HttpRequest {
  std::string m_method;
  /// Path with its query.
  std::string m_path;
  Headers m_headers;
  std::string m_body;
};

/// \brief A whole HTTP response.
struct HttpResponse {
  std::uint16_t m_status = 0;
  Headers m_headers;
  std::string m_body;
};

/// \brief Finds a field by name, without regard to case.
/// \returns Its value, or nullptr.
[[nodiscard]] const std::string* FindHeader(const Headers& headers,
                                            std::string_view name) noexcept;

}  // namespace figlug::wire

#endif  // FIGLUG_WIRE_HTTP_MESSAGE_H_
