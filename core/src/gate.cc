#include "figlug/core/gate.h"

#include <algorithm>
#include <initializer_list>

namespace figlug::core {
namespace {

constexpr double kMicrosPerSecond = 1e6;
/// Expected waits are rough, so work that waits is given up early only when
/// its wait has grown by this share of what it may wait in all.
constexpr double kWaitSlack = 0.25;
/// Time without a free slot after which a queue counts as standing; about as
/// long as a run takes.
constexpr Duration kStandingTime = std::chrono::milliseconds(300);

}  // namespace

void Gate::Admit(Time now,
                 WorkId id,
                 const AttemptHead& head,
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
  work.m_max_queue_wait = PatienceOf(now, head, view);
  work.m_queued_until = now + work.m_max_queue_wait;
  if (const Reason reason = Check(now, work, view); reason != Reason::kNone) {
    Refuse(id, reason, view, out);
    return;
  }
  m_limit.SetBounds({view.m_profile.m_cold_limit, view.m_profile.m_max_limit});
  const bool is_first = m_queue.empty() || PlaceOf(id, work) < *m_queue.begin();
  if (!IsHeld(now, work, view) && is_first && HasRoom(now, view)) {
    m_free_at = now;
    Dispatch(now, id, work, view, out);
    return;
  }
  const bool is_hopeless =
      head.m_max_queue_wait > Duration::zero() &&
      now + ExpectedWait(now, PlaceOf(id, work), view) >= work.m_queued_until;
  if (is_hopeless || m_queue.size() >= view.m_profile.m_queue_length) {
    Refuse(id, Reason::kOverloaded, view, out);
    return;
  }
  m_queue.insert(PlaceOf(id, work));
}

Duration Gate::PatienceOf(Time now,
                          const AttemptHead& head,
                          const GateView& view) const {
  Duration patience = head.m_max_queue_wait > Duration::zero()
                          ? head.m_max_queue_wait
                          : view.m_profile.m_queue_wait;
  if (head.m_target_latency > Duration::zero()) {
    const bool may_be_late =
        IsSliced(view.m_profile) && now < m_free_at + kStandingTime;
    patience = std::min(
        patience, UsefulWait(head, m_run_times.Of(ClassOf(head)), may_be_late));
  }
  return std::min(head.m_time_left, patience);
}

std::uint32_t Gate::LimitOf(const GateView& view) const noexcept {
  const std::uint32_t slots = view.m_capacity.m_slots;
  return slots > 0 ? slots : m_limit.value();
}

// A cold target bears a number of requests a second, whatever its slots.
bool Gate::HasRoom(Time now, const GateView& view) {
  m_paced_until = kNever;
  if (m_running >= LimitOf(view)) {
    return false;
  }
  const TargetCapacity& capacity = view.m_capacity;
  if (capacity.m_cold_rate <= 0 || now >= capacity.m_cold_until) {
    return true;
  }
  const Time next = m_cold_pacer.NextAt(now, capacity.m_cold_rate);
  if (next > now) {
    m_paced_until = std::min(next, capacity.m_cold_until);
    return false;
  }
  return true;
}

// Work waits only for what goes before it.
Duration Gate::ExpectedWait(Time now,
                            const Place& place,
                            const GateView& view) const {
  QueueAhead ahead;
  for (auto it = m_queue.begin(); it != m_queue.end() && *it < place; ++it) {
    Add(m_work.at(it->m_work), ahead);
  }
  return ExpectedWait(now, ahead, view);
}

void Gate::Add(const Work& work, QueueAhead& ahead) const {
  ++ahead.m_count;
  ahead.m_run += m_run_times.Of(ClassOf(work.m_head));
}

Duration Gate::ExpectedWait(Time now,
                            const QueueAhead& ahead,
                            const GateView& view) const {
  const Duration run = ahead.m_run + m_run_times.OfAll();
  Duration wait = run / std::max(1U, LimitOf(view));
  const TargetCapacity& capacity = view.m_capacity;
  if (capacity.m_cold_rate > 0 && now < capacity.m_cold_until) {
    const double paced_us = static_cast<double>(ahead.m_count) *
                            kMicrosPerSecond / capacity.m_cold_rate;
    wait = std::max(wait, Duration(static_cast<Duration::rep>(paced_us)));
  }
  return wait;
}

GateLoad Gate::Load(const GateView& view) const noexcept {
  return {m_running, static_cast<std::uint32_t>(m_queue.size()),
          view.m_capacity.m_slots, m_run_times.OfAll()};
}

Reason Gate::Check(Time now, const Work& work, const GateView& view) const {
  if (view.m_closed != Reason::kNone) {
    return view.m_closed;
  }
  // An address may have passed to a target of another service.
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
    // A slice that has moved away is served until the target lets go of it.
    return view.m_ownership.IsOwner(work.m_head.m_slice) ||
                   view.m_holds->IsUsable(now, work.m_head.m_slice)
               ? Reason::kNone
               : Reason::kNotOwner;
  }
  return view.m_ownership.IsOwner(work.m_head.m_slice) ? Reason::kNone
                                                       : Reason::kNotOwner;
}

