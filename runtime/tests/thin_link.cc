#include "thin_link.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

#include <CppUTest/TestHarness.h>

#include "figlug/runtime/impl/socket_address.h"

namespace figlug::runtime {
namespace {

/// About the size of a packet, so that bytes arrive as evenly as on a link.
constexpr std::size_t kMaxPieceBytes = 2048;
/// All that a socket holds is read at once, to keep the gate's order.
constexpr std::size_t kMaxReadBytes = 8U << 20;
constexpr double kMicrosPerSecond = 1e6;

void EnableNoDelay(bufferevent* stream) {
  const int on = 1;
  setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on,
             sizeof(on));
}

}  // namespace

ThinLink::ThinLink(EventLoop& loop,
                   const core::Endpoint& listen_on,
                   const core::Endpoint& gate,
                   double bytes_per_second)
    : m_loop(loop),
      m_gate(gate),
      m_bytes_per_second(bytes_per_second),
      m_timer(loop, [this] { Deliver(); }) {
  const sockaddr_in address = impl::ToSocketAddress(listen_on);
  m_listener = evconnlistener_new_bind(
      loop.base(), &OnAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
      reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  CHECK(m_listener != nullptr);
}

ThinLink::~ThinLink() {
  evconnlistener_free(m_listener);
  for (const auto& connection : m_connections) {
    Close(*connection);
  }
}

void ThinLink::StallConnections() {
  for (const auto& connection : m_connections) {
    if (connection->m_gate != nullptr) {
      bufferevent_disable(connection->m_gate, EV_READ);
    }
  }
}

void ThinLink::OnAccept(evconnlistener*,
                        int socket,
                        sockaddr*,
                        int,
                        void* arg) {
  auto* link = static_cast<ThinLink*>(arg);
  auto& connection =
      *link->m_connections.emplace_back(std::make_unique<Connection>());
  event_base* base = link->m_loop.base();
  connection.m_link = link;
  connection.m_peer =
      bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE);
  connection.m_gate = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
  const sockaddr_in gate = impl::ToSocketAddress(link->m_gate);
  LONGS_EQUAL(0, bufferevent_socket_connect(
                     connection.m_gate,
                     reinterpret_cast<const sockaddr*>(&gate), sizeof(gate)));
  const auto attach = [&](bufferevent* stream,
                          bufferevent_data_cb on_readable) {
    EnableNoDelay(stream);
    bufferevent_setcb(stream, on_readable, nullptr, &OnEvent, &connection);
    bufferevent_set_max_single_read(stream, kMaxReadBytes);
    bufferevent_set_max_single_write(stream, kMaxReadBytes);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
  };
  attach(connection.m_peer, &OnPeerReadable);
  attach(connection.m_gate, &OnGateReadable);
}

void ThinLink::OnPeerReadable(bufferevent* peer, void* arg) {
  bufferevent_write_buffer(static_cast<Connection*>(arg)->m_gate,
                           bufferevent_get_input(peer));
}

void ThinLink::OnGateReadable(bufferevent* gate, void* arg) {
  auto* connection = static_cast<Connection*>(arg);
  ThinLink& link = *connection->m_link;
  link.m_free_at = std::max(link.m_free_at, ReadClocks().m_time);
  const bool was_idle = link.m_queue.empty();
  evbuffer* input = bufferevent_get_input(gate);
  while (const std::size_t bytes =
             std::min(evbuffer_get_length(input), kMaxPieceBytes)) {
    std::string piece(bytes, '\0');
    evbuffer_remove(input, piece.data(), bytes);
    link.m_received += bytes;
    link.m_free_at += core::Duration(
        static_cast<std::int64_t>(static_cast<double>(bytes) /
                                  link.m_bytes_per_second * kMicrosPerSecond));
    link.m_queue.push_back({connection, std::move(piece), link.m_free_at});
  }
  if (was_idle) {
    link.Deliver();
  }
}

void ThinLink::Deliver() {
  const core::Time now = ReadClocks().m_time;
  while (!m_queue.empty() && m_queue.front().m_arrives_at <= now) {
    const Piece& piece = m_queue.front();
    if (piece.m_connection->m_peer != nullptr) {
      bufferevent_write(piece.m_connection->m_peer, piece.m_bytes.data(),
                        piece.m_bytes.size());
    }
    m_queue.pop_front();
  }
  if (!m_queue.empty()) {
    m_timer.Set(m_queue.front().m_arrives_at - now);
  }
}

void ThinLink::OnEvent(bufferevent*, short events, void* arg) {
  if ((events & BEV_EVENT_CONNECTED) == 0) {
    Close(*static_cast<Connection*>(arg));
  }
}

void ThinLink::Close(Connection& connection) {
  for (bufferevent** stream : {&connection.m_peer, &connection.m_gate}) {
    if (*stream != nullptr) {
      bufferevent_free(std::exchange(*stream, nullptr));
    }
  }
}

}  // namespace figlug::runtime
