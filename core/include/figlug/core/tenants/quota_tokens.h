#ifndef FIGLUG_CORE_TENANTS_QUOTA_TOKENS_H_
#define FIGLUG_CORE_TENANTS_QUOTA_TOKENS_H_

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "figlug/core/tenants/quota_messages.h"
#include "figlug/core/tenants/quota_plan.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief What an ingress does with a request of a tenant that has a quota.
enum class TokenState : std::uint8_t {
  kGranted,
  /// A token has been requested from the ledger's holder; the call waits.
  kWaiting,
  /// The quota has been used up.
  kOverQuota,
  /// Whether there is room is not known and cannot be found out now.
  kUnknown,
};

/// \brief Time for which a request waits for a token: several round trips to
/// the other region.
inline constexpr Duration kMaxTokenWait = std::chrono::milliseconds(220);

/// \brief Tokens that an ingress has been granted, by tenant. A tenant without
/// traffic takes no memory.
///
/// \code
/// if (tokens.Take(now, id, plan) == TokenState::kWaiting) Enqueue(call);
/// if (auto request = tokens.NextRequest(now, id, plan, waiting))
/// Send(*request); \endcode
class QuotaTokens {
 public:
  /// \brief Takes a token for a new request.
  [[nodiscard]] TokenState Take(Time now,
                                TenantId tenant,
                                const QuotaPlan& plan);
  /// \brief Takes a token for a request that has waited.
  [[nodiscard]] bool TakeForWaiting(Time now, TenantId tenant);
  /// \brief Returns a token request if one is needed and none is open.
  /// \param waiting Requests that wait for a token.
  [[nodiscard]] std::optional<TokenRequest> NextRequest(Time now,
                                                        TenantId tenant,
                                                        const QuotaPlan& plan,
                                                        std::uint32_t waiting);
  /// \returns Whether the grant answers an open token request. A second copy
  /// does not.
  bool OnGrant(Time now, const TokenGrant& grant, const QuotaPlan& plan);
  /// \brief Time until there is room for a refused request, as the holder said.
  [[nodiscard]] Duration RetryAfter(Time now, TenantId tenant) const;
  /// \brief Whether the holder has said that the quota has been used up.
  [[nodiscard]] bool IsOverQuota(Time now, TenantId tenant) const;
  /// \brief Drops what is known of tenants without traffic.
  void RemoveIdle(Time now);
  [[nodiscard]] std::size_t size() const noexcept { return m_tenants.size(); }

 private:
  struct Batch {
    std::uint32_t m_count = 0;
    Time m_expires_at{};
  };
  struct State {
    std::deque<Batch> m_batches;
    /// Smoothed requests per second.
    double m_demand = 0;
    Time m_updated_at{};
    /// Send times of the token requests without an answer, oldest first.
    std::deque<Time> m_open_requests;
    /// Token requests in a row that were not answered in time.
    std::uint32_t m_unanswered = 0;
    bool m_is_settled = false;
    /// Until then no tokens are requested.
    Time m_exhausted_until = Time::min();
    /// When there is room for a refused request, as the holder said.
    Time m_room_at = Time::min();
  };
  static void DropExpired(Time now, State& state);
  [[nodiscard]] static std::uint32_t Count(const State& state) noexcept;
  static bool TakeOne(Time now, State& state);

  std::unordered_map<TenantId, State> m_tenants;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_TENANTS_QUOTA_TOKENS_H_
