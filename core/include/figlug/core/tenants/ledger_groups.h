#ifndef FIGLUG_CORE_TENANTS_LEDGER_GROUPS_H_
#define FIGLUG_CORE_TENANTS_LEDGER_GROUPS_H_

#include <array>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "figlug/core/tenants/quota_messages.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Number of groups. A lost holder stops the quotas of one group until
/// it is removed, so there are several; each ingress asks at most that many.
inline constexpr LedgerGroup kLedgerGroups = 16;

[[nodiscard]] constexpr LedgerGroup LedgerGroupOf(TenantId tenant) noexcept {
  return static_cast<LedgerGroup>(static_cast<std::uint64_t>(tenant) %
                                  kLedgerGroups);
}

/// \brief Chooses the one member that holds the ledgers of each group.
///
/// The holder is a function of the members in the control state, so every
/// process that has applied the same records names the same one. A new holder
/// grants nothing until each former one has applied the record that replaced
/// it, or has been removed.
///
/// \code
/// groups.OnMembers(position, self, eligible, all);
/// if (groups.MayGrant(now, group)) Answer(request);
/// \endcode
class LedgerGroups {
 public:
  /// \brief Starts over without knowing who held groups before.
  void Reset() noexcept;
  /// \brief The members have changed, or this process starts.
  /// \param position First position that has not been applied.
  /// \param eligible Members that may hold groups.
  /// \param all All members, in any order.
  void OnMembers(Position position,
                 MemberId self,
                 std::span<const MemberId> eligible,
                 std::span<const MemberId> all);
  /// \brief A former holder has confirmed that it grants nothing any more.
  void OnRelease(const LedgerRelease& release);
  /// \brief Queries that are due, with the member to request.
  [[nodiscard]] std::vector<std::pair<MemberId, LedgerQuery>> DueQueries(
      Time now);
  /// \brief Answers a query once this process has applied that position.
  /// \param position First position that has not been applied.
  [[nodiscard]] static std::optional<LedgerRelease> Answer(
      const LedgerQuery& query,
      Position position) noexcept;

  [[nodiscard]] MemberId self() const noexcept { return m_self; }
  /// \returns kNoMember while no member may hold groups.
  [[nodiscard]] MemberId HolderOf(LedgerGroup group) const noexcept {
    return m_groups[group].m_holder;
  }
  /// \brief Whether this process holds a group and nobody else does. The caller
  /// checks the lease.
  [[nodiscard]] bool MayGrant(Time now, LedgerGroup group);
  /// \brief When this process has become the only holder of a group.
  [[nodiscard]] Time HeldSince(LedgerGroup group) const noexcept {
    return m_groups[group].m_held_since;
  }

 private:
  struct Group {
    MemberId m_holder = kNoMember;
    /// Members that may still grant tokens, with the position up to which each
    /// must have applied the log.
    std::map<MemberId, Position> m_former;
    Time m_held_since = kNever;
    Time m_next_query{};
  };

  bool m_is_started = false;
  MemberId m_self = kNoMember;
  std::array<Group, kLedgerGroups> m_groups;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_TENANTS_LEDGER_GROUPS_H_
