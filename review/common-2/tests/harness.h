#ifndef FIGLUG_REVIEW_COMMON_2_TESTS_HARNESS_H_
#define FIGLUG_REVIEW_COMMON_2_TESTS_HARNESS_H_

#include <sys/types.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "figlug/platform/testing/store_stand_in.h"
#include "figlug/platform/testing/target_stand_in.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/runtime/http_client.h"
#include "figlug/testing/process.h"

namespace figlug::review {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

/// \brief Whether the case plays its disruption.
inline bool IsTroubled() {
  const char* variable = std::getenv("TROUBLE");
  return variable == nullptr || std::string(variable) != "0";
}

inline std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot read " + path);
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// \brief Value of the first line `key = "value"` of a deploy file.
inline std::string DeployValue(const std::string& text,
                               const std::string& key) {
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    const std::string prefix = key + " = \"";
    if (line.starts_with(prefix)) {
      return line.substr(prefix.size(), line.rfind('"') - prefix.size());
    }
  }
  throw std::runtime_error("the deploy file names no " + key);
}

/// \brief Fills in placeholders of the form {{name}}; unknown ones are empty.
inline std::string Render(const std::string& text,
                          const std::map<std::string, std::string>& values) {
  std::string out;
  std::size_t at = 0;
  for (;;) {
    const std::size_t begin = text.find("{{", at);
    if (begin == std::string::npos) {
      return out + text.substr(at);
    }
    const std::size_t end = text.find("}}", begin);
    out += text.substr(at, begin - at);
    const auto it = values.find(text.substr(begin + 2, end - begin - 2));
    out += it == values.end() ? "" : it->second;
    at = end + 2;
  }
}

/// \brief Lines of record.txt: milliseconds since the start, then the text.
class Record {
 public:
  explicit Record(const std::string& path)
      : m_file(path), m_start(runtime::ReadClocks().m_time) {}

  [[nodiscard]] long long NowMs() const {
    return std::chrono::duration_cast<milliseconds>(
               runtime::ReadClocks().m_time - m_start)
        .count();
  }
  void Write(const std::string& text) {
    m_file << NowMs() << " " << text << "\n" << std::flush;
  }
  /// \brief Writes to the record and to standard output.
  void Say(const std::string& text) {
    Write(text);
    std::printf("%lld %s\n", NowMs(), text.c_str());
    std::fflush(stdout);
  }

 private:
  std::ofstream m_file;
  core::Time m_start;
};

/// \brief One machine: its process of the project and its endpoint.
struct Machine {
  std::string m_name;
  std::string m_host;
  std::string m_zone;
  std::string m_region;
  std::string m_service;
  std::unique_ptr<testing::Process> m_process;
  std::unique_ptr<platform::testing::TargetStandIn> m_target;
  std::unique_ptr<runtime::HttpClient> m_client;
  int m_lives = 0;

  [[nodiscard]] core::Endpoint At(std::uint16_t port) const {
    return {m_host, port};
  }
};

/// \brief Machines, store, endpoints and clients of a small deployment, on
/// loopback addresses and the real clock.
class Deployment {
 public:
  static constexpr std::uint16_t kApp = 8301;
  static constexpr std::uint16_t kReady = 8302;
  static constexpr std::uint16_t kOutbound = 8304;
  static constexpr std::uint16_t kControl = 8306;
  static constexpr std::uint16_t kStore = 8309;
  static constexpr std::uint16_t kPeer = 7620;

  /// \param folder Temporary folder for settings and logs.
  /// \param keep Retention time of the store's records, in seconds.
  Deployment(std::string folder, Record& record, int keep)
      : m_folder(std::move(folder)),
        m_record(record),
        m_keep(keep),
        m_deploy(ReadFile("deploy/system.toml")),
        m_template(ReadFile(DeployValue(m_deploy, "template"))),
        m_store(m_loop, std::vector<core::Endpoint>{{HostOf(250), kStore}}) {}

  [[nodiscard]] runtime::EventLoop& loop() { return m_loop; }
  [[nodiscard]] platform::testing::StoreStandIn& store() { return m_store; }
  [[nodiscard]] std::vector<Machine>& machines() { return m_machines; }

