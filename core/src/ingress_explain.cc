#include "figlug/core/ingress.h"

namespace figlug::core {

RouteExplanation Ingress::Explain(Time now,
                                  const CallHead& head,
                                  const IngressView& view) {
  RouteExplanation why;
  why.m_reason = Screen(now, head, view);
  const Service* service = view.m_state.FindService(head.m_service);
  if (service == nullptr) {
    return why;
  }
  const Profile& profile = view.m_state.ProfileOf(head.m_service);
  why.m_profile = service->m_profile;
  if (const auto* published = view.m_state.FindProfile(service->m_profile)) {
    why.m_profile_version = published->m_version;
  }
  if (IsSliced(profile)) {
    why.m_slice =
        SliceOfCall(profile, head, head.m_caller_id.value_or(RequestId{}));
    const Slice& slice = service->m_slices[*why.m_slice];
    why.m_epoch = slice.m_epoch;
    if (slice.m_owner != kNoMember) {
      why.m_members.push_back(slice.m_owner);
    }
  } else {
    for (const auto& [id, member] : view.m_state.members()) {
      if (member.m_info.m_service == head.m_service &&
          view.m_state.IsEligible(member)) {
        why.m_members.push_back(id);
      }
    }
  }
  if (why.m_members.empty() && why.m_reason == Reason::kNone) {
    why.m_reason = Reason::kNoTarget;
  }
  return why;
}

}  // namespace figlug::core
