#include "figlug/runtime/span_writer.h"

#include <cerrno>
#include <cstring>

#include <nlohmann/json.hpp>

namespace figlug::runtime {

tl::expected<void, RuntimeError> SpanWriter::Open(const std::string& file) {
  if (file.empty()) {
    return {};
  }
  m_file.open(file, std::ios::app);
  if (!m_file) {
    return tl::unexpected(
        RuntimeError{"open trace file " + file, std::strerror(errno)});
  }
  m_is_open = true;
  Flush();
  return {};
}

void SpanWriter::Flush() {
  m_file.flush();
  m_flush.Set(kFlushInterval);
}

void SpanWriter::Write(const Span& span) {
  if (!m_is_open) {
    return;
  }
  const nlohmann::json line = {
      {"trace_id", span.m_context.m_trace_id},
      {"parent_id", span.m_context.m_parent_id},
      {"span_id", span.m_context.m_span_id},
      {"hop", span.m_hop},
      {"service", span.m_service},
      {"start_ms", span.m_started.time_since_epoch().count()},
      {"duration_us", span.m_duration.count()},
      {"outcome", core::ToString(span.m_outcome)},
      {"reason", core::ToString(span.m_reason)},
  };
  m_file << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
         << '\n';
}

}  // namespace figlug::runtime
