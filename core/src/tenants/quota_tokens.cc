#include "figlug/core/tenants/quota_tokens.h"

#include <algorithm>
#include <cmath>

namespace figlug::core {
namespace {

/// Time constant of the smoothed demand, seconds.
constexpr double kDemandSeconds = 1;
/// Part of the demand of one lifetime that is kept as tokens, and what is taken
/// off it: tokens that expire unused are lost to the tenant, so an ingress with
/// about one request in a lifetime keeps none.
constexpr double kStockRatio = 0.75;
constexpr double kStockMargin = 0.5;
/// A token request that has not been answered by then is repeated. Requests
/// wait for two of them, since a datagram may be lost.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(100);
/// Token requests in a row without an answer after which calls do not wait for
/// the next one.
constexpr std::uint32_t kMaxUnanswered = 3;
/// Answers to older token requests are ignored.
constexpr std::size_t kMaxOpenRequests = 3;
/// An exhausted ledger gets the next token request after at most this time.
constexpr Duration kMaxExhaustedTime = std::chrono::milliseconds(300);
/// Most tokens of one token request.
constexpr double kMaxWanted = 1'000'000;
constexpr Duration kIdleTime = std::chrono::seconds(10);

double Seconds(Duration duration) noexcept {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void QuotaTokens::DropExpired(Time now, State& state) {
  std::erase_if(state.m_batches, [&](const Batch& batch) {
    return batch.m_count == 0 || now >= batch.m_expires_at;
  });
}

std::uint32_t QuotaTokens::Count(const State& state) noexcept {
  std::uint32_t count = 0;
  for (const Batch& batch : state.m_batches) {
    count += batch.m_count;
  }
  return count;
}

bool QuotaTokens::TakeOne(Time now, State& state) {
  DropExpired(now, state);
  if (state.m_batches.empty()) {
    return false;
  }
  --state.m_batches.front().m_count;
  return true;
}

TokenState QuotaTokens::Take(Time now, TenantId tenant, const QuotaPlan& plan) {
  State& state = m_tenants[tenant];
  const double elapsed =
      Seconds(std::max(now - state.m_updated_at, Duration{}));
  state.m_demand =
      state.m_demand * std::exp(-elapsed / kDemandSeconds) + 1 / kDemandSeconds;
  state.m_updated_at = now;
  if (plan.m_rate <= 0) {
    return TokenState::kOverQuota;
  }
  if (TakeOne(now, state)) {
    return TokenState::kGranted;
  }
  if (now < state.m_exhausted_until) {
    return state.m_is_settled ? TokenState::kOverQuota : TokenState::kUnknown;
  }
  return state.m_unanswered >= kMaxUnanswered ? TokenState::kUnknown
                                              : TokenState::kWaiting;
}

bool QuotaTokens::TakeForWaiting(Time now, TenantId tenant) {
  const auto it = m_tenants.find(tenant);
  return it != m_tenants.end() && TakeOne(now, it->second);
}

std::optional<TokenRequest> QuotaTokens::NextRequest(Time now,
                                                     TenantId tenant,
                                                     const QuotaPlan& plan,
                                                     std::uint32_t waiting) {
  const auto it = m_tenants.find(tenant);
  if (it == m_tenants.end() || now < it->second.m_exhausted_until) {
    return std::nullopt;
  }
  State& state = it->second;
  if (!state.m_open_requests.empty()) {
    if (now < state.m_open_requests.back() + kRequestTimeout) {
      return std::nullopt;
    }
    ++state.m_unanswered;
  }
  DropExpired(now, state);
  const double stock = std::clamp(
      std::floor(kStockRatio * state.m_demand * Seconds(plan.m_token_lifetime) -
                 kStockMargin),
      0.0, kMaxWanted);
  const std::uint32_t have = Count(state);
  // While the holder does not answer, no call waits. Token requests go on, so
  // that its return is noticed.
  const bool is_silent = state.m_unanswered > 0 && have == 0;
  if (waiting == 0 && !is_silent && 2 * have >= stock) {
    return std::nullopt;
  }
  state.m_open_requests.push_back(now);
  if (state.m_open_requests.size() > kMaxOpenRequests) {
    state.m_open_requests.pop_front();
  }
  const double wanted =
      std::max(0.0, stock - have) + std::max(waiting, is_silent ? 1U : 0U);
  return TokenRequest{.m_tenant = tenant,
                      .m_wanted = static_cast<std::uint32_t>(wanted),
                      .m_waiting = waiting,
                      .m_sent_at = now};
}

bool QuotaTokens::OnGrant(Time now,
                          const TokenGrant& grant,
                          const QuotaPlan& plan) {
  const auto it = m_tenants.find(grant.m_tenant);
  if (it == m_tenants.end() ||
      std::erase(it->second.m_open_requests, grant.m_sent_at) == 0) {
    return false;
  }
  State& state = it->second;
  state.m_unanswered = 0;
  state.m_is_settled = grant.m_is_settled;
  if (grant.m_granted > 0) {
    state.m_batches.push_back(
        {grant.m_granted, grant.m_sent_at + plan.m_token_lifetime});
  }
  if (grant.m_retry_after > Duration::zero()) {
    state.m_exhausted_until =
        now + std::min(grant.m_retry_after, kMaxExhaustedTime);
    state.m_room_at = now + grant.m_retry_after;
  }
  return true;
}

Duration QuotaTokens::RetryAfter(Time now, TenantId tenant) const {
  const auto it = m_tenants.find(tenant);
  return it == m_tenants.end()
             ? Duration::zero()
             : std::max(it->second.m_room_at - now, Duration::zero());
}

bool QuotaTokens::IsOverQuota(Time now, TenantId tenant) const {
  const auto it = m_tenants.find(tenant);
  return it != m_tenants.end() && it->second.m_is_settled &&
         now < it->second.m_exhausted_until;
}

void QuotaTokens::RemoveIdle(Time now) {
  std::erase_if(m_tenants, [&](const auto& entry) {
    return now > entry.second.m_updated_at + kIdleTime;
  });
}

}  // namespace figlug::core