bool Gate::IsHeld(Time now, const Work& work, const GateView& view) const {
  if (view.m_holds != nullptr) {
    return IsSliced(view.m_profile) &&
           !view.m_holds->IsUsable(now, work.m_head.m_slice);
  }
  return IsSliced(view.m_profile) &&
         view.m_ownership.StatusOf(now, work.m_head.m_slice) !=
             SliceStatus::kReady;
}

// The id is noted before the bytes leave, so that no second copy can slip in
// between.
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
  ++m_running;
  ++m_running_by_slice[head.m_slice];
  const Offset epoch =
      IsSliced(view.m_profile) ? view.m_ownership.EpochOf(head.m_slice) : 0;
  out.emplace_back(DispatchWork{id,
                                {head.m_service, head.m_slice, epoch},
                                work.m_deadline - now,
                                std::string(view.m_target)});
}

void Gate::Refuse(WorkId id,
                  Reason reason,
                  const GateView& view,
                  Actions& out) {
  out.emplace_back(FinishAttempt{id, Outcome::kNotRun, reason, Load(view)});
  const auto it = m_work.find(id);
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
      m_run_times.Observe(ClassOf(work.m_head), now - work.m_dispatched_at);
      m_slice_work.Add(now, work.m_head.m_slice, now - work.m_dispatched_at);
      break;
    case Outcome::kNotRun:
      if (result.m_reason == Reason::kTargetUnreachable) {
        m_limit.Reset();
      } else {
        m_limit.OnShed(now);
      }
      break;
    case Outcome::kUnknown:
      m_limit.Reset();
      Linger(work,
             result.m_reason == Reason::kTargetFailed ? m_broken : m_abandoned);
      break;
  }
  --m_running;
  if (--m_running_by_slice[work.m_head.m_slice] == 0) {
    m_running_by_slice.erase(work.m_head.m_slice);
  }
  if (result.m_outcome == Outcome::kNotRun) {
    Refuse(id, result.m_reason, view, out);
  } else {
    out.emplace_back(
        FinishAttempt{id, result.m_outcome, result.m_reason, Load(view)});
    m_work.erase(it);
  }
  Pump(now, view, out);
}

void Gate::Cancel(Time now, WorkId id, const GateView& view, Actions& out) {
  const auto it = m_work.find(id);
  if (it == m_work.end()) {
    return;
  }
  Work& work = it->second;
  if (work.m_running) {
    out.emplace_back(CancelWork{id});
    Linger(work, m_abandoned);
    --m_running;
    if (--m_running_by_slice[work.m_head.m_slice] == 0) {
      m_running_by_slice.erase(work.m_head.m_slice);
    }
  } else {
    m_queue.erase(PlaceOf(id, work));
  }
  m_work.erase(it);
  Pump(now, view, out);
}

// A target that honours deadlines has ended abandoned work by then.
void Gate::Linger(const Work& work, std::map<SliceIndex, Time>& slices) {
  Time& until = slices[work.m_head.m_slice];
  until = std::max(until, work.m_deadline);
}

void Gate::OnTargetGone() noexcept {
  m_limit.Reset();
  m_broken.clear();
}

void Gate::Refresh(Time now, const GateView& view, Actions& out) {
  for (auto* slices : {&m_abandoned, &m_broken}) {
    std::erase_if(*slices,
                  [&](const auto& entry) { return entry.second <= now; });
  }
  Pump(now, view, out);
}

// Work that waits for its slice lets later work pass. Work that more urgent
// work has pushed back too far is refused now, while its caller has time left.
void Gate::Pump(Time now, const GateView& view, Actions& out) {
  bool is_full = false;
  QueueAhead ahead;
  for (auto it = m_queue.begin(); it != m_queue.end();) {
    const WorkId id = it->m_work;
    Work& work = m_work.at(id);
    const Reason reason = Check(now, work, view);
    if (reason != Reason::kNone || now >= work.m_queued_until ||
        (is_full && IsHopeless(now, work, ahead, view))) {
      it = m_queue.erase(it);
      Refuse(id, reason != Reason::kNone ? reason : Reason::kOverloaded, view,
             out);
      continue;
    }
    if (!is_full && !IsHeld(now, work, view)) {
      if (HasRoom(now, view)) {
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

bool Gate::IsHopeless(Time now,
                      const Work& work,
                      const QueueAhead& ahead,
                      const GateView& view) const {
  if (work.m_head.m_target_latency == Duration::zero()) {
    return false;
  }
  const auto slack =
      std::chrono::duration_cast<Duration>(kWaitSlack * work.m_max_queue_wait);
  return now + ExpectedWait(now, ahead, view) > work.m_queued_until + slack;
}

bool Gate::IsBusy(Time now, SliceIndex slice) const {
  if (m_running_by_slice.contains(slice)) {
    return true;
  }
  return std::ranges::any_of(
      std::initializer_list<const std::map<SliceIndex, Time>*>{&m_abandoned,
                                                               &m_broken},
      [&](const auto* slices) {
        const auto it = slices->find(slice);
        return it != slices->end() && now < it->second;
      });
}

Time Gate::NextDeadline() const noexcept {
  Time next = m_queue.empty() ? kNever : m_paced_until;
  for (const Place& place : m_queue) {
    next = std::min(next, m_work.at(place.m_work).m_queued_until);
  }
  return next;
}

}  // namespace figlug::core
