#include "figlug/testing/cluster.h"

#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <stdexcept>

#include "figlug/runtime/headers.h"

namespace figlug::testing {
namespace {

constexpr std::uint16_t kHttpPort = 7100;
constexpr std::uint16_t kPeerPort = 7200;
constexpr std::uint16_t kTargetPort = 7300;
constexpr std::uint16_t kPeerLinkPort = 7400;
constexpr std::uint16_t kLogLinkPort = 7500;
constexpr std::uint16_t kLogPort = 7000;
constexpr std::uint16_t kControlPort = 7600;
constexpr std::size_t kMaxBodyBytes = 64U << 20;
constexpr core::Duration kPollInterval = std::chrono::milliseconds(10);
constexpr core::Duration kControlTimeout = std::chrono::seconds(2);

std::string ToText(const core::Endpoint& endpoint) {
  return endpoint.m_host + ":" + std::to_string(endpoint.m_port);
}

// Returns a loopback address prefix. Each cluster of each test process uses a
// different one, so that tests can run side by side.
std::string NextNetworkPrefix() {
  static int count = 0;
  const int network = getpid() * 8 + count++ % 8;
  return "127." + std::to_string(16 + network / 250 % 200) + "." +
         std::to_string(1 + network % 250) + ".";
}

}  // namespace

Cluster::Cluster(Programs programs, std::vector<NodeOptions> nodes)
    : m_programs(std::move(programs)), m_network(NextNetworkPrefix()) {
  std::string folder =
      (std::filesystem::temp_directory_path() / "figlug-XXXXXX").string();
  m_folder = mkdtemp(folder.data());
  for (NodeOptions& options : nodes) {
    m_nodes.push_back({std::move(options), nullptr, nullptr});
  }
}

Cluster::~Cluster() {
  m_nodes.clear();
  m_proxy.reset();
  m_log.reset();
  if (std::getenv("FIGLUG_KEEP") != nullptr) {
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(m_folder, ignored);
}

std::string Cluster::HostOf(std::size_t node) const {
  return m_network + std::to_string(node + 2);
}

core::Endpoint Cluster::EndpointOf(std::size_t node, std::uint16_t port) const {
  return {HostOf(node), port};
}

core::Endpoint Cluster::HttpEndpointOf(std::size_t node) const {
  return EndpointOf(node, kHttpPort);
}

core::Endpoint Cluster::log_endpoint() const {
  return {m_network + "1", kLogPort};
}

std::string Cluster::OutputFileOf(const std::string& name) const {
  return m_folder + "/" + name + ".out";
}

void Cluster::StartAll() {
  m_log = std::make_unique<Process>(
      std::vector<std::string>{m_programs.m_log_stand_in, "--listen",
                               ToText(log_endpoint())},
      OutputFileOf("log"));
  std::vector<std::string> arguments = {
      m_programs.m_fault_proxy, "--control",
      ToText({m_network + "1", kControlPort})};
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    const std::string number = std::to_string(i);
    arguments.push_back("--link");
    arguments.push_back("node-" + number + "," +
                        ToText(EndpointOf(i, kPeerLinkPort)) + "," +
                        ToText(EndpointOf(i, kPeerPort)));
    arguments.push_back("--link");
    arguments.push_back("log-" + number + "," +
                        ToText(EndpointOf(i, kLogLinkPort)) + "," +
                        ToText(log_endpoint()));
  }
  m_proxy = std::make_unique<Process>(arguments, OutputFileOf("proxy"));
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    StartTarget(i);
    StartNode(i);
  }
}

void Cluster::StartTarget(std::size_t node) {
  const NodeOptions& options = m_nodes[node].m_options;
  const std::string name = "t" + std::to_string(node);
  std::vector<std::string> arguments = {m_programs.m_target_stand_in,
                                        "--listen",
                                        ToText(EndpointOf(node, kTargetPort)),
                                        "--name",
                                        name,
                                        "--region",
                                        options.m_region};
  if (options.m_records_to_files) {
    arguments.insert(arguments.end(),
                     {"--records", m_folder + "/" + name + ".jsonl"});
  }
  arguments.insert(arguments.end(), options.m_target_arguments.begin(),
                   options.m_target_arguments.end());
  m_nodes[node].m_target.reset();
  m_nodes[node].m_target =
      std::make_unique<Process>(arguments, OutputFileOf(name));
}

