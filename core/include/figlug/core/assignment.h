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

/// \brief Assigns slices to members in proportion to their weights, moving as
/// few slices as possible.
/// \param owners Current owner of each slice; kNoMember if it has none.
/// \param candidates Members that may own slices, in ascending order of id.
/// \returns New owner of each slice; all kNoMember if there are no candidates.
/// \code
/// auto next = AssignSlices(owners, {{a, 8}, {b, 8}});
/// \endcode
[[nodiscard]] std::vector<MemberId> AssignSlices(
    std::span<const MemberId> owners,
    std::span<const Candidate> candidates);

}  // namespace figlug::core

#endif  // FIGLUG_CORE_ASSIGNMENT_H_
