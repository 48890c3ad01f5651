#ifndef FIGLUG_TESTS_CHECKERS_H_
#define FIGLUG_TESTS_CHECKERS_H_

#include <string>
#include <vector>

#include "figlug/testing/cluster.h"
#include "figlug/testing/load.h"

namespace figlug::testing {

/// \brief Checks the targets' records for a slice with two owners at a time: an
/// execution under an older fence after one under a newer fence, or two targets
/// under one fence.
/// \returns A description of the first violation, or "".
[[nodiscard]] std::string FindConcurrentOwners(
    const std::vector<ExecutionEvent>& events);

/// \brief Checks the outcomes reported to callers against the targets' records:
/// at most one execution per request, none for "not-run", exactly one for an
/// answered request, and the response belongs to that request.
/// \returns A description of the first violation, or "".
[[nodiscard]] std::string FindIncorrectOutcome(
    const std::vector<ExecutionEvent>& events,
    const std::vector<LoadResult>& results);

/// \brief Counts the results with a given outcome.
[[nodiscard]] std::size_t CountOutcome(const std::vector<LoadResult>& results,
                                       const std::string& outcome);

}  // namespace figlug::testing

#endif  // FIGLUG_TESTS_CHECKERS_H_
