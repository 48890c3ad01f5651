#ifndef FIGLUG_CORE_GATE_H_
#define FIGLUG_CORE_GATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "figlug/core/action.h"
#include "figlug/core/admission.h"
#include "figlug/core/admission/link_admission.h"
#include "figlug/core/balance/learned_limit.h"
#include "figlug/core/concurrency_limit.h"
#include "figlug/core/holds.h"
#include "figlug/core/ids.h"
#include "figlug/core/link/link_load.h"
#include "figlug/core/outcome.h"
#include "figlug/core/ownership.h"
#include "figlug/core/pacer.h"
#include "figlug/core/profile.h"
#include "figlug/core/slice_balance.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Capacity of the target, as far as it or its operators report it.
struct TargetCapacity {
  /// Requests that it executes concurrently; 0 when it does not report this.
  std::uint32_t m_slots = 0;
  /// Requests per second that it can handle while cold; 0 for no bound.
  double m_cold_rate = 0;
  Time m_cold_until = Time::min();
  /// Requests per second that it takes at most; 0 for no limit.
  double m_rate_limit = 0;
};

/// \brief Inputs of the gate's decisions besides the work it has admitted.
struct GateView {
  const Profile& m_profile;
  Ownership& m_ownership;
  /// Why the gate refuses all work; kNone while it is open.
  Reason m_closed_reason = Reason::kNone;
  TargetCapacity m_capacity{};
  /// Null unless targets need a granted hold to serve a key range.
  AnyHolds* m_holds = nullptr;
  std::string_view m_target{};
  /// Service of the target.
  std::string_view m_service{};
  /// What waits for the link that carries answers to other processes.
  LinkLoad m_link{};
};

/// \brief Where an attempt comes from, and its answer goes.
enum class AttemptOrigin : std::uint8_t {
  /// The ingress of this process.
  kOwnIngress,
  /// Another process, which the VM's link leads to.
  kPeer,
};

/// \brief What a target says about itself in an answer.
struct TargetNotice {
  /// Target that the work was sent to.
  std::string m_target;
  /// Requests per second that it takes at most; unset for no limit.
  std::optional<double> m_rate_limit;
  bool m_is_leaving = false;
};

/// \brief Result of work that was dispatched to the target.
struct TargetResult {
  Outcome m_outcome = Outcome::kAnswered;
  Reason m_reason = Reason::kNone;
  /// Unset where there is no answer, or the answer may be another target's.
  std::optional<TargetNotice> m_notice;
  /// Size of the answer's body.
  std::size_t m_body_bytes = 0;
};

/// \brief Admission control for the one target beside this process.
///
/// Dispatches work to the target within its concurrency limit, queues what the
/// target cannot take yet, and refuses what it cannot serve in time.
///
/// \code
/// gate.Admit(now, work, head, AttemptOrigin::kPeer, view, actions);
/// gate.OnTargetResult(now, work, result, view, actions);
/// \endcode
class Gate {
 public:
  explicit Gate(AnyLimit capacity = ReportedLimit{})
      : m_capacity(std::move(capacity)) {}

  void Admit(Time now,
             WorkId work,
             const AttemptHead& head,
             AttemptOrigin from,
             const GateView& view,
             Actions& out);
  void OnTargetResult(Time now,
                      WorkId work,
                      const TargetResult& result,
                      const GateView& view,
                      Actions& out);
  /// \brief Drops queued work or cancels running work, because its ingress no
  /// longer waits for the result.
  void Cancel(Time now, WorkId work, const GateView& view, Actions& out);
  /// \brief Re-evaluates the queue after a change of ownership, lease or
  /// profile or when a deadline has passed.
  void Refresh(Time now, const GateView& view, Actions& out);
  /// \brief Handles the end of the target's process, which also ends all work
  /// whose connection the target closed.
  void OnTargetLost() noexcept;

  /// \brief The target says that all work of some slices has ended.
  void OnReleased(SliceIndex first, SliceIndex last);

  /// \brief Returns whether the target may still be executing work of a slice.
  [[nodiscard]] bool IsBusy(Time now, SliceIndex slice) const;
  [[nodiscard]] bool IsIdle() const noexcept { return m_work.empty(); }
  [[nodiscard]] std::uint32_t running() const noexcept { return m_running; }
  [[nodiscard]] std::size_t queued() const noexcept { return m_queue.size(); }
  [[nodiscard]] std::uint32_t limit() const noexcept { return m_limit.value(); }
  /// \brief Concurrency at a target that names its slots.
  [[nodiscard]] std::uint32_t CapacityOf(Time now, std::uint32_t slots) const {
    return std::visit(
        [&](const auto& capacity) { return capacity.Limit(now, slots); },
        m_capacity);
  }
  /// \brief Work whose result this gate waits for, by slice.
  [[nodiscard]] const std::map<SliceIndex, std::uint32_t>& running_by_slice()
      const noexcept {
    return m_running_by_slice;
  }
  /// \brief Recent service time by slice.
  [[nodiscard]] const std::map<SliceIndex, double>& RecentWork(Time now) {
    return m_slice_work.Recent(now);
  }
  /// \brief Load as reported in replies.
  [[nodiscard]] GateLoad Load(const GateView& view) const noexcept;
  [[nodiscard]] Time NextDeadline() const noexcept;

