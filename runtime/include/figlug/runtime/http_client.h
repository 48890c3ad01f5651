#ifndef FIGLUG_RUNTIME_HTTP_CLIENT_H_
#define FIGLUG_RUNTIME_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include <tl/expected.hpp>

#include "figlug/core/endpoint.h"
#include "figlug/runtime/buffer_meter.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/wire/http_message.h"

namespace figlug::runtime {

/// \brief Identifies a request of an HttpClient.
enum class HttpCallId : std::uint64_t {};

/// \brief Why a request has no response.
enum class HttpClientError : std::uint8_t {
  /// The connection could not be established; no byte was sent.
  kNotSent,
  /// evhttp does not support the request's method.
  kUnsupportedMethod,
  /// The connection was lost after sending; the server may have handled the
  /// request.
  kConnectionLost,
  kTimeout,
  /// The response exceeds the limit, or all connections together buffer too
  /// much.
  kTooLarge,
  /// The response belongs to another request.
  kMismatchedResponse,
};

/// \brief Name of an error, as used in logs.
[[nodiscard]] std::string_view ToString(HttpClientError error) noexcept;

/// \brief A request that did not end with a clean response, and the connection
/// that it was sent on.
struct HttpCallTrace {
  HttpCallId m_call{0};
  /// Number of the connection among those of its client, from 1.
  std::uint64_t m_connection = 0;
  /// Number of the request among those of its connection, from 1.
  std::uint64_t m_exchange = 0;
  /// Unset if the response was accepted, but bytes followed it.
  std::optional<HttpClientError> m_error;
  /// Bytes that followed the response.
  std::size_t m_left_over = 0;
  /// The response that was rejected or accepted, or null.
  const wire::HttpResponse* m_response = nullptr;
};

/// \brief A pool of HTTP/1.1 connections to one address, based on evhttp.
///
/// \code
/// client.Send(request, timeout, [](auto result) { ... });
/// \endcode
class HttpClient {
 public:
  using Result = tl::expected<wire::HttpResponse, HttpClientError>;
  using Callback = std::function<void(Result&&)>;
  /// Returns whether a response belongs to the request; if not, the connection
  /// is closed.
  using ResponseCheck = std::function<bool(const wire::HttpResponse&)>;

  /// \param max_connections Maximum number of connections; further requests are
  /// queued.
  /// \param body_limit Maximum size of a response's body in bytes.
  /// \param max_idle_time Idle time after which a connection is not reused,
  /// even if the server's Keep-Alive header allows more.
  /// \param meter Counts what the connections buffer; must outlive the client.
  /// Null: it is not counted.
  HttpClient(EventLoop& loop,
             core::Endpoint to,
             std::size_t max_connections,
             std::size_t body_limit,
             core::Duration max_idle_time = core::Duration::max(),
             BufferMeter* meter = nullptr);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// \brief Sends a request; the callback is called once, unless the request is
  /// cancelled.
  HttpCallId Send(const wire::HttpRequest& request,
                  core::Duration timeout,
                  Callback callback,
                  ResponseCheck check = {});
  /// \brief Sets what is called before the callback of a request that did not
  /// end with a clean response.
  void SetTraceHandler(std::function<void(const HttpCallTrace&)> handler);
  /// \brief Sets what is called when the server has closed an idle connection
  /// and no other one is left.
  void SetDisconnectedHandler(std::function<void()> handler);
  /// \brief Closes the request's connection; its callback is not called.
  void Cancel(HttpCallId id);
  [[nodiscard]] std::size_t connections() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_HTTP_CLIENT_H_
