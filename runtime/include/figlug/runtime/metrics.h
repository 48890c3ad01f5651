#ifndef FIGLUG_RUNTIME_METRICS_H_
#define FIGLUG_RUNTIME_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "figlug/core/outcome.h"
#include "figlug/core/time.h"

namespace figlug::runtime {

/// \brief Gauge values by name, read when metrics are requested.
using Gauges = std::map<std::string, double>;

/// \brief Call counts and latencies of this process.
///
/// \code
/// metrics.CountCall(now, Outcome::kAnswered, Reason::kNone, latency);
/// std::string text = metrics.Render(now, gauges);
/// \endcode
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// \brief Counts a finished call, whatever its outcome.
  void CountCall(core::Time now,
                 core::Outcome outcome,
                 core::Reason reason,
                 core::Duration latency);
  /// \brief Renders all values in the Prometheus text format.
  [[nodiscard]] std::string Render(core::Time now, const Gauges& gauges);

 private:
  struct Latencies;

  void Rotate(core::Time now);

  std::map<std::pair<core::Outcome, core::Reason>, std::uint64_t> m_calls;
  std::unique_ptr<Latencies> m_current;
  std::unique_ptr<Latencies> m_previous;
  core::Time m_rotated_at{};
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_METRICS_H_
