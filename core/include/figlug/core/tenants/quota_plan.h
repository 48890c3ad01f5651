#ifndef FIGLUG_CORE_TENANTS_QUOTA_PLAN_H_
#define FIGLUG_CORE_TENANTS_QUOTA_PLAN_H_

#include "figlug/core/tenants/tenant.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief How strictly quotas bind: in each window, a tenant may use
/// (rate * window + burst) * (1 + overage) + slack requests.
struct QuotaTerms {
  Duration m_window = std::chrono::seconds(5);
  double m_overage = 0;
  /// Requests in each window beyond the quota.
  double m_slack = 0;
};

/// \brief How a tenant's quota is divided between the holder of its ledger and
/// the ingresses that get tokens from it.
struct QuotaPlan {
  /// Tokens that the ledger gains per second.
  double m_rate = 0;
  /// Tokens that the ledger holds at most.
  double m_capacity = 0;
  /// Time after a token request in which the tokens granted for it may be used.
  Duration m_token_lifetime{};
};

/// \brief Divides a tenant's quota so that it holds in every window.
[[nodiscard]] QuotaPlan MakeQuotaPlan(const QuotaTerms& terms,
                                      const Tenant& tenant) noexcept;

}  // namespace figlug::core

#endif  // FIGLUG_CORE_TENANTS_QUOTA_PLAN_H_
