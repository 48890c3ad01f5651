#ifndef FIGLUG_WIRE_LOG_CODEC_H_
#define FIGLUG_WIRE_LOG_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "figlug/core/ids.h"
#include "figlug/core/record.h"
#include "figlug/wire/wire_error.h"

namespace figlug::wire {

/// \brief An encoded record and its offset in the log.
struct RawEntry {
  core::Offset m_offset = 0;
  std::string m_data;
};

/// \brief The reply of the log service to a read.
struct LogPage {
  /// Offset of the oldest record that is still stored.
  core::Offset m_first = 0;
  /// Offset that the next append will get.
  core::Offset m_next = 0;
  std::vector<RawEntry> m_entries;
  /// Number of times that the log has been restored from a copy.
  core::Era m_era = 0;
};

/// \brief Encodes a record with its append id.
[[nodiscard]] std::string EncodeRecord(core::AppendId id,
                                       const core::Record& record);
/// \brief Decodes a record. Bytes that cannot be decoded yield an
/// UnreadableRecord, not an error.
/// \code
/// core::LogEntry entry = ParseRecord(raw.m_offset, raw.m_data);
/// \endcode
[[nodiscard]] core::LogEntry ParseRecord(core::Offset offset,
                                         std::string_view bytes);

/// \brief Encodes the reply of the log service to a read.
[[nodiscard]] std::string EncodeLogPage(const LogPage& page);
/// \brief Decodes the reply of the log service to a read.
[[nodiscard]] tl::expected<LogPage, WireError> ParseLogPage(
    std::string_view bytes);

}  // namespace figlug::wire

#endif  // FIGLUG_WIRE_LOG_CODEC_H_
