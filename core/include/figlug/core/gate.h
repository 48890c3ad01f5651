#ifndef FIGLUG_CORE_GATE_H_
#define FIGLUG_CORE_GATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>

#include "figlug/core/action.h"
#include "figlug/core/admission.h"
#include "figlug/core/concurrency_limit.h"
#include "figlug/core/ids.h"
#include "figlug/core/outcome.h"
#include "figlug/core/ownership.h"
#include "figlug/core/pacer.h"
#include "figlug/core/profile.h"
#include "figlug/core/slice_balance.h"
#include "figlug/core/target_holds.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief What the target bears, as far as it or its operators tell.
struct TargetCapacity {
  /// Requests that it runs at once; 0 when it does not tell.
  std::uint32_t m_slots = 0;
  /// Requests a second that it bears while cold; 0 for no bound.
  double m_cold_rate = 0;
  Time m_cold_until = Time::min();
};

/// \brief What the gate's decisions depend on besides its own work.
struct GateView {
  const Profile& m_profile;
  Ownership& m_ownership;
  /// kNone when the gate may admit work at all.
  Reason m_closed = Reason::kNone;
  TargetCapacity m_capacity{};
  /// Set where targets hold keys by grants.
  const TargetHolds* m_holds = nullptr;
  std::string_view m_target{};
  /// Service of the target.
  std::string_view m_service{};
};

/// \brief How work ended at the target.
struct TargetResult {
  Outcome m_outcome = Outcome::kAnswered;
  Reason m_reason = Reason::kNone;
};

/// \brief Admission of work to the one target beside this process.
///
/// \code
/// gate.Admit(now, work, head, view, actions);
/// gate.OnTargetResult(now, work, result, view, actions);
/// \endcode
class Gate {
 public:
  void Admit(Time now,
             WorkId work,
             const AttemptHead& head,
             const GateView& view,
             Actions& out);
  void OnTargetResult(Time now,
                      WorkId work,
                      const TargetResult& result,
                      const GateView& view,
                      Actions& out);
  /// \brief The ingress no longer waits for this work.
  void Cancel(Time now, WorkId work, const GateView& view, Actions& out);
  /// \brief Takes up changes of ownership, lease or profile.
  void Refresh(Time now, const GateView& view, Actions& out);
  /// \brief The target's process is gone, and with it all work whose
  /// connection it broke.
  void OnTargetGone() noexcept;

  /// \brief Tells whether work of a slice may still run at the target.
  [[nodiscard]] bool IsBusy(Time now, SliceIndex slice) const;
  [[nodiscard]] bool IsIdle() const noexcept { return m_work.empty(); }
  [[nodiscard]] std::uint32_t running() const noexcept { return m_running; }
  [[nodiscard]] std::size_t queued() const noexcept { return m_queue.size(); }
  [[nodiscard]] std::uint32_t limit() const noexcept { return m_limit.value(); }
  /// \brief Recent work of each slice.
  [[nodiscard]] const std::map<SliceIndex, double>& RecentWork(Time now) {
    return m_slice_work.Recent(now);
  }
  /// \brief Load as replies carry it.
  [[nodiscard]] GateLoad Load(const GateView& view) const noexcept;
  [[nodiscard]] Time NextDeadline() const noexcept;

 private:
  struct Work {
    AttemptHead m_head;
    bool m_running = false;
    std::uint64_t m_order = 0;
    Time m_deadline{};
    /// What it may wait in all, and until when.
    Duration m_patience{};
    Time m_queued_until{};
    Time m_dispatched_at{};
  };

  /// Place of work in the queue: by priority, then by how long it can wait, so
  /// that the short calls of running work pass new work of their rank.
  struct Place {
    std::uint32_t m_priority = 0;
    Time m_until{};
    std::uint64_t m_order = 0;
    WorkId m_work{0};

    auto operator<=>(const Place&) const = default;
  };
  [[nodiscard]] static Place PlaceOf(WorkId id, const Work& work) noexcept {
    return {work.m_head.m_priority, work.m_queued_until, work.m_order, id};
  }

  [[nodiscard]] Reason Check(Time now,
                             const Work& work,
                             const GateView& view) const;
  [[nodiscard]] bool IsHeld(Time now,
                            const Work& work,
                            const GateView& view) const;
  [[nodiscard]] std::uint32_t LimitOf(const GateView& view) const noexcept;
  [[nodiscard]] bool HasRoom(Time now, const GateView& view);
  /// Work that is served before other work.
  struct QueueAhead {
    std::uint32_t m_count = 0;
    /// Expected runs of all of it.
    Duration m_run{};
  };
  void Add(const Work& work, QueueAhead& ahead) const;
  [[nodiscard]] Duration PatienceOf(Time now,
                                    const AttemptHead& head,
                                    const GateView& view) const;
  [[nodiscard]] Duration ExpectedWait(Time now,
                                      const Place& place,
                                      const GateView& view) const;
  [[nodiscard]] Duration ExpectedWait(Time now,
                                      const QueueAhead& ahead,
                                      const GateView& view) const;
  [[nodiscard]] bool IsHopeless(Time now,
                                const Work& work,
                                const QueueAhead& ahead,
                                const GateView& view) const;
  void Dispatch(Time now,
                WorkId id,
                Work& work,
                const GateView& view,
                Actions& out);
  void Refuse(WorkId id, Reason reason, const GateView& view, Actions& out);
  void Pump(Time now, const GateView& view, Actions& out);
  static void Linger(const Work& work, std::map<SliceIndex, Time>& slices);

  std::unordered_map<WorkId, Work> m_work;
  std::set<Place> m_queue;
  std::uint64_t m_last_order = 0;
  std::uint32_t m_running = 0;
  RunTimes m_run_times;
  /// When work last found a free slot without a wait.
  Time m_free_at{};
  SliceWorkTracker m_slice_work;
  Pacer m_cold_pacer;
  /// When the pacer lets the next request pass; kNever when none waits for it.
  Time m_paced_until = kNever;
  std::map<SliceIndex, std::uint32_t> m_running_by_slice;
  /// Slices whose abandoned work may still run, until its deadline.
  std::map<SliceIndex, Time> m_abandoned;
  /// The same for work whose connection the target broke.
  std::map<SliceIndex, Time> m_broken;
  ConcurrencyLimit m_limit{LimitBounds{}};
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_GATE_H_
