#include "figlug/runtime/operator_session.h"

#include <random>
#include <utility>

namespace figlug::runtime {
namespace {

constexpr core::Duration kCommandTimeout = std::chrono::seconds(10);
constexpr core::Duration kResendInterval = std::chrono::seconds(1);

core::AppendId NewAppendId() {
  std::random_device device;
  return core::AppendId(std::uint64_t{device()} << 32 | device());
}

}  // namespace

OperatorSession::OperatorSession(EventLoop& loop, const core::Endpoint& log)
    : m_loop(loop),
      m_log(loop, log),
      m_deadline(loop, [this] { m_loop.Stop(); }),
      m_resend_timer(loop, [this] { SendRecord(); }),
      m_follower(loop,
                 m_log,
                 {.m_on_start =
                      [this](core::Era era, core::ControlState&& state) {
                        m_era = era;
                        m_state = std::move(state);
                      },
                  .m_on_restored =
                      [this](core::Era era, core::ControlState&& state) {
                        m_era = era;
                        m_state = std::move(state);
                      },
                  .m_on_records =
                      [this](const auto& entries) { ApplyEntries(entries); },
                  .m_on_caught_up =
                      [this] {
                        if (!m_is_loaded) {
                          m_is_loaded = true;
                          m_loop.Stop();
                        }
                      },
                  .m_on_gap = [] {},
                  .m_on_health = [](bool) {},
                  .m_on_bounds = [](core::Offset) {},
                  .m_next = [this] { return m_state.next(); }}) {}

void OperatorSession::ApplyEntries(const std::vector<core::LogEntry>& entries) {
  for (const core::LogEntry& entry : entries) {
    if (entry.m_offset != m_state.next()) {
      continue;
    }
    const core::ApplyResult result = m_state.Apply(entry);
    if (entry.m_append_id == m_append && !m_result) {
      m_result = result;
      m_loop.Stop();
    }
  }
}

tl::expected<void, OperatorError> OperatorSession::Load() {
  m_deadline.Set(kCommandTimeout);
  m_follower.Start();
  m_loop.Run();
  if (!m_is_loaded) {
    return tl::unexpected(OperatorError::kLogUnreachable);
  }
  return {};
}

tl::expected<void, OperatorError> OperatorSession::Commit(core::Record record) {
  m_append = NewAppendId();
  m_record = std::move(record);
  m_result.reset();
  m_deadline.Set(kCommandTimeout);
  SendRecord();
  m_loop.Run();
  m_resend_timer.Cancel();
  if (!m_result) {
    return tl::unexpected(OperatorError::kUnknown);
  }
  if (m_result->m_applied) {
    return {};
  }
  // The first copy was read as part of a restored state or a checkpoint, which
  // does not say whether it took effect.
  if (m_result->m_reason == core::RejectReason::kDuplicate) {
    return tl::unexpected(OperatorError::kUnknown);
  }
  return tl::unexpected(m_result->m_reason == core::RejectReason::kStale
                            ? OperatorError::kConflict
                            : OperatorError::kRejected);
}

// The append or its reply may be lost, so the record is sent again with the
// same id until it has been read back.
void OperatorSession::SendRecord() {
  m_log.Append(m_append, m_record, m_era);
  m_resend_timer.Set(kResendInterval);
}

}  // namespace figlug::runtime
