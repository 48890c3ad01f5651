#ifndef FIGLUG_RUNTIME_IMPL_PEER_SOCKET_H_
#define FIGLUG_RUNTIME_IMPL_PEER_SOCKET_H_

#include <event2/util.h>

#include <cstddef>
#include <string>

struct bufferevent;

namespace figlug::runtime::impl {

/// \brief Opens a non-blocking TCP socket bound to a local address.
[[nodiscard]] evutil_socket_t OpenPeerSocket(const std::string& host);

void EnableNoDelay(evutil_socket_t socket);

/// \brief Bytes that wait in this process.
[[nodiscard]] std::size_t UnsentBytes(bufferevent* stream);

/// \brief Bytes that the system holds until the peer's has acknowledged them.
[[nodiscard]] std::size_t UnacknowledgedBytes(bufferevent* stream);

}  // namespace figlug::runtime::impl

#endif  // FIGLUG_RUNTIME_IMPL_PEER_SOCKET_H_
