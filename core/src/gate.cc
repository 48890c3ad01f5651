#include "figlug/core/gate.h"

#include <algorithm>
#include <initializer_list>

namespace figlug::core {

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
  work.m_deadline = now + head.m_time_left;
  work.m_queued_until =
      now + std::min(head.m_time_left, view.m_profile.m_queue_wait);
  if (const Reason reason = Check(now, work, view); reason != Reason::kNone) {
    Refuse(id, reason, view, out);
    return;
  }
  m_limit.SetBounds({view.m_profile.m_cold_limit, view.m_profile.m_max_limit});
  if (!IsHeld(now, work, view) && m_queue.empty() &&
      m_running < m_limit.value()) {
    Dispatch(now, id, work, view, out);
    return;
  }
  if (m_queue.size() >= view.m_profile.m_queue_length) {
    Refuse(id, Reason::kOverloaded, view, out);
    return;
  }
  m_queue.push_back(id);
}

Reason Gate::Check(Time now, const Work& work, const GateView& view) const {
  if (view.m_closed != Reason::kNone) {
    return view.m_closed;
  }
  if (now >= work.m_deadline) {
    return Reason::kDeadline;
  }
  if (!IsSliced(view.m_profile)) {
    return Reason::kNone;
  }
  const bool is_owner = work.m_head.m_slice < kSlicesPerService &&
                        view.m_ownership.IsOwner(work.m_head.m_slice);
  return is_owner ? Reason::kNone : Reason::kNotOwner;
}

bool Gate::IsHeld(Time now, const Work& work, const GateView& view) const {
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
  ++m_running;
  ++m_running_by_slice[head.m_slice];
  const Offset epoch =
      IsSliced(view.m_profile) ? view.m_ownership.EpochOf(head.m_slice) : 0;
  out.emplace_back(DispatchWork{
      id, {head.m_service, head.m_slice, epoch}, work.m_deadline - now});
}

void Gate::Refuse(WorkId id,
                  Reason reason,
                  const GateView& view,
                  Actions& out) {
  out.emplace_back(FinishAttempt{id, Outcome::kNotRun, reason});
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
    out.emplace_back(FinishAttempt{id, result.m_outcome, result.m_reason});
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
    std::erase(m_queue, id);
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

void Gate::Pump(Time now, const GateView& view, Actions& out) {
  std::deque<WorkId> held;
  while (!m_queue.empty()) {
    const WorkId id = m_queue.front();
    m_queue.pop_front();
    Work& work = m_work.at(id);
    const Reason reason = Check(now, work, view);
    if (reason != Reason::kNone) {
      Refuse(id, reason, view, out);
    } else if (now >= work.m_queued_until) {
      Refuse(id, Reason::kOverloaded, view, out);
    } else if (IsHeld(now, work, view)) {
      held.push_back(id);
    } else if (m_running < m_limit.value()) {
      Dispatch(now, id, work, view, out);
    } else {
      m_queue.push_front(id);
      break;
    }
  }
  m_queue.insert(m_queue.begin(), held.begin(), held.end());
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
  Time next = kNever;
  if (!m_queue.empty()) {
    next = m_work.at(m_queue.front()).m_queued_until;
  }
  return next;
}

}  // namespace figlug::core