void Cluster::WriteSettings(std::size_t node) const {
  const NodeOptions& options = m_nodes[node].m_options;
  std::ofstream out(m_folder + "/n" + std::to_string(node) + ".ini");
  out << "[node]\nregion = " << options.m_region
      << "\ndomain = " << options.m_domain
      << "\nhttp = " << ToText(EndpointOf(node, kHttpPort))
      << "\npeer = " << ToText(EndpointOf(node, kPeerPort))
      << "\nannounce_peer = " << ToText(EndpointOf(node, kPeerLinkPort))
      << "\n[target]\nname = t" << node << "\nservice = " << options.m_service
      << "\nprofile = " << options.m_profile
      << "\naddress = " << ToText(EndpointOf(node, kTargetPort))
      << "\n[log]\naddress = " << ToText(EndpointOf(node, kLogLinkPort)) << "\n"
      << options.m_settings;
  if (options.m_records_to_files) {
    out << "[output]\ntrace_file = " << m_folder << "/spans" << node
        << ".jsonl\n";
  }
}

void Cluster::StartNode(std::size_t node) {
  WriteSettings(node);
  const std::string name = "n" + std::to_string(node);
  m_nodes[node].m_daemon.reset();
  m_nodes[node].m_daemon = std::make_unique<Process>(
      std::vector<std::string>{m_programs.m_figlugd, "--settings",
                               m_folder + "/" + name + ".ini"},
      OutputFileOf(name));
}

void Cluster::KillNode(std::size_t node) {
  m_nodes[node].m_daemon->Kill();
}

void Cluster::KillTarget(std::size_t node) {
  m_nodes[node].m_target->Kill();
}

Process& Cluster::NodeProcess(std::size_t node) {
  return *m_nodes[node].m_daemon;
}

std::optional<wire::HttpResponse> Cluster::SendAndWait(
    const core::Endpoint& endpoint,
    const wire::HttpRequest& request,
    core::Duration timeout) {
  runtime::HttpClient client(m_loop, endpoint, 1, kMaxBodyBytes);
  std::optional<wire::HttpResponse> response;
  client.Send(request, timeout, [&](runtime::HttpClient::Result&& result) {
    if (result) {
      response = std::move(*result);
    }
    m_loop.Stop();
  });
  m_loop.Run();
  return response;
}

std::optional<wire::HttpResponse> Cluster::Fetch(
    std::size_t node,
    const wire::HttpRequest& request,
    core::Duration timeout) {
  return SendAndWait(HttpEndpointOf(node), request, timeout);
}

std::optional<wire::HttpResponse> Cluster::Get(std::size_t node,
                                               const std::string& key,
                                               const std::string& service) {
  return Fetch(node, {"GET",
                      "/item",
                      {{std::string(runtime::kServiceHeader), service},
                       {std::string(runtime::kKeyHeader), key}},
                      ""});
}

nlohmann::json Cluster::Status(std::size_t node) {
  const auto answer = SendAndWait(
      HttpEndpointOf(node), {"GET", "/figlug/status", {}, ""}, kControlTimeout);
  return answer ? nlohmann::json::parse(answer->m_body, nullptr, false)
                : nlohmann::json();
}

void Cluster::Post(const core::Endpoint& endpoint, const std::string& path) {
  const bool is_done = WaitUntil([&] {
    return SendAndWait(endpoint, {"POST", path, {}, ""}, kControlTimeout)
        .has_value();
  });
  if (!is_done) {
    throw std::runtime_error("no response to POST " + path);
  }
}

void Cluster::SetLinkFaults(const std::string& from,
                            const std::string& link,
                            const std::string& faults) {
  Post({m_network + "1", kControlPort},
       "/rule?from=" + from + "&to=" + link + "&" + faults);
}

void Cluster::ResetConnections(const std::string& link) {
  Post({m_network + "1", kControlPort}, "/reset?to=" + link);
}

void Cluster::SilenceConnections(const std::string& from,
                                 const std::string& link) {
  Post({m_network + "1", kControlPort},
       "/silence?from=" + from + "&to=" + link);
}

void Cluster::SetPartition(std::size_t a, std::size_t b, bool is_partitioned) {
  const std::string faults = is_partitioned ? "cut=1" : "cut=0";
  SetLinkFaults(HostOf(a), "node-" + std::to_string(b), faults);
  SetLinkFaults(HostOf(b), "node-" + std::to_string(a), faults);
}

