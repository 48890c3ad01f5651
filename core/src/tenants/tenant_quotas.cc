#include "figlug/core/tenants/tenant_quotas.h"

#include <algorithm>
#include <set>
#include <utility>

namespace figlug::core {
namespace {

constexpr Duration kCleanupInterval = std::chrono::seconds(10);

QuotaDecision Reject(CallId call, Reason reason, Duration retry_after) {
  return {.m_call = call, .m_reason = reason, .m_retry_after = retry_after};
}

}  // namespace

void TenantQuotas::OnCall(Time now,
                          CallId call,
                          const CallHead& head,
                          const Tenant& tenant,
                          const QuotaView& view,
                          Decisions& decisions,
                          Actions& out) {
  const QuotaPlan plan = MakeQuotaPlan(m_terms, tenant);
  switch (m_tokens.Take(now, tenant.m_id, plan)) {
    case TokenState::kGranted:
      decisions.push_back({.m_call = call, .m_head = head});
      break;
    case TokenState::kWaiting:
      m_waiting.push_back({call, head, tenant.m_id, now});
      break;
    case TokenState::kOverQuota:
      decisions.push_back(Reject(call, Reason::kOverQuota,
                                 m_tokens.RetryAfter(now, tenant.m_id)));
      break;
    case TokenState::kUnknown:
      decisions.push_back(
          Reject(call, Reason::kQuotaUnknown, Duration::zero()));
      break;
  }
  RequestTokens(now, tenant, view, decisions, out);
}

std::uint32_t TenantQuotas::CountWaiting(TenantId tenant) const {
  return static_cast<std::uint32_t>(
      std::ranges::count(m_waiting, tenant, &WaitingCall::m_tenant));
}

void TenantQuotas::RequestTokens(Time now,
                                 const Tenant& tenant,
                                 const QuotaView& view,
                                 Decisions& decisions,
                                 Actions& out) {
  auto request =
      m_tokens.NextRequest(now, tenant.m_id, MakeQuotaPlan(m_terms, tenant),
                           CountWaiting(tenant.m_id));
  if (!request) {
    return;
  }
  request->m_member = view.m_self;
  if (view.m_state.FindMember(view.m_self) == nullptr) {
    request->m_reply_to = view.m_reply_to;
  }
  const MemberId holder = m_groups.HolderOf(LedgerGroupOf(tenant.m_id));
  if (holder == view.m_self) {
    if (const auto grant = Answer(now, *request, view)) {
      OnGrant(now, *grant, view, decisions, out);
    }
  } else if (const Member* member = view.m_state.FindMember(holder)) {
    out.emplace_back(SendDatagram{member->m_info.m_peer, *request});
  }
}

// A token request without a certain answer gets none: the ingress counts the
// ledger as unknown.
std::optional<TokenGrant> TenantQuotas::Answer(Time now,
                                               const TokenRequest& request,
                                               const QuotaView& view) {
  const LedgerGroup group = LedgerGroupOf(request.m_tenant);
  const Tenant* tenant = view.m_tenants.Find(request.m_tenant);
  if (tenant == nullptr || !tenant->has_quota() || !view.m_may_hold ||
      !m_groups.MayGrant(now, group)) {
    return std::nullopt;
  }
  return m_ledger.Answer(now, m_groups.HeldSince(group), m_terms, *tenant,
                         request);
}

void TenantQuotas::OnTokenRequest(Time now,
                                  const TokenRequest& request,
                                  const QuotaView& view,
                                  Actions& out) {
  const Member* member = view.m_state.FindMember(request.m_member);
  const Endpoint& to =
      member == nullptr ? request.m_reply_to : member->m_info.m_peer;
  if (to.m_host.empty()) {
    return;
  }
  if (const auto grant = Answer(now, request, view)) {
    out.emplace_back(SendDatagram{to, *grant});
  }
}

void TenantQuotas::OnGrant(Time now,
                           const TokenGrant& grant,
                           const QuotaView& view,
                           Decisions& decisions,
                           Actions& out) {
  const Tenant* tenant = view.m_tenants.Find(grant.m_tenant);
  if (tenant == nullptr ||
      !m_tokens.OnGrant(now, grant, MakeQuotaPlan(m_terms, *tenant))) {
    return;
  }
  ResumeWaiting(now, grant.m_tenant, decisions);
  if (CountWaiting(grant.m_tenant) > 0) {
    RequestTokens(now, *tenant, view, decisions, out);
  }
}

void TenantQuotas::ResumeWaiting(Time now,
                                 TenantId tenant,
                                 Decisions& decisions) {
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    if (it->m_tenant != tenant) {
      ++it;
      continue;
    }
    if (m_tokens.TakeForWaiting(now, tenant)) {
      it->m_head.m_waited = now - it->m_since;
      decisions.push_back(
          {.m_call = it->m_call, .m_head = std::move(it->m_head)});
    } else if (m_tokens.IsOverQuota(now, tenant)) {
      decisions.push_back(Reject(it->m_call, Reason::kOverQuota,
                                 m_tokens.RetryAfter(now, tenant)));
    } else {
      return;
    }
    it = m_waiting.erase(it);
  }
}

