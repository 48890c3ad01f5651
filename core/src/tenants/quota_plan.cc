#include "figlug/core/tenants/quota_plan.h"

#include <algorithm>

namespace figlug::core {
namespace {

/// Part of the bound that is used; the rest is left for clocks that run at
/// different rates.
constexpr double kBoundRatio = 0.97;
/// Ingresses keep tokens for this time, so that a ledger may be without a
/// holder for a moment without effect.
constexpr double kMaxLifetimeSeconds = 1.2;
/// A token request and its answer take up to 20 ms between regions.
constexpr double kMinLifetimeSeconds = 0.2;
/// Part of the burst that the ledger holds at least; the rest may pay for a
/// longer lifetime.
constexpr double kMinBurstRatio = 0.25;
/// A ledger that held less than one token would never grant any.
constexpr double kMinCapacity = 1;
/// Requests come unevenly, so a ledger without a burst still holds what its
/// rate brings in this time, at least, and in the second at most, seconds.
constexpr double kMinCapacitySeconds = 0.1;
constexpr double kMaxCapacitySeconds = 1;
/// The ledger may gain tokens faster than the quota's rate, as far as the bound
/// allows, since some tokens expire unused.
constexpr double kMaxRateRatio = 1.25;

double Seconds(Duration duration) noexcept {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

// Tokens granted up to a lifetime before a window may be used in it, so the
// ledger may grant the bound within the window and one lifetime:
//   capacity + rate * (window + lifetime) <= bound.
QuotaPlan MakeQuotaPlan(const QuotaTerms& terms,
                        const Tenant& tenant) noexcept {
  const double window = Seconds(terms.m_window);
  const double bound =
      kBoundRatio *
      ((tenant.m_rate * window + tenant.m_burst) * (1 + terms.m_overage) +
       terms.m_slack);
  const double min_capacity =
      std::max({kMinCapacity, kMinBurstRatio * tenant.m_burst,
                kMinCapacitySeconds * tenant.m_rate});
  const double lifetime =
      std::clamp((bound - min_capacity) / tenant.m_rate - window,
                 kMinLifetimeSeconds, kMaxLifetimeSeconds);
  const double span = window + lifetime;
  const double least_rate =
      std::clamp((bound - min_capacity) / span, 0.0, tenant.m_rate);
  const double capacity =
      std::clamp(bound - least_rate * span, kMinCapacity,
                 std::max({min_capacity, tenant.m_burst,
                           kMaxCapacitySeconds * tenant.m_rate}));
  const double rate = std::clamp((bound - capacity) / span, least_rate,
                                 kMaxRateRatio * tenant.m_rate);
  return {rate, capacity,
          std::chrono::duration_cast<Duration>(
              std::chrono::duration<double>(lifetime))};
}

}  // namespace figlug::core
