#ifndef FIGLUG_RUNTIME_SPAN_WRITER_H_
#define FIGLUG_RUNTIME_SPAN_WRITER_H_

#include <fstream>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "figlug/core/outcome.h"
#include "figlug/core/time.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/runtime/runtime_error.h"
#include "figlug/runtime/trace_context.h"

namespace figlug::runtime {

/// \brief The trace span of one finished hop. Contains no key, path or body.
struct Span {
  TraceContext m_context;
  /// "ingress" or "gate".
  std::string_view m_hop;
  std::string_view m_service;
  core::WallTime m_started{};
  core::Duration m_duration{};
  core::Outcome m_outcome = core::Outcome::kAnswered;
  core::Reason m_reason = core::Reason::kNone;
};

/// \brief Appends spans to a file, one JSON object per line.
class SpanWriter {
 public:
  explicit SpanWriter(EventLoop& loop) : m_flush(loop, [this] { Flush(); }) {}

  /// \brief Opens the file for appending; an empty name disables spans.
  [[nodiscard]] tl::expected<void, RuntimeError> Open(const std::string& file);
  [[nodiscard]] bool is_open() const noexcept { return m_is_open; }
  /// \brief Queues a span, which is written to the file within kFlushInterval.
  void Write(const Span& span);

  /// \brief Longest time that a span stays buffered in memory.
  static constexpr core::Duration kFlushInterval =
      std::chrono::milliseconds(500);

 private:
  void Flush();

  std::ofstream m_file;
  Timer m_flush;
  bool m_is_open = false;
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_SPAN_WRITER_H_
