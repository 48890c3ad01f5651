#ifndef FIGLUG_RUNTIME_LOG_SERVICE_H_
#define FIGLUG_RUNTIME_LOG_SERVICE_H_

#include <concepts>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "figlug/core/control_state.h"
#include "figlug/core/ids.h"
#include "figlug/core/record.h"
#include "figlug/core/time.h"
#include "figlug/wire/log_codec.h"

namespace figlug::runtime {

/// \brief A read that has ended: a page, or nothing when the service failed.
using PageHandler = std::function<void(std::optional<wire::LogPage>&&)>;

/// \brief The platform's append-only log, whatever its protocol.
///
/// Append sends once; whether it took effect shows only by reading back. Read
/// answers with records from an offset on and may wait for the first of them.
template <class T>
concept LogService = requires(T log,
                              core::AppendId id,
                              const core::Record& record,
                              core::Offset from,
                              core::Duration wait,
                              PageHandler on_page) {
  log.Append(id, record);
  log.Read(from, wait, on_page);
};

/// \brief A read for the newest checkpoint that has ended.
struct CheckpointReply {
  /// Whether the service answered.
  bool m_has_reply = false;
  /// Unset when there is no checkpoint.
  std::shared_ptr<const core::ControlState> m_state;
};
using CheckpointHandler = std::function<void(CheckpointReply&&)>;

/// \brief A log service that keeps the newest checkpoint for ever.
template <class T>
concept CheckpointStore = LogService<T> &&
    requires(T log, CheckpointHandler on_checkpoint) {
  log.ReadCheckpoint(on_checkpoint);
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_LOG_SERVICE_H_
