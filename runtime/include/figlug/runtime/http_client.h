#ifndef FIGLUG_RUNTIME_HTTP_CLIENT_H_
#define FIGLUG_RUNTIME_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>

#include <tl/expected.hpp>

#include "figlug/core/endpoint.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/wire/http_message.h"

namespace figlug::runtime {

/// \brief One request of an HttpClient.
enum class HttpCallId : std::uint64_t {};

/// \brief Why a request has no answer.
enum class HttpClientError : std::uint8_t {
  /// No connection: not a byte was sent.
  kNotSent,
  /// The method is none that the library can send.
  kUnsupportedMethod,
  /// Lost after sending: it may have been handled.
  kBroken,
  kTimeout,
  /// The answer's body is over the limit.
  kTooLarge,
  /// The answer belongs to another request.
  kForeignAnswer,
};

/// \brief A pool of HTTP/1.1 connections to one address, over evhttp.
///
/// \code
/// client.Send(request, timeout, [](auto result) { ... });
/// \endcode
class HttpClient {
 public:
  using Result = tl::expected<wire::HttpResponse, HttpClientError>;
  using Callback = std::function<void(Result&&)>;
  /// Tells whether an answer belongs to its request; otherwise the connection
  /// is given up.
  using AnswerCheck = std::function<bool(const wire::HttpResponse&)>;

  /// \param connections Most connections at once; more requests wait.
  /// \param body_limit Largest body of an answer, bytes.
  /// \param most_idle Rest after which a connection is not used again, whatever
  /// the server says.
  HttpClient(EventLoop& loop,
             core::Endpoint to,
             std::size_t connections,
             std::size_t body_limit,
             core::Duration most_idle = core::Duration::max());
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// \brief Sends a request; the callback is called once, unless cancelled.
  HttpCallId Send(const wire::HttpRequest& request,
                  core::Duration timeout,
                  Callback callback,
                  AnswerCheck check = {});
  /// \brief Closes the request's connection; no callback follows.
  void Cancel(HttpCallId id);
  [[nodiscard]] std::size_t connections() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_HTTP_CLIENT_H_
