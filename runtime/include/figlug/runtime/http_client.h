#ifndef FIGLUG_RUNTIME_HTTP_CLIENT_H_
#define FIGLUG_RUNTIME_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
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
  /// The request cannot be written as HTTP/1.1; no byte was sent.
  kInvalidRequest,
  /// The connection was lost after sending; the server may have handled the
  /// request.
  kConnectionLost,
  kTimeout,
  /// The response exceeds the limit, or all connections together buffer too
  /// much.
  kTooLarge,
  /// The response does not name the request that it answers.
  kMismatchedResponse,
  /// The bytes received are not an HTTP/1.1 response.
  kMalformedResponse,
};

/// \brief Whether a response on a connection answers the request that was sent
/// on it.
enum class ResponseMatch : std::uint8_t {
  kOwn,
  /// It answers an earlier request; the own response is still to come.
  kForeign,
  /// It does not say what it answers.
  kUnnamed,
};

/// \brief How the responses of a server that may answer twice are tied to the
/// requests.
struct ResponseTie {
  using Check = std::function<ResponseMatch(const wire::HttpResponse&)>;

  /// Id by which responses name the request. A connection carries each id once,
  /// and a request without an id has a connection of its own.
  std::string m_id;
  /// Null: the server's responses are taken as they come.
  Check m_check;
};

/// \brief What a connection carried besides clean responses.
enum class UncleanKind : std::uint8_t {
  /// The request got no response, see m_error.
  kFailed,
  /// A response to an earlier request was passed over.
  kForeignResponse,
  /// Bytes followed a response that was accepted.
  kLeftOver,
  /// Bytes arrived while no request was open.
  kUnasked,
};

/// \brief Names, as used in logs.
[[nodiscard]] std::string_view ToString(HttpClientError error) noexcept;
[[nodiscard]] std::string_view ToString(UncleanKind kind) noexcept;

/// \brief An event on a connection that a request was, or may have been, sent
/// on.
struct HttpCallTrace {
  UncleanKind m_kind = UncleanKind::kFailed;
  /// Zero without a request.
  HttpCallId m_call{0};
  /// Number of the connection among those of its client, from 1.
  std::uint64_t m_connection = 0;
  /// Number of the request among those of its connection, from 1.
  std::uint64_t m_exchange = 0;
  /// Set for kFailed.
  std::optional<HttpClientError> m_error;
  /// Bytes that followed the response.
  std::size_t m_left_over = 0;
  /// The response that was accepted, rejected or passed over, or null.
  const wire::HttpResponse* m_response = nullptr;
};

/// \brief A pool of HTTP/1.1 connections to one address.
///
/// A connection is used again only if nothing but the response has arrived on
/// it, and the request was written in full.
///
/// \code
/// client.Send(request, timeout, [](auto result) { ... });
/// \endcode
class HttpClient {
 public:
  using Result = tl::expected<wire::HttpResponse, HttpClientError>;
  using Callback = std::function<void(Result&&)>;

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
                  ResponseTie tie = {});
  /// \brief Sets what is called for each event on a connection besides clean
  /// responses, before the callback of its request.
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
