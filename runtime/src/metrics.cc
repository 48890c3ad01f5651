#include "figlug/runtime/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <sstream>

namespace figlug::runtime {
namespace {

namespace acc = boost::accumulators;

constexpr core::Duration kWindow = std::chrono::seconds(30);
constexpr std::array<double, 5> kQuantiles = {0.5, 0.9, 0.99, 0.999, 0.9999};
constexpr std::array<double, 3> kReportedQuantiles = {0.5, 0.99, 0.999};
constexpr double kMicrosPerSecond = 1e6;

using Accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::mean,
                                    acc::tag::max,
                                    acc::tag::extended_p_square_quantile>>;

}  // namespace

// The quantile estimator covers all values it was ever given, so each time
// window has its own.
struct Metrics::Latencies {
  Accumulator m_values{acc::extended_p_square_probabilities = kQuantiles};
};

Metrics::Metrics()
    : m_current(std::make_unique<Latencies>()),
      m_previous(std::make_unique<Latencies>()) {}

Metrics::~Metrics() = default;

void Metrics::Rotate(core::Time now) {
  if (now < m_rotated_at + kWindow) {
    return;
  }
  m_rotated_at = now;
  m_previous = std::exchange(m_current, std::make_unique<Latencies>());
}

void Metrics::CountCall(core::Time now,
                        core::Outcome outcome,
                        core::Reason reason,
                        core::Duration latency) {
  Rotate(now);
  ++m_calls[{outcome, reason}];
  m_current->m_values(static_cast<double>(latency.count()) / kMicrosPerSecond);
}

std::string Metrics::Render(core::Time now, const Gauges& gauges) {
  Rotate(now);
  std::ostringstream out;
  out << "# TYPE figlug_calls_total counter\n";
  for (const auto& [key, count] : m_calls) {
    out << "figlug_calls_total{outcome=\"" << core::ToString(key.first)
        << "\",reason=\"" << core::ToString(key.second) << "\"} " << count
        << '\n';
  }
  const Accumulator& reported = acc::count(m_previous->m_values) > 0
                                    ? m_previous->m_values
                                    : m_current->m_values;
  if (acc::count(reported) > 0) {
    out << "# TYPE figlug_call_seconds summary\n";
    for (double quantile : kReportedQuantiles) {
      out << "figlug_call_seconds{quantile=\"" << quantile << "\"} "
          << acc::quantile(reported, acc::quantile_probability = quantile)
          << '\n';
    }
    out << "figlug_call_seconds_sum "
        << acc::mean(reported) * static_cast<double>(acc::count(reported))
        << '\n';
    out << "figlug_call_seconds_count " << acc::count(reported) << '\n';
  }
  for (const auto& [name, value] : gauges) {
    out << "# TYPE figlug_" << name << " gauge\nfiglug_" << name << ' ' << value
        << '\n';
  }
  return out.str();
}

}  // namespace figlug::runtime
