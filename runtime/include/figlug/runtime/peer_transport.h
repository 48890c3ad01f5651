#ifndef FIGLUG_RUNTIME_PEER_TRANSPORT_H_
#define FIGLUG_RUNTIME_PEER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <memory>

#include <tl/expected.hpp>

#include "figlug/core/endpoint.h"
#include "figlug/core/ids.h"
#include "figlug/core/link/link_load.h"
#include "figlug/core/time.h"
#include "figlug/runtime/buffer_meter.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/runtime/runtime_error.h"
#include "figlug/wire/frame.h"

namespace figlug::runtime {

/// \brief Identifies a connection opened by a peer.
enum class PeerConnectionId : std::uint64_t {};

/// A connection that a peer opened is probed after this time without data, and
/// closed after the same time again. With 450 idle peers that is 8 probes a
/// second.
inline constexpr core::Duration kInboundIdleTime = std::chrono::minutes(1);

/// \brief How urgent a large frame is. Small ones are sent at once.
struct SendTerms {
  /// Frames with lower values go first.
  std::uint32_t m_priority = 0;
  /// From here on, the frame is of no use and is not sent.
  core::Time m_deadline = core::kNever;
};

/// \brief Callbacks of a PeerTransport.
struct PeerHandlers {
  /// Called for each frame except replies; a reply to it is sent on the same
  /// connection.
  std::function<void(PeerConnectionId, wire::Frame&&)> m_on_frame;
  /// Called with the gate's reply, which ends an attempt that was sent.
  std::function<void(wire::ReplyFrame&&)> m_on_reply;
  /// Called for an attempt whose connection was lost before the reply; was_sent
  /// is false if the connection was never established.
  std::function<void(core::AttemptId, bool was_sent)> m_on_lost;
  /// Called when a connection opened by a peer is closed.
  std::function<void(PeerConnectionId)> m_on_closed;
  /// Called once for an attempt whose connection is silent. The reply may still
  /// come; the receiver cancels the attempt if it does not wait for it.
  std::function<void(core::AttemptId)> m_on_silent = [](core::AttemptId) {};
};

/// \brief Bytes on their way to peers.
struct PeerBacklog {
  /// Bytes of one connection that wait in this process.
  std::size_t m_unsent = 0;
  /// Bytes of that connection that the system holds until the peer's system
  /// has acknowledged them.
  std::size_t m_unacknowledged = 0;
  /// The same for all connections together.
  std::size_t m_all_unsent = 0;
  std::size_t m_all_unacknowledged = 0;
};

/// \brief Exchanges frames with other figlug processes over TCP, multiplexing
/// attempts on one connection per peer.
///
/// \code
/// transport.SendAttempt(endpoint, frame);
/// \endcode
class PeerTransport {
 public:
  /// \param max_inbound_idle Time after which a silent connection that a peer
  /// opened is probed, then closed.
  /// \param meter Counts what the connections buffer; must outlive the
  /// transport. Null: it is not counted.
  PeerTransport(EventLoop& loop,
                PeerHandlers handlers,
                core::Duration max_inbound_idle = kInboundIdleTime,
                BufferMeter* meter = nullptr);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  [[nodiscard]] tl::expected<void, RuntimeError> Listen(
      const core::Endpoint& endpoint);
  /// \brief Sends an attempt; either m_on_reply or m_on_lost follows, unless
  /// it is cancelled.
  void SendAttempt(const core::Endpoint& to, const wire::AttemptFrame& frame);
  /// \brief Cancels an attempt, on the connection that it was sent on; ignored
  /// if that connection is closed.
  void Cancel(const core::Endpoint& to, core::AttemptId attempt);
  /// \brief Sends any other frame, without a delivery guarantee.
  void Send(const core::Endpoint& to, const wire::Frame& frame);
  /// \brief Sends a reply on the connection that its attempt came from; ignored
  /// if that connection is closed.
  void Reply(PeerConnectionId to,
             const wire::ReplyFrame& frame,
             const SendTerms& terms = {});
  /// \brief Bytes that wait to be written to connected peers.
  [[nodiscard]] std::size_t unsent_bytes() const;
  /// \brief What waits for the link of this VM.
  [[nodiscard]] core::LinkLoad link_load(core::Time now) const;
  /// \brief Bytes of large frames that may be under way at a time.
  [[nodiscard]] std::size_t link_window() const;
  /// \brief Bytes of large frames that peers have not acknowledged, but for
  /// peers that stand still. Closing a connection may cost its peer these.
  [[nodiscard]] std::size_t unacknowledged_bytes(core::Time now) const;
  /// \brief Bytes of large frames that were cancelled or expired before they
  /// were sent, since the start.
  [[nodiscard]] std::uint64_t dropped_bytes() const noexcept;
  /// \brief What stands before the next reply on a connection that a peer
  /// opened. Asks the system about each connection.
  [[nodiscard]] PeerBacklog BacklogOf(PeerConnectionId to) const;
  /// \brief Bytes sent to peers since the start.
  [[nodiscard]] std::uint64_t bytes_sent() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_PEER_TRANSPORT_H_
