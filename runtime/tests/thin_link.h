#ifndef FIGLUG_RUNTIME_TESTS_THIN_LINK_H_
#define FIGLUG_RUNTIME_TESTS_THIN_LINK_H_

#include <event2/listener.h>

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "figlug/core/endpoint.h"
#include "figlug/core/time.h"
#include "figlug/runtime/event_loop.h"

struct bufferevent;

namespace figlug::runtime {

/// \brief Stands for the link of a gate's VM: a relay that listens in the place
/// of the gate. What the gate sends on any connection goes through one
/// first-in-first-out queue with a limited rate; the other direction is not
/// limited.
class ThinLink {
 public:
  ThinLink(EventLoop& loop,
           const core::Endpoint& listen_on,
           const core::Endpoint& gate,
           double bytes_per_second);
  ~ThinLink();
  ThinLink(const ThinLink&) = delete;
  ThinLink& operator=(const ThinLink&) = delete;

  /// \brief The peers of all present connections read nothing from here on.
  void StallConnections();
  /// \brief Bytes that the gate has handed to the link.
  [[nodiscard]] std::size_t received() const noexcept { return m_received; }

 private:
  struct Connection {
    ThinLink* m_link = nullptr;
    /// Null once the connection is closed.
    bufferevent* m_peer = nullptr;
    bufferevent* m_gate = nullptr;
  };
  struct Piece {
    Connection* m_connection = nullptr;
    std::string m_bytes;
    core::Time m_arrives_at;
  };

  static void OnAccept(evconnlistener*, int, sockaddr*, int, void* arg);
  static void OnPeerReadable(bufferevent* peer, void* arg);
  static void OnGateReadable(bufferevent* gate, void* arg);
  static void OnEvent(bufferevent* stream, short events, void* arg);
  static void Close(Connection& connection);
  void Deliver();

  EventLoop& m_loop;
  core::Endpoint m_gate;
  double m_bytes_per_second;
  evconnlistener* m_listener;
  std::vector<std::unique_ptr<Connection>> m_connections;
  std::deque<Piece> m_queue;
  std::size_t m_received = 0;
  core::Time m_free_at{};
  Timer m_timer;
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_TESTS_THIN_LINK_H_
