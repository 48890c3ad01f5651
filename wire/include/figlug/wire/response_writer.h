#ifndef FIGLUG_WIRE_RESPONSE_WRITER_H_
#define FIGLUG_WIRE_RESPONSE_WRITER_H_

#include <cstdint>
#include <string>

#include "figlug/wire/http_message.h"

namespace figlug::wire {

/// \brief What a response says about its connection.
enum class ConnectionOption : std::uint8_t {
  /// Nothing, as is usual where HTTP/1.1 keeps the connection.
  kNone,
  /// The connection ends after the response.
  kClose,
  /// The connection goes on although the request was HTTP/1.0.
  kKeepAlive,
};

/// \brief Whether a response is read as one response, with a final status and
/// valid header fields.
[[nodiscard]] bool IsWritable(const HttpResponse& response) noexcept;

/// \brief Encodes the status line and the header fields of a response, and the
/// empty line behind them.
///
/// Content-Length is that of the body, except in responses that have none; a
/// Connection field of the response goes before the option.
/// \param is_head_request Whether the response answers HEAD, so that its body
/// is not sent.
[[nodiscard]] std::string EncodeResponseHead(const HttpResponse& response,
                                             bool is_head_request,
                                             ConnectionOption option);

/// \brief Whether the body of a response is sent.
[[nodiscard]] bool HasBody(const HttpResponse& response,
                           bool is_head_request) noexcept;

}  // namespace figlug::wire

#endif  // FIGLUG_WIRE_RESPONSE_WRITER_H_
