#ifndef FIGLUG_RUNTIME_IMPL_SOCKET_STATE_H_
#define FIGLUG_RUNTIME_IMPL_SOCKET_STATE_H_

#include <event2/util.h>

namespace figlug::runtime::impl {

/// \brief Whether the other end has closed or reset a connection.
[[nodiscard]] bool IsClosedByPeer(evutil_socket_t socket);

/// \brief Whether bytes have arrived that have not been read.
[[nodiscard]] bool HasUnreadBytes(evutil_socket_t socket);

}  // namespace figlug::runtime::impl

#endif  // FIGLUG_RUNTIME_IMPL_SOCKET_STATE_H_
