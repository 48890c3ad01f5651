#include <algorithm>

#include "figlug/core/ingress.h"

namespace figlug::core {

// The reply may still come, so silence ends no attempt. The target counts as
// failing meanwhile, so that new calls avoid it.
void Ingress::OnAttemptSilent(Time now,
                              AttemptId id,
                              const IngressView& view,
                              Actions& out) {
  const auto it = m_attempts.find(id);
  if (it == m_attempts.end()) {
    return;
  }
  Attempt& attempt = it->second;
  attempt.m_is_silent = true;
  TargetView& target = m_targets[attempt.m_member];
  CountAttempt(target, true);
  RecordFailure(now, target);
  const CallId call = attempt.m_call;
  SendBeside(now, call, m_calls.at(call), RetryCost::kToken, view, out);
}

// A call that can send no other attempt waits for those that it has.
void Ingress::SendBeside(Time now,
                         CallId id,
                         Call& call,
                         RetryCost cost,
                         const IngressView& view,
                         Actions& out) {
  const Profile& profile = ProfileOf(call, view);
  const bool are_silent = std::ranges::all_of(
      call.m_open_attempts,
      [&](AttemptId open) { return m_attempts.at(open).m_is_silent; });
  if (!are_silent || !profile.m_repeatable || now >= call.m_deadline ||
      now >= view.m_stop.m_no_attempts_from || !MayArriveAgain(call, profile)) {
    return;
  }
  const Member* member = Choose(now, call, view);
  if (member == nullptr ||
      std::ranges::count(call.m_tried_members, member->m_info.m_id) > 0 ||
      (cost == RetryCost::kToken && !WithdrawRetry(now, call, profile))) {
    return;
  }
  call.m_hedge_at = kNever;
  Send(now, id, call, *member, view, out);
  SetTimer(id, call);
}

// An open attempt counts as one that arrives. Where callers name services,
// those that have ended are limited by the retry budget and the queue wait.
bool Ingress::MayArriveAgain(const Call& call, const Profile& profile) {
  const std::size_t ended =
      call.m_route != nullptr ? call.m_delivered_attempts : 0;
  return ended + call.m_open_attempts.size() < profile.m_max_attempts;
}

// Where callers name services, the first retries after a loss are free.
bool Ingress::WithdrawRetry(Time now,
                            const Call& call,
                            const Profile& profile) {
  if (call.m_route == nullptr) {
    if (now < call.m_started + profile.m_queue_wait) {
      return true;
    }
    if (call.m_attempts >= profile.m_max_attempts) {
      return false;
    }
  }
  return m_services[call.m_head.m_service].m_retry_budget.Withdraw();
}

}  // namespace figlug::core
