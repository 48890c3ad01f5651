#include "figlug/runtime/datagram_socket.h"

#include <event2/event.h>
#include <event2/util.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <string>
#include <string_view>
#include <utility>

#include "figlug/runtime/impl/socket_address.h"
#include "figlug/wire/frame.h"

namespace figlug::runtime {
namespace {

constexpr std::size_t kMaxDatagramBytes = 512;
/// Maximum number of datagrams read in one iteration of the loop.
constexpr int kMaxReadsPerEvent = 64;

}  // namespace

DatagramSocket::DatagramSocket(EventLoop& loop, Handler on_datagram)
    : m_loop(loop), m_on_datagram(std::move(on_datagram)) {}

DatagramSocket::~DatagramSocket() {
  if (m_event != nullptr) {
    event_free(m_event);
  }
  if (m_socket >= 0) {
    close(m_socket);
  }
}

tl::expected<void, RuntimeError> DatagramSocket::Listen(
    const core::Endpoint& endpoint) {
  const auto fail = [&] {
    return tl::unexpected(
        RuntimeError{"receive datagrams on " + endpoint.m_host + ":" +
                         std::to_string(endpoint.m_port),
                     evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())});
  };
  m_socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = impl::ToSocketAddress(endpoint);
  if (m_socket < 0 ||
      bind(m_socket, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0) {
    return fail();
  }
  m_event = event_new(
      m_loop.base(), m_socket, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) {
        static_cast<DatagramSocket*>(self)->Read();
      },
      this);
  event_add(m_event, nullptr);
  return {};
}

void DatagramSocket::Send(const core::Endpoint& to,
                          const core::Datagram& datagram) {
  const std::string bytes = wire::EncodeDatagram(datagram);
  const sockaddr_in address = impl::ToSocketAddress(to);
  sendto(m_socket, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  m_bytes += bytes.size();
}

void DatagramSocket::Read() {
  std::array<char, kMaxDatagramBytes> buffer;
  for (int i = 0; i < kMaxReadsPerEvent; ++i) {
    const ssize_t length = recv(m_socket, buffer.data(), buffer.size(), 0);
    if (length < 0) {
      return;
    }
    const auto size = static_cast<std::size_t>(length);
    m_bytes += size;
    if (const auto datagram =
            wire::ParseDatagram(std::string_view(buffer.data(), size))) {
      m_on_datagram(*datagram);
    }
  }
}

}  // namespace figlug::runtime
