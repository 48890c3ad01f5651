#ifndef FIGLUG_CORE_LINK_LINK_LOAD_H_
#define FIGLUG_CORE_LINK_LINK_LOAD_H_

#include <cstddef>

namespace figlug::core {

/// \brief What waits for the link of this process's VM.
struct LinkLoad {
  /// Bytes of large messages that peers have not acknowledged.
  std::size_t m_queued_bytes = 0;
  /// Bytes per second that the link has carried while it was full; 0 until that
  /// is known.
  double m_bytes_per_second = 0;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_LINK_LINK_LOAD_H_
