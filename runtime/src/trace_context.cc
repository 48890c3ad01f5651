#include "figlug/runtime/trace_context.h"

#include <algorithm>

namespace figlug::runtime {
namespace {

constexpr std::size_t kTraceparentLength = 55;
constexpr std::size_t kTraceIdOffset = 3;
constexpr std::size_t kTraceIdLength = 32;
constexpr std::size_t kSpanIdOffset = 36;
constexpr std::size_t kSpanIdLength = 16;

std::string Hex(std::uint64_t value) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text(kSpanIdLength, '0');
  for (std::size_t i = kSpanIdLength; i > 0 && value > 0; --i) {
    text[i - 1] = digits[value & 0xf];
    value >>= 4;
  }
  return text;
}

bool IsLowerHex(std::string_view text) {
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

}  // namespace

std::optional<TraceContext> ParseTraceparent(std::string_view text) {
  if (text.size() != kTraceparentLength || text.substr(0, 3) != "00-" ||
      text[kSpanIdOffset - 1] != '-' ||
      text[kSpanIdOffset + kSpanIdLength] != '-') {
    return std::nullopt;
  }
  const std::string_view trace = text.substr(kTraceIdOffset, kTraceIdLength);
  const std::string_view span = text.substr(kSpanIdOffset, kSpanIdLength);
  if (!IsLowerHex(trace) || !IsLowerHex(span)) {
    return std::nullopt;
  }
  return TraceContext{std::string(trace), std::string(span), ""};
}

TraceContext StartSpan(const std::optional<TraceContext>& parent,
                       std::mt19937_64& random) {
  TraceContext span =
      parent.value_or(TraceContext{Hex(random()) + Hex(random()), "", ""});
  span.m_span_id = Hex(random());
  return span;
}

std::string ToTraceparent(const TraceContext& context) {
  return "00-" + context.m_trace_id + "-" + context.m_span_id + "-01";
}

}  // namespace figlug::runtime
