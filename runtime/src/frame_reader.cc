#include "figlug/runtime/impl/frame_reader.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <cstddef>
#include <string_view>
#include <utility>

namespace figlug::runtime::impl {
namespace {

/// Bytes of one connection that are read before they are handled.
constexpr std::size_t kMaxBatchBytes = 4U << 20;

std::string_view Peek(evbuffer* input, std::size_t length) {
  return {reinterpret_cast<const char*>(
              evbuffer_pullup(input, static_cast<ev_ssize_t>(length))),
          length};
}

// libevent reads a few KiB in each iteration of the loop. After a pause that
// would deliver attempts long before the cancellations sent after them.
void ReadAll(bufferevent* stream, evbuffer* input) {
  evbuffer_unfreeze(input, 0);
  while (evbuffer_get_length(input) < kMaxBatchBytes &&
         evbuffer_read(input, bufferevent_getfd(stream), -1) > 0) {
  }
  evbuffer_freeze(input, 0);
}

}  // namespace

FrameBatch FrameReader::Read(bufferevent* stream) {
  evbuffer* input = bufferevent_get_input(stream);
  ReadAll(stream, input);
  FrameBatch batch;
  batch.m_is_valid = Parse(input, batch);
  return batch;
}

bool FrameReader::Parse(evbuffer* input, FrameBatch& batch) {
  while (evbuffer_get_length(input) >= wire::kFramePrefixBytes) {
    const auto prefix =
        wire::ParseFramePrefix(Peek(input, wire::kFramePrefixBytes));
    if (!prefix) {
      return false;
    }
    const std::size_t length =
        wire::kFramePrefixBytes + prefix->m_head + prefix->m_body;
    if (evbuffer_get_length(input) < length) {
      return true;
    }
    const std::string_view bytes = Peek(input, length);
    auto frame = wire::ParseFrame(
        bytes.substr(wire::kFramePrefixBytes, prefix->m_head),
        bytes.substr(wire::kFramePrefixBytes + prefix->m_head));
    evbuffer_drain(input, length);
    if (!frame || !Add(std::move(*frame), batch)) {
      return false;
    }
  }
  return true;
}

bool FrameReader::Add(wire::Frame&& frame, FrameBatch& batch) {
  if (auto* fragment = std::get_if<wire::FragmentFrame>(&frame)) {
    ++batch.m_fragments;
    auto joined = m_assembler.Add(std::move(*fragment));
    if (joined && *joined) {
      batch.m_frames.push_back(std::move(**joined));
    }
    return joined.has_value();
  }
  if (const auto* abort = std::get_if<wire::FragmentAbortFrame>(&frame)) {
    m_assembler.Abort(abort->m_transfer);
    return true;
  }
  batch.m_frames.push_back(std::move(frame));
  return true;
}

}  // namespace figlug::runtime::impl
