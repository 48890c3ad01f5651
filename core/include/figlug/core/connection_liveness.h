#ifndef FIGLUG_CORE_CONNECTION_LIVENESS_H_
#define FIGLUG_CORE_CONNECTION_LIVENESS_H_

#include <cstdint>
#include <optional>

#include "figlug/core/time.h"

namespace figlug::core {

/// \brief What to do with a connection whose peer has been silent.
enum class LivenessAction : std::uint8_t {
  kNone,
  kProbe,
  /// Send nothing new on it, but wait for the responses that it owes.
  kRetire,
  kClose,
};

/// \brief Decides whether a connection to a peer still carries data.
///
/// A connection may fall silent without an error, or because its peer stands
/// still. One that owes a response and receives nothing is probed first and
/// then retired. It is closed when the peer has answered on a newer connection
/// for a while, or when all that it owes has ended.
///
/// \code
/// liveness.OnSent(now);
/// switch (liveness.Review(now)) { ... }
/// \endcode
class ConnectionLiveness {
 public:
  /// \brief Data was sent that the peer responds to, or a probe will show.
  void OnSent(Time now);
  /// \brief Data was received.
  /// \param is_awaiting Whether the peer still owes a response.
  void OnReceived(Time now, bool is_awaiting);
  /// \brief An attempt was sent that the peer answers before `end`.
  void OnAttemptSent(Time end);
  /// \brief The peer answered on a newer connection.
  void OnPeerAnsweredElsewhere(Time now);
  /// \brief Decides what is due now. Each probe is returned once, and
  /// retirement once in the life of the connection.
  [[nodiscard]] LivenessAction Review(Time now);
  /// \brief Whether something was sent since the last receipt, or the peer
  /// still owes a response.
  [[nodiscard]] bool is_outstanding() const noexcept {
    return m_silent_since.has_value();
  }
  /// \brief Time for which nothing was received; zero if nothing is
  /// outstanding.
  [[nodiscard]] Duration Silence(Time now) const;

 private:
  std::optional<Time> m_silent_since;
  bool m_is_probed = false;
  bool m_is_retired = false;
  /// Since when the peer has answered elsewhere, but not here.
  std::optional<Time> m_answered_elsewhere;
  /// When the last attempt that was sent has ended.
  Time m_attempts_end = Time::min();
  Time m_reviewed_at{};
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_CONNECTION_LIVENESS_H_
