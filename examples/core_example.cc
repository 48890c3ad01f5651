// Uses the core without input or output: passes events to one node and handles
// the actions that it returns.

#include <cstdio>
#include <vector>

#include "figlug/core/node.h"

using namespace figlug::core;

int main() {
  NodeSettings settings;
  settings.m_self.m_id = MemberId{7};
  settings.m_self.m_service = "orders";
  settings.m_self.m_profile = "orders";
  Now now{Time(std::chrono::seconds(1)), WallTime(std::chrono::seconds(1))};
  Node node(settings, now);

  std::vector<LogEntry> log;
  const auto handle_action = [&](Action&& action) {
    if (const auto* append = std::get_if<AppendRecord>(&action)) {
      log.push_back({log.size(), append->m_id, append->m_record});
    } else if (std::holds_alternative<DispatchWork>(action)) {
      std::printf("dispatched to the target\n");
    }
  };
  node.OnTargetHealth(now, true, handle_action);
  node.OnStart(now, 0, ControlState(), handle_action);
  node.OnCaughtUp(now, handle_action);
  for (int i = 0; i < 5; ++i) {
    now.m_time += std::chrono::milliseconds(100);
    node.OnRecords(now, std::vector<LogEntry>(log), handle_action);
    node.OnTimer(now, handle_action);
  }
  AttemptHead head{
      "orders", SliceOf("coupling-1"), {}, false, std::chrono::seconds(1)};
  node.OnAttempt(now, WorkId{1}, head, AttemptOrigin::kPeer, handle_action);
  std::printf("owns %u slices\n", node.ownership().owned_count());
  return node.ownership().owned_count() == kDefaultSlicesPerService ? 0 : 1;
}
