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

/// \brief Receives the result of a read: a page, or nullopt on failure.
using PageHandler = std::function<void(std::optional<wire::LogPage>&&)>;

/// \brief A client of the append-only log, independent of its protocol.
///
/// Append sends the record once and reports no result: the caller learns
/// whether it took effect by reading the log. A record that was decided in an
/// earlier era of the log than the client knows is dropped. Read returns
/// records starting at an offset and may wait up to a given time for the first
/// of them; a page names the era that it was read in.
template <class T>
concept LogService = requires(T log,
                              core::AppendId id,
                              const core::Record& record,
                              core::Era era,
                              core::Offset from,
                              core::Duration wait,
                              PageHandler on_page) {
  log.Append(id, record, era);
  log.Read(from, wait, on_page);
};

/// \brief The result of a read of the newest checkpoint.
struct CheckpointReply {
  /// Whether the service replied.
  bool m_has_reply = false;
  /// Unset when there is no checkpoint.
  std::shared_ptr<const core::ControlState> m_state;
  /// Era of the log that it was read in.
  core::Era m_era = 0;
};
using CheckpointHandler = std::function<void(CheckpointReply&&)>;

/// \brief A log service that stores the newest checkpoint apart from the log
/// and retains it indefinitely.
template <class T>
concept CheckpointStore = LogService<T> &&
    requires(T log, CheckpointHandler on_checkpoint) {
  log.ReadCheckpoint(on_checkpoint);
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_LOG_SERVICE_H_
