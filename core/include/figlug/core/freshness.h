#ifndef FIGLUG_CORE_FRESHNESS_H_
#define FIGLUG_CORE_FRESHNESS_H_

#include <algorithm>
#include <optional>

#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Tracks until when what this process has read was known to be the
/// newest.
///
/// Only answers to requests of this process count: an unsolicited report may
/// have been on its way, or in a buffer, for any time.
///
/// \code
/// freshness.Confirm(read_sent_at);
/// if (now >= freshness.ValidUntil(max_age)) Reject();
/// \endcode
class Freshness {
 public:
  /// \brief It was the newest at a time of this process's clock, which must go
  /// on while the VM is suspended.
  void Confirm(Time at) noexcept {
    m_confirmed_at = std::max(m_confirmed_at.value_or(at), at);
  }
  /// \brief A peer has answered a request.
  /// \param requested_at When this process sent the request.
  /// \param age Age of the peer's own confirmation when it answered.
  void ConfirmByPeer(Time requested_at, Duration age) noexcept {
    if (age >= Duration::zero()) {
      Confirm(requested_at - age);
    }
  }
  /// \brief Age of the last confirmation; unset before the first.
  [[nodiscard]] std::optional<Duration> Age(Time now) const noexcept {
    return m_confirmed_at ? std::optional(now - *m_confirmed_at) : std::nullopt;
  }
  /// \brief When the last confirmation reaches an age.
  [[nodiscard]] Time ValidUntil(Duration max_age) const noexcept {
    return m_confirmed_at ? *m_confirmed_at + max_age : Time::min();
  }

 private:
  std::optional<Time> m_confirmed_at;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_FRESHNESS_H_
