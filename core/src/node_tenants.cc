// The part of Node that admits the calls of tenants and holds their ledgers.

#include "figlug/core/node.h"

namespace figlug::core {
namespace {

/// Callers that come back at the same moment would be rejected again.
constexpr double kRetryJitterRatio = 0.5;

}  // namespace

const TenantTable* Node::Tenants() const noexcept {
  if (!m_settings.m_is_routed) {
    return m_state.tenants().empty() ? nullptr : &m_state.tenant_table();
  }
  return m_routing == nullptr || m_routing->tenants().empty()
             ? nullptr
             : &m_routing->tenants();
}

Time Node::CredentialsValidUntil() const noexcept {
  return m_settings.m_max_credential_age > Duration::zero()
             ? m_freshness.ValidUntil(m_settings.m_max_credential_age)
             : kNever;
}

Tenancy Node::TenancyOf(const CallHead& head) const {
  const IngressView view = ViewForIngress();
  const Tenant* tenant = TenantOf(head, view);
  return {view.m_tenants != nullptr,
          tenant == nullptr ? std::string() : tenant->m_name};
}

const Tenant* Node::QuotaTenantOf(Now now, const CallHead& head) const {
  if (Tenants() == nullptr || now.m_time >= m_stop_times.m_no_calls_from ||
      Screen(now.m_time, head) != Reason::kNone) {
    return nullptr;
  }
  const bool is_public =
      m_settings.m_is_routed
          ? m_routing->FindRoute(head.m_host, head.m_path)->m_is_public
          : m_state.ProfileOf(head.m_service).m_is_public;
  const Tenant* tenant = TenantOf(head, ViewForIngress());
  const bool uses_quota =
      tenant != nullptr && tenant->has_quota() && !is_public;
  return uses_quota ? tenant : nullptr;
}

// While this process is not a member it holds nothing.
QuotaView Node::ViewForQuotas(Now now) const {
  const bool may_hold = FindSelf() != nullptr && !m_leaving &&
                        m_lease.IsValid(now.m_time) && IsEraSettled();
  static const TenantTable none;
  const TenantTable* tenants = Tenants();
  return {m_state, tenants == nullptr ? none : *tenants, m_settings.m_self.m_id,
          m_settings.m_self.m_peer, may_hold};
}

void Node::HandleCall(Now now, CallId call, const CallHead& head) {
  const Tenant* tenant = QuotaTenantOf(now, head);
  if (tenant == nullptr) {
    m_ingress.OnCall(now.m_time, now.m_wall, call, head, ViewForIngress(),
                     m_actions);
    return;
  }
  TenantQuotas::Decisions decisions;
  m_quotas.OnCall(now.m_time, call, head, *tenant, ViewForQuotas(now),
                  decisions, m_actions);
  CarryOut(now, decisions);
}

void Node::HandleCallerDisconnected(CallId call) {
  if (m_quotas.OnCallerDisconnected(call)) {
    m_actions.emplace_back(
        FinishCall{call, Outcome::kNotRun, Reason::kCancelled});
    return;
  }
  m_ingress.OnCallerDisconnected(call, m_actions);
}

// A call that has waited is screened again: its credential may have been
// revoked meanwhile.
void Node::CarryOut(Now now, std::span<const QuotaDecision> decisions) {
  for (const QuotaDecision& decision : decisions) {
    if (decision.m_reason == Reason::kNone) {
      m_ingress.OnCall(now.m_time, now.m_wall, decision.m_call, decision.m_head,
                       ViewForIngress(), m_actions);
      continue;
    }
    const double jitter =
        kRetryJitterRatio * static_cast<double>(m_random() % 1000) / 1000;
    const Duration retry_after =
        decision.m_retry_after > Duration::zero()
            ? std::chrono::duration_cast<Duration>((1 + jitter) *
                                                   decision.m_retry_after)
            : m_ingress.JitteredRetryAfter(decision.m_reason);
    m_actions.emplace_back(FinishCall{decision.m_call, Outcome::kNotRun,
                                      decision.m_reason, AttemptId{0},
                                      retry_after});
  }
}

void Node::RefreshTenants(Now now) {
  const bool has_tenants = Tenants() != nullptr;
  if (has_tenants) {
    m_quotas.OnStateChanged(ViewForQuotas(now));
  } else if (m_has_tenants) {
    m_quotas.OnStateReplaced();
    TenantQuotas::Decisions decisions;
    m_quotas.ReleaseWaiting(now.m_time, decisions);
    m_has_tenants = false;
    CarryOut(now, decisions);
  }
  m_has_tenants = has_tenants;
}

void Node::ReviewTenants(Now now) {
  if (Tenants() == nullptr) {
    return;
  }
  TenantQuotas::Decisions decisions;
  m_quotas.Review(now.m_time, ViewForQuotas(now), decisions, m_actions);
  CarryOut(now, decisions);
}

void Node::On(Now now, const TokenRequest& request) {
  if (Tenants() != nullptr) {
    m_quotas.OnTokenRequest(now.m_time, request, ViewForQuotas(now), m_actions);
  }
}

void Node::On(Now now, const TokenGrant& grant) {
  if (Tenants() == nullptr) {
    return;
  }
  TenantQuotas::Decisions decisions;
  m_quotas.OnGrant(now.m_time, grant, ViewForQuotas(now), decisions, m_actions);
  CarryOut(now, decisions);
}

// A process without tenants grants nothing, but it must have applied the
// record: it may get tenants later.
void Node::On(Now now, const LedgerQuery& query) {
  if (!m_identity_lost) {
    m_quotas.OnQuery(query, ViewForQuotas(now), m_actions);
  }
}

void Node::On(Now, const LedgerRelease& release) {
  m_quotas.OnRelease(release);
}

}  // namespace figlug::core
