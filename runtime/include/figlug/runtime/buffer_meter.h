#ifndef FIGLUG_RUNTIME_BUFFER_METER_H_
#define FIGLUG_RUNTIME_BUFFER_METER_H_

#include <cstddef>
#include <functional>
#include <map>

#include "figlug/core/buffer_pool.h"

namespace figlug::runtime {

/// \brief The buffers of all connections of a process, see core::BufferPool.
///
/// Must outlive all its charges.
class BufferMeter {
 public:
  /// \param limit Bytes that all buffers may hold together.
  explicit BufferMeter(std::size_t limit) noexcept : m_pool(limit) {}
  BufferMeter(const BufferMeter&) = delete;
  BufferMeter& operator=(const BufferMeter&) = delete;

  [[nodiscard]] const core::BufferPool& pool() const noexcept { return m_pool; }

 private:
  friend class BufferCharge;

  core::BufferPool m_pool;
  std::map<core::BufferId, std::function<void()>> m_discard_handlers;
};

/// \brief The bytes of one buffer, counted until the charge is destroyed.
///
/// \code
/// BufferCharge charge(meter, [&] { body.clear(); });
/// charge.Set(body.size());
/// \endcode
class BufferCharge {
 public:
  /// \brief Charges bytes that are held until the charge ends.
  explicit BufferCharge(BufferMeter& meter);
  /// \brief Charges a message that is still arriving.
  /// \param on_discard Called at most once, from any function that sets a
  /// charge; must drop the message.
  BufferCharge(BufferMeter& meter, std::function<void()> on_discard);
  ~BufferCharge();
  BufferCharge(const BufferCharge&) = delete;
  BufferCharge& operator=(const BufferCharge&) = delete;

  void Set(std::size_t bytes);

 private:
  BufferMeter& m_meter;
  core::BufferId m_id;
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_BUFFER_METER_H_
