#ifndef FIGLUG_RUNTIME_IMPL_FRAME_READER_H_
#define FIGLUG_RUNTIME_IMPL_FRAME_READER_H_

#include <vector>

#include "figlug/wire/frame.h"

struct bufferevent;
struct evbuffer;

namespace figlug::runtime::impl {

/// \brief Reads what has arrived on a connection's socket, up to a few MiB.
void ReadAll(bufferevent* stream, evbuffer* input);

/// \brief Removes all complete frames from the input.
/// \returns false if the input is not a sequence of frames.
[[nodiscard]] bool ParseFrames(evbuffer* input,
                               std::vector<wire::Frame>& frames);

}  // namespace figlug::runtime::impl

#endif  // FIGLUG_RUNTIME_IMPL_FRAME_READER_H_
