#ifndef FIGLUG_CORE_ADMISSION_H_
#define FIGLUG_CORE_ADMISSION_H_

#include <compare>
#include <cstdint>
#include <map>

#include "figlug/core/action.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Work that is expected to take about the same service time, judged by
/// its head.
struct WorkClass {
  std::uint32_t m_priority = 0;
  Duration m_target_latency{};

  auto operator<=>(const WorkClass&) const = default;
};

[[nodiscard]] WorkClass ClassOf(const AttemptHead& head) noexcept;

/// \brief Smoothed service times (dispatch to answer) at one target, by class.
///
/// \code
/// times.Observe(ClassOf(head), taken);
/// Duration service_time = times.Expected(ClassOf(head));
/// \endcode
class ServiceTimes {
 public:
  void Observe(WorkClass work, Duration taken);
  /// \brief Expected service time of a class; that of all work for a class
  /// without observations, and zero before the first observation.
  [[nodiscard]] Duration Expected(WorkClass work) const;
  /// \brief Expected service time over all classes.
  [[nodiscard]] Duration ExpectedOverall() const noexcept;

 private:
  std::map<WorkClass, double> m_by_class_us;
  double m_all_us = 0;
};

/// \brief Longest wait for a slot after which executing the work is still
/// useful, for bursts that exceed a target's capacity.
///
/// A standing queue would make every answer late. Kept as short as the target
/// latency requires, it keeps the target equally busy and the answers arrive in
/// time. A queue that clears soon may answer some callers late, if no other
/// target can serve them.
/// \param service_time Expected service time of the work.
/// \param may_be_late Whether the queue clears soon and no other target can
/// serve the work.
/// \returns Zero when the work is useful only if a slot is free now.
[[nodiscard]] Duration MaxUsefulWait(const AttemptHead& head,
                                     Duration service_time,
                                     bool may_be_late);

}  // namespace figlug::core

#endif  // FIGLUG_CORE_ADMISSION_H_
