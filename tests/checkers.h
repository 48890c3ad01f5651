#ifndef FIGLUG_TESTS_CHECKERS_H_
#define FIGLUG_TESTS_CHECKERS_H_

#include <string>
#include <vector>

#include "figlug/testing/cluster.h"
#include "figlug/testing/load.h"

namespace figlug::testing {

/// \brief Judges from the targets' own records whether a slice had two owners:
/// a run under an older fence after one under a newer fence.
/// \returns What was found, or "".
[[nodiscard]] std::string FindTwoOwners(const std::vector<RunEvent>& runs);

/// \brief Judges whether callers were told the truth: one run at most for each
/// request, none for "not-run", one for an answer, and the right answer.
[[nodiscard]] std::string FindUntruth(const std::vector<RunEvent>& runs,
                                      const std::vector<LoadResult>& results);

/// \brief Number of results with an outcome.
[[nodiscard]] std::size_t CountOutcome(const std::vector<LoadResult>& results,
                                       const std::string& outcome);

}  // namespace figlug::testing

#endif  // FIGLUG_TESTS_CHECKERS_H_
