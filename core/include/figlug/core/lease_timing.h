#ifndef FIGLUG_CORE_LEASE_TIMING_H_
#define FIGLUG_CORE_LEASE_TIMING_H_

#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Intervals and timeouts of the lease protocol.
///
/// `m_pledge_duration` exceeds `m_lease_duration` by the tolerated drift
/// between two clocks.
struct LeaseTiming {
  Duration m_heartbeat_interval = std::chrono::milliseconds(200);
  Duration m_lease_duration = std::chrono::milliseconds(600);
  Duration m_pledge_duration = std::chrono::milliseconds(660);
  /// Time without a heartbeat from a newly watched member before this watcher
  /// votes to remove it; at least a pledge, however short it is set.
  Duration m_first_contact_timeout = std::chrono::milliseconds(3000);
  /// Time without an acknowledgement before a watcher is replaced.
  Duration m_watcher_silence_timeout = std::chrono::milliseconds(1200);
  /// A log reader is behind when it has not applied records that were already
  /// applied here this long ago.
  Duration m_stale_reader_timeout = std::chrono::milliseconds(3000);
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_LEASE_TIMING_H_
