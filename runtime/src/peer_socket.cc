#include "figlug/runtime/impl/peer_socket.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <algorithm>

#include <log4cplus/loggingmacros.h>

#include "figlug/runtime/impl/socket_address.h"
#include "figlug/runtime/logging.h"

namespace figlug::runtime::impl {

// The port is chosen as late as the connection is made, so that many can share
// one to different peers.
evutil_socket_t OpenPeerSocket(const std::string& host) {
  const evutil_socket_t opened =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(opened, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
  const sockaddr_in local = ToSocketAddress({host, 0});
  if (bind(opened, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) !=
      0) {
    LOG4CPLUS_WARN(ProcessLogger(), "cannot call peers from " << host);
  }
  return opened;
}

void EnableNoDelay(evutil_socket_t socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::size_t UnsentBytes(bufferevent* stream) {
  return evbuffer_get_length(bufferevent_get_output(stream));
}

std::size_t UnacknowledgedBytes(bufferevent* stream) {
  int bytes = 0;
  return ioctl(bufferevent_getfd(stream), SIOCOUTQ, &bytes) == 0
             ? static_cast<std::size_t>(std::max(0, bytes))
             : 0;
}

}  // namespace figlug::runtime::impl
