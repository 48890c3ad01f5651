// Runs a scenario with real processes and prints its measurements as a CSV
// table.

#include <tclap/CmdLine.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>

#include "figlug/testing/cluster.h"
#include "figlug/testing/load.h"
#include "programs.h"

namespace {

using namespace figlug;
using core::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Cluster;
using testing::Load;
using testing::LoadOptions;
using testing::LoadResult;
using testing::NodeOptions;

constexpr double kMicrosPerMilli = 1000;

double Millis(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosPerMilli;
}

std::vector<LoadResult> StartedBetween(const std::vector<LoadResult>& all,
                                       core::Time from,
                                       core::Time to) {
  std::vector<LoadResult> selected;
  std::ranges::copy_if(
      all, std::back_inserter(selected), [&](const LoadResult& result) {
        return result.m_started >= from && result.m_started < to;
      });
  return selected;
}

std::size_t CountFailed(const std::vector<LoadResult>& results) {
  return static_cast<std::size_t>(std::ranges::count_if(
      results,
      [](const LoadResult& result) { return result.m_outcome != "answered"; }));
}

void StopAndDrain(Cluster& cluster, Load& load) {
  load.Stop();
  const bool is_drained = cluster.WaitUntil([&] { return load.open() == 0; });
  if (!is_drained) {
    std::printf("# some requests did not finish in time\n");
  }
}

void WarnUnlessReady(bool is_ready) {
  if (!is_ready) {
    std::printf("# the cluster was not ready in time\n");
  }
}

std::vector<NodeOptions> WithoutOutputFiles(std::vector<NodeOptions> nodes) {
  for (NodeOptions& node : nodes) {
    node.m_records_to_files = false;
  }
  return nodes;
}

/// Adds the one-way network delays of the deployments: 0.5 ms between failure
/// domains of a region, 8 ms between regions.
void AddDelays(Cluster& cluster, const std::vector<NodeOptions>& nodes) {
  for (std::size_t a = 0; a < nodes.size(); ++a) {
    for (std::size_t b = 0; b < nodes.size(); ++b) {
      if (a == b || nodes[a].m_domain == nodes[b].m_domain) {
        continue;
      }
      const bool is_near = nodes[a].m_region == nodes[b].m_region;
      cluster.SetLinkFaults(cluster.HostOf(a), "node-" + std::to_string(b),
                            is_near ? "delay_us=500" : "delay_us=8000");
    }
  }
}

struct StragglerVariant {
  const char* m_name;
  const char* m_balancer;
  const char* m_hedge_percent;
};

// Measures the latency of a service without keys when one of its four targets
// becomes slow while its health check still passes.
void MeasureStraggler(const StragglerVariant& variant, std::uint64_t seed) {
  std::vector<NodeOptions> nodes;
  for (std::size_t i = 0; i < 4; ++i) {
    nodes.push_back(
        {.m_region = "r1",
         .m_domain = i < 2 ? "d1" : "d2",
         .m_service = "menu",
         .m_profile = "menu",
         .m_target_arguments = {"--slots", "6", "--service-us", "4000"},
         .m_settings =
             std::string("[policy]\nbalancer = ") + variant.m_balancer + "\n"});
  }
  Cluster cluster(testing::BuiltPrograms(), nodes);
  cluster.StartAll();
  WarnUnlessReady(cluster.WaitReady());
  cluster.Publish(std::string("name = menu\nkeyed = false\nrepeatable = "
                              "true\ncold_limit = 4\nhedge_percent = ") +
                  variant.m_hedge_percent + "\n");
  AddDelays(cluster, nodes);
  Load load(cluster.loop(), {.m_service = "menu",
                             .m_ingresses = {cluster.HttpEndpointOf(0),
                                             cluster.HttpEndpointOf(2)},
                             .m_rate = 400,
                             .m_seed = seed});
  load.Start();
  cluster.RunFor(seconds(2));
  const core::Time calm_start = runtime::ReadClocks().m_time;
  cluster.RunFor(seconds(5));
  const core::Time slow_start = runtime::ReadClocks().m_time;
  cluster.ConfigureTarget(3, "service_us=60000");
  cluster.RunFor(seconds(5));
  const core::Time end = runtime::ReadClocks().m_time;
  StopAndDrain(cluster, load);
  const auto calm_results =
      StartedBetween(load.results(), calm_start, slow_start);
  const auto slow_results = StartedBetween(load.results(), slow_start, end);
  const double calm_p99 = Millis(LatencyQuantile(calm_results, 0.99));
  const double slow_p99 = Millis(LatencyQuantile(slow_results, 0.99));
  std::printf("%s,%lu,%.1f,%.1f,%.1f,%.1f,%.1f,%.2f,%zu\n", variant.m_name,
              static_cast<unsigned long>(seed),
              Millis(LatencyQuantile(calm_results, 0.5)), calm_p99,
              Millis(LatencyQuantile(slow_results, 0.5)), slow_p99,
              Millis(LatencyQuantile(slow_results, 0.999)), slow_p99 / calm_p99,
              CountFailed(load.results()));
}

void RunStragglerScenario(std::uint64_t seeds) {
  constexpr StragglerVariant variants[] = {
      {"two-choices+hedge", "two-choices", "5"},
      {"two-choices", "two-choices", "0"},
      {"least-outstanding", "least-outstanding", "0"},
      {"round-robin", "round-robin", "0"},
      {"random", "random", "0"},
  };
  std::printf(
      "variant,seed,calm_p50_ms,calm_p99_ms,slow_p50_ms,slow_p99_ms,"
      "slow_p999_ms,p99_ratio,failed\n");
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    for (const StragglerVariant& variant : variants) {
      MeasureStraggler(variant, seed);
    }
  }
}

