#ifndef FIGLUG_CORE_LINK_SEND_WINDOW_H_
#define FIGLUG_CORE_LINK_SEND_WINDOW_H_

#include <cstddef>

#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Size of the fragments in which a large message is sent, bytes.
inline constexpr std::size_t kFragmentBytes = 16U << 10;

/// \brief Bytes that may be under way on a link, learned from the delay of
/// their acknowledgements.
///
/// \code
/// if (in_flight < window.bytes()) { Send(fragment); }
/// window.OnAck(now, {bytes, queueing_delay, round_trip, is_limiting});
/// \endcode
class SendWindow {
 public:
  /// \brief What an acknowledgement shows.
  struct Sample {
    std::size_t m_bytes = 0;
    /// Part of the round trip that the bytes spent in queues.
    Duration m_queueing{};
    Duration m_round_trip{};
    /// Whether more would have been sent if the window had allowed it.
    bool m_is_limiting = false;
  };

  void OnAck(Time now, const Sample& sample);
  [[nodiscard]] std::size_t bytes() const noexcept {
    return static_cast<std::size_t>(m_bytes);
  }

 private:
  void Clamp() noexcept;

  double m_bytes = 4.0 * kFragmentBytes;
  /// The window is reduced once in a round trip.
  Time m_no_reduction_before{};
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_LINK_SEND_WINDOW_H_
