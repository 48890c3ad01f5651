#ifndef FIGLUG_CORE_BUFFER_POOL_H_
#define FIGLUG_CORE_BUFFER_POOL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace figlug::core {

/// \brief Identifies a buffer of a BufferPool.
enum class BufferId : std::uint64_t {};

/// \brief Whether a buffer may be discarded.
enum class BufferKind : std::uint8_t {
  /// A message that is still arriving; it may be discarded.
  kArriving,
  /// A message in use; it is kept until its owner releases it.
  kHeld,
};

/// \brief Bounds the bytes that all connections of a process buffer together.
///
/// \code
/// BufferPool pool(64U << 20);
/// const BufferId id = pool.Open(BufferKind::kArriving);
/// if (const auto discarded = pool.Resize(id, bytes)) { Drop(*discarded); }
/// pool.Close(id);
/// \endcode
class BufferPool {
 public:
  /// \param limit Bytes that all buffers may hold together.
  explicit BufferPool(std::size_t limit) noexcept : m_limit(limit) {}

  /// \brief Adds an empty buffer.
  [[nodiscard]] BufferId Open(BufferKind kind);
  /// \brief Sets the size of a buffer, in bytes. A buffer that is unknown or
  /// has been discarded is ignored.
  /// \returns The buffer that must be discarded because the limit is exceeded;
  /// it has been removed from the pool.
  [[nodiscard]] std::optional<BufferId> Resize(BufferId id, std::size_t bytes);
  /// \brief Removes a buffer.
  void Close(BufferId id) noexcept;
  /// \brief Whether a request with a body of this many bytes may be accepted.
  [[nodiscard]] bool Admits(std::size_t bytes) const noexcept;

  [[nodiscard]] std::size_t limit() const noexcept { return m_limit; }
  [[nodiscard]] std::size_t used() const noexcept { return m_used; }
  /// \brief Number of buffers discarded so far.
  [[nodiscard]] std::uint64_t discarded() const noexcept { return m_discarded; }

 private:
  struct Buffer {
    BufferKind m_kind = BufferKind::kHeld;
    std::size_t m_bytes = 0;
  };

  [[nodiscard]] std::optional<BufferId> FindLargestArriving() const;

  std::size_t m_limit;
  std::size_t m_used = 0;
  std::size_t m_held = 0;
  std::uint64_t m_last_id = 0;
  std::uint64_t m_discarded = 0;
  std::map<BufferId, Buffer> m_buffers;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_BUFFER_POOL_H_
