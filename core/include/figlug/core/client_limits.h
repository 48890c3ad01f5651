#ifndef FIGLUG_CORE_CLIENT_LIMITS_H_
#define FIGLUG_CORE_CLIENT_LIMITS_H_

#include "figlug/core/time.h"

namespace figlug::core {

/// \brief How long clients may take; both greater than zero.
struct ClientLimits {
  /// From the first byte of a request to the end of its head.
  Duration m_header_timeout = std::chrono::seconds(10);
  /// Without a byte, between requests or within a body.
  Duration m_idle_timeout = std::chrono::seconds(60);
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_CLIENT_LIMITS_H_
