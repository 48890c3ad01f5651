#ifndef FIGLUG_CORE_TENANTS_QUOTA_LEDGER_H_
#define FIGLUG_CORE_TENANTS_QUOTA_LEDGER_H_

#include <unordered_map>

#include "figlug/core/tenants/quota_messages.h"
#include "figlug/core/tenants/quota_plan.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief The token buckets of the tenants whose ledgers this process holds.
///
/// \code
/// TokenGrant grant = ledger.Answer(now, held_since, terms, *tenant, request);
/// \endcode
class QuotaLedger {
 public:
  /// \brief Grants tokens of a tenant.
  /// \param held_since When this process became the holder. What its
  /// predecessor granted is not known, so a bucket is empty then.
  [[nodiscard]] TokenGrant Answer(Time now,
                                  Time held_since,
                                  const QuotaTerms& terms,
                                  const Tenant& tenant,
                                  const TokenRequest& request);
  void Clear() noexcept { m_buckets.clear(); }
  [[nodiscard]] std::size_t size() const noexcept { return m_buckets.size(); }

 private:
  struct Bucket {
    double m_level = 0;
    Time m_updated_at{};
    Time m_held_since{};
    /// Smoothed number of tokens wanted and not granted.
    double m_shortfall = 0;
  };
  static void Refill(Time now, const QuotaPlan& plan, Bucket& bucket);

  std::unordered_map<TenantId, Bucket> m_buckets;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_TENANTS_QUOTA_LEDGER_H_
