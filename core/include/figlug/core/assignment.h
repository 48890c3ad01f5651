#ifndef FIGLUG_CORE_ASSIGNMENT_H_
#define FIGLUG_CORE_ASSIGNMENT_H_

#include <cstdint>
#include <span>
#include <vector>

#include "figlug/core/ids.h"

namespace figlug::core {

/// \brief A member that may own slices.
struct Candidate {
  MemberId m_member = kNoMember;
  std::uint32_t m_weight = 1;
};

/// \brief Chooses owners by weight, moving the fewest slices.
/// \param owners Owner of each slice now; kNoMember where there is none.
/// \param candidates Members that may own, in ascending order of id.
/// \returns Owner of each slice; all kNoMember without candidates.
/// \code
/// auto next = AssignSlices(owners, {{a, 8}, {b, 8}});
/// \endcode
[[nodiscard]] std::vector<MemberId> AssignSlices(
    std::span<const MemberId> owners,
    std::span<const Candidate> candidates);

}  // namespace figlug::core

#endif  // FIGLUG_CORE_ASSIGNMENT_H_
