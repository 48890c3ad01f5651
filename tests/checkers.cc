#include "checkers.h"

#include <algorithm>
#include <map>

namespace figlug::testing {

std::string FindTwoOwners(const std::vector<RunEvent>& runs) {
  std::vector<RunEvent> starts;
  std::ranges::copy_if(runs, std::back_inserter(starts),
                       [](const RunEvent& run) {
                         return run.m_event == "start" && !run.m_fence.empty();
                       });
  std::ranges::sort(starts, {}, &RunEvent::m_at_us);
  std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
  for (const RunEvent& run : starts) {
    const std::size_t slash = run.m_fence.rfind('/');
    const std::string slice = run.m_fence.substr(0, slash);
    const std::uint64_t epoch = std::stoull(run.m_fence.substr(slash + 1));
    auto& [seen, target] = newest[slice];
    if (epoch < seen || (epoch == seen && target != run.m_target)) {
      return run.m_target + " ran " + run.m_fence + " after " + target +
             " ran epoch " + std::to_string(seen);
    }
    seen = epoch;
    target = run.m_target;
  }
  return "";
}

std::string FindUntruth(const std::vector<RunEvent>& runs,
                        const std::vector<LoadResult>& results) {
  std::map<std::string, int> starts;
  for (const RunEvent& run : runs) {
    starts[run.m_tag] += run.m_event == "start" ? 1 : 0;
  }
  for (const LoadResult& result : results) {
    const int count = starts[result.m_tag];
    const std::string what = "request " + result.m_tag + " (" +
                             result.m_outcome + ") ran " +
                             std::to_string(count) + " times";
    const bool is_answered = result.m_outcome == "answered";
    if (count > 1 || (is_answered && count != 1) ||
        (result.m_outcome == "not-run" && count != 0)) {
      return what;
    }
    if (is_answered && !result.m_body.ends_with(" " + result.m_tag + "\n")) {
      return "request " + result.m_tag + " got the answer " + result.m_body;
    }
  }
  return "";
}

std::size_t CountOutcome(const std::vector<LoadResult>& results,
                         const std::string& outcome) {
  return static_cast<std::size_t>(
      std::ranges::count(results, outcome, &LoadResult::m_outcome));
}

}  // namespace figlug::testing
