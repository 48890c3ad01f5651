#ifndef FIGLUG_CORE_TENANTS_TENANT_QUOTAS_H_
#define FIGLUG_CORE_TENANTS_TENANT_QUOTAS_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "figlug/core/action.h"
#include "figlug/core/control_state.h"
#include "figlug/core/ingress.h"
#include "figlug/core/tenants/ledger_groups.h"
#include "figlug/core/tenants/quota_ledger.h"
#include "figlug/core/tenants/quota_tokens.h"

namespace figlug::core {

/// \brief State outside of TenantQuotas that its decisions depend on.
struct QuotaView {
  const ControlState& m_state;
  const TenantTable& m_tenants;
  MemberId m_self = kNoMember;
  /// Where this process gets answers while it is not a member.
  Endpoint m_reply_to;
  /// Whether this member is the only one that its groups' ledgers can belong
  /// to: its lease is valid, and it knows the log's era.
  bool m_may_hold = false;
};

/// \brief A call whose wait for a token has ended.
struct QuotaDecision {
  CallId m_call{0};
  CallHead m_head;
  /// kNone if the call goes on.
  Reason m_reason = Reason::kNone;
  /// Time until there is room; zero where it is not known.
  Duration m_retry_after{};
};

/// \brief Admits the calls of tenants that have a quota, and holds the ledgers
/// of those tenants that are this member's.
///
/// \code
/// quotas.OnCall(now, call, head, *tenant, view, decisions, actions);
/// \endcode
class TenantQuotas {
 public:
  using Decisions = std::vector<QuotaDecision>;

  explicit TenantQuotas(QuotaTerms terms) : m_terms(terms) {}

  /// \brief Decides on a call, at once or when its ledger's holder has
  /// answered.
  void OnCall(Time now,
              CallId call,
              const CallHead& head,
              const Tenant& tenant,
              const QuotaView& view,
              Decisions& decisions,
              Actions& out);
  /// \returns Whether the call was waiting.
  bool OnCallerDisconnected(CallId call);
  void OnTokenRequest(Time now,
                      const TokenRequest& request,
                      const QuotaView& view,
                      Actions& out);
  void OnGrant(Time now,
               const TokenGrant& grant,
               const QuotaView& view,
               Decisions& decisions,
               Actions& out);
  void OnQuery(const LedgerQuery& query,
               const QuotaView& view,
               Actions& out) const;
  void OnRelease(const LedgerRelease& release);
  /// \brief Records have been applied, or tenants configured.
  void OnStateChanged(const QuotaView& view);
  /// \brief The state has been replaced: who held ledgers is not known.
  void OnStateReplaced() noexcept;
  /// \brief No tenants are left: all calls that wait go on.
  void ReleaseWaiting(Time now, Decisions& decisions);
  /// \brief Ends waits, repeats token requests and queries.
  void Review(Time now,
              const QuotaView& view,
              Decisions& decisions,
              Actions& out);
  [[nodiscard]] Time NextDeadline() const noexcept;
  [[nodiscard]] std::size_t waiting() const noexcept {
    return m_waiting.size();
  }
  /// \brief Tenants whose traffic this ingress tracks.
  [[nodiscard]] std::size_t tracked_tenants() const noexcept {
    return m_tokens.size();
  }
  [[nodiscard]] std::size_t ledgers() const noexcept { return m_ledger.size(); }

 private:
  struct WaitingCall {
    CallId m_call{0};
    CallHead m_head;
    TenantId m_tenant{0};
    Time m_since{};
  };

  [[nodiscard]] std::uint32_t CountWaiting(TenantId tenant) const;
  [[nodiscard]] std::optional<TokenGrant> Answer(Time now,
                                                 const TokenRequest& request,
                                                 const QuotaView& view);
  void RequestTokens(Time now,
                     const Tenant& tenant,
                     const QuotaView& view,
                     Decisions& decisions,
                     Actions& out);
  void ResumeWaiting(Time now, TenantId tenant, Decisions& decisions);

  QuotaTerms m_terms;
  LedgerGroups m_groups;
  QuotaLedger m_ledger;
  QuotaTokens m_tokens;
  /// In order of arrival, and so of the ends of their waits.
  std::deque<WaitingCall> m_waiting;
  /// Members that m_groups was last given.
  std::vector<MemberId> m_eligible;
  std::size_t m_member_count = 0;
  Time m_next_cleanup{};
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_TENANTS_TENANT_QUOTAS_H_
