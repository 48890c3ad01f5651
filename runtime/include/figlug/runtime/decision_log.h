#ifndef FIGLUG_RUNTIME_DECISION_LOG_H_
#define FIGLUG_RUNTIME_DECISION_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "figlug/core/time.h"

namespace figlug::runtime {

/// \brief Writes one structured log line per decision, rate-limited per event
/// name.
///
/// \code
/// log.Write(now, "call-ended", {{"request", id}, {"reason", "overloaded"}});
/// \endcode
class DecisionLog {
 public:
  /// \param lines_per_second Rate limit of each event name. Lines above it are
  /// dropped, and the event's next line reports how many were.
  explicit DecisionLog(std::uint32_t lines_per_second)
      : m_lines_per_second(lines_per_second) {}

  /// \param fields A JSON object with the inputs of the decision, their age or
  /// version, and the outcome.
  void Write(core::Time now, std::string_view event, nlohmann::json fields);
  /// \brief Whether details of decisions are to be written as well, which the
  /// log level debug asks for.
  [[nodiscard]] static bool is_verbose();
  /// \brief Lines dropped by the rate limit since the start.
  [[nodiscard]] std::uint64_t omitted() const noexcept { return m_omitted; }

 private:
  struct TokenBucket {
    double m_tokens = 0;
    core::Time m_refilled_at{};
    std::uint64_t m_omitted = 0;
  };

  [[nodiscard]] bool TakeToken(core::Time now, TokenBucket& bucket) const;

  std::uint32_t m_lines_per_second;
  std::map<std::string, TokenBucket, std::less<>> m_buckets;
  std::uint64_t m_omitted = 0;
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_DECISION_LOG_H_
