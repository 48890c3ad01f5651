#ifndef FIGLUG_RUNTIME_IMPL_SOCKET_ADDRESS_H_
#define FIGLUG_RUNTIME_IMPL_SOCKET_ADDRESS_H_

#include <arpa/inet.h>
#include <netinet/in.h>

#include "figlug/core/endpoint.h"

namespace figlug::runtime::impl {

/// \brief Converts an IPv4 endpoint to a sockaddr_in.
inline sockaddr_in ToSocketAddress(const core::Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.m_port);
  inet_pton(AF_INET, endpoint.m_host.c_str(), &address.sin_addr);
  return address;
}

}  // namespace figlug::runtime::impl

#endif  // FIGLUG_RUNTIME_IMPL_SOCKET_ADDRESS_H_
