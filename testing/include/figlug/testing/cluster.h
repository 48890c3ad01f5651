#ifndef FIGLUG_TESTING_CLUSTER_H_
#define FIGLUG_TESTING_CLUSTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "figlug/core/endpoint.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/runtime/http_client.h"
#include "figlug/testing/process.h"
#include "figlug/wire/http_message.h"

namespace figlug::testing {

/// \brief Programs that a cluster starts.
struct Programs {
  std::string m_figlugd;
  std::string m_figlugctl;
  std::string m_log_stand_in;
  std::string m_target_stand_in;
  std::string m_fault_proxy;
};

/// \brief One target with the figlugd beside it.
struct NodeOptions {
  std::string m_region = "r1";
  std::string m_domain = "d1";
  std::string m_service = "orders";
  std::string m_profile = "orders";
  std::vector<std::string> m_target_arguments;
  /// Further lines of the settings.
  std::string m_settings;
  /// Whether runs and spans are written; a disk in the way spoils latencies.
  bool m_writes_files = true;
};

/// \brief What a target recorded of one event of a run.
struct RunEvent {
  std::string m_event;
  std::string m_target;
  std::string m_region;
  std::string m_request_id;
  std::string m_fence;
  std::string m_tag;
  std::int64_t m_at_us = 0;
  /// Requests at the target, running or waiting.
  std::int64_t m_held = 0;
  /// Requests it could run at once.
  std::int64_t m_slots = 0;
};

/// \brief Real processes on loopback behind a fault proxy.
///
/// Node N listens on its own address; peers and the log are reached through
/// links named "node-N" and "log-N".
class Cluster {
 public:
  Cluster(Programs programs, std::vector<NodeOptions> nodes);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// \brief Starts the log, the proxy, all targets and all nodes.
  void StartAll();
  void StartTarget(std::size_t node);
  void StartNode(std::size_t node);
  void KillNode(std::size_t node);
  void KillTarget(std::size_t node);
  [[nodiscard]] Process& NodeProcess(std::size_t node);
  [[nodiscard]] std::size_t size() const noexcept { return m_nodes.size(); }

  /// \brief Sends a request to a node's HTTP address and waits for its end.
  [[nodiscard]] std::optional<wire::HttpResponse> Fetch(
      std::size_t node,
      const wire::HttpRequest& request,
      core::Duration timeout = std::chrono::seconds(10));
  /// \brief GET of a key of a service at a node.
  [[nodiscard]] std::optional<wire::HttpResponse> Get(
      std::size_t node,
      const std::string& key,
      const std::string& service = "orders");
  [[nodiscard]] nlohmann::json Status(std::size_t node);
  /// \brief Sets a fault on what one address sends over a link.
  void SetRule(const std::string& from,
               const std::string& link,
               const std::string& faults);
  /// \brief Cuts or heals both directions between two nodes.
  void SetCut(std::size_t a, std::size_t b, bool is_cut);
  /// \brief Closes all connections over a link.
  void ResetConnections(const std::string& link);
  void SetLog(const std::string& faults);
  void SetTarget(std::size_t node, const std::string& faults);
  [[nodiscard]] nlohmann::json ProxyBytes();
  /// \brief Runs figlugctl and gives its exit code.
  int Operate(const std::vector<std::string>& arguments);
  /// \brief Writes a profile file and publishes it.
  int Publish(const std::string& profile);

  /// \brief Handles events until a condition holds.
  /// \returns False when the time has passed first.
  [[nodiscard]] bool WaitUntil(const std::function<bool()>& condition,
                               core::Duration limit = std::chrono::seconds(30));
  /// \brief Handles events for a while.
  void RunFor(core::Duration span);
  /// \brief Waits until nodes serve and hold all slices among them.
  [[nodiscard]] bool WaitReady(core::Duration limit = std::chrono::seconds(30));
  /// \brief Node whose target owns a key, as a node sees it.
  [[nodiscard]] std::optional<std::size_t> OwnerOf(
      const std::string& key,
      std::size_t asked,
      const std::string& service = "orders");
  /// \brief Member id that a node has now, or "".
  [[nodiscard]] std::string MemberOf(std::size_t node);

  [[nodiscard]] std::vector<RunEvent> Runs() const;
  [[nodiscard]] core::Endpoint HttpOf(std::size_t node) const;
  [[nodiscard]] std::string HostOf(std::size_t node) const;
  [[nodiscard]] const std::string& folder() const { return m_folder; }
  [[nodiscard]] runtime::EventLoop& loop() { return m_loop; }
  [[nodiscard]] core::Endpoint log_endpoint() const;

 private:
  struct Node {
    NodeOptions m_options;
    std::unique_ptr<Process> m_target;
    std::unique_ptr<Process> m_daemon;
  };

  void WriteSettings(std::size_t node) const;
  [[nodiscard]] std::optional<wire::HttpResponse> Ask(
      const core::Endpoint& endpoint,
      const wire::HttpRequest& request,
      core::Duration timeout);
  void Post(const core::Endpoint& endpoint, const std::string& path);
  [[nodiscard]] core::Endpoint At(std::size_t node, std::uint16_t port) const;
  [[nodiscard]] std::string OutputOf(const std::string& name) const;

  Programs m_programs;
  std::string m_folder;
  std::string m_network;
  runtime::EventLoop m_loop{runtime::TimerPrecision::kMicroseconds};
  std::vector<Node> m_nodes;
  std::unique_ptr<Process> m_log;
  std::unique_ptr<Process> m_proxy;
};

}  // namespace figlug::testing

#endif  // FIGLUG_TESTING_CLUSTER_H_
