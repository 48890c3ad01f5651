#ifndef FIGLUG_WIRE_FRAME_H_
#define FIGLUG_WIRE_FRAME_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include <tl/expected.hpp>

#include "figlug/core/action.h"
#include "figlug/core/messages.h"
#include "figlug/wire/http_message.h"
#include "figlug/wire/wire_error.h"

namespace figlug::wire {

/// \brief An attempt sent to a gate. On the wire the body follows the head.
struct AttemptFrame {
  core::AttemptId m_attempt{0};
  core::AttemptHead m_head;
  HttpRequest m_request;
};

/// \brief The result of an attempt, sent back by the gate. On the wire the body
/// follows the head.
struct ReplyFrame {
  core::AttemptId m_attempt{0};
  core::Outcome m_outcome = core::Outcome::kNotRun;
  core::Reason m_reason = core::Reason::kNone;
  HttpResponse m_response;
  /// Load of the gate when it sent the reply.
  core::GateLoad m_load;
};

/// \brief Cancels an attempt whose result is no longer needed.
struct CancelFrame {
  core::AttemptId m_attempt{0};
};

/// \brief Asks whether the connection still carries data in both directions.
struct ProbeFrame {};

/// \brief Answers a probe on the connection that it came from.
struct ProbeReplyFrame {};

/// \brief A part of a large frame, sent in turns with other frames. On the wire
/// its bytes are the body.
struct FragmentFrame {
  /// Unique among the transfers of one direction of a connection.
  std::uint64_t m_transfer = 0;
  bool m_is_last = false;
  std::string m_bytes;
};

/// \brief Acknowledges the oldest fragment that has not been acknowledged.
struct FragmentAckFrame {};

/// \brief Says that the rest of a transfer will not be sent.
struct FragmentAbortFrame {
  std::uint64_t m_transfer = 0;
};

/// \brief Any message on a stream connection between peers.
using Frame = std::variant<AttemptFrame,
                           ReplyFrame,
                           CancelFrame,
                           core::PeerMessage,
                           ProbeFrame,
                           ProbeReplyFrame,
                           FragmentFrame,
                           FragmentAckFrame,
                           FragmentAbortFrame>;

/// \brief Size of the prefix of each frame: the lengths of its head and body as
/// two 32-bit big-endian numbers.
inline constexpr std::size_t kFramePrefixBytes = 8;
/// \brief Maximum length of the head of a frame, bytes.
inline constexpr std::uint32_t kMaxFrameHeadBytes = 16U << 20;
/// \brief Maximum length of the body of a frame, bytes.
inline constexpr std::uint32_t kMaxFrameBodyBytes = 64U << 20;

/// \brief Lengths of the head and body of a frame, bytes.
struct FramePrefix {
  std::uint32_t m_head = 0;
  std::uint32_t m_body = 0;
};

/// \brief Decodes the prefix of a frame.
/// \param bytes At least kFramePrefixBytes.
/// \returns An error if the head is empty or a length exceeds its maximum.
[[nodiscard]] tl::expected<FramePrefix, WireError> ParseFramePrefix(
    std::string_view bytes);

/// \brief Encodes prefix and head. The caller appends the body, which is not
/// copied here.
/// \code
/// out += EncodeFrameHead(frame);
/// out += BodyOf(frame);
/// \endcode
[[nodiscard]] std::string EncodeFrameHead(const Frame& frame);
/// \brief The body of a frame; empty unless it is an attempt, a reply or a
/// fragment.
[[nodiscard]] std::string_view BodyOf(const Frame& frame) noexcept;
/// \brief Decodes a frame from its head and body.
[[nodiscard]] tl::expected<Frame, WireError> ParseFrame(std::string_view head,
                                                        std::string_view body);

/// \brief Encodes a datagram.
[[nodiscard]] std::string EncodeDatagram(const core::Datagram& datagram);
/// \brief Decodes a datagram.
[[nodiscard]] tl::expected<core::Datagram, WireError> ParseDatagram(
    std::string_view bytes);

}  // namespace figlug::wire

#endif  // FIGLUG_WIRE_FRAME_H_
