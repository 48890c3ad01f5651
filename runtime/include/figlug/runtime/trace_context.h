#ifndef FIGLUG_RUNTIME_TRACE_CONTEXT_H_
#define FIGLUG_RUNTIME_TRACE_CONTEXT_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace figlug::runtime {

/// \brief Identifies a span within its trace, as in W3C Trace Context.
struct TraceContext {
  std::string m_trace_id;
  std::string m_parent_id;
  std::string m_span_id;
};

/// \brief Parses a traceparent header.
/// \returns The trace id and parent id, with an empty span id; nullopt if the
/// header is malformed.
[[nodiscard]] std::optional<TraceContext> ParseTraceparent(
    std::string_view text);

/// \brief Starts a span as a child of a context, or a new trace if there is
/// none.
[[nodiscard]] TraceContext StartSpan(const std::optional<TraceContext>& parent,
                                     std::mt19937_64& random);

/// \brief Formats the header that makes the next hop a child of this span.
[[nodiscard]] std::string ToTraceparent(const TraceContext& context);

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_TRACE_CONTEXT_H_
