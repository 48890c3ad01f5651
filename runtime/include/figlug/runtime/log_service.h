#ifndef FIGLUG_RUNTIME_LOG_SERVICE_H_
#define FIGLUG_RUNTIME_LOG_SERVICE_H_

#include <concepts>
#include <functional>
#include <optional>
#include <string>

#include "figlug/core/ids.h"
#include "figlug/core/record.h"
#include "figlug/core/time.h"
#include "figlug/wire/log_codec.h"

namespace figlug::runtime {

/// \brief A read that has ended: a page, or nothing when the service failed.
using OnPage = std::function<void(std::optional<wire::LogPage>&&)>;

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
                              OnPage on_page) {
  log.Append(id, record);
  log.Read(from, wait, on_page);
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_LOG_SERVICE_H_
