#ifndef FIGLUG_CORE_WATCHER_CHOICE_H_
#define FIGLUG_CORE_WATCHER_CHOICE_H_

#include <cstddef>
#include <span>
#include <vector>

#include "figlug/core/control_state.h"
#include "figlug/core/ids.h"
#include "figlug/core/member_info.h"

namespace figlug::core {

/// \brief Watchers a member has when there are enough others.
inline constexpr std::size_t kWatchersPerMember = 3;

/// \brief Members that one member watches before others look elsewhere.
inline constexpr std::size_t kMaxWatchedMembers = 2 * kWatchersPerMember;

/// \brief Chooses a member's watchers: one in its own domain, one in another
/// domain of its region, one in another region, where there are such.
/// \param avoid Members to take only when there are no others.
/// \code
/// auto watchers = ChooseWatchers(self, state, silent);
/// \endcode
[[nodiscard]] std::vector<MemberId> ChooseWatchers(
    const MemberInfo& self,
    const ControlState& state,
    std::span<const MemberId> avoid);

/// \brief Tells whether one of the watchers watches more than
/// kMaxWatchedMembers.
[[nodiscard]] bool HasOverloadedWatcher(const ControlState& state,
                                        std::span<const MemberId> watchers);

/// \brief Rates how well a watcher set outlives the loss of a domain and a
/// split of the regions.
/// \returns 0 to 4; more is better.
[[nodiscard]] std::size_t RateWatchers(const MemberInfo& self,
                                       const ControlState& state,
                                       std::span<const MemberId> watchers);

}  // namespace figlug::core

#endif  // FIGLUG_CORE_WATCHER_CHOICE_H_
