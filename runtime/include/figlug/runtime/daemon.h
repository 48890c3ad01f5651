#ifndef FIGLUG_RUNTIME_DAEMON_H_
#define FIGLUG_RUNTIME_DAEMON_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>

#include <tl/expected.hpp>

#include "figlug/core/node.h"
#include "figlug/runtime/buffer_meter.h"
#include "figlug/runtime/connection_probe.h"
#include "figlug/runtime/datagram_socket.h"
#include "figlug/runtime/decision_log.h"
#include "figlug/runtime/dialect.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/runtime/http_client.h"
#include "figlug/runtime/http_server.h"
#include "figlug/runtime/log_follower.h"
#include "figlug/runtime/log_service.h"
#include "figlug/runtime/metrics.h"
#include "figlug/runtime/peer_transport.h"
#include "figlug/runtime/runtime_error.h"
#include "figlug/runtime/span_writer.h"
#include "figlug/runtime/trace_context.h"
#include "figlug/settings/daemon_settings.h"

namespace figlug::runtime {

/// \brief How a stopping process treats the listening socket for callers.
enum class StopStyle : std::uint8_t {
  kStopListening,
  /// New connections are accepted, and each is closed after one response.
  kKeepListening,
};

/// \brief A figlugd process: passes network input and timers to core::Node as
/// events and performs the actions that the node returns.
///
/// The member functions are defined in impl/daemon.h; include that header to
/// instantiate the template.
///
/// \code
/// Daemon<HttpLogClient, FiglugDialect> daemon(loop, settings, log, {}, seed);
/// if (auto started = daemon.Start(); !started) Report(started.error());
/// loop.Run();
/// \endcode
template <LogService Log, Dialect DialectType>
class Daemon {
 public:
  /// \param seed Seed for ids and random choices; must differ at each start.
  Daemon(EventLoop& loop,
         const settings::DaemonSettings& settings,
         Log& log,
         DialectType speech,
         std::uint64_t seed);

  /// \brief Opens the sockets and starts following the log.
  [[nodiscard]] tl::expected<void, RuntimeError> Start();
  /// \brief Begins a graceful stop, which stops the event loop once complete.
  void Stop(StopStyle style = StopStyle::kStopListening);

  /// \brief Passes an event to the core and performs the resulting actions.
  /// \param event Called with the current time and a sink for actions.
  template <class Event>
  void HandleEvent(Event&& event) {
    auto sink = [this](core::Action&& action) {
      PerformAction(std::move(action));
    };
    const core::Now now = ReadClocks();
    m_node.OnLinkLoad(m_peers.link_load(now.m_time));
    event(now, sink);
    ArmTimer();
  }
  /// \brief Sets the handler of operator updates that a peer has read from the
  /// operators' topic and forwarded.
  void SetOperatorUpdateHandler(
      std::function<void(core::OperatorUpdate&&)> handler) {
    m_on_operator_update = std::move(handler);
  }
  [[nodiscard]] core::Node& node() noexcept { return m_node; }
  /// \brief Counts what all connections of the process buffer.
  [[nodiscard]] BufferMeter& buffers() noexcept { return m_buffers; }
  /// \brief Bounds how long callers may take, from their next request on.
  void SetClientLimits(const core::ClientLimits& limits) {
    m_front.SetLimits(limits);
  }
  /// \brief Renders all metrics in the Prometheus text format.
  [[nodiscard]] std::string RenderMetrics();

 private:
  /// A caller's request from its arrival to its response.
  struct Call {
    std::shared_ptr<const wire::HttpRequest> m_request;
    std::string m_service;
    /// Empty for a call without a tenant.
    std::string m_tenant;
    TraceContext m_trace;
    core::Now m_started;
    /// The bodies of request and response.
    std::unique_ptr<BufferCharge> m_held;
    /// The target's response, from the attempt that was answered.
    wire::HttpResponse m_response;
  };
  /// An attempt that has reached this process's gate.
  struct Work {
    /// Unset for attempts that this process's own ingress sent.
    std::optional<PeerConnectionId> m_peer;
    core::AttemptId m_attempt{0};
    core::AttemptHead m_head;
    std::shared_ptr<const wire::HttpRequest> m_request;
    /// The bodies of request and response; unset for attempts of this process's
    /// own ingress, whose call holds them.
    std::unique_ptr<BufferCharge> m_held;
    TraceContext m_trace;
    core::Now m_started;
    std::optional<HttpCallId> m_target_call;
    /// Target that the work was dispatched to.
    std::string m_target;
    wire::HttpResponse m_response;
  };

  /// An open call that grants or releases keys.
  struct HoldCall {
    /// Events in the decision log for the call's ends.
    std::string_view m_done_event;
    std::string_view m_failed_event;
    core::KeyRange m_keys;
    core::Position m_fence = 0;
    core::Time m_sent_at{};
  };

