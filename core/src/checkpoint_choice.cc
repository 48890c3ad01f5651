#include "figlug/core/checkpoint_choice.h"

#include <algorithm>
#include <set>

namespace figlug::core {

// A checkpoint that was appended before the log was restored may arrive after.
// Its state then contains records that the log has lost. Append ids are random,
// so the newest ones tell the two courses of records apart.
bool IsStateOfLog(const ControlState& state,
                  std::span<const LogEntry> entries) {
  const auto& recent = state.recent_appends();
  const std::set<AppendId> known(recent.begin(), recent.end());
  auto expected = recent.rbegin();
  for (auto it = entries.rbegin(); it != entries.rend(); ++it) {
    const LogEntry& entry = *it;
    if (entry.m_offset >= state.next()) {
      continue;
    }
    if (expected == recent.rend()) {
      break;
    }
    if (entry.m_append_id == *expected) {
      ++expected;
    } else if (!known.contains(entry.m_append_id)) {
      return false;
    }
  }
  return true;
}

}  // namespace figlug::core
