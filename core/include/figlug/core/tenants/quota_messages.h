#ifndef FIGLUG_CORE_TENANTS_QUOTA_MESSAGES_H_
#define FIGLUG_CORE_TENANTS_QUOTA_MESSAGES_H_

#include <cstdint>

#include "figlug/core/endpoint.h"
#include "figlug/core/ids.h"
#include "figlug/core/tenants/tenant.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Number of a group of tenants whose ledgers have one holder.
using LedgerGroup = std::uint32_t;

/// \brief An ingress requests tokens from the holder of a tenant's ledger.
struct TokenRequest {
  MemberId m_member = kNoMember;
  TenantId m_tenant{0};
  std::uint32_t m_wanted = 0;
  /// Calls that wait for the answer.
  std::uint32_t m_waiting = 0;
  /// The ingress's own clock.
  Time m_sent_at{};
  /// Where an ingress that is not a member gets the answer; otherwise empty.
  Endpoint m_reply_to;
};

/// \brief The answer to a TokenRequest.
struct TokenGrant {
  TenantId m_tenant{0};
  std::uint32_t m_granted = 0;
  /// Send time of the token request that is answered.
  Time m_sent_at{};
  /// Time until the ledger has room again; zero if all that was wanted is
  /// granted.
  Duration m_retry_after{};
  /// Whether an empty ledger means that the quota has been used up. A new
  /// holder does not know what its predecessor has granted.
  bool m_is_settled = false;
};

/// \brief Asks a member whether it has applied the record that moved a group of
/// ledgers away from it.
struct LedgerQuery {
  MemberId m_from = kNoMember;
  /// The member asked; its process may have been replaced.
  MemberId m_to = kNoMember;
  LedgerGroup m_group = 0;
  /// Position up to which the member must have applied the log.
  Position m_position = 0;
};

/// \brief Confirms that a member has applied the log up to a position, and
/// grants no token of a group by an earlier one.
struct LedgerRelease {
  MemberId m_from = kNoMember;
  LedgerGroup m_group = 0;
  Position m_position = 0;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_TENANTS_QUOTA_MESSAGES_H_