 private:
  struct Work {
    AttemptHead m_head;
    bool m_running = false;
    std::uint64_t m_order = 0;
    Time m_deadline{};
    /// Longest wait in the queue in total, and the time at which it ends.
    Duration m_max_wait{};
    Time m_queued_until{};
    Time m_dispatched_at{};
    /// Work at the target when this was dispatched, this included.
    std::uint32_t m_running_at_dispatch = 0;
    AttemptOrigin m_from = AttemptOrigin::kOwnIngress;
    /// Expected size of a large answer that the link will carry; otherwise 0.
    std::size_t m_link_bytes = 0;
    /// By then, such an answer must have arrived.
    Time m_link_until{};
  };

  /// Sort key of the queue: by priority, then by the end of the allowed wait,
  /// so that the short calls made by running work overtake new work of the same
  /// priority.
  struct QueueKey {
    std::uint32_t m_priority = 0;
    Time m_until{};
    std::uint64_t m_order = 0;
    WorkId m_work{0};

    auto operator<=>(const QueueKey&) const = default;
  };
  [[nodiscard]] static QueueKey QueueKeyOf(WorkId id,
                                           const Work& work) noexcept {
    return {work.m_head.m_priority, work.m_queued_until, work.m_order, id};
  }

  /// Why the work must be refused; kNone if it may be served.
  [[nodiscard]] Reason Check(Time now,
                             const Work& work,
                             const GateView& view) const;
  /// Whether the target may not serve the slice of the work yet.
  [[nodiscard]] bool IsWaitingForSlice(Time now,
                                       const Work& work,
                                       const GateView& view) const;
  /// Whether the target's capacity is learned.
  [[nodiscard]] bool LearnsCapacity() const noexcept {
    return std::holds_alternative<LearnedLimit>(m_capacity);
  }
  [[nodiscard]] std::uint32_t LimitOf(Time now, const GateView& view) const;
  /// Earliest time at which the limits on the rate allow a dispatch.
  [[nodiscard]] Time PacedUntil(Time now, const TargetCapacity& capacity) const;
  /// Whether the limits on concurrency and on the rate allow a dispatch.
  [[nodiscard]] bool HasCapacity(Time now, const GateView& view);
  /// Queued work that is served before a given piece of work.
  struct QueueAhead {
    std::uint32_t m_count = 0;
    /// Sum of its expected service times.
    Duration m_service_time{};
    /// Sum of the expected sizes of its large answers.
    std::size_t m_link_bytes = 0;
  };
  void Add(const Work& work, QueueAhead& ahead) const;
  [[nodiscard]] Duration MaxQueueWait(Time now,
                                      const AttemptHead& head,
                                      const GateView& view) const;
  [[nodiscard]] QueueAhead AheadOf(const QueueKey& key) const;
  [[nodiscard]] Duration ExpectedWait(Time now,
                                      const QueueAhead& ahead,
                                      const GateView& view) const;
  /// Whether queued work is expected to start well after its allowed wait.
  [[nodiscard]] bool IsTooLate(Time now,
                               const Work& work,
                               const QueueAhead& ahead,
                               const GateView& view) const;
  /// Whether the link is expected to carry the answer after the deadline.
  [[nodiscard]] bool IsTooLateForLink(Time now,
                                      const Work& work,
                                      const QueueAhead& ahead,
                                      const GateView& view) const;
  void Dispatch(Time now,
                WorkId id,
                Work& work,
                const GateView& view,
                Actions& out);
  /// Load as reported to the ingress of the work.
  [[nodiscard]] GateLoad LoadFor(const Work& work,
                                 const GateView& view) const noexcept;
  void Refuse(WorkId id, Reason reason, const GateView& view, Actions& out);
  void DispatchQueued(Time now, const GateView& view, Actions& out);
  /// Counts the work as no longer at the target.
  void RemoveRunning(const Work& work);
  void ObserveCapacity(Time now, const Work& work, const GateView& view);
  /// Counts the slice as busy until the deadline of the work.
  static void KeepBusyUntilDeadline(const Work& work,
                                    std::map<SliceIndex, Time>& slices);

  std::unordered_map<WorkId, Work> m_work;
  std::set<QueueKey> m_queue;
  std::uint64_t m_last_order = 0;
  std::uint32_t m_running = 0;
  ServiceTimes m_service_times;
  LinkAdmission m_link;
  /// When work was last dispatched without waiting in the queue.
  Time m_last_free_at{};
  SliceWorkTracker m_slice_work;
  Pacer m_cold_pacer;
  Pacer m_limit_pacer;
  /// When the pacer allows the next dispatch; kNever when nothing waits for it.
  Time m_paced_until = kNever;
  std::map<SliceIndex, std::uint32_t> m_running_by_slice;
  /// Slices whose abandoned work the target may still be executing, with the
  /// deadline of that work.
  std::map<SliceIndex, Time> m_abandoned;
  /// The same for work whose connection the target closed.
  std::map<SliceIndex, Time> m_disconnected;
  /// Used where the target names no slots.
  ConcurrencyLimit m_limit{LimitBounds{}};
  /// Used where it does.
  AnyLimit m_capacity;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_GATE_H_
