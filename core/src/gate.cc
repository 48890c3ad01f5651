#include "figlug/core/gate.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>

namespace figlug::core {
namespace {

constexpr double kMicrosPerSecond = 1e6;
/// Expected waits are rough estimates, so queued work is refused early only
/// when its expected wait exceeds its max queue wait by this ratio.
constexpr double kWaitSlackRatio = 0.25;
/// Time without a free slot after which a queue counts as standing instead of
/// short-lived; about as long as a service time.
constexpr Duration kStandingQueueTime = std::chrono::milliseconds(300);

}  // namespace

void Gate::Admit(Time now,
                 WorkId id,
                 const AttemptHead& head,
                 AttemptOrigin from,
                 const GateView& view,
                 Actions& out) {
  const auto [it, is_new] = m_work.try_emplace(id);
  if (!is_new) {
    return;
  }
  Work& work = it->second;
  work.m_head = head;
  work.m_order = ++m_last_order;
  work.m_deadline = now + head.m_time_left;
  work.m_max_wait = MaxQueueWait(now, head, view);
  work.m_queued_until = now + work.m_max_wait;
  work.m_from = from;
  if (from == AttemptOrigin::kPeer) {
    work.m_link_bytes = m_link.ExpectedBytes(ClassOf(head));
    work.m_link_until = LinkUntil(now, head, work.m_deadline);
  }
  if (const Reason reason = Check(now, work, view); reason != Reason::kNone) {
    Refuse(id, reason, view, out);
    return;
  }
  m_limit.SetBounds({view.m_profile.m_cold_limit, view.m_profile.m_max_limit});
  const QueueAhead ahead = AheadOf(QueueKeyOf(id, work));
  if (IsTooLateForLink(now, work, ahead, view)) {
    Refuse(id, Reason::kOverloaded, view, out);
    return;
  }
  if (!IsWaitingForSlice(now, work, view) && ahead.m_count == 0 &&
      HasCapacity(now, view)) {
    m_last_free_at = now;
    Dispatch(now, id, work, view, out);
    return;
  }
  const bool is_too_late =
      head.m_max_queue_wait > Duration::zero() &&
      now + ExpectedWait(now, ahead, view) >= work.m_queued_until;
  if (is_too_late || m_queue.size() >= view.m_profile.m_queue_length) {
    Refuse(id, Reason::kOverloaded, view, out);
    return;
  }
  m_queue.insert(QueueKeyOf(id, work));
}

Duration Gate::MaxQueueWait(Time now,
                            const AttemptHead& head,
                            const GateView& view) const {
  Duration max_wait = head.m_max_queue_wait > Duration::zero()
                          ? head.m_max_queue_wait
                          : view.m_profile.m_queue_wait;
  if (head.m_target_latency > Duration::zero()) {
    const bool may_be_late =
        IsSliced(view.m_profile) && now < m_last_free_at + kStandingQueueTime;
    max_wait = std::min(
        max_wait, MaxUsefulWait(head, m_service_times.Expected(ClassOf(head)),
                                may_be_late));
  }
  return std::min(head.m_time_left, max_wait);
}

std::uint32_t Gate::LimitOf(Time now, const GateView& view) const {
  const std::uint32_t slots = view.m_capacity.m_slots;
  return slots > 0 ? CapacityOf(now, slots) : m_limit.value();
}

// A target that is cold, or that names a limit, handles a limited number of
// requests per second, however many slots it has.
Time Gate::PacedUntil(Time now, const TargetCapacity& capacity) const {
  Time until = now;
  if (capacity.m_cold_rate > 0 && now < capacity.m_cold_until) {
    until = std::min(m_cold_pacer.NextAt(now, capacity.m_cold_rate),
                     capacity.m_cold_until);
  }
  if (capacity.m_rate_limit > 0) {
    until = std::max(until, m_limit_pacer.NextAt(now, capacity.m_rate_limit));
  }
  return until;
}

bool Gate::HasCapacity(Time now, const GateView& view) {
  m_paced_until = kNever;
  if (m_running >= LimitOf(now, view)) {
    return false;
  }
  const Time until = PacedUntil(now, view.m_capacity);
  if (until > now) {
    m_paced_until = until;
    return false;
  }
  return true;
}

// Only the work that precedes it in the queue delays a piece of work.
Gate::QueueAhead Gate::AheadOf(const QueueKey& key) const {
  QueueAhead ahead;
  for (auto it = m_queue.begin(); it != m_queue.end() && *it < key; ++it) {
    Add(m_work.at(it->m_work), ahead);
  }
  return ahead;
}

void Gate::Add(const Work& work, QueueAhead& ahead) const {
  ++ahead.m_count;
  ahead.m_service_time += m_service_times.Expected(ClassOf(work.m_head));
  ahead.m_link_bytes += work.m_link_bytes;
}

Duration Gate::ExpectedWait(Time now,
                            const QueueAhead& ahead,
                            const GateView& view) const {
  const Duration service_time =
      ahead.m_service_time + m_service_times.ExpectedOverall();
  Duration wait = service_time / std::max(1U, LimitOf(now, view));
  const TargetCapacity& capacity = view.m_capacity;
  if (capacity.m_cold_rate > 0 && now < capacity.m_cold_until) {
    const double paced_us = static_cast<double>(ahead.m_count) *
                            kMicrosPerSecond / capacity.m_cold_rate;
    wait = std::max(wait, Duration(static_cast<Duration::rep>(paced_us)));
  }
  if (capacity.m_rate_limit > 0) {
    const double paced_us = static_cast<double>(ahead.m_count) *
                            kMicrosPerSecond / capacity.m_rate_limit;
    wait = std::max(wait, PacedUntil(now, capacity) - now +
                              Duration(static_cast<Duration::rep>(paced_us)));
  }
  return wait;
}

// A target that names a limit is reported with as many slots as that rate keeps
// busy, so that ingresses and the balance of slices take it into account.
GateLoad Gate::Load(const GateView& view) const noexcept {
  const Duration service_time = m_service_times.ExpectedOverall();
  std::uint32_t slots = view.m_capacity.m_slots;
  if (view.m_capacity.m_rate_limit > 0 && slots > 0) {
    const double busy = view.m_capacity.m_rate_limit *
                        static_cast<double>(service_time.count()) /
                        kMicrosPerSecond;
    slots = static_cast<std::uint32_t>(
        std::clamp(std::ceil(busy), 1.0, static_cast<double>(slots)));
  }
  return {m_running, static_cast<std::uint32_t>(m_queue.size()), slots,
          service_time};
}

Reason Gate::Check(Time now, const Work& work, const GateView& view) const {
  if (view.m_closed_reason != Reason::kNone) {
    return view.m_closed_reason;
  }
  // The address may have been reassigned to a target of another service.
  if (work.m_head.m_service != view.m_service) {
    return Reason::kNoTarget;
  }
  if (now >= work.m_deadline) {
    return Reason::kDeadline;
  }
  if (!IsSliced(view.m_profile)) {
    return Reason::kNone;
  }
  if (view.m_holds != nullptr) {
    // A slice that has moved to another owner is served until the target
    // releases it.
    return view.m_ownership.IsOwner(work.m_head.m_slice) ||
                   view.m_holds->IsUsable(now, work.m_head.m_slice)
               ? Reason::kNone
               : Reason::kNotOwner;
  }
  return view.m_ownership.IsOwner(work.m_head.m_slice) ? Reason::kNone
                                                       : Reason::kNotOwner;
}

bool Gate::IsWaitingForSlice(Time now,
                             const Work& work,
                             const GateView& view) const {
  if (view.m_holds != nullptr) {
    return IsSliced(view.m_profile) &&
           !view.m_holds->IsUsable(now, work.m_head.m_slice);
  }
  return IsSliced(view.m_profile) &&
         view.m_ownership.StatusOf(now, work.m_head.m_slice) !=
             SliceStatus::kReady;
}

// The request id is recorded before the request is sent, so that a duplicate
// that arrives meanwhile is detected.
void Gate::Dispatch(Time now,
                    WorkId id,
                    Work& work,
                    const GateView& view,
                    Actions& out) {
  const AttemptHead& head = work.m_head;
  if (!view.m_profile.m_repeatable && head.m_has_caller_id &&
      !view.m_ownership.InsertId(head.m_slice, head.m_request_id)) {
    out.emplace_back(FinishAttempt{id, Outcome::kUnknown, Reason::kDuplicate});
    m_work.erase(id);
    return;
  }
  work.m_running = true;
  work.m_dispatched_at = now;
  if (view.m_capacity.m_cold_rate > 0) {
    m_cold_pacer.Take(now, view.m_capacity.m_cold_rate);
  }
  if (view.m_capacity.m_rate_limit > 0) {
    m_limit_pacer.Take(now, view.m_capacity.m_rate_limit);
  }
  work.m_running_at_dispatch = ++m_running;
  m_link.OnDispatched(work.m_link_bytes);
  ++m_running_by_slice[head.m_slice];
  const Position epoch =
      IsSliced(view.m_profile) ? view.m_ownership.EpochOf(head.m_slice) : 0;
  out.emplace_back(DispatchWork{id,
                                {head.m_service, head.m_slice, epoch},
                                work.m_deadline - now,
                                std::string(view.m_target)});
}

GateLoad Gate::LoadFor(const Work& work, const GateView& view) const noexcept {
  GateLoad load = Load(view);
  if (work.m_from == AttemptOrigin::kPeer) {
    load.m_link_wait = LinkWait(view.m_link);
  }
  return load;
}

void Gate::Refuse(WorkId id,
                  Reason reason,
                  const GateView& view,
                  Actions& out) {
  const auto it = m_work.find(id);
  out.emplace_back(
      FinishAttempt{id, Outcome::kNotRun, reason, LoadFor(it->second, view)});
  if (it->second.m_running) {
    const AttemptHead& head = it->second.m_head;
    view.m_ownership.RemoveId(head.m_slice, head.m_request_id);
  }
  m_work.erase(it);
}

void Gate::OnTargetResult(Time now,
                          WorkId id,
                          const TargetResult& result,
                          const GateView& view,
                          Actions& out) {
  const auto it = m_work.find(id);
  if (it == m_work.end() || !it->second.m_running) {
    return;
  }
  Work& work = it->second;
  switch (result.m_outcome) {
    case Outcome::kAnswered:
      m_limit.OnSuccess(now, now - work.m_dispatched_at, m_running);
      m_service_times.Observe(ClassOf(work.m_head), now - work.m_dispatched_at);
      // An error says nothing about the size of other answers.
      if (result.m_reason == Reason::kNone) {
        m_link.ObserveAnswer(ClassOf(work.m_head), result.m_body_bytes);
      }
      ObserveCapacity(now, work, view);
      m_slice_work.Add(now, work.m_head.m_slice, now - work.m_dispatched_at);
      break;
    case Outcome::kNotRun:
      if (result.m_reason == Reason::kTargetMisdirected) {
        if (view.m_holds != nullptr) {
          view.m_holds->Visit(
              [&](auto& holds) { holds.OnRejected(now, work.m_head.m_slice); });
        }
      } else if (result.m_reason == Reason::kTargetUnreachable) {
        m_limit.Reset();
      } else {
        m_limit.OnShed(now);
      }
      break;
    case Outcome::kUnknown:
      m_limit.Reset();
      KeepBusyUntilDeadline(work, result.m_reason == Reason::kTargetFailed
                                      ? m_disconnected
                                      : m_abandoned);
      break;
  }
  RemoveRunning(work);
  GateView next_view = view;
  if (work.m_from == AttemptOrigin::kPeer) {
    next_view.m_link = WithMessage(view.m_link, result.m_body_bytes);
  }
  if (result.m_outcome == Outcome::kNotRun) {
    Refuse(id, result.m_reason, view, out);
  } else {
    GateLoad load = LoadFor(work, view);
    if (LearnsCapacity() && result.m_outcome == Outcome::kAnswered) {
      load.m_own_service_time = now - work.m_dispatched_at;
    }
    out.emplace_back(
        FinishAttempt{id, result.m_outcome, result.m_reason, load});
    m_work.erase(it);
  }
  DispatchQueued(now, next_view, out);
}

void Gate::RemoveRunning(const Work& work) {
  --m_running;
  m_link.OnEnded(work.m_link_bytes);
  if (--m_running_by_slice[work.m_head.m_slice] == 0) {
    m_running_by_slice.erase(work.m_head.m_slice);
  }
}

// Work beside which others began or ended ran beside about the mean of both
// counts.
void Gate::ObserveCapacity(Time now, const Work& work, const GateView& view) {
  const std::uint32_t running =
      (work.m_running_at_dispatch + m_running + 1) / 2;
  std::visit(
      [&](auto& capacity) {
        capacity.OnAnswer(now, ClassOf(work.m_head), now - work.m_dispatched_at,
                          running, view.m_capacity.m_slots);
      },
      m_capacity);
}

void Gate::Cancel(Time now, WorkId id, const GateView& view, Actions& out) {
  const auto it = m_work.find(id);
  if (it == m_work.end()) {
    return;
  }
  Work& work = it->second;
  if (work.m_running) {
    out.emplace_back(CancelWork{id});
    KeepBusyUntilDeadline(work, m_abandoned);
    RemoveRunning(work);
  } else {
    m_queue.erase(QueueKeyOf(id, work));
  }
  m_work.erase(it);
  DispatchQueued(now, view, out);
}

// A target that honours deadlines has ended abandoned work by its deadline.
void Gate::KeepBusyUntilDeadline(const Work& work,
                                 std::map<SliceIndex, Time>& slices) {
  Time& until = slices[work.m_head.m_slice];
  until = std::max(until, work.m_deadline);
}

void Gate::OnTargetLost() noexcept {
  m_limit.Reset();
  m_disconnected.clear();
}

void Gate::OnReleased(SliceIndex first, SliceIndex last) {
  for (auto* slices : {&m_abandoned, &m_disconnected}) {
    slices->erase(slices->lower_bound(first), slices->upper_bound(last));
  }
}

void Gate::Refresh(Time now, const GateView& view, Actions& out) {
  for (auto* slices : {&m_abandoned, &m_disconnected}) {
    std::erase_if(*slices,
                  [&](const auto& entry) { return entry.second <= now; });
  }
  DispatchQueued(now, view, out);
}

// Work that waits for its slice does not block the work behind it. Work that
// more urgent work has delayed for too long is refused here, while its caller
// still has time to try elsewhere.
void Gate::DispatchQueued(Time now, const GateView& view, Actions& out) {
  bool is_full = false;
  QueueAhead ahead;
  for (auto it = m_queue.begin(); it != m_queue.end();) {
    const WorkId id = it->m_work;
    Work& work = m_work.at(id);
    const Reason reason = Check(now, work, view);
    if (reason != Reason::kNone || now >= work.m_queued_until ||
        (is_full && IsTooLate(now, work, ahead, view)) ||
        IsTooLateForLink(now, work, ahead, view)) {
      it = m_queue.erase(it);
      Refuse(id, reason != Reason::kNone ? reason : Reason::kOverloaded, view,
             out);
      continue;
    }
    if (!is_full && !IsWaitingForSlice(now, work, view)) {
      if (HasCapacity(now, view)) {
        it = m_queue.erase(it);
        Dispatch(now, id, work, view, out);
        continue;
      }
      is_full = true;
    }
    Add(work, ahead);
    ++it;
  }
}

bool Gate::IsTooLate(Time now,
                     const Work& work,
                     const QueueAhead& ahead,
                     const GateView& view) const {
  if (work.m_head.m_target_latency == Duration::zero()) {
    return false;
  }
  const auto slack =
      std::chrono::duration_cast<Duration>(kWaitSlackRatio * work.m_max_wait);
  return now + ExpectedWait(now, ahead, view) > work.m_queued_until + slack;
}

bool Gate::IsTooLateForLink(Time now,
                            const Work& work,
                            const QueueAhead& ahead,
                            const GateView& view) const {
  return m_link.IsTooLate(
      now,
      {work.m_link_until, m_service_times.Expected(ClassOf(work.m_head)),
       work.m_link_bytes, ahead.m_link_bytes},
      view.m_link);
}

bool Gate::IsBusy(Time now, SliceIndex slice) const {
  if (m_running_by_slice.contains(slice)) {
    return true;
  }
  return std::ranges::any_of(
      std::initializer_list<const std::map<SliceIndex, Time>*>{&m_abandoned,
                                                               &m_disconnected},
      [&](const auto* slices) {
        const auto it = slices->find(slice);
        return it != slices->end() && now < it->second;
      });
}

Time Gate::NextDeadline() const noexcept {
  Time next = m_queue.empty() ? kNever : m_paced_until;
  for (const QueueKey& key : m_queue) {
    next = std::min(next, m_work.at(key.m_work).m_queued_until);
  }
  return next;
}

}  // namespace figlug::core
