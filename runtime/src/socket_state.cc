#include "figlug/runtime/impl/socket_state.h"

#include <poll.h>
#include <sys/ioctl.h>

namespace figlug::runtime::impl {

bool IsClosedByPeer(evutil_socket_t socket) {
  pollfd state{socket, POLLRDHUP, 0};
  return poll(&state, 1, 0) == 1 &&
         (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool HasUnreadBytes(evutil_socket_t socket) {
  int bytes = 0;
  return ioctl(socket, FIONREAD, &bytes) == 0 && bytes > 0;
}

}  // namespace figlug::runtime::impl