/// Returns the longest time that a key was not answered: between two successive
/// answers for it, or between `from` and the first answer after it. The callers
/// send requests during this time.
Duration LongestGap(const std::vector<LoadResult>& results, core::Time from) {
  std::map<std::uint32_t, std::vector<core::Time>> successes;
  std::map<std::uint32_t, core::Time> last_try;
  for (const LoadResult& result : results) {
    if (result.m_outcome == "answered") {
      successes[result.m_key].push_back(result.m_started + result.m_latency);
    }
  }
  Duration longest{};
  for (auto& [key, times] : successes) {
    std::ranges::sort(times);
    core::Time previous = from;
    for (core::Time time : times) {
      if (time > from) {
        longest = std::max(longest, time - previous);
        previous = time;
      }
    }
  }
  return longest;
}

// Measures how long a key is not served after a fault. The goal is at most one
// second.
void MeasureTakeover(const std::string& fault, std::uint64_t seed) {
  const auto nodes =
      WithoutOutputFiles(testing::SpreadNodes(8, "orders", {"--no-fence"}));
  Cluster cluster(testing::BuiltPrograms(), nodes);
  cluster.StartAll();
  WarnUnlessReady(cluster.WaitReady());
  cluster.Publish(
      "name = orders\nrepeatable = true\ncold_limit = 16\n"
      "retry_percent = 100\nmax_attempts = 5\n");
  AddDelays(cluster, nodes);
  Load load(cluster.loop(), {.m_service = "orders",
                             .m_ingresses = {cluster.HttpEndpointOf(0),
                                             cluster.HttpEndpointOf(1)},
                             .m_rate = 500,
                             .m_keys = 40,
                             .m_timeout = seconds(3),
                             .m_seed = seed});
  load.Start();
  cluster.RunFor(seconds(2));
  const core::Time fault_time = runtime::ReadClocks().m_time;
  if (fault == "kill") {
    cluster.KillNode(5);
  } else if (fault == "freeze") {
    cluster.NodeProcess(5).Signal(SIGSTOP);
  } else if (fault == "cut") {
    for (std::size_t other = 0; other < nodes.size(); ++other) {
      if (other != 5) {
        cluster.SetPartition(5, other, true);
      }
    }
  } else if (fault == "target") {
    cluster.KillTarget(5);
  } else if (fault == "stop") {
    cluster.NodeProcess(5).Signal(SIGTERM);
  }
  cluster.RunFor(seconds(3));
  StopAndDrain(cluster, load);
  std::printf("%s,%lu,%.0f,%zu,%zu\n", fault.c_str(),
              static_cast<unsigned long>(seed),
              Millis(LongestGap(load.results(), fault_time)),
              CountFailed(load.results()), load.results().size());
}

void RunTakeoverScenario(std::uint64_t seeds) {
  std::printf("fault,seed,longest_gap_ms,failed,requests\n");
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    for (const char* fault :
         {"none", "stop", "target", "kill", "freeze", "cut"}) {
      MeasureTakeover(fault, seed);
    }
  }
}

