#include "figlug/core/admission/link_admission.h"

#include <algorithm>

#include "figlug/core/link/send_window.h"

namespace figlug::core {
namespace {

constexpr double kMicrosPerSecond = 1e6;
/// Longest transfer time that is told from longer ones, microseconds; keeps a
/// very low rate from overflowing a Duration.
constexpr double kMaxTransferUs = 3600 * kMicrosPerSecond;
/// Part of the target latency within which work that is late already, as after
/// a retry, may still be answered.
constexpr int kTargetLatencyDivisorForLateWork = 4;

Duration TransferTime(std::size_t bytes, double bytes_per_second) {
  const double us =
      static_cast<double>(bytes) * kMicrosPerSecond / bytes_per_second;
  return Duration(static_cast<Duration::rep>(std::min(us, kMaxTransferUs)));
}

}  // namespace

Duration LinkWait(const LinkLoad& link) noexcept {
  return link.m_bytes_per_second > 0
             ? TransferTime(link.m_queued_bytes, link.m_bytes_per_second)
             : Duration::zero();
}

LinkLoad WithMessage(LinkLoad link, std::size_t bytes) noexcept {
  if (bytes > kFragmentBytes) {
    link.m_queued_bytes += bytes;
  }
  return link;
}

Time LinkUntil(Time now, const AttemptHead& head, Time deadline) {
  if (head.m_target_latency <= Duration::zero()) {
    return deadline;
  }
  const Duration least =
      head.m_target_latency / kTargetLatencyDivisorForLateWork;
  return std::min(deadline, now + std::max(head.m_target_latency_left, least));
}

// The link also carries bytes while the target executes the work. That time is
// not deducted: it is a margin for answers that are larger than expected.
bool LinkAdmission::IsTooLate(Time now,
                              const LinkWork& work,
                              const LinkLoad& link) const noexcept {
  if (work.m_bytes == 0 || link.m_bytes_per_second <= 0) {
    return false;
  }
  const std::size_t bytes =
      link.m_queued_bytes + m_running_bytes + work.m_bytes_ahead + work.m_bytes;
  return now + work.m_service_time +
             TransferTime(bytes, link.m_bytes_per_second) >
         work.m_until;
}

}  // namespace figlug::core