void Cluster::SetLogFaults(const std::string& faults) {
  Post(log_endpoint(), "/control?" + faults);
}

void Cluster::ConfigureTarget(std::size_t node, const std::string& faults) {
  Post(EndpointOf(node, kTargetPort), "/control?" + faults);
}

nlohmann::json Cluster::ForwardedBytes() {
  const auto answer = SendAndWait({m_network + "1", kControlPort},
                                  {"GET", "/bytes", {}, ""}, kControlTimeout);
  return answer ? nlohmann::json::parse(answer->m_body) : nlohmann::json();
}

int Cluster::RunFiglugctl(const std::vector<std::string>& arguments) {
  std::vector<std::string> command = {m_programs.m_figlugctl, "--log",
                                      ToText(log_endpoint())};
  command.insert(command.end(), arguments.begin(), arguments.end());
  Process process(command, OutputFileOf("ctl"));
  std::optional<int> code;
  while (!(code = process.Poll())) {
    RunFor(kPollInterval);
  }
  return *code;
}

// The members are read before the processes' ids, so that a process that joins
// again meanwhile is not taken for a lost one.
bool Cluster::ForceDownLostMembers() {
  const auto status = Status(0);
  std::set<std::string> running;
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    running.insert(MemberIdOf(i));
  }
  if (!status.is_object() || running.contains("")) {
    return false;
  }
  bool is_done = status["members"].size() == m_nodes.size();
  for (const auto& member : status["members"]) {
    const std::string id = member["id"];
    if (!running.contains(id)) {
      RunFiglugctl({"--force", "force-down", id});
      is_done = false;
    }
  }
  return is_done;
}

int Cluster::Publish(const std::string& profile) {
  const std::string file = m_folder + "/profile.ini";
  std::ofstream(file) << "[profile]\n" << profile;
  return RunFiglugctl({"publish", file});
}

bool Cluster::WaitUntil(const std::function<bool()>& condition,
                        core::Duration limit) {
  const core::Time end = runtime::ReadClocks().m_time + limit;
  while (!condition()) {
    if (runtime::ReadClocks().m_time > end) {
      return false;
    }
    RunFor(kPollInterval);
  }
  return true;
}

void Cluster::RunFor(core::Duration span) {
  runtime::Timer timer(m_loop, [this] { m_loop.Stop(); });
  timer.Set(span);
  m_loop.Run();
}

bool Cluster::WaitReady(core::Duration limit) {
  const bool is_ready = WaitUntil(
      [&] {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
          const auto status = Status(i);
          if (!status.is_object() || !status["serving"].get<bool>() ||
              status["members"].size() != m_nodes.size() ||
              status["owned_slices"] == 0) {
            return false;
          }
        }
        return true;
      },
      limit);
  for (std::size_t i = 0; !is_ready && i < m_nodes.size(); ++i) {
    std::cerr << "node " << i << ": " << Status(i).dump() << '\n';
  }
  return is_ready;
}

std::optional<std::size_t> Cluster::OwnerOf(const std::string& key,
                                            std::size_t asked,
                                            const std::string& service) {
  const auto answer =
      Fetch(asked, {"GET",
                    "/figlug/explain",
                    {{std::string(runtime::kServiceHeader), service},
                     {std::string(runtime::kKeyHeader), key}},
                    ""});
  if (!answer) {
    return std::nullopt;
  }
  const auto report = nlohmann::json::parse(answer->m_body);
  if (report["targets"].empty()) {
    return std::nullopt;
  }
  const auto name = report["targets"][0]["target"].get<std::string>();
  return std::stoul(name.substr(1));
}

std::string Cluster::MemberIdOf(std::size_t node) {
  const auto status = Status(node);
  return status.is_object() ? status["self"].get<std::string>() : "";
}

std::vector<ExecutionEvent> Cluster::ExecutionEvents() const {
  std::vector<ExecutionEvent> events;
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    std::ifstream in(m_folder + "/t" + std::to_string(i) + ".jsonl");
    std::string line;
    while (std::getline(in, line)) {
      const auto json = nlohmann::json::parse(line, nullptr, false);
      if (json.is_object()) {
        events.push_back({json["event"], json["target"], json["region"],
                          json["id"], json["fence"], json["tag"], json["at_us"],
                          json["held"], json["slots"]});
      }
    }
  }
  return events;
}

}  // namespace figlug::testing
