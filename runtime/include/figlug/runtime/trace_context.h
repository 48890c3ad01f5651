#ifndef FIGLUG_RUNTIME_TRACE_CONTEXT_H_
#define FIGLUG_RUNTIME_TRACE_CONTEXT_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace figlug::runtime {

/// \brief A span's place in its trace, as W3C traceparent carries it.
struct TraceContext {
  std::string m_trace_id;
  std::string m_parent_id;
  std::string m_span_id;
};

/// \brief Reads a traceparent header.
/// \returns Trace and parent, without a span id of its own yet.
[[nodiscard]] std::optional<TraceContext> ParseTraceparent(
    std::string_view text);

/// \brief Opens a span below a context, or a new trace without one.
[[nodiscard]] TraceContext StartSpan(const std::optional<TraceContext>& parent,
                                     std::mt19937_64& random);

/// \brief Writes the header that makes the next hop a child of this span.
[[nodiscard]] std::string ToTraceparent(const TraceContext& context);

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_TRACE_CONTEXT_H_