bool TenantQuotas::OnCallerDisconnected(CallId call) {
  return std::erase_if(m_waiting, [&](const WaitingCall& waiting) {
           return waiting.m_call == call;
         }) > 0;
}

void TenantQuotas::OnQuery(const LedgerQuery& query,
                           const QuotaView& view,
                           Actions& out) const {
  const Member* member = view.m_state.FindMember(query.m_from);
  if (member == nullptr) {
    return;
  }
  // A member that this process was before at the same address has ended, so it
  // grants nothing either.
  if (const auto release =
          LedgerGroups::Answer(query, view.m_state.position())) {
    out.emplace_back(SendDatagram{member->m_info.m_peer, *release});
  }
}

void TenantQuotas::OnRelease(const LedgerRelease& release) {
  m_groups.OnRelease(release);
}

void TenantQuotas::OnStateReplaced() noexcept {
  m_groups.Reset();
  m_ledger.Clear();
  m_eligible.clear();
  m_member_count = 0;
}

void TenantQuotas::ReleaseWaiting(Time now, Decisions& decisions) {
  for (WaitingCall& waiting : m_waiting) {
    waiting.m_head.m_waited = now - waiting.m_since;
    decisions.push_back(
        {.m_call = waiting.m_call, .m_head = std::move(waiting.m_head)});
  }
  m_waiting.clear();
}

// A member that has not held a lease yet, or that leaves, cannot grant.
void TenantQuotas::OnStateChanged(const QuotaView& view) {
  std::vector<MemberId> eligible;
  std::vector<MemberId> all;
  for (const auto& [id, member] : view.m_state.members()) {
    all.push_back(id);
    if (member.m_weight > 0 && !member.m_draining) {
      eligible.push_back(id);
    }
  }
  if (eligible == m_eligible && all.size() == m_member_count &&
      m_groups.self() == view.m_self) {
    return;
  }
  m_groups.OnMembers(view.m_state.position(), view.m_self, eligible, all);
  m_eligible = std::move(eligible);
  m_member_count = all.size();
}

void TenantQuotas::Review(Time now,
                          const QuotaView& view,
                          Decisions& decisions,
                          Actions& out) {
  for (const auto& [id, query] : m_groups.DueQueries(now)) {
    if (const Member* member = view.m_state.FindMember(id)) {
      out.emplace_back(SendDatagram{member->m_info.m_peer, query});
    }
  }
  while (!m_waiting.empty() &&
         now >= m_waiting.front().m_since + kMaxTokenWait) {
    decisions.push_back(Reject(m_waiting.front().m_call, Reason::kQuotaUnknown,
                               Duration::zero()));
    m_waiting.pop_front();
  }
  std::set<TenantId> waiting;
  for (const WaitingCall& call : m_waiting) {
    waiting.insert(call.m_tenant);
  }
  for (TenantId id : waiting) {
    if (const Tenant* tenant = view.m_tenants.Find(id)) {
      RequestTokens(now, *tenant, view, decisions, out);
    }
  }
  if (now >= m_next_cleanup) {
    m_next_cleanup = now + kCleanupInterval;
    m_tokens.RemoveIdle(now);
  }
}

Time TenantQuotas::NextDeadline() const noexcept {
  return m_waiting.empty() ? kNever : m_waiting.front().m_since + kMaxTokenWait;
}

}  // namespace figlug::core
