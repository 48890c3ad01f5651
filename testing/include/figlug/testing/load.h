#ifndef FIGLUG_TESTING_LOAD_H_
#define FIGLUG_TESTING_LOAD_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "figlug/core/endpoint.h"
#include "figlug/core/time.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/runtime/http_client.h"

namespace figlug::testing {

/// \brief Options of a load generator.
struct LoadOptions {
  std::string m_service;
  /// Ingresses, used round-robin.
  std::vector<core::Endpoint> m_ingresses;
  /// Requests per second in total, independent of responses (open loop).
  double m_rate = 100;
  std::uint32_t m_keys = 100;
  /// Zipf exponent of the key popularity; 0 uses all keys equally.
  double m_skew = 0;
  core::Duration m_timeout = std::chrono::seconds(5);
  std::string m_method = "GET";
  std::uint64_t m_seed = 1;
};

/// \brief Result of one completed request.
struct LoadResult {
  std::string m_tag;
  std::uint32_t m_key = 0;
  core::Time m_started{};
  core::Duration m_latency{};
  /// 0 if no response arrived.
  std::uint16_t m_status = 0;
  /// "answered", "not-run", "unknown", or "" if no response arrived.
  std::string m_outcome;
  std::string m_target;
  std::string m_body;
};

/// \brief Sends requests at a constant rate and collects their results.
///
/// Latency is measured from the time at which a request was due, so that
/// stalls count in full (no coordinated omission).
class Load {
 public:
  Load(runtime::EventLoop& loop, LoadOptions options);

  void Start();
  /// \brief Stops sending; open requests may still complete.
  void Stop();
  /// \brief Number of requests without a result yet.
  [[nodiscard]] std::size_t open() const noexcept { return m_open; }
  [[nodiscard]] const std::vector<LoadResult>& results() const noexcept {
    return m_results;
  }

 private:
  void OnTimer();
  void Send(core::Time due);
  [[nodiscard]] std::uint32_t PickKey();

  LoadOptions m_options;
  std::mt19937_64 m_random;
  std::vector<double> m_cumulative_weights;
  std::vector<std::unique_ptr<runtime::HttpClient>> m_clients;
  std::uint64_t m_sent = 0;
  std::size_t m_open = 0;
  bool m_is_running = false;
  core::Time m_started{};
  std::vector<LoadResult> m_results;
  runtime::Timer m_timer;
};

/// \brief Latency quantile \p q (0 to 1) of the answered requests.
[[nodiscard]] core::Duration LatencyQuantile(
    const std::vector<LoadResult>& results,
    double q);

}  // namespace figlug::testing

#endif  // FIGLUG_TESTING_LOAD_H_
