#ifndef FIGLUG_RUNTIME_PEER_TRANSPORT_H_
#define FIGLUG_RUNTIME_PEER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <memory>

#include <tl/expected.hpp>

#include "figlug/core/endpoint.h"
#include "figlug/core/ids.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/runtime/runtime_error.h"
#include "figlug/wire/frame.h"

namespace figlug::runtime {

/// \brief A connection that a peer has opened to us.
enum class PeerConnectionId : std::uint64_t {};

/// \brief What the transport asks of its owner.
struct PeerHandlers {
  /// A frame from a peer; replies to it go to the same connection.
  std::function<void(PeerConnectionId, wire::Frame&&)> m_on_frame;
  /// The end of an attempt that was sent: the gate's reply.
  std::function<void(wire::ReplyFrame&&)> m_on_reply;
  /// An attempt whose connection was lost before its reply.
  std::function<void(core::AttemptId, bool was_sent)> m_on_lost;
  /// A connection that a peer had opened is closed.
  std::function<void(PeerConnectionId)> m_on_closed;
};

/// \brief Frames between figlug processes over TCP, many at once a connection.
///
/// \code
/// transport.SendAttempt(endpoint, frame);
/// \endcode
class PeerTransport {
 public:
  PeerTransport(EventLoop& loop, PeerHandlers handlers);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  [[nodiscard]] tl::expected<void, RuntimeError> Listen(
      const core::Endpoint& endpoint);
  /// \brief Sends an attempt; its reply or loss is reported.
  void SendAttempt(const core::Endpoint& to, const wire::AttemptFrame& frame);
  /// \brief Sends any other frame; it may be lost.
  void Send(const core::Endpoint& to, const wire::Frame& frame);
  /// \brief Sends a reply on the connection its attempt came from.
  void Reply(PeerConnectionId to, const wire::ReplyFrame& frame);
  /// \brief Bytes sent to peers since the start.
  [[nodiscard]] std::uint64_t bytes_sent() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_PEER_TRANSPORT_H_
