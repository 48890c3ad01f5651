#include "figlug/core/tenants/quota_ledger.h"

#include <algorithm>
#include <cmath>

namespace figlug::core {
namespace {

/// Time constant with which refused tokens are forgotten, seconds: their
/// callers have returned by then.
constexpr double kShortfallSeconds = 1;
constexpr double kMinRetrySeconds = 0.05;
constexpr double kMaxRetrySeconds = 3;
/// Rate below which a ledger counts as closed when the time to wait is derived.
constexpr double kMinRate = 0.01;

double Seconds(Duration duration) noexcept {
  return std::chrono::duration<double>(duration).count();
}

Duration ToDuration(double seconds) noexcept {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

void QuotaLedger::Refill(Time now, const QuotaPlan& plan, Bucket& bucket) {
  const double elapsed =
      Seconds(std::max(now - bucket.m_updated_at, Duration{}));
  bucket.m_updated_at = std::max(now, bucket.m_updated_at);
  // A limit that has been lowered binds at once.
  bucket.m_level = std::max(
      0.0, std::min(plan.m_capacity, bucket.m_level + plan.m_rate * elapsed));
  bucket.m_shortfall *= std::exp(-elapsed / kShortfallSeconds);
}

TokenGrant QuotaLedger::Answer(Time now,
                               Time held_since,
                               const QuotaTerms& terms,
                               const Tenant& tenant,
                               const TokenRequest& request) {
  const QuotaPlan plan = MakeQuotaPlan(terms, tenant);
  Bucket& bucket = m_buckets[tenant.m_id];
  if (bucket.m_held_since != held_since) {
    bucket = {.m_updated_at = held_since, .m_held_since = held_since};
  }
  Refill(now, plan, bucket);
  TokenGrant grant{.m_tenant = tenant.m_id,
                   .m_sent_at = request.m_sent_at,
                   .m_is_settled = now >= held_since + terms.m_window};
  grant.m_granted = std::min(
      request.m_wanted, static_cast<std::uint32_t>(std::floor(bucket.m_level)));
  bucket.m_level -= grant.m_granted;
  // Tokens that are requested ahead are not owed to any caller yet.
  const std::uint32_t refused =
      std::max(request.m_waiting, grant.m_granted) - grant.m_granted;
  bucket.m_shortfall += refused;
  if (grant.m_granted < request.m_wanted) {
    const double wait =
        (bucket.m_shortfall + 1) / std::max(plan.m_rate, kMinRate);
    grant.m_retry_after =
        ToDuration(std::clamp(wait, kMinRetrySeconds, kMaxRetrySeconds));
  }
  return grant;
}

}  // namespace figlug::core
