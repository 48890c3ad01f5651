#ifndef FIGLUG_RUNTIME_IMPL_FRAME_READER_H_
#define FIGLUG_RUNTIME_IMPL_FRAME_READER_H_

#include <cstddef>
#include <vector>

#include "figlug/wire/fragment_assembler.h"
#include "figlug/wire/frame.h"

struct bufferevent;
struct evbuffer;

namespace figlug::runtime::impl {

/// \brief What has arrived on a connection at one time.
struct FrameBatch {
  /// Whole frames; none is a fragment.
  std::vector<wire::Frame> m_frames;
  /// Fragments that are to be acknowledged.
  std::size_t m_fragments = 0;
  /// Whether the input was a sequence of frames, of which m_frames holds those
  /// before the first error.
  bool m_is_valid = true;
};

/// \brief Reads the frames of one connection.
class FrameReader {
 public:
  /// \brief Reads what has arrived on the socket, up to a few MiB, and removes
  /// all complete frames from the input.
  [[nodiscard]] FrameBatch Read(bufferevent* stream);
  /// \brief Bytes of large frames of which fragments are missing.
  [[nodiscard]] std::size_t incomplete_bytes() const noexcept {
    return m_assembler.bytes();
  }

 private:
  [[nodiscard]] bool Parse(evbuffer* input, FrameBatch& batch);
  [[nodiscard]] bool Add(wire::Frame&& frame, FrameBatch& batch);

  wire::FragmentAssembler m_assembler;
};

}  // namespace figlug::runtime::impl

#endif  // FIGLUG_RUNTIME_IMPL_FRAME_READER_H_
