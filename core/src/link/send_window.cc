#include "figlug/core/link/send_window.h"

#include <algorithm>

namespace figlug::core {
namespace {

/// Time that a short message may wait behind fragments under way. Short calls
/// between targets have to end within about 100 ms, there and back.
constexpr Duration kTargetQueueing = std::chrono::milliseconds(30);
/// Queueing from which on the window is reduced in proportion, as after a link
/// has lost much of its rate.
constexpr Duration kExcessiveQueueing = 2 * kTargetQueueing;
constexpr double kReductionFactor = 0.7;
/// With less, the link would stand idle between acknowledgements.
constexpr double kMinBytes = 2.0 * kFragmentBytes;
/// The product of 1 Gbit/s and 32 ms.
constexpr double kMaxBytes = 4U << 20;

}  // namespace

// The queue of the link itself is what delays others, so the window is steered
// by the delay, not by losses. A link that is not full shows nothing about how
// much more it could carry.
void SendWindow::OnAck(Time now, const Sample& sample) {
  if (sample.m_queueing > kExcessiveQueueing) {
    if (now >= m_no_reduction_before) {
      m_bytes *= kReductionFactor;
      m_no_reduction_before = now + sample.m_round_trip;
    }
    Clamp();
    return;
  }
  const double room =
      static_cast<double>((kTargetQueueing - sample.m_queueing).count()) /
      static_cast<double>(kTargetQueueing.count());
  if (room > 0 && !sample.m_is_limiting) {
    return;
  }
  m_bytes += room * static_cast<double>(sample.m_bytes) *
             static_cast<double>(kFragmentBytes) / m_bytes;
  Clamp();
}

void SendWindow::Clamp() noexcept {
  m_bytes = std::clamp(m_bytes, kMinBytes, kMaxBytes);
}

}  // namespace figlug::core