  // Events from sockets and the log.
  std::optional<wire::HttpResponse> Screen(const wire::HttpRequest& head);
  [[nodiscard]] wire::HttpResponse MakeOverloadResponse(
      const wire::HttpRequest& request) const;
  void OnLogHealth(bool is_healthy);
  void OnHttpRequest(ExchangeId id, wire::HttpRequest&& request);
  void OnCallerDisconnected(ExchangeId id);
  void OnFrame(PeerConnectionId from, wire::Frame&& frame);
  void OnReply(wire::ReplyFrame&& frame);
  void OnAttemptLost(core::AttemptId attempt, bool was_sent);
  void OnAttemptSilent(core::AttemptId attempt);
  /// \brief Writes an event of an attempt at its ingress to the decision log.
  void LogAttempt(std::string_view event, core::AttemptId attempt);
  void OnPeerClosed(PeerConnectionId peer);
  void OnTargetDone(core::WorkId id, HttpClient::Result&& result);
  void OnHoldCallDone(core::HoldCallId id, HttpClient::Result&& result);
  void OnUncleanResponse(const HttpCallTrace& trace);
  void OnAttempt(Work&& work);
  void EndAttempt(core::AttemptId attempt,
                  core::Outcome outcome,
                  core::Reason reason,
                  wire::HttpResponse&& response);
  void CancelWork(std::optional<PeerConnectionId> peer,
                  core::AttemptId attempt);
  [[nodiscard]] std::optional<wire::HttpResponse> HandleAdminRequest(
      const wire::HttpRequest& request);
  [[nodiscard]] Gauges ReadGauges() const;

  // Actions returned by the core.
  void PerformAction(core::Action&& action);
  void Perform(core::SendDatagram&& action);
  void Perform(core::SendPeerMessage&& action);
  void Perform(core::AppendRecord&& action);
  void Perform(core::SendAttempt&& action);
  void Perform(core::CancelAttempt&& action);
  void Perform(core::DispatchWork&& action);
  void Perform(core::CancelWork&& action);
  void Perform(core::GrantKeys&& action);
  void Perform(core::ReleaseKeys&& action);
  void Perform(core::FinishAttempt&& action);
  void Perform(core::FinishCall&& action);
  void Perform(core::ApplyOperatorUpdate&& action);
  void Perform(core::StateChanged&& action);
  void Perform(core::ReloadLog&& action);
  void Perform(core::IdentityLost&& action);
  void Perform(core::ReadyToStop&& action);

  void SendHoldCall(HttpClient& client,
                    core::HoldCallId id,
                    HoldCall&& call,
                    const wire::HttpRequest& request,
                    core::Duration timeout);
  [[nodiscard]] LogFollowerHandlers MakeLogHandlers();
  [[nodiscard]] bool IsTracing() const noexcept {
    return DialectType::kAlwaysTraces || !m_settings.m_trace_file.empty();
  }
  [[nodiscard]] bool IsOwnGate(const core::Endpoint& to) const noexcept {
    return to == m_node.self().m_peer;
  }
  void ArmTimer();
  void LogBacklog(core::Time now, const Work& work);
  void StopOnceWritten();
  [[nodiscard]] core::MemberId NewMemberId();

  EventLoop& m_loop;
  settings::DaemonSettings m_settings;
  Log& m_log;
  std::function<void(core::OperatorUpdate&&)> m_on_operator_update;
  DialectType m_dialect;
  std::mt19937_64 m_random;
  core::Node m_node;
  BufferMeter m_buffers;
  HttpServer m_front;
  HttpClient m_target;
  /// Grants must not wait for requests.
  HttpClient m_grant_client;
  /// Each release has a connection of its own: its answer says that work has
  /// ended, so it must not be that of another call.
  HttpClient m_release_client;
  PeerTransport m_peers;
  DatagramSocket m_datagrams;
  ConnectionProbe m_probe;
  LogFollower<Log> m_follower;
  SpanWriter m_spans;
  DecisionLog m_decisions;
  Timer m_timer;
  core::Time m_timer_at = core::kNever;
  Timer m_write_check;
  /// End of the wait for the last responses to be written.
  core::Time m_write_until = core::kNever;
  Metrics m_metrics;
  bool m_is_log_available = false;
  std::uint64_t m_last_work_id = 0;
  std::unordered_map<core::CallId, Call> m_calls;
  std::unordered_map<core::AttemptId, core::CallId> m_attempts;
  std::unordered_map<core::WorkId, Work> m_work;
  std::unordered_map<core::HoldCallId, HoldCall> m_hold_calls;
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_DAEMON_H_