// Measures latency while a failure domain is taken out of service and brought
// back under load.
void MeasureDomain(std::uint64_t seed) {
  const auto nodes = testing::SpreadNodes(8);
  Cluster cluster(testing::BuiltPrograms(), nodes);
  cluster.StartAll();
  WarnUnlessReady(cluster.WaitReady());
  cluster.Publish("name = orders\nrepeatable = true\ncold_limit = 4\n");
  AddDelays(cluster, nodes);
  Load load(cluster.loop(), {.m_service = "orders",
                             .m_ingresses = {cluster.HttpEndpointOf(0),
                                             cluster.HttpEndpointOf(2)},
                             .m_rate = 400,
                             .m_seed = seed});
  load.Start();
  cluster.RunFor(seconds(1));
  const core::Time start = runtime::ReadClocks().m_time;
  cluster.RunFor(seconds(3));
  const core::Time out_time = runtime::ReadClocks().m_time;
  cluster.RunFiglugctl({"domain", "out", "d2"});
  cluster.RunFor(seconds(3));
  const core::Time back_time = runtime::ReadClocks().m_time;
  cluster.RunFiglugctl({"domain", "in", "d2"});
  cluster.RunFor(seconds(3));
  const core::Time end = runtime::ReadClocks().m_time;
  StopAndDrain(cluster, load);
  std::int64_t last_start = 0;
  for (const testing::ExecutionEvent& event : cluster.ExecutionEvents()) {
    const bool is_out_domain = event.m_target == "t1" || event.m_target == "t5";
    if (is_out_domain && event.m_event == "start" &&
        event.m_at_us < back_time.time_since_epoch().count()) {
      last_start = std::max(last_start, event.m_at_us);
    }
  }
  const auto p99 = [&](core::Time from, core::Time to) {
    return Millis(
        LatencyQuantile(StartedBetween(load.results(), from, to), 0.99));
  };
  std::printf(
      "%lu,%.1f,%.1f,%.1f,%.0f,%zu,%zu\n", static_cast<unsigned long>(seed),
      p99(start, out_time), p99(out_time, back_time), p99(back_time, end),
      static_cast<double>(last_start - out_time.time_since_epoch().count()) /
          kMicrosPerMilli,
      CountFailed(load.results()), load.results().size());
}

void RunDomainScenario(std::uint64_t seeds) {
  std::printf(
      "seed,before_p99_ms,out_p99_ms,back_p99_ms,last_work_after_out_ms,"
      "failed,requests\n");
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    MeasureDomain(seed);
  }
}

// Measures a cold start: for two seconds after its restart a target can handle
// only one request at a time.
void MeasureColdStart(const char* name,
                      const std::string& limits,
                      std::uint64_t seed) {
  const auto nodes = testing::SpreadNodes(
      4, "orders",
      {"--cold-ms", "2000", "--slots", "9", "--service-us", "4000"});
  Cluster cluster(testing::BuiltPrograms(), nodes);
  cluster.StartAll();
  WarnUnlessReady(cluster.WaitReady());
  cluster.Publish("name = orders\nrepeatable = true\n" + limits);
  cluster.RunFor(milliseconds(2500));
  Load load(cluster.loop(), {.m_service = "orders",
                             .m_ingresses = {cluster.HttpEndpointOf(0)},
                             .m_rate = 900,
                             .m_seed = seed});
  load.Start();
  cluster.RunFor(seconds(3));
  cluster.KillTarget(3);
  cluster.RunFor(seconds(1));
  cluster.StartTarget(3);
  cluster.RunFor(seconds(5));
  StopAndDrain(cluster, load);
  std::int64_t max_held = 0;
  for (const testing::ExecutionEvent& event : cluster.ExecutionEvents()) {
    if (event.m_target == "t3" && event.m_slots == 1) {
      max_held = std::max(max_held, event.m_outstanding);
    }
  }
  std::printf("%s,%lu,%ld,%.1f,%zu,%zu\n", name,
              static_cast<unsigned long>(seed), static_cast<long>(max_held),
              Millis(LatencyQuantile(load.results(), 0.99)),
              CountFailed(load.results()), load.results().size());
}

void RunColdStartScenario(std::uint64_t seeds) {
  std::printf("variant,seed,most_held_while_cold,p99_ms,failed,requests\n");
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    MeasureColdStart("limit+warm-up", "cold_limit = 2\nwarm_up_ms = 3000\n",
                     seed);
    MeasureColdStart("limit", "cold_limit = 2\nwarm_up_ms = 0\n", seed);
    MeasureColdStart("no limit", "cold_limit = 64\nwarm_up_ms = 0\n", seed);
  }
}

struct ProcessUsage {
  double m_cpu_seconds = 0;
  double m_resident_mib = 0;
};

ProcessUsage ReadProcessUsage(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(in, text);
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  for (int i = 0; i < 8; ++i) {
    fields >> skipped;
  }
  double pages = 0;
  fields >> pages;
  return {(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)),
          pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20)};
}

