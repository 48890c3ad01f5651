#include "figlug/testing/load.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "figlug/runtime/headers.h"

namespace figlug::testing {
namespace {

constexpr std::size_t kMaxConnections = 512;
constexpr std::size_t kMaxBodyBytes = 32U << 20;
constexpr double kMicrosPerSecond = 1e6;
constexpr core::Duration kMinTimerInterval = std::chrono::microseconds(500);
constexpr core::Duration kTimeoutMargin = std::chrono::milliseconds(500);

std::string ValueOf(const wire::Headers& headers, std::string_view name) {
  const std::string* value = wire::FindHeader(headers, name);
  return value == nullptr ? "" : *value;
}

}  // namespace

Load::Load(runtime::EventLoop& loop, LoadOptions options)
    : m_options(std::move(options)),
      m_random(m_options.m_seed),
      m_timer(loop, [this] { OnTimer(); }) {
  for (const core::Endpoint& ingress : m_options.m_ingresses) {
    m_clients.push_back(std::make_unique<runtime::HttpClient>(
        loop, ingress, kMaxConnections, kMaxBodyBytes));
  }
  double total = 0;
  for (std::uint32_t key = 1; key <= m_options.m_keys; ++key) {
    total += std::pow(key, -m_options.m_skew);
    m_cumulative_weights.push_back(total);
  }
}

void Load::Start() {
  m_is_running = true;
  m_started = runtime::ReadClocks().m_time;
  OnTimer();
}

void Load::Stop() {
  m_is_running = false;
  m_timer.Cancel();
}

void Load::OnTimer() {
  if (!m_is_running) {
    return;
  }
  const core::Time now = runtime::ReadClocks().m_time;
  const auto due_at = [&](std::uint64_t n) {
    return m_started +
           core::Duration(static_cast<core::Duration::rep>(
               static_cast<double>(n) * kMicrosPerSecond / m_options.m_rate));
  };
  while (due_at(m_sent) <= now) {
    const core::Time due = due_at(m_sent);
    ++m_sent;
    Send(due);
  }
  m_timer.Set(std::max(due_at(m_sent) - now, kMinTimerInterval));
}

// Without skew the keys are used round-robin, so that a gap in one key's
// requests indicates a fault and is not due to chance.
std::uint32_t Load::PickKey() {
  if (m_options.m_skew == 0) {
    return static_cast<std::uint32_t>(m_sent % m_options.m_keys);
  }
  const double point = static_cast<double>(m_random() >> 11) * 0x1p-53 *
                       m_cumulative_weights.back();
  const auto it = std::ranges::lower_bound(m_cumulative_weights, point);
  return static_cast<std::uint32_t>(it - m_cumulative_weights.begin());
}

void Load::Send(core::Time due) {
  LoadResult result;
  result.m_tag = std::to_string(m_sent);
  result.m_key = PickKey();
  result.m_started = due;
  wire::HttpRequest request;
  request.m_method = m_options.m_method;
  request.m_path = "/load";
  const auto timeout_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(m_options.m_timeout)
          .count();
  request.m_headers = {
      {std::string(runtime::kServiceHeader), m_options.m_service},
      {std::string(runtime::kKeyHeader), "key" + std::to_string(result.m_key)},
      {std::string(runtime::kDeadlineHeader), std::to_string(timeout_ms)},
      {"X-Tag", result.m_tag},
  };
  ++m_open;
  m_clients[m_sent % m_clients.size()]->Send(
      request, m_options.m_timeout + kTimeoutMargin,
      [this, result](runtime::HttpClient::Result&& response) mutable {
        --m_open;
        result.m_latency = runtime::ReadClocks().m_time - result.m_started;
        if (response) {
          result.m_status = response->m_status;
          result.m_target = ValueOf(response->m_headers, "X-Target");
          const std::string outcome =
              ValueOf(response->m_headers, runtime::kOutcomeHeader);
          result.m_outcome = outcome.empty() ? "answered" : outcome;
          result.m_body = std::move(response->m_body);
        }
        m_results.push_back(std::move(result));
      });
}

core::Duration LatencyQuantile(const std::vector<LoadResult>& results,
                               double q) {
  std::vector<core::Duration> latencies;
  for (const LoadResult& result : results) {
    if (result.m_outcome == "answered") {
      latencies.push_back(result.m_latency);
    }
  }
  if (latencies.empty()) {
    return {};
  }
  std::ranges::sort(latencies);
  const auto last = static_cast<double>(latencies.size() - 1);
  return latencies[static_cast<std::size_t>(q * last)];
}

}  // namespace figlug::testing
