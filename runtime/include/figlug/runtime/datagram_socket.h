#ifndef FIGLUG_RUNTIME_DATAGRAM_SOCKET_H_
#define FIGLUG_RUNTIME_DATAGRAM_SOCKET_H_

#include <cstdint>
#include <functional>

#include <tl/expected.hpp>

#include "figlug/core/endpoint.h"
#include "figlug/core/messages.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/runtime/runtime_error.h"

namespace figlug::runtime {

/// \brief Sends and receives heartbeats over UDP.
class DatagramSocket {
 public:
  using Handler = std::function<void(const core::Datagram&)>;

  DatagramSocket(EventLoop& loop, Handler on_datagram);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  [[nodiscard]] tl::expected<void, RuntimeError> Listen(
      const core::Endpoint& endpoint);
  /// \brief Sends a datagram, without a delivery guarantee.
  void Send(const core::Endpoint& to, const core::Datagram& datagram);
  /// \brief Bytes sent and received since the start, without IP headers.
  [[nodiscard]] std::uint64_t bytes() const noexcept { return m_bytes; }

 private:
  void Read();

  EventLoop& m_loop;
  Handler m_on_datagram;
  int m_socket = -1;
  event* m_event = nullptr;
  std::uint64_t m_bytes = 0;
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_DATAGRAM_SOCKET_H_
