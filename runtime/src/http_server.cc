#include "figlug/runtime/http_server.h"

#include <event2/event.h>
#include <event2/listener.h>

#include <algorithm>
#include <cstring>
#include <string>
#include <utility>
#include <vector>

#include <log4cplus/loggingmacros.h>

#include "figlug/runtime/impl/server_connection.h"
#include "figlug/runtime/impl/socket_address.h"
#include "figlug/runtime/logging.h"

namespace figlug::runtime {
namespace {

constexpr int kBacklog = 1024;
constexpr core::Duration kAcceptPause = std::chrono::milliseconds(100);

}  // namespace

class HttpServer::Impl {
 public:
  Impl(EventLoop& loop,
       HttpServerHandlers handlers,
       std::size_t body_limit,
       BufferMeter* meter)
      : m_state{.m_base = loop.base(),
                .m_handlers = std::move(handlers),
                .m_body_limit = body_limit,
                .m_meter = meter},
        m_accept_pause(loop, [this] { evconnlistener_enable(m_listener); }) {}

  ~Impl() {
    m_state.m_is_closing = true;
    StopListening();
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  tl::expected<void, RuntimeError> Listen(const core::Endpoint& endpoint) {
    const sockaddr_in address = impl::ToSocketAddress(endpoint);
    m_listener = evconnlistener_new_bind(
        m_state.m_base, &OnAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        kBacklog, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (m_listener == nullptr) {
      return tl::unexpected(
          RuntimeError{"listen for HTTP on " + endpoint.m_host + ":" +
                           std::to_string(endpoint.m_port),
                       evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())});
    }
    evconnlistener_set_error_cb(m_listener, &OnAcceptError);
    m_state.m_is_listening = true;
    return {};
  }

  void StopListening() {
    if (m_state.m_is_listening) {
      m_accept_pause.Cancel();
      evconnlistener_free(m_listener);
      m_state.m_is_listening = false;
    }
  }

  void Respond(ExchangeId id, const wire::HttpResponse& response) {
    const auto it = m_state.m_exchanges.find(id);
    if (it == m_state.m_exchanges.end()) {
      return;
    }
    impl::ServerConnection* connection = it->second;
    m_state.m_exchanges.erase(it);
    connection->Respond(response);
  }

  void SetLimits(const core::ClientLimits& limits) {
    m_state.m_client_limits = limits;
  }

  void CloseAfterResponses() { m_state.m_closes_after_response = true; }

  void StopReading() {
    StopListening();
    m_state.m_is_reading_stopped = true;
    for (const auto& [key, connection] : m_state.m_connections) {
      connection->StopReading();
    }
    // Their clients need not wait until other responses are written.
    std::erase_if(m_state.m_connections,
                  [](const auto& entry) { return entry.second->IsIdle(); });
  }

  std::size_t unsent_bytes() const {
    std::size_t bytes = 0;
    for (const auto& [key, connection] : m_state.m_connections) {
      bytes += connection->unsent_bytes();
    }
    return bytes;
  }

  std::size_t open_exchanges() const noexcept {
    return m_state.m_exchanges.size();
  }
  std::size_t connections() const noexcept {
    return m_state.m_connections.size();
  }

 private:
  static void OnAccept(evconnlistener*,
                       evutil_socket_t socket,
                       sockaddr*,
                       int,
                       void* arg) {
    impl::ServerState& state = static_cast<Impl*>(arg)->m_state;
    auto connection = std::make_unique<impl::ServerConnection>(state, socket);
    impl::ServerConnection* key = connection.get();
    state.m_connections.emplace(key, std::move(connection));
  }

  // A connection that cannot be accepted, for want of a descriptor for example,
  // keeps the listener readable.
  static void OnAcceptError(evconnlistener* listener, void* arg) {
    LOG4CPLUS_ERROR(ProcessLogger(),
                    "cannot accept a connection: "
                        << evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())
                        << "; trying again in "
                        << kAcceptPause / std::chrono::milliseconds(1)
                        << " ms");
    evconnlistener_disable(listener);
    static_cast<Impl*>(arg)->m_accept_pause.Set(kAcceptPause);
  }

  impl::ServerState m_state;
  evconnlistener* m_listener = nullptr;
  /// Runs while no connection can be accepted.
  Timer m_accept_pause;
};

HttpServer::HttpServer(EventLoop& loop,
                       HttpServerHandlers handlers,
                       std::size_t body_limit,
                       BufferMeter* meter)
    : m_impl(std::make_unique<Impl>(loop,
                                    std::move(handlers),
                                    body_limit,
                                    meter)) {}

HttpServer::~HttpServer() = default;

tl::expected<void, RuntimeError> HttpServer::Listen(
    const core::Endpoint& endpoint) {
  return m_impl->Listen(endpoint);
}

void HttpServer::SetLimits(const core::ClientLimits& limits) {
  m_impl->SetLimits(limits);
}

void HttpServer::StopListening() {
  m_impl->StopListening();
}

void HttpServer::CloseAfterResponses() {
  m_impl->CloseAfterResponses();
}

void HttpServer::StopReading() {
  m_impl->StopReading();
}

std::size_t HttpServer::unsent_bytes() const {
  return m_impl->unsent_bytes();
}

void HttpServer::Respond(ExchangeId id, const wire::HttpResponse& response) {
  m_impl->Respond(id, response);
}

std::size_t HttpServer::open_exchanges() const noexcept {
  return m_impl->open_exchanges();
}

std::size_t HttpServer::connections() const noexcept {
  return m_impl->connections();
}

}  // namespace figlug::runtime
