// The part of ControlState that removes members which nobody can vote down.

#include "figlug/core/control_state.h"

namespace figlug::core {

// A member that has not promised to stop when the log is out of its reach may
// serve for as long as its watchers pledge.
ApplyResult ControlState::ApplyRecord(Offset offset,
                                      const SuspicionRecord& record) {
  const auto it = m_members.find(record.m_member);
  if (it == m_members.end()) {
    return {.m_reason = RejectReason::kUnknownMember};
  }
  Member& member = it->second;
  if (member.m_info.m_log_lease == Duration::zero()) {
    return {.m_reason = RejectReason::kInvalid};
  }
  if (member.m_suspected_at != 0) {
    return {.m_reason = RejectReason::kStale};
  }
  member.m_suspected_at = PositionOf(offset);
  return {.m_applied = true};
}

ApplyResult ControlState::ApplyRecord(Offset, const RefutationRecord& record) {
  const auto it = m_members.find(record.m_member);
  if (it == m_members.end()) {
    return {.m_reason = RejectReason::kUnknownMember};
  }
  if (it->second.m_suspected_at != record.m_suspected_at) {
    return {.m_reason = RejectReason::kStale};
  }
  it->second.m_suspected_at = 0;
  return {.m_applied = true};
}

// A removal that was decided before a refutation was read has no effect.
ApplyResult ControlState::ApplyRecord(Offset offset,
                                      const RemovalRecord& record) {
  const Member* member = FindMember(record.m_member);
  if (member == nullptr) {
    return {.m_reason = RejectReason::kUnknownMember};
  }
  if (member->m_suspected_at == 0 ||
      member->m_suspected_at != record.m_suspected_at) {
    return {.m_reason = RejectReason::kStale};
  }
  return Remove(offset, record.m_member);
}

// Refutations may be lost with the records after a copy, so that suspicions of
// before do not count in a later era.
void ControlState::ForgetSuspicions() {
  for (auto& [id, member] : m_members) {
    member.m_suspected_at = 0;
  }
}

}  // namespace figlug::core
