#ifndef FIGLUG_CORE_ADMISSION_H_
#define FIGLUG_CORE_ADMISSION_H_

#include <compare>
#include <cstdint>
#include <map>

#include "figlug/core/action.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Work whose runs take about the same time, as far as its head tells.
struct WorkClass {
  std::uint32_t m_priority = 0;
  Duration m_target_latency{};

  auto operator<=>(const WorkClass&) const = default;
};

[[nodiscard]] WorkClass ClassOf(const AttemptHead& head) noexcept;

/// \brief Smoothed times from dispatch to answer at one target, by class.
///
/// \code
/// times.Observe(ClassOf(head), taken);
/// Duration run = times.Of(ClassOf(head));
/// \endcode
class RunTimes {
 public:
  void Observe(WorkClass work, Duration taken);
  /// \brief Expected run of a class; that of all work for a class not seen
  /// yet, and zero when nothing was seen.
  [[nodiscard]] Duration Of(WorkClass work) const;
  /// \brief Expected run over all classes.
  [[nodiscard]] Duration OfAll() const noexcept;

 private:
  std::map<WorkClass, double> m_by_class_us;
  double m_all_us = 0;
};

/// \brief Longest wait for a slot after which a run is still of use, for the
/// load of a burst over a target's capacity.
///
/// A queue that stands would answer everybody late: as short as the target
/// latency asks, it keeps the target as busy, and the answers in time. One that
/// passes soon may answer some callers late, if no other target can serve them.
/// \param run Expected run of the work.
/// \param may_be_late Whether the queue passes soon and nobody else can serve.
/// \returns Zero when only a free slot helps.
[[nodiscard]] Duration UsefulWait(const AttemptHead& head,
                                  Duration run,
                                  bool may_be_late);

}  // namespace figlug::core

#endif  // FIGLUG_CORE_ADMISSION_H_
