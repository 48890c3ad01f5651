#ifndef FIGLUG_CORE_ENDPOINT_H_
#define FIGLUG_CORE_ENDPOINT_H_

#include <cstdint>
#include <string>

namespace figlug::core {

/// \brief An IP address and a port.
struct Endpoint {
  std::string m_host;
  std::uint16_t m_port = 0;

  bool operator==(const Endpoint&) const = default;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_ENDPOINT_H_