  void AddMachine(const std::string& zone,
                  const std::string& region,
                  const std::string& service) {
    const std::size_t number = m_machines.size() + 1;
    m_machines.push_back({"sidecar-" + zone + "-" + std::to_string(number),
                          HostOf(number), zone, region, service, nullptr,
                          nullptr, nullptr});
  }
  void StartProcess(Machine& machine) {
    const std::string file = m_folder + "/" + machine.m_name + ".ini";
    const auto address = [&](std::uint16_t port) {
      return machine.m_host + ":" + std::to_string(port);
    };
    std::ofstream(file) << Render(
        m_template,
        {{"node_name", machine.m_name},
         {"region", machine.m_region},
         {"zone", machine.m_zone},
         {"ip", machine.m_host},
         {"service", machine.m_service},
         {"app_addr", address(kApp)},
         {"listen.outbound", address(kOutbound)},
         {"listen.control", address(kControl)},
         {"listen.ready_addr", address(kReady)},
         {"port_range.0", std::to_string(kPeer)},
         {"platform.address", HostOf(250) + ":" + std::to_string(kStore)},
         {"platform.keep", std::to_string(m_keep) + "s"},
         {"platform.record_bytes", "262144"},
         {"platform.call_bytes", "2097152"},
         {"heartbeat", "1500ms"},
         {"grants", "heartbeat"},
         {"limits.memory_mb", "260"},
         {"bounds.grace", "6s"},
         {"bounds.drain", "2000ms"},
         {"bounds.max_hold", "10000ms"}});
    setenv("FIGLUG_SETTINGS", file.c_str(), 1);
    std::vector<std::string> command;
    std::istringstream words(DeployValue(m_deploy, "run"));
    for (std::string word; words >> word;) {
      command.push_back(word);
    }
    machine.m_process = std::make_unique<testing::Process>(
        command, m_folder + "/" + machine.m_name + ".log");
  }
  void StartTarget(Machine& machine, bool is_keyed) {
    platform::testing::TargetOptions options;
    options.m_id =
        "i-" + machine.m_name + "-" + std::to_string(++machine.m_lives);
    options.m_service = machine.m_service;
    options.m_address = machine.At(kApp);
    options.m_control = machine.At(kControl);
    options.m_is_keyed = is_keyed;
    options.m_heartbeat = milliseconds(1500);
    machine.m_target.reset();
    machine.m_target =
        std::make_unique<platform::testing::TargetStandIn>(m_loop, options);
  }

  void RunFor(core::Duration duration) {
    const core::Time end = runtime::ReadClocks().m_time + duration;
    for (core::Time now = end - duration; now < end;
         now = runtime::ReadClocks().m_time) {
      runtime::Timer timer(m_loop, [this] { m_loop.Stop(); });
      timer.Set(std::min<core::Duration>(end - now, milliseconds(10)));
      m_loop.Run();
      for (const auto& step : m_steps) {
        step();
      }
    }
  }
  [[nodiscard]] bool WaitUntil(const std::function<bool()>& condition,
                               core::Duration timeout) {
    const core::Time end = runtime::ReadClocks().m_time + timeout;
    while (!condition() && runtime::ReadClocks().m_time < end) {
      RunFor(milliseconds(20));
    }
    return condition();
  }
  /// \brief Adds a function that is called every few milliseconds.
  void AddStep(std::function<void()> step) {
    m_steps.push_back(std::move(step));
  }

  /// \brief Sends a client's request to a machine's own process.
  void Send(Machine& machine,
            wire::HttpRequest request,
            core::Duration timeout,
            std::function<void(const runtime::HttpClient::Result&)> done) {
    if (!machine.m_client) {
      machine.m_client = std::make_unique<runtime::HttpClient>(
          m_loop, machine.At(kOutbound), 64, std::size_t{1} << 20);
    }
    machine.m_client->Send(
        request, timeout,
        [done = std::move(done)](runtime::HttpClient::Result&& result) {
          done(result);
        });
  }

  /// \brief Each run has a network of its own.
  [[nodiscard]] static std::string HostOf(std::size_t number) {
    const auto network = static_cast<std::size_t>(getpid());
    return "127." + std::to_string(16 + network / 250 % 200) + "." +
           std::to_string(1 + network % 250) + "." + std::to_string(number);
  }

 private:
  std::string m_folder;
  Record& m_record;
  int m_keep;
  std::string m_deploy;
  std::string m_template;
  runtime::EventLoop m_loop;
  platform::testing::StoreStandIn m_store;
  std::vector<Machine> m_machines;
  std::vector<std::function<void()>> m_steps;
};

struct RouteSpec {
  std::string m_name;
  std::string m_prefix;
  std::string m_kind;
  std::string m_service;
  std::string m_timeout;
};

/// \brief A configuration as PROTOCOL.md describes it.
inline std::string MakeConfiguration(
    int version,
    const std::vector<RouteSpec>& routes,
    const std::vector<std::pair<std::string, bool>>& services) {
  nlohmann::json resources = nlohmann::json::array();
  for (const RouteSpec& route : routes) {
    resources.push_back({{"entry_kind", "routes"},
                         {"metadata", {{"name", route.m_name}}},
                         {"spec",
                          {{"host", "shop.example"},
                           {"path_prefix", route.m_prefix},
                           {"kind", route.m_kind},
                           {"timeout", route.m_timeout},
                           {"target_latency", "800ms"},
                           {"priority", 1},
                           {"service", route.m_service},
                           {"max_attempts", 2},
                           {"allowed_regions", nlohmann::json::array()}}}});
  }
  for (const auto& [name, is_keyed] : services) {
    resources.push_back(
        {{"entry_kind", "services"},
         {"metadata", {{"name", name}}},
         {"spec", {{"max_conns", 110}, {"sharded", is_keyed}}}});
  }
  resources.push_back({{"entry_kind", "limits"},
                       {"metadata", {{"name", "limits"}}},
                       {"spec",
                        {{"max_header_bytes", 16384},
                         {"max_body_bytes", 1048576},
                         {"header_timeout", "10s"},
                         {"idle_timeout", "60s"}}}});
  return nlohmann::json{{"version", "r" + std::to_string(version)},
                        {"resources", resources}}
      .dump();
}

}  // namespace figlug::review

#endif  // FIGLUG_REVIEW_COMMON_2_TESTS_HARNESS_H_
