// Runs a cluster of two regions and four failure domains under load, takes one
// failure domain out of service and brings it back, then kills a process.
// Prints the requests, failures and latency of each phase.

#include <algorithm>
#include <csignal>
#include <cstdio>

#include "figlug/testing/cluster.h"
#include "figlug/testing/load.h"
#include "programs.h"

namespace {

using namespace figlug;
using testing::Cluster;
using testing::Load;

constexpr std::size_t kNodes = 8;
constexpr double kMicrosPerMilli = 1000;

struct Phase {
  const char* m_name;
  core::Time m_start;
};

void PrintPhase(const Phase& phase,
                core::Time end,
                const std::vector<testing::LoadResult>& all_results) {
  std::vector<testing::LoadResult> results;
  std::ranges::copy_if(
      all_results, std::back_inserter(results), [&](const auto& r) {
        return r.m_started >= phase.m_start && r.m_started < end;
      });
  const auto failed_count = std::ranges::count_if(
      results, [](const auto& r) { return r.m_outcome != "answered"; });
  const auto p99 = testing::LatencyQuantile(results, 0.99);
  const auto at_d2_count = std::ranges::count_if(results, [](const auto& r) {
    return r.m_target == "t1" || r.m_target == "t5";
  });
  std::printf("%-28s %8zu %8ld %8.1f %10ld\n", phase.m_name, results.size(),
              static_cast<long>(failed_count),
              static_cast<double>(p99.count()) / kMicrosPerMilli,
              static_cast<long>(at_d2_count));
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  Cluster cluster(testing::BuiltPrograms(), testing::SpreadNodes(kNodes));
  cluster.StartAll();
  if (!cluster.WaitReady()) {
    std::fprintf(stderr, "demo: the processes were not ready in time\n");
    return 1;
  }
  cluster.Publish("name = orders\nrepeatable = true\ncold_limit = 4\n");
  Load load(cluster.loop(), {.m_service = "orders",
                             .m_ingresses = {cluster.HttpEndpointOf(0),
                                             cluster.HttpEndpointOf(2)},
                             .m_rate = 300});
  std::vector<Phase> phases;
  const auto begin_phase = [&](const char* name) {
    phases.push_back({name, runtime::ReadClocks().m_time});
  };
  begin_phase("all is well");
  load.Start();
  cluster.RunFor(std::chrono::seconds(3));
  begin_phase("domain d2 taken out");
  cluster.RunFiglugctl({"domain", "out", "d2"});
  cluster.RunFor(std::chrono::seconds(3));
  begin_phase("domain d2 brought back");
  cluster.RunFiglugctl({"domain", "in", "d2"});
  cluster.RunFor(std::chrono::seconds(3));
  begin_phase("a process killed");
  cluster.KillNode(7);
  cluster.RunFor(std::chrono::seconds(3));
  load.Stop();
  const bool is_drained = cluster.WaitUntil([&] { return load.open() == 0; });
  std::printf("%-28s %8s %8s %8s %10s\n", "phase", "requests", "failed",
              "p99 ms", "at d2");
  for (std::size_t i = 0; i < phases.size(); ++i) {
    const core::Time end =
        i + 1 < phases.size() ? phases[i + 1].m_start : core::Time::max();
    PrintPhase(phases[i], end, load.results());
  }
  return is_drained ? 0 : 1;
}
