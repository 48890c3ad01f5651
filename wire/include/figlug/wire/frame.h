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

/// \brief An attempt on its way to a gate; the body follows the head.
struct AttemptFrame {
  core::AttemptId m_attempt{0};
  core::AttemptHead m_head;
  HttpRequest m_request;
};

/// \brief The end of an attempt on its way back; the body follows the head.
struct ReplyFrame {
  core::AttemptId m_attempt{0};
  core::Outcome m_outcome = core::Outcome::kNotRun;
  core::Reason m_reason = core::Reason::kNone;
  HttpResponse m_response;
  /// Load of the gate when it replied.
  core::GateLoad m_load;
};

/// \brief Nobody waits for an attempt any more.
struct CancelFrame {
  core::AttemptId m_attempt{0};
};

using Frame =
    std::variant<AttemptFrame, ReplyFrame, CancelFrame, core::PeerMessage>;

/// \brief Bytes before each frame: lengths of its head and body.
inline constexpr std::size_t kFramePrefixBytes = 8;
/// \brief Longest head of a frame, bytes.
inline constexpr std::uint32_t kMaxFrameHeadBytes = 16U << 20;
/// \brief Longest body of a frame, bytes.
inline constexpr std::uint32_t kMaxFrameBodyBytes = 64U << 20;

/// \brief Lengths of the two parts of a frame, bytes.
struct FramePrefix {
  std::uint32_t m_head = 0;
  std::uint32_t m_body = 0;
};

/// \brief Reads the lengths that precede a frame.
/// \param bytes At least kFramePrefixBytes.
/// \returns An error when a part would be longer than allowed.
[[nodiscard]] tl::expected<FramePrefix, WireError> ParseFramePrefix(
    std::string_view bytes);

/// \brief Writes prefix and head; the body of the message is to follow.
/// \code
/// out += EncodeFrameHead(frame);
/// out += BodyOf(frame);
/// \endcode
[[nodiscard]] std::string EncodeFrameHead(const Frame& frame);
/// \brief The body that belongs to a frame; empty for most.
[[nodiscard]] std::string_view BodyOf(const Frame& frame) noexcept;
/// \brief Reads one frame from its head and body.
[[nodiscard]] tl::expected<Frame, WireError> ParseFrame(std::string_view head,
                                                        std::string_view body);

/// \brief Writes a datagram.
[[nodiscard]] std::string EncodeDatagram(const core::Datagram& datagram);
/// \brief Reads a datagram.
[[nodiscard]] tl::expected<core::Datagram, WireError> ParseDatagram(
    std::string_view bytes);

}  // namespace figlug::wire

#endif  // FIGLUG_WIRE_FRAME_H_
