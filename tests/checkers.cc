#include "checkers.h"

#include <algorithm>
#include <map>

namespace figlug::testing {

std::string FindConcurrentOwners(const std::vector<ExecutionEvent>& events) {
  std::vector<ExecutionEvent> starts;
  std::ranges::copy_if(
      events, std::back_inserter(starts), [](const ExecutionEvent& event) {
        return event.m_event == "start" && !event.m_fence.empty();
      });
  std::ranges::sort(starts, {}, &ExecutionEvent::m_at_us);
  std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
  for (const ExecutionEvent& event : starts) {
    const std::size_t slash = event.m_fence.rfind('/');
    const std::string slice = event.m_fence.substr(0, slash);
    const std::uint64_t epoch = std::stoull(event.m_fence.substr(slash + 1));
    auto& [seen, target] = newest[slice];
    if (epoch < seen || (epoch == seen && target != event.m_target)) {
      return event.m_target + " executed under fence " + event.m_fence +
             " after " + target + " executed under epoch " +
             std::to_string(seen);
    }
    seen = epoch;
    target = event.m_target;
  }
  return "";
}

std::string FindIncorrectOutcome(const std::vector<ExecutionEvent>& events,
                                 const std::vector<LoadResult>& results) {
  std::map<std::string, int> starts;
  for (const ExecutionEvent& event : events) {
    starts[event.m_tag] += event.m_event == "start" ? 1 : 0;
  }
  for (const LoadResult& result : results) {
    const int count = starts[result.m_tag];
    const std::string description = "request " + result.m_tag + " (" +
                                    result.m_outcome + ") was executed " +
                                    std::to_string(count) + " times";
    const bool is_answered = result.m_outcome == "answered";
    if (count > 1 || (is_answered && count != 1) ||
        (result.m_outcome == "not-run" && count != 0)) {
      return description;
    }
    if (is_answered && !result.m_body.ends_with(" " + result.m_tag + "\n")) {
      return "request " + result.m_tag + " received the wrong response " +
             result.m_body;
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
