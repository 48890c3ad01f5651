#include "figlug/runtime/buffer_meter.h"

#include <utility>

#include <log4cplus/loggingmacros.h>

#include "figlug/runtime/logging.h"

namespace figlug::runtime {

BufferCharge::BufferCharge(BufferMeter& meter)
    : m_meter(meter), m_id(meter.m_pool.Open(core::BufferKind::kHeld)) {}

BufferCharge::BufferCharge(BufferMeter& meter, std::function<void()> on_discard)
    : m_meter(meter), m_id(meter.m_pool.Open(core::BufferKind::kArriving)) {
  m_meter.m_discard_handlers.emplace(m_id, std::move(on_discard));
}

BufferCharge::~BufferCharge() {
  m_meter.m_pool.Close(m_id);
  m_meter.m_discard_handlers.erase(m_id);
}

void BufferCharge::Set(std::size_t bytes) {
  const auto discarded = m_meter.m_pool.Resize(m_id, bytes);
  if (!discarded) {
    return;
  }
  LOG4CPLUS_WARN(ProcessLogger(),
                 "connections buffer more than "
                     << m_meter.m_pool.limit()
                     << " bytes; the largest message is discarded");
  // The handler may end the charge that is set here.
  const auto handler = m_meter.m_discard_handlers.extract(*discarded);
  if (!handler.empty()) {
    handler.mapped()();
  }
}

}  // namespace figlug::runtime
