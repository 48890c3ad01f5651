#ifndef FIGLUG_CORE_WATCHER_CHOICE_H_
#define FIGLUG_CORE_WATCHER_CHOICE_H_

#include <cstddef>
#include <span>
#include <vector>

#include "figlug/core/control_state.h"
#include "figlug/core/ids.h"
#include "figlug/core/member_info.h"

namespace figlug::core {

/// \brief Number of watchers of a member, if there are enough other members.
inline constexpr std::size_t kWatchersPerMember = 3;

/// \brief A member that watches more members than this is overloaded, and they
/// choose other watchers.
inline constexpr std::size_t kMaxWatchedMembers = 2 * kWatchersPerMember;

/// \brief Chooses a member's watchers: as far as such members exist, one in its
/// own failure domain, one in another domain of its region and one in another
/// region.
/// \param avoid Members to choose only if there are no others.
/// \code
/// auto watchers = ChooseWatchers(self, state, silent);
/// \endcode
[[nodiscard]] std::vector<MemberId> ChooseWatchers(
    const MemberInfo& self,
    const ControlState& state,
    std::span<const MemberId> avoid);

/// \brief Whether one of the watchers watches more than `kMaxWatchedMembers`
/// members.
[[nodiscard]] bool HasOverloadedWatcher(const ControlState& state,
                                        std::span<const MemberId> watchers);

/// \brief Rates how well a watcher set tolerates the loss of a failure domain
/// and a network partition between regions.
/// \returns 0 to 4; higher is better.
[[nodiscard]] std::size_t RateWatchers(const MemberInfo& self,
                                       const ControlState& state,
                                       std::span<const MemberId> watchers);

}  // namespace figlug::core

#endif  // FIGLUG_CORE_WATCHER_CHOICE_H_
