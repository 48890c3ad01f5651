#ifndef FIGLUG_CORE_ADMISSION_LINK_ADMISSION_H_
#define FIGLUG_CORE_ADMISSION_LINK_ADMISSION_H_

#include <cstddef>

#include "figlug/core/admission/answer_sizes.h"
#include "figlug/core/link/link_load.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Time until the link has carried what is queued for it now; zero while
/// its rate is not known.
[[nodiscard]] Duration LinkWait(const LinkLoad& link) noexcept;

/// \brief The load after a message of that size has been sent.
[[nodiscard]] LinkLoad WithMessage(LinkLoad link, std::size_t bytes) noexcept;

/// \brief Until when a large answer is useful enough to be sent.
///
/// A standing queue would make every answer late. Kept as short as the target
/// latency requires, it keeps the link equally busy.
/// \param deadline When nobody waits for the answer any more.
[[nodiscard]] Time LinkUntil(Time now, const AttemptHead& head, Time deadline);

/// \brief Work whose answer the link will carry.
struct LinkWork {
  /// By then, its answer must have arrived.
  Time m_until{};
  Duration m_service_time{};
  /// Expected size of its answer.
  std::size_t m_bytes = 0;
  /// Expected size of the large answers of queued work that is served before.
  std::size_t m_bytes_ahead = 0;
};

/// \brief Judges which work's large answer the link of this process's VM can
/// still carry to the caller in time.
///
/// \code
/// const std::size_t bytes = link.ExpectedBytes(ClassOf(head));
/// const LinkWork work{until, service_time, bytes};
/// if (link.IsTooLate(now, work, load)) { Refuse(); }
/// link.OnDispatched(bytes);
/// link.OnEnded(bytes);
/// \endcode
class LinkAdmission {
 public:
  void ObserveAnswer(WorkClass work, std::size_t bytes) {
    m_sizes.Observe(work, bytes);
  }
  /// \brief Expected size of the answer to such work; 0 if it is small or not
  /// known, and the work is not judged.
  [[nodiscard]] std::size_t ExpectedBytes(WorkClass work) const {
    return m_sizes.ExpectedLarge(work);
  }
  /// \brief Work with an answer of that expected size is at the target.
  void OnDispatched(std::size_t bytes) noexcept { m_running_bytes += bytes; }
  /// \brief It no longer is.
  void OnEnded(std::size_t bytes) noexcept { m_running_bytes -= bytes; }
  /// \brief Whether the answer of work is expected after its deadline.
  [[nodiscard]] bool IsTooLate(Time now,
                               const LinkWork& work,
                               const LinkLoad& link) const noexcept;

 private:
  AnswerSizes m_sizes;
  /// Expected size of the large answers of work at the target.
  std::size_t m_running_bytes = 0;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_ADMISSION_LINK_ADMISSION_H_
