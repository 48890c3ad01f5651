#include "figlug/core/buffer_pool.h"

namespace figlug::core {

BufferId BufferPool::Open(BufferKind kind) {
  const BufferId id{++m_last_id};
  m_buffers[id] = {kind, 0};
  return id;
}

// The largest message is the one whose loss frees most. A message without an
// end becomes the largest sooner or later, so small ones survive it.
std::optional<BufferId> BufferPool::Resize(BufferId id, std::size_t bytes) {
  const auto it = m_buffers.find(id);
  if (it == m_buffers.end()) {
    return std::nullopt;
  }
  Buffer& buffer = it->second;
  const bool has_grown = bytes > buffer.m_bytes;
  m_used += bytes - buffer.m_bytes;
  if (buffer.m_kind == BufferKind::kHeld) {
    m_held += bytes - buffer.m_bytes;
  }
  buffer.m_bytes = bytes;
  if (!has_grown || m_used <= m_limit) {
    return std::nullopt;
  }
  const auto largest = FindLargestArriving();
  if (largest) {
    Close(*largest);
    ++m_discarded;
  }
  return largest;
}

void BufferPool::Close(BufferId id) noexcept {
  const auto it = m_buffers.find(id);
  if (it == m_buffers.end()) {
    return;
  }
  m_used -= it->second.m_bytes;
  if (it->second.m_kind == BufferKind::kHeld) {
    m_held -= it->second.m_bytes;
  }
  m_buffers.erase(it);
}

// Half of the limit is left for responses: losing one loses work that has run,
// while a request can be rejected.
bool BufferPool::Admits(std::size_t bytes) const noexcept {
  return bytes <= m_limit / 2 && m_held <= m_limit / 2 - bytes;
}

std::optional<BufferId> BufferPool::FindLargestArriving() const {
  std::optional<BufferId> largest;
  std::size_t most = 0;
  for (const auto& [id, buffer] : m_buffers) {
    if (buffer.m_kind == BufferKind::kArriving && buffer.m_bytes > most) {
      largest = id;
      most = buffer.m_bytes;
    }
  }
  return largest;
}

}  // namespace figlug::core
