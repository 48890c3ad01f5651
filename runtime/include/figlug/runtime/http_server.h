#ifndef FIGLUG_RUNTIME_HTTP_SERVER_H_
#define FIGLUG_RUNTIME_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include <tl/expected.hpp>

#include "figlug/core/client_limits.h"
#include "figlug/core/endpoint.h"
#include "figlug/runtime/buffer_meter.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/runtime/runtime_error.h"
#include "figlug/wire/http_message.h"

namespace figlug::runtime {

/// \brief Identifies one request and its response; unique per HttpServer.
enum class ExchangeId : std::uint64_t {};

/// \brief Callbacks of an HttpServer.
struct HttpServerHandlers {
  /// Called when a request's headers have arrived; a returned response rejects
  /// the request, whose body is then discarded.
  std::function<std::optional<wire::HttpResponse>(const wire::HttpRequest&)>
      m_check_head;
  /// Called with a complete request, to be answered with HttpServer::Respond.
  std::function<void(ExchangeId, wire::HttpRequest&&)> m_on_request;
  /// Called when the client has disconnected before the response was sent.
  std::function<void(ExchangeId)> m_on_disconnect;
  /// Returns the response to a request that is discarded while it arrives
  /// because all connections together buffer too much; if unset, it is 503.
  std::function<wire::HttpResponse(const wire::HttpRequest&)>
      m_make_overload_response = {};
};

/// \brief An HTTP/1.1 server over libevent and wire::RequestReader.
///
/// \code
/// HttpServer server(loop, handlers, body_limit);
/// server.Listen({"127.0.0.1", 8080});
/// \endcode
class HttpServer {
 public:
  /// \param body_limit Maximum size of a request body in bytes; a larger one is
  /// answered with 413.
  /// \param meter Counts what the connections buffer; must outlive the server.
  /// Null: it is not counted.
  HttpServer(EventLoop& loop,
             HttpServerHandlers handlers,
             std::size_t body_limit,
             BufferMeter* meter = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  [[nodiscard]] tl::expected<void, RuntimeError> Listen(
      const core::Endpoint& endpoint);
  /// \brief Bounds how long clients may take, from their next request on.
  void SetLimits(const core::ClientLimits& limits);
  /// \brief Accepts no new connections; each open one is closed after its next
  /// response.
  void StopListening();
  /// \brief Keeps listening, but closes each connection after its next
  /// response.
  void CloseAfterResponses();
  /// \brief Sends the response; ignored if the client has disconnected.
  void Respond(ExchangeId id, const wire::HttpResponse& response);
  /// \brief Accepts no connections, closes idle ones and reads no more
  /// requests; responses are still written.
  void StopReading();
  /// \brief Bytes of responses that wait to be written.
  [[nodiscard]] std::size_t unsent_bytes() const;
  /// \brief Number of requests that have not been answered yet.
  [[nodiscard]] std::size_t open_exchanges() const noexcept;
  /// \brief Number of open client connections.
  [[nodiscard]] std::size_t connections() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_HTTP_SERVER_H_