// Measures the latency and CPU time that each hop adds to a request, compared
// with sending the request to the target directly.
void RunHopsScenario() {
  std::printf("path,rate,p50_ms,p99_ms,cpu_us_a_request,resident_mib\n");
  Cluster cluster(testing::BuiltPrograms(),
                  WithoutOutputFiles(testing::SpreadNodes(
                      2, "orders", {"--slots", "64", "--service-us", "500"})));
  cluster.StartAll();
  WarnUnlessReady(cluster.WaitReady());
  cluster.Publish("name = orders\ncold_limit = 64\n");
  const auto owner = cluster.OwnerOf("key0", 0).value_or(0);
  const core::Endpoint target{cluster.HostOf(owner), 7300};
  for (double rate : {500.0, 2000.0, 4000.0}) {
    for (const auto& [name, ingress] :
         {std::pair("direct", target),
          std::pair("one hop", cluster.HttpEndpointOf(owner)),
          std::pair("two hops", cluster.HttpEndpointOf(1 - owner))}) {
      ProcessUsage before[2] = {ReadProcessUsage(cluster.NodeProcess(0).pid()),
                                ReadProcessUsage(cluster.NodeProcess(1).pid())};
      Load load(cluster.loop(), {.m_service = "orders",
                                 .m_ingresses = {ingress},
                                 .m_rate = rate,
                                 .m_keys = 1});
      load.Start();
      cluster.RunFor(seconds(4));
      StopAndDrain(cluster, load);
      double cpu = 0;
      double resident = 0;
      for (std::size_t i = 0; i < 2; ++i) {
        const ProcessUsage after =
            ReadProcessUsage(cluster.NodeProcess(i).pid());
        cpu += after.m_cpu_seconds - before[i].m_cpu_seconds;
        resident = std::max(resident, after.m_resident_mib);
      }
      std::printf("%s,%.0f,%.2f,%.2f,%.0f,%.1f\n", name, rate,
                  Millis(LatencyQuantile(load.results(), 0.5)),
                  Millis(LatencyQuantile(load.results(), 0.99)),
                  cpu * 1e6 / static_cast<double>(load.results().size()),
                  resident);
    }
  }
}

// Measures the CPU time, memory and heartbeat traffic of a process that serves
// no requests, by the number of members.
void MeasureControl(std::size_t members) {
  Cluster cluster(testing::BuiltPrograms(),
                  WithoutOutputFiles(testing::SpreadNodes(members)));
  cluster.StartAll();
  WarnUnlessReady(cluster.WaitReady(seconds(120)));
  cluster.RunFor(seconds(3));
  const auto heartbeat_bytes = [&] {
    const auto answer = cluster.Fetch(0, {"GET", "/figlug/metrics", {}, ""});
    const std::string name = "\nfiglug_heartbeat_bytes ";
    const std::size_t at = answer ? answer->m_body.rfind(name) : 0;
    return answer ? std::stod(answer->m_body.substr(at + name.size())) : 0;
  };
  const ProcessUsage before = ReadProcessUsage(cluster.NodeProcess(0).pid());
  const double bytes = heartbeat_bytes();
  constexpr double span_seconds = 10;
  cluster.RunFor(seconds(10));
  const ProcessUsage after = ReadProcessUsage(cluster.NodeProcess(0).pid());
  std::printf("%zu,%.2f,%.1f,%.0f\n", members,
              100 * (after.m_cpu_seconds - before.m_cpu_seconds) / span_seconds,
              after.m_resident_mib, (heartbeat_bytes() - bytes) / span_seconds);
}

void RunControlScenario() {
  std::printf("members,core_percent,resident_mib,heartbeat_bytes_a_second\n");
  for (std::size_t members : {4, 12, 24, 48, 80}) {
    MeasureControl(members);
  }
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command(
      "Runs a scenario: straggler, takeover, domain, cold, hops or control",
      ' ', "0.1");
  TCLAP::ValueArg<std::uint64_t> seeds("n", "seeds", "Number of seeds to run",
                                       false, 3, "N", command);
  TCLAP::UnlabeledValueArg<std::string> name("scenario", "Scenario", true, "",
                                             "NAME", command);
  command.parse(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  const std::string& scenario = name.getValue();
  if (scenario == "straggler") {
    RunStragglerScenario(seeds.getValue());
  } else if (scenario == "takeover") {
    RunTakeoverScenario(seeds.getValue());
  } else if (scenario == "domain") {
    RunDomainScenario(seeds.getValue());
  } else if (scenario == "cold") {
    RunColdStartScenario(seeds.getValue());
  } else if (scenario == "hops") {
    RunHopsScenario();
  } else if (scenario == "control") {
    RunControlScenario();
  } else {
    std::fprintf(stderr, "scenario_bench: unknown scenario %s\n",
                 scenario.c_str());
    return 2;
  }
  return 0;
}
