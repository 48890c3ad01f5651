#ifndef FIGLUG_RUNTIME_OPERATOR_SESSION_H_
#define FIGLUG_RUNTIME_OPERATOR_SESSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include "figlug/core/control_state.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/runtime/http_log_client.h"
#include "figlug/runtime/log_follower.h"

namespace figlug::runtime {

/// \brief Why an operator's command failed.
enum class OperatorError : std::uint8_t {
  /// The log did not respond in time. Nothing was appended.
  kLogUnreachable,
  /// The record was not read back in time. It may still take effect.
  kUnknown,
  /// The record is in the log but has no effect: a conflicting record precedes
  /// it.
  kConflict,
  /// The record is in the log but was rejected, for example because its
  /// contents are invalid.
  kRejected,
};

/// \brief Reads the control state for an operator and appends records, waiting
/// until each has been read back from the log.
///
/// \code
/// OperatorSession session(loop, log_address);
/// if (session.Load()) session.Commit(record);
/// \endcode
class OperatorSession {
 public:
  OperatorSession(EventLoop& loop, const core::Endpoint& log);

  /// \brief Reads the log to its current end and applies its records.
  [[nodiscard]] tl::expected<void, OperatorError> Load();
  /// \brief Appends a record and waits until it has been read back.
  [[nodiscard]] tl::expected<void, OperatorError> Commit(core::Record record);
  [[nodiscard]] const core::ControlState& state() const noexcept {
    return m_state;
  }

 private:
  void ApplyEntries(const std::vector<core::LogEntry>& entries);
  void SendRecord();

  EventLoop& m_loop;
  HttpLogClient m_log;
  core::ControlState m_state;
  /// Era of the log that the state was read in.
  core::Era m_era = 0;
  bool m_is_loaded = false;
  core::AppendId m_append{0};
  core::Record m_record;
  std::optional<core::ApplyResult> m_result;
  Timer m_deadline;
  Timer m_resend_timer;
  LogFollower<HttpLogClient> m_follower;
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_OPERATOR_SESSION_H_
