#include "figlug/core/ingress.h"

namespace figlug::core {

// The reply may still come, so a call that could only fail waits for it. The
// target counts as failing meanwhile, so that new calls avoid it.
void Ingress::OnAttemptSilent(Time now,
                              AttemptId id,
                              const IngressView& view,
                              Actions& out) {
  const auto it = m_attempts.find(id);
  if (it == m_attempts.end()) {
    return;
  }
  const Call& call = m_calls.at(it->second.m_call);
  if (call.m_open_attempts.size() == 1 && !MayRepeat(now, call, view)) {
    TargetView& target = m_targets[it->second.m_member];
    CountAttempt(target, true);
    RecordFailure(now, target);
    return;
  }
  out.emplace_back(CancelAttempt{id, it->second.m_to});
  OnAttemptEnd(now, id, Outcome::kUnknown, Reason::kPeerLost, view, out);
}

bool Ingress::MayRepeat(Time now, const Call& call, const IngressView& view) {
  const Profile& profile = ProfileOf(call, view);
  if (!profile.m_repeatable || now >= call.m_deadline ||
      now >= view.m_stop.m_no_attempts_from) {
    return false;
  }
  const bool has_token =
      m_services[call.m_head.m_service].m_retry_budget.has_token();
  if (call.m_route != nullptr) {
    return has_token &&
           call.m_delivered_attempts + 1 < profile.m_max_attempts &&
           Choose(now, call, view) != nullptr;
  }
  return now < call.m_started + profile.m_queue_wait ||
         (has_token && call.m_attempts < profile.m_max_attempts);
}

}  // namespace figlug::core
