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
#include "figlug/runtime/connection_probe.h"
#include "figlug/runtime/datagram_socket.h"
#include "figlug/runtime/decision_log.h"
#include "figlug/runtime/dialect.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/runtime/http_client.h"
#include "figlug/runtime/http_front.h"
#include "figlug/runtime/log_follower.h"
#include "figlug/runtime/log_service.h"
#include "figlug/runtime/metrics.h"
#include "figlug/runtime/peer_transport.h"
#include "figlug/runtime/runtime_error.h"
#include "figlug/runtime/span_writer.h"
#include "figlug/runtime/trace_context.h"
#include "figlug/settings/daemon_settings.h"

namespace figlug::runtime {

/// \brief What a stopping process does with the address its callers use.
enum class StopStyle : std::uint8_t {
  kStopListening,
  /// New connections are still served, each for one answer.
  kGoOnListening,
};

/// \brief One figlugd: turns messages into events and carries out actions.
///
/// Its members are defined in impl/daemon.h, for those who instantiate it.
///
/// \code
/// Daemon<HttpLogClient, FiglugDialect> daemon(loop, settings, log, {}, seed);
/// if (auto started = daemon.Start(); !started) Report(started.error());
/// loop.Run();
/// \endcode
template <LogService Log, Dialect Speech>
class Daemon {
 public:
  /// \param seed Seed of ids and random choices; differs at each start.
  Daemon(EventLoop& loop,
         const settings::DaemonSettings& settings,
         Log& log,
         Speech speech,
         std::uint64_t seed);

  /// \brief Opens the sockets and begins to follow the log.
  [[nodiscard]] tl::expected<void, RuntimeError> Start();
  /// \brief Begins a graceful stop; the loop stops at its end.
  void Stop(StopStyle style = StopStyle::kStopListening);

  /// \brief Hands an event to the core and carries out what follows.
  /// \param event Takes the present time and a sink of actions.
  template <class Event>
  void Drive(Event&& event) {
    auto sink = [this](core::Action&& action) { CarryAny(std::move(action)); };
    event(ReadClocks(), sink);
    Rearm();
  }
  /// \brief Sets who takes over what a peer has read of the operators' topic.
  void SetNewsHandler(std::function<void(core::OperatorUpdate&&)> handler) {
    m_on_news = std::move(handler);
  }
  [[nodiscard]] core::Node& node() noexcept { return m_node; }
  /// \brief All counters and latencies in the Prometheus text format.
  [[nodiscard]] std::string RenderMetrics();

 private:
  /// A caller's request from its arrival to its answer.
  struct Call {
    std::shared_ptr<const wire::HttpRequest> m_request;
    std::string m_service;
    TraceContext m_trace;
    core::Now m_started;
    std::size_t m_buffered = 0;
    /// The answer that one of its attempts brought.
    wire::HttpResponse m_response;
  };
  /// An attempt that this gate has taken in.
  struct Work {
    /// Unset for attempts of this process itself.
    std::optional<PeerConnectionId> m_peer;
    core::AttemptId m_attempt{0};
    core::AttemptHead m_head;
    std::shared_ptr<const wire::HttpRequest> m_request;
    TraceContext m_trace;
    core::Now m_started;
    std::optional<HttpCallId> m_target_call;
    wire::HttpResponse m_response;
  };

  // Events from the sockets.
  std::optional<wire::HttpResponse> Screen(const wire::HttpRequest& head);
  void OnLogHealth(bool is_healthy);
  void OnHttpRequest(ExchangeId id, wire::HttpRequest&& request);
  void OnCallerDisconnected(ExchangeId id);
  void OnFrame(PeerConnectionId from, wire::Frame&& frame);
  void OnReply(wire::ReplyFrame&& frame);
  void OnLost(core::AttemptId attempt, bool was_sent);
  void OnPeerClosed(PeerConnectionId peer);
  void OnTargetDone(core::WorkId id, HttpClient::Result&& result);
  void OnAttempt(Work&& work);
  void EndAttempt(core::AttemptId attempt,
                  core::Outcome outcome,
                  core::Reason reason,
                  wire::HttpResponse&& response);
  void CancelWork(std::optional<PeerConnectionId> peer,
                  core::AttemptId attempt);
  [[nodiscard]] std::optional<wire::HttpResponse> Administer(
      const wire::HttpRequest& request);
  [[nodiscard]] Gauges ReadGauges() const;

  // Actions of the core.
  void CarryAny(core::Action&& action);
  void Carry(core::SendDatagram&& action);
  void Carry(core::SendPeerMessage&& action);
  void Carry(core::AppendRecord&& action);
  void Carry(core::SendAttempt&& action);
  void Carry(core::CancelAttempt&& action);
  void Carry(core::DispatchWork&& action);
  void Carry(core::CancelWork&& action);
  void Carry(core::FinishAttempt&& action);
  void Carry(core::FinishCall&& action);
  void Carry(core::ApplyOperatorUpdate&& action);
  void Carry(core::StateChanged&& action);
  void Carry(core::IdentityLost&& action);
  void Carry(core::ReadyToStop&& action);

  [[nodiscard]] LogFollowerHandlers MakeLogHandlers();
  [[nodiscard]] bool IsTracing() const noexcept {
    return Speech::kAlwaysTraces || !m_settings.m_trace_file.empty();
  }
  void Rearm();
  [[nodiscard]] core::MemberId NewMemberId();

  EventLoop& m_loop;
  settings::DaemonSettings m_settings;
  Log& m_log;
  std::function<void(core::OperatorUpdate&&)> m_on_news;
  Speech m_speech;
  std::mt19937_64 m_random;
  core::Node m_node;
  HttpFront m_front;
  HttpClient m_target;
  PeerTransport m_peers;
  DatagramSocket m_datagrams;
  ConnectionProbe m_probe;
  LogFollower<Log> m_follower;
  SpanWriter m_spans;
  DecisionLog m_decisions;
  Timer m_timer;
  core::Time m_timer_at = core::kNever;
  Metrics m_metrics;
  bool m_log_answers = false;
  std::uint64_t m_last_work = 0;
  std::size_t m_buffered = 0;
  std::unordered_map<core::CallId, Call> m_calls;
  std::unordered_map<core::AttemptId, core::CallId> m_attempts;
  std::unordered_map<core::WorkId, Work> m_work;
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_DAEMON_H_
