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

/// \brief Paths of the executables that a cluster starts.
struct Programs {
  std::string m_figlugd;
  std::string m_figlugctl;
  std::string m_log_stand_in;
  std::string m_target_stand_in;
  std::string m_fault_proxy;
};

/// \brief Options of one node: a target and the figlugd beside it.
struct NodeOptions {
  std::string m_region = "r1";
  std::string m_domain = "d1";
  std::string m_service = "orders";
  std::string m_profile = "orders";
  std::vector<std::string> m_target_arguments;
  /// Lines appended to the generated settings.
  std::string m_settings;
  /// Whether execution events and trace spans are written to files. Off for
  /// latency measurements, which disk writes would distort.
  bool m_records_to_files = true;
};

/// \brief One event of a request's execution, as recorded by the target.
struct ExecutionEvent {
  std::string m_event;
  std::string m_target;
  std::string m_region;
  std::string m_request_id;
  std::string m_fence;
  std::string m_tag;
  std::int64_t m_at_us = 0;
  /// Requests at the target, running or queued.
  std::int64_t m_outstanding = 0;
  /// Requests that the target can run concurrently.
  std::int64_t m_slots = 0;
};

/// \brief Starts and controls real processes on loopback, behind a fault proxy.
///
/// Each node has its own loopback address. Other nodes reach the peer port of
/// node N through the link "node-N"; node N reaches the log through "log-N".
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

  /// \brief Sends a request to a node over HTTP and waits for the response.
  /// \returns The response, or nothing after a timeout or connection error.
  [[nodiscard]] std::optional<wire::HttpResponse> Fetch(
      std::size_t node,
      const wire::HttpRequest& request,
      core::Duration timeout = std::chrono::seconds(10));
  /// \brief Sends a GET request for a key of a service to a node.
  [[nodiscard]] std::optional<wire::HttpResponse> Get(
      std::size_t node,
      const std::string& key,
      const std::string& service = "orders");
  [[nodiscard]] nlohmann::json Status(std::size_t node);
  /// \brief Sets the faults for traffic from one address over a link.
  void SetLinkFaults(const std::string& from,
                     const std::string& link,
                     const std::string& faults);
  /// \brief Cuts or restores both directions between two nodes.
  void SetPartition(std::size_t a, std::size_t b, bool is_partitioned);
  /// \brief Closes all connections that pass a link.
  void ResetConnections(const std::string& link);
  /// \brief Makes all open connections from one address over a link carry
  /// nothing any more.
  void SilenceConnections(const std::string& from, const std::string& link);
  void SetLogFaults(const std::string& faults);
  void ConfigureTarget(std::size_t node, const std::string& faults);
  [[nodiscard]] nlohmann::json ForwardedBytes();
  /// \brief Runs figlugctl with these arguments.
  /// \returns Its exit code.
  int RunFiglugctl(const std::vector<std::string>& arguments);
  /// \brief Removes the members that no process is any more, as an operator
  /// does after the loss of members that only watched each other.
  /// \returns Whether all processes are the only members.
  [[nodiscard]] bool ForceDownLostMembers();
  /// \brief Publishes a profile, given as lines of its INI section.
  /// \returns The exit code of figlugctl.
  int Publish(const std::string& profile);

  /// \brief Runs the event loop until a condition holds.
  /// \returns False if the time limit passes first.
  [[nodiscard]] bool WaitUntil(const std::function<bool()>& condition,
                               core::Duration limit = std::chrono::seconds(30));
  /// \brief Runs the event loop for a given time.
  void RunFor(core::Duration span);
  /// \brief Waits until every node serves, sees all members and owns slices.
  [[nodiscard]] bool WaitReady(core::Duration limit = std::chrono::seconds(30));
  /// \brief Index of the node whose target owns a key, as node \p asked
  /// reports.
  [[nodiscard]] std::optional<std::size_t> OwnerOf(
      const std::string& key,
      std::size_t asked,
      const std::string& service = "orders");
  /// \brief Current member id of a node, or "" if it does not respond.
  [[nodiscard]] std::string MemberIdOf(std::size_t node);

  [[nodiscard]] std::vector<ExecutionEvent> ExecutionEvents() const;
  [[nodiscard]] core::Endpoint HttpEndpointOf(std::size_t node) const;
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
  [[nodiscard]] std::optional<wire::HttpResponse> SendAndWait(
      const core::Endpoint& endpoint,
      const wire::HttpRequest& request,
      core::Duration timeout);
  void Post(const core::Endpoint& endpoint, const std::string& path);
  [[nodiscard]] core::Endpoint EndpointOf(std::size_t node,
                                          std::uint16_t port) const;
  [[nodiscard]] std::string OutputFileOf(const std::string& name) const;

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
