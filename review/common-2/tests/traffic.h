#ifndef FIGLUG_REVIEW_COMMON_2_TESTS_TRAFFIC_H_
#define FIGLUG_REVIEW_COMMON_2_TESTS_TRAFFIC_H_

#include <cstdint>
#include <string>

#include "review/common-2/tests/harness.h"

namespace figlug::review {

/// \brief Requests of one phase.
struct Count {
  int m_sent = 0;
  int m_served = 0;

  [[nodiscard]] bool IsQuarterServed() const { return m_served * 4 >= m_sent; }
};

inline std::string ToText(const Count& count) {
  return std::to_string(count.m_served) + " of " +
         std::to_string(count.m_sent) + " served";
}

/// \brief Sends requests in turn to the machines, every 50 ms: to a keyed
/// service by GET, and to another by POST if the deployment has one.
class Traffic {
 public:
  Traffic(Deployment& deployment,
          Record& record,
          std::string keyed_path,
          std::string other_path)
      : m_deployment(deployment),
        m_record(record),
        m_keyed_path(std::move(keyed_path)),
        m_other_path(std::move(other_path)) {}

  /// \brief To be called every few milliseconds.
  void Step() {
    const core::Time now = runtime::ReadClocks().m_time;
    if (m_count == nullptr || now < m_next) {
      return;
    }
    m_next = now + kInterval;
    auto& machines = m_deployment.machines();
    Machine& machine = machines[m_last_id % machines.size()];
    const std::string id = "q" + std::to_string(++m_last_id);
    const bool is_keyed = m_other_path.empty() || m_last_id % 2 == 0;
    wire::HttpRequest request{is_keyed ? "GET" : "POST",
                              is_keyed ? m_keyed_path : m_other_path,
                              {{"Host", "shop.example"},
                               {"X-Request-Id", id},
                               {"X-Deadline-Ms", "4000"}},
                              is_keyed ? "" : "order"};
    if (is_keyed) {
      request.m_headers.push_back(
          {"X-Shard-Key", std::to_string(m_last_id * 7919 % 65536)});
    }
    Count* count = m_count;
    ++count->m_sent;
    m_record.Write("sent " + id + " to " + machine.m_name);
    m_deployment.Send(
        machine, std::move(request), seconds(5),
        [this, id, count](const runtime::HttpClient::Result& result) {
          const bool is_served =
              result && result->m_status == 200 &&
              wire::FindHeader(result->m_headers, "X-Server-Seal") != nullptr;
          count->m_served += is_served ? 1 : 0;
          m_record.Write(
              "answered " + id + " " +
              (result ? std::to_string(result->m_status) + " " + result->m_body
                      : std::string("nothing")));
        });
  }
  /// \brief Sends requests from now on, counted in `count`, which outlives
  /// their answers.
  void Start(Count& count) { m_count = &count; }
  void Stop() { m_count = nullptr; }

 private:
  static constexpr core::Duration kInterval = milliseconds(50);

  Deployment& m_deployment;
  Record& m_record;
  std::string m_keyed_path;
  std::string m_other_path;
  Count* m_count = nullptr;
  core::Time m_next{};
  std::uint32_t m_last_id = 0;
};

}  // namespace figlug::review

#endif  // FIGLUG_REVIEW_COMMON_2_TESTS_TRAFFIC_H_
