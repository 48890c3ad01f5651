// What an ingress decides on a request's head alone: whether it is rejected,
// and where its body may go.

#include <algorithm>

#include "figlug/core/ingress.h"

namespace figlug::core {
namespace {

bool HaveCommonRegion(const std::vector<std::string>& a,
                      const std::vector<std::string>& b) {
  return a.empty() || b.empty() ||
         std::ranges::any_of(a, [&](const std::string& region) {
           return std::ranges::find(b, region) != b.end();
         });
}

// A configuration that may be outdated cannot tell a new credential from an
// unknown one, so it rejects neither for good.
Reason ScreenTenant(Time now,
                    const CallHead& head,
                    const Profile& profile,
                    bool is_public,
                    const IngressView& view) {
  if (view.m_tenants == nullptr || is_public) {
    return Reason::kNone;
  }
  if (now >= view.m_credentials_valid_until) {
    return Reason::kStaleConfiguration;
  }
  const Tenant* tenant = TenantOf(head, view);
  if (tenant == nullptr) {
    return Reason::kUnknownCredential;
  }
  return HaveCommonRegion(profile.m_home_regions, tenant->m_home_regions)
             ? Reason::kNone
             : Reason::kNoCommonRegion;
}

}  // namespace

const Tenant* TenantOf(const CallHead& head, const IngressView& view) {
  return view.m_tenants == nullptr || head.m_credential.empty()
             ? nullptr
             : view.m_tenants->FindByCredential(head.m_credential);
}

Reason Ingress::Screen(Time now,
                       const CallHead& head,
                       const IngressView& view) {
  if (view.m_refuses_new_calls) {
    return Reason::kStopping;
  }
  if (view.m_is_routed) {
    if (view.m_routing == nullptr) {
      return Reason::kNoRouting;
    }
    const auto route = view.m_routing->FindRoute(head.m_host, head.m_path);
    return route == nullptr ? Reason::kUnknownRoute
                            : ScreenTenant(now, head, route->m_profile,
                                           route->m_is_public, view);
  }
  if (view.m_state.FindService(head.m_service) == nullptr) {
    return Reason::kUnknownService;
  }
  const Profile& profile = view.m_state.ProfileOf(head.m_service);
  if (!IsHomeRegion(profile, view.m_self.m_region)) {
    return Reason::kWrongRegion;
  }
  const Reason reason =
      ScreenTenant(now, head, profile, profile.m_is_public, view);
  const Tenant* tenant = TenantOf(head, view);
  const bool is_abroad =
      tenant != nullptr && !IsHomeRegion(*tenant, view.m_self.m_region);
  return reason == Reason::kNone && is_abroad ? Reason::kWrongRegion : reason;
}

bool Ingress::MayEnterRegion(const Call& call,
                             const IngressView& view,
                             std::string_view region) {
  const Profile& profile = call.m_route != nullptr
                               ? call.m_route->m_profile
                               : view.m_state.ProfileOf(call.m_head.m_service);
  return IsHomeRegion(profile, region) &&
         (call.m_tenant_regions.empty() ||
          std::ranges::find(call.m_tenant_regions, region) !=
              call.m_tenant_regions.end());
}

}  // namespace figlug::core
