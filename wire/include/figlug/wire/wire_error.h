#ifndef FIGLUG_WIRE_WIRE_ERROR_H_
#define FIGLUG_WIRE_WIRE_ERROR_H_

#include <string>

namespace figlug::wire {

/// \brief Bytes that cannot be decoded as a message.
struct WireError {
  std::string m_detail;
};

}  // namespace figlug::wire

#endif  // FIGLUG_WIRE_WIRE_ERROR_H_
