#ifndef FIGLUG_RUNTIME_IMPL_DAEMON_H_
#define FIGLUG_RUNTIME_IMPL_DAEMON_H_

#include "figlug/runtime/daemon.h"

#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <charconv>
#include <vector>

#include <nlohmann/json.hpp>

#include "figlug/core/outcome.h"
#include "figlug/runtime/headers.h"
#include "figlug/runtime/logging.h"
#include "figlug/runtime/status_report.h"

namespace figlug::runtime {
namespace impl {

inline constexpr std::uint16_t kOk = 200;
inline constexpr std::uint16_t kNotFound = 404;
inline constexpr std::uint16_t kUnavailable = 503;
inline constexpr std::size_t kBytesPerKib = 1024;
/// At least as many as grants, or releases, that are open at a time.
inline constexpr std::size_t kHoldConnections = 4;
inline constexpr std::size_t kMaxHoldAnswerBytes = 16U << 10;
inline constexpr std::string_view kAdminPrefix = "/figlug/";
inline constexpr core::Duration kWriteCheckInterval =
    std::chrono::milliseconds(2);

/// Bodies arrive and leave within about this time.
inline constexpr core::Duration kOverloadRetryAfter = std::chrono::seconds(1);

// Zero if the request does not state a valid length.
inline std::size_t DeclaredLength(const wire::HttpRequest& head) {
  const std::string* text = wire::FindHeader(head.m_headers, "Content-Length");
  std::size_t length = 0;
  if (text != nullptr) {
    std::from_chars(text->data(), text->data() + text->size(), length);
  }
  return length;
}

inline core::CallId ToCallId(ExchangeId id) {
  return core::CallId(static_cast<std::uint64_t>(id));
}

inline ExchangeId ToExchangeId(core::CallId id) {
  return ExchangeId(static_cast<std::uint64_t>(id));
}

inline std::int64_t ToMillis(core::Duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

// Names in records of the log are not checked for valid UTF-8.
inline std::string ToText(const nlohmann::json& page) {
  return page.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

template <Dialect DialectType>
bool IsAdminRequest(const wire::HttpRequest& request) {
  return DialectType::kServesAdminPages &&
         request.m_path.starts_with(kAdminPrefix);
}

inline wire::HttpResponse MakeTextResponse(std::uint16_t status,
                                           const std::string& type,
                                           std::string body) {
  return {status, {{"Content-Type", type}}, std::move(body)};
}

/// \brief Size of the body if the reply is a target's answer and no error.
inline std::optional<std::size_t> AnswerBytes(
    core::Outcome outcome,
    core::Reason reason,
    const wire::HttpResponse& response) {
  return outcome == core::Outcome::kAnswered && reason == core::Reason::kNone
             ? std::optional(response.m_body.size())
             : std::nullopt;
}

inline core::TargetResult ClassifyError(HttpClientError error) {
  switch (error) {
    case HttpClientError::kNotSent:
    case HttpClientError::kInvalidRequest:
      return {core::Outcome::kNotRun, core::Reason::kTargetUnreachable};
    case HttpClientError::kTimeout:
      return {core::Outcome::kUnknown, core::Reason::kDeadline};
    case HttpClientError::kMismatchedResponse:
    case HttpClientError::kMalformedResponse:
    case HttpClientError::kConnectionLost:
    case HttpClientError::kTooLarge:
      break;
  }
  return {core::Outcome::kUnknown, core::Reason::kTargetFailed};
}

inline core::NodeSettings WithIdentity(const settings::DaemonSettings& settings,
                                       std::uint64_t seed) {
  core::NodeSettings node = settings.m_node;
  std::mt19937_64 random(seed);
  node.m_self.m_id = core::MemberId(random() | 1);
  node.m_seed = random();
  return node;
}

inline void SetTraceparent(wire::HttpRequest& request,
                           const TraceContext& trace) {
  std::erase_if(request.m_headers, [](const wire::Header& header) {
    return header.m_name == kTraceparentHeader;
  });
  request.m_headers.push_back(
      {std::string(kTraceparentHeader), ToTraceparent(trace)});
}

}  // namespace impl

template <LogService Log, Dialect DialectType>
Daemon<Log, DialectType>::Daemon(EventLoop& loop,
                                 const settings::DaemonSettings& settings,
                                 Log& log,
                                 DialectType speech,
                                 std::uint64_t seed)
    : m_loop(loop),
      m_settings(settings),
      m_log(log),
      m_dialect(std::move(speech)),
      m_random(seed ^ 0x9e3779b97f4a7c15U),
      m_node(impl::WithIdentity(settings, seed), ReadClocks()),
      m_buffers(settings.m_buffer_limit_kib * impl::kBytesPerKib),
      m_front(loop,
              {[this](const auto& head) { return Screen(head); },
               [this](ExchangeId id, wire::HttpRequest&& request) {
                 OnHttpRequest(id, std::move(request));
               },
               [this](ExchangeId id) { OnCallerDisconnected(id); },
               [this](const auto& head) { return MakeOverloadResponse(head); }},
              settings.m_body_limit_kib * impl::kBytesPerKib,
              &m_buffers),
      m_target(loop,
               settings.m_target,
               settings.m_target_connections,
               settings.m_body_limit_kib * impl::kBytesPerKib,
               settings.m_target_idle_timeout,
               &m_buffers),
      m_grant_client(loop,
                     settings.m_target,
                     impl::kHoldConnections,
                     impl::kMaxHoldAnswerBytes),
      m_release_client(loop,
                       settings.m_target,
                       impl::kHoldConnections,
                       impl::kMaxHoldAnswerBytes,
                       core::Duration::zero()),
      m_peers(loop,
              {[this](PeerConnectionId from, wire::Frame&& frame) {
                 OnFrame(from, std::move(frame));
               },
               [this](wire::ReplyFrame&& reply) { OnReply(std::move(reply)); },
               [this](core::AttemptId attempt, bool was_sent) {
                 OnAttemptLost(attempt, was_sent);
               },
               [this](PeerConnectionId peer) { OnPeerClosed(peer); },
               [this](core::AttemptId attempt) { OnAttemptSilent(attempt); }},
              kInboundIdleTime,
              &m_buffers),
      m_datagrams(loop,
                  [this](const core::Datagram& datagram) {
                    HandleEvent([&](core::Now now, auto& sink) {
                      m_node.OnDatagram(now, datagram, sink);
                    });
                  }),
      m_probe(loop,
              settings.m_target,
              [this](bool is_up) {
                LOG4CPLUS_INFO(MemberLogger(),
                               "target " << m_settings.m_node.m_self.m_target
                                         << (is_up ? " accepts" : " refuses")
                                         << " connections");
                HandleEvent([&](core::Now now, auto& sink) {
                  m_node.OnTargetHealth(now, is_up, sink);
                });
              }),
      m_follower(loop, log, MakeLogHandlers()),
      m_spans(loop),
      m_decisions(settings.m_log_lines_per_second),
      m_timer(loop,
              [this] {
                m_timer_at = core::kNever;
                HandleEvent([&](core::Now now, auto& sink) {
                  m_node.OnTimer(now, sink);
                });
              }),
      m_write_check(loop, [this] { StopOnceWritten(); }) {
  m_target.SetTraceHandler(
      [this](const HttpCallTrace& trace) { OnUncleanResponse(trace); });
  m_grant_client.SetDisconnectedHandler(
      [this] { m_node.OnTargetDisconnected(); });
}

template <LogService Log, Dialect DialectType>
LogFollowerHandlers Daemon<Log, DialectType>::MakeLogHandlers() {
  return {
      .m_on_start =
          [this](core::Era era, core::ControlState&& state) {
            HandleEvent([&](core::Now now, auto& sink) {
              m_node.OnStart(now, era, std::move(state), sink);
            });
          },
      .m_on_restored =
          [this](core::Era era, core::ControlState&& state) {
            LOG4CPLUS_WARN(RecordLogger(),
                           "log has been restored from a copy, era "
                               << era << "; its newest records are lost");
            HandleEvent([&](core::Now now, auto& sink) {
              m_node.OnRestored(now, era, std::move(state), sink);
            });
          },
      .m_on_records =
          [this](const std::vector<core::LogEntry>& entries) {
            HandleEvent([&](core::Now now, auto& sink) {
              m_node.OnRecords(now, entries, sink);
            });
          },
      .m_on_caught_up =
          [this] {
            HandleEvent([&](core::Now now, auto& sink) {
              m_node.OnCaughtUp(now, sink);
            });
          },
      .m_on_confirmed =
          [this](core::Time read_sent_at) {
            m_node.OnLogConfirmed(read_sent_at);
          },
      .m_on_gap =
          [this] {
            LOG4CPLUS_WARN(
                RecordLogger(),
                "log no longer holds the next record; reloading the state "
                "from the newest checkpoint");
            HandleEvent(
                [&](core::Now now, auto& sink) { m_node.OnLogGap(now, sink); });
          },
      .m_on_health = [this](bool is_healthy) { OnLogHealth(is_healthy); },
      .m_on_bounds =
          [this](core::Offset first) {
            m_node.OnLogBounds(ReadClocks(), first);
          },
      .m_pause = [this] { return m_node.LogReadDelay(ReadClocks().m_time); },
      .m_next = [this] { return m_node.state().next(); },
      .m_read_wait = core::LogReadWait(m_node.self().m_log_lease),
  };
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::OnLogHealth(bool is_healthy) {
  if (is_healthy != m_is_log_available) {
    m_is_log_available = is_healthy;
    if (is_healthy) {
      LOG4CPLUS_INFO(RecordLogger(), "log is reachable");
    } else {
      LOG4CPLUS_WARN(
          RecordLogger(),
          "log does not respond; serving continues with the state read so far");
    }
  }
  m_node.OnLogHealth(ReadClocks(), is_healthy);
}

template <LogService Log, Dialect DialectType>
tl::expected<void, RuntimeError> Daemon<Log, DialectType>::Start() {
  if (auto opened = m_spans.Open(m_settings.m_trace_file); !opened) {
    return opened;
  }
  if (auto bound = m_peers.Listen(m_settings.m_peer_listen); !bound) {
    return bound;
  }
  if (auto bound = m_datagrams.Listen(m_settings.m_peer_listen); !bound) {
    return bound;
  }
  m_front.SetLimits(m_settings.m_client_limits);
  if (auto bound = m_front.Listen(m_settings.m_http_listen); !bound) {
    return bound;
  }
  LOG4CPLUS_INFO(ProcessLogger(),
                 "started as member " << ToString(m_node.self().m_id));
  if constexpr (DialectType::kProbesTarget) {
    m_probe.Start();
  }
  m_follower.Start();
  ArmTimer();
  return {};
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::Stop(StopStyle style) {
  LOG4CPLUS_INFO(ProcessLogger(), "stopping gracefully");
  if (style == StopStyle::kStopListening) {
    m_front.StopListening();
  } else {
    m_front.CloseAfterResponses();
  }
  HandleEvent([&](core::Now now, auto& sink) { m_node.OnStop(now, sink); });
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::PerformAction(core::Action&& action) {
  std::visit(
      [this]<class Typed>(Typed& typed) { this->Perform(std::move(typed)); },
      action);
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::ArmTimer() {
  const core::Time next = m_node.NextDeadline();
  if (next != m_timer_at) {
    m_timer_at = next;
    m_timer.Set(next - ReadClocks().m_time);
  }
}

template <LogService Log, Dialect DialectType>
core::MemberId Daemon<Log, DialectType>::NewMemberId() {
  return core::MemberId(m_random() | 1);
}

template <LogService Log, Dialect DialectType>
std::optional<wire::HttpResponse> Daemon<Log, DialectType>::Screen(
    const wire::HttpRequest& head) {
  if (impl::IsAdminRequest<DialectType>(head)) {
    return std::nullopt;
  }
  if (auto refusal = m_dialect.Screen(m_node, ReadClocks().m_time, head)) {
    return refusal;
  }
  if (!m_buffers.pool().Admits(impl::DeclaredLength(head))) {
    return MakeOverloadResponse(head);
  }
  return std::nullopt;
}

template <LogService Log, Dialect DialectType>
wire::HttpResponse Daemon<Log, DialectType>::MakeOverloadResponse(
    const wire::HttpRequest& request) const {
  return m_dialect.MakeErrorResponse(
      request, core::FinishCall{.m_reason = core::Reason::kOverloaded,
                                .m_retry_after = impl::kOverloadRetryAfter});
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::OnHttpRequest(ExchangeId id,
                                             wire::HttpRequest&& request) {
  if (const auto answer = HandleAdminRequest(request)) {
    m_front.Respond(id, *answer);
    return;
  }
  const auto head = m_dialect.ParseCall(request);
  if (!head) {
    m_front.Respond(id, head.error());
    return;
  }
  if (!m_buffers.pool().Admits(request.m_body.size())) {
    m_front.Respond(id, MakeOverloadResponse(request));
    return;
  }
  const std::string* parent =
      wire::FindHeader(request.m_headers, kTraceparentHeader);
  Call call;
  call.m_service = head->m_service;
  call.m_trace = StartSpan(
      parent == nullptr ? std::nullopt : ParseTraceparent(*parent), m_random);
  call.m_started = ReadClocks();
  call.m_held = std::make_unique<BufferCharge>(m_buffers);
  call.m_held->Set(request.m_body.size());
  const core::Tenancy tenancy = m_node.TenancyOf(*head);
  call.m_tenant = tenancy.m_tenant;
  request.m_headers = m_dialect.RequestHeaders(request.m_headers, tenancy);
  if (IsTracing()) {
    impl::SetTraceparent(request, call.m_trace);
  }
  call.m_request =
      std::make_shared<const wire::HttpRequest>(std::move(request));
  m_calls.emplace(impl::ToCallId(id), std::move(call));
  HandleEvent([&](core::Now now, auto& sink) {
    m_node.OnCall(now, impl::ToCallId(id), *head, sink);
  });
}

template <LogService Log, Dialect DialectType>
std::optional<wire::HttpResponse> Daemon<Log, DialectType>::HandleAdminRequest(
    const wire::HttpRequest& request) {
  if (!impl::IsAdminRequest<DialectType>(request)) {
    return std::nullopt;
  }
  const std::string_view page =
      std::string_view(request.m_path).substr(impl::kAdminPrefix.size());
  const core::Time now = ReadClocks().m_time;
  if (page == "health") {
    return impl::MakeTextResponse(impl::kOk, "text/plain", "ok\n");
  }
  if (page == "ready") {
    const bool is_ready = m_node.IsServing(now);
    return impl::MakeTextResponse(is_ready ? impl::kOk : impl::kUnavailable,
                                  "text/plain",
                                  is_ready ? "ready\n" : "not ready\n");
  }
  if (page == "status") {
    return impl::MakeTextResponse(impl::kOk, "application/json",
                                  impl::ToText(DescribeNode(m_node, now)));
  }
  if (page == "metrics") {
    return impl::MakeTextResponse(impl::kOk, "text/plain; version=0.0.4",
                                  RenderMetrics());
  }
  if (page == "explain") {
    const auto head = m_dialect.ParseCall(request);
    if (!head) {
      return head.error();
    }
    return impl::MakeTextResponse(
        impl::kOk, "application/json",
        impl::ToText(
            DescribeRoute(m_node.state(), m_node.Explain(now, *head))));
  }
  return impl::MakeTextResponse(impl::kNotFound, "text/plain",
                                "no such page\n");
}

template <LogService Log, Dialect DialectType>
std::string Daemon<Log, DialectType>::RenderMetrics() {
  return m_metrics.Render(ReadClocks().m_time, ReadGauges());
}

template <LogService Log, Dialect DialectType>
Gauges Daemon<Log, DialectType>::ReadGauges() const {
  const core::Time now = ReadClocks().m_time;
  const PeerBacklog backlog = m_peers.BacklogOf(PeerConnectionId{0});
  return {
      {"lease_valid", m_node.HasLease(now) ? 1 : 0},
      {"serving", m_node.IsServing(now) ? 1 : 0},
      {"members", static_cast<double>(m_node.state().members().size())},
      {"next_offset", static_cast<double>(m_node.state().next())},
      {"owned_slices", m_node.ownership().owned_count()},
      {"gate_limit", m_node.gate().limit()},
      {"gate_capacity", m_node.gate().CapacityOf(now, m_node.target_slots())},
      {"gate_running", m_node.gate().running()},
      {"gate_queued", static_cast<double>(m_node.gate().queued())},
      {"open_calls", static_cast<double>(m_node.ingress().open_calls())},
      {"calls_waiting_for_quota",
       static_cast<double>(m_node.quotas().waiting())},
      {"tracked_tenants",
       static_cast<double>(m_node.quotas().tracked_tenants())},
      {"quota_ledgers", static_cast<double>(m_node.quotas().ledgers())},
      {"configuration_age_seconds",
       std::chrono::duration<double>(
           m_node.ConfigurationAge(now).value_or(core::Duration(-1)))
           .count()},
      {"target_connections", static_cast<double>(m_target.connections())},
      {"caller_connections", static_cast<double>(m_front.connections())},
      {"buffered_bytes", static_cast<double>(m_buffers.pool().used())},
      {"discarded_messages", static_cast<double>(m_buffers.pool().discarded())},
      {"peer_sent_bytes", static_cast<double>(m_peers.bytes_sent())},
      {"peer_unsent_bytes", static_cast<double>(backlog.m_all_unsent)},
      {"peer_unacknowledged_bytes",
       static_cast<double>(backlog.m_all_unacknowledged)},
      {"link_window_bytes", static_cast<double>(m_peers.link_window())},
      {"link_queued_bytes",
       static_cast<double>(m_peers.link_load(now).m_queued_bytes)},
      {"link_bytes_per_second", m_peers.link_load(now).m_bytes_per_second},
      {"peer_dropped_bytes", static_cast<double>(m_peers.dropped_bytes())},
      {"log_lines_omitted", static_cast<double>(m_decisions.omitted())},
      {"log_lines_lost", static_cast<double>(LostLogLines())},
      {"heartbeat_bytes", static_cast<double>(m_datagrams.bytes())},
  };
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::OnCallerDisconnected(ExchangeId id) {
  HandleEvent([&](core::Now now, auto& sink) {
    m_node.OnCallerDisconnected(now, impl::ToCallId(id), sink);
  });
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::OnFrame(PeerConnectionId from,
                                       wire::Frame&& frame) {
  if (auto* attempt = std::get_if<wire::AttemptFrame>(&frame)) {
    const std::size_t body_bytes = attempt->m_request.m_body.size();
    if (!m_buffers.pool().Admits(body_bytes)) {
      m_peers.Reply(from, {attempt->m_attempt,
                           core::Outcome::kNotRun,
                           core::Reason::kOverloaded,
                           {},
                           {}});
      return;
    }
    Work work;
    work.m_peer = from;
    work.m_attempt = attempt->m_attempt;
    work.m_held = std::make_unique<BufferCharge>(m_buffers);
    work.m_held->Set(body_bytes);
    work.m_head = std::move(attempt->m_head);
    work.m_request = std::make_shared<const wire::HttpRequest>(
        std::move(attempt->m_request));
    OnAttempt(std::move(work));
  } else if (const auto* cancel = std::get_if<wire::CancelFrame>(&frame)) {
    CancelWork(from, cancel->m_attempt);
  } else if (const auto* message = std::get_if<core::PeerMessage>(&frame)) {
    HandleEvent([&](core::Now now, auto& sink) {
      m_node.OnPeerMessage(now, *message, sink);
    });
  }
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::OnAttempt(Work&& work) {
  const std::string* parent =
      wire::FindHeader(work.m_request->m_headers, kTraceparentHeader);
  work.m_trace = StartSpan(
      parent == nullptr ? std::nullopt : ParseTraceparent(*parent), m_random);
  work.m_started = ReadClocks();
  const core::WorkId id{++m_last_work_id};
  const core::AttemptHead head = work.m_head;
  const core::AttemptOrigin from = work.m_peer
                                       ? core::AttemptOrigin::kPeer
                                       : core::AttemptOrigin::kOwnIngress;
  m_work.emplace(id, std::move(work));
  HandleEvent([&](core::Now now, auto& sink) {
    m_node.OnAttempt(now, id, head, from, sink);
  });
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::CancelWork(std::optional<PeerConnectionId> peer,
                                          core::AttemptId attempt) {
  const auto it = std::ranges::find_if(m_work, [&](const auto& entry) {
    return entry.second.m_peer == peer && entry.second.m_attempt == attempt;
  });
  if (it == m_work.end()) {
    return;
  }
  const core::WorkId id = it->first;
  const core::Now now = ReadClocks();
  m_decisions.Write(
      now.m_time, "work-cancelled",
      {{"request", m_dialect.RequestIdOf(*it->second.m_request)},
       {"dispatched", it->second.m_target_call.has_value()},
       {"taken_ms", impl::ToMillis(now.m_time - it->second.m_started.m_time)}});
  HandleEvent([&](core::Now event_time, auto& sink) {
    m_node.OnWorkCancelled(event_time, id, sink);
  });
  m_work.erase(id);
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::OnPeerClosed(PeerConnectionId peer) {
  std::vector<core::AttemptId> lost;
  for (const auto& [id, work] : m_work) {
    if (work.m_peer == peer) {
      lost.push_back(work.m_attempt);
    }
  }
  for (core::AttemptId attempt : lost) {
    CancelWork(peer, attempt);
  }
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::OnReply(wire::ReplyFrame&& frame) {
  m_node.OnGateLoad(
      ReadClocks(), frame.m_attempt, frame.m_load,
      impl::AnswerBytes(frame.m_outcome, frame.m_reason, frame.m_response));
  EndAttempt(frame.m_attempt, frame.m_outcome, frame.m_reason,
             std::move(frame.m_response));
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::OnAttemptLost(core::AttemptId attempt,
                                             bool was_sent) {
  LogAttempt(was_sent ? "attempt-lost" : "attempt-unsent", attempt);
  EndAttempt(
      attempt, was_sent ? core::Outcome::kUnknown : core::Outcome::kNotRun,
      was_sent ? core::Reason::kPeerLost : core::Reason::kPeerUnreachable, {});
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::OnAttemptSilent(core::AttemptId attempt) {
  LogAttempt("attempt-silent", attempt);
  HandleEvent([&](core::Now now, auto& sink) {
    m_node.OnAttemptSilent(now, attempt, sink);
  });
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::LogAttempt(std::string_view event,
                                          core::AttemptId attempt) {
  const auto it = m_attempts.find(attempt);
  const auto call =
      it == m_attempts.end() ? m_calls.end() : m_calls.find(it->second);
  if (call == m_calls.end()) {
    return;
  }
  const core::Time now = ReadClocks().m_time;
  m_decisions.Write(
      now, event,
      {{"request", m_dialect.RequestIdOf(*call->second.m_request)},
       {"attempt", static_cast<std::uint64_t>(attempt)},
       {"taken_ms", impl::ToMillis(now - call->second.m_started.m_time)}});
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::EndAttempt(core::AttemptId attempt,
                                          core::Outcome outcome,
                                          core::Reason reason,
                                          wire::HttpResponse&& response) {
  const auto it = m_attempts.find(attempt);
  if (it == m_attempts.end()) {
    return;
  }
  const auto call = m_calls.find(it->second);
  m_attempts.erase(it);
  if (call != m_calls.end() && outcome == core::Outcome::kAnswered) {
    call->second.m_held->Set(call->second.m_request->m_body.size() +
                             response.m_body.size());
    call->second.m_response = std::move(response);
  }
  HandleEvent([&](core::Now now, auto& sink) {
    m_node.OnAttemptEnd(now, attempt, outcome, reason, sink);
  });
}

// The connection and its use tell a late response to an earlier request from
// one that was mixed up on the way.
template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::OnUncleanResponse(const HttpCallTrace& trace) {
  const auto it = std::ranges::find_if(m_work, [&](const auto& entry) {
    return entry.second.m_target_call == trace.m_call;
  });
  const wire::HttpResponse* response = trace.m_response;
  m_decisions.Write(
      ReadClocks().m_time, "unclean-response",
      {{"request", it == m_work.end()
                       ? std::string_view()
                       : m_dialect.RequestIdOf(*it->second.m_request)},
       {"problem",
        trace.m_error ? ToString(*trace.m_error) : ToString(trace.m_kind)},
       {"connection", trace.m_connection},
       {"exchange", trace.m_exchange},
       {"status", response == nullptr ? 0 : response->m_status},
       {"echoed", response == nullptr ? std::string_view()
                                      : m_dialect.EchoedIdOf(*response)},
       {"body_bytes", response == nullptr ? 0 : response->m_body.size()},
       {"left_bytes", trace.m_left_over}});
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::OnTargetDone(core::WorkId id,
                                            HttpClient::Result&& result) {
  const auto it = m_work.find(id);
  if (it == m_work.end()) {
    return;
  }
  it->second.m_target_call.reset();
  core::TargetResult target_result;
  if (!result) {
    target_result = impl::ClassifyError(result.error());
  } else {
    target_result = m_dialect.ClassifyResponse(*it->second.m_request, *result);
    if (target_result.m_notice) {
      target_result.m_notice->m_target = it->second.m_target;
    }
    target_result.m_body_bytes = result->m_body.size();
    it->second.m_response = std::move(*result);
  }
  HandleEvent([&](core::Now now, auto& sink) {
    m_node.OnTargetResult(now, id, target_result, sink);
  });
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::Perform(core::SendDatagram&& action) {
  m_datagrams.Send(action.m_to, action.m_datagram);
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::Perform(core::SendPeerMessage&& action) {
  m_peers.Send(action.m_to, std::move(action.m_message));
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::Perform(core::AppendRecord&& action) {
  m_log.Append(action.m_id, action.m_record, action.m_era);
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::Perform(core::SendAttempt&& action) {
  const auto call = m_calls.find(action.m_call);
  if (call == m_calls.end()) {
    return;
  }
  m_attempts[action.m_attempt] = action.m_call;
  const std::shared_ptr<const wire::HttpRequest> request =
      call->second.m_request;
  const core::RouteBasis& basis = action.m_basis;
  m_decisions.Write(ReadClocks().m_time, "routed",
                    {{"request", m_dialect.RequestIdOf(*request)},
                     {"attempt", static_cast<std::uint64_t>(action.m_attempt)},
                     {"service", action.m_head.m_service},
                     {"slice", action.m_head.m_slice},
                     {"member", ToString(action.m_member)},
                     {"gate", action.m_to.m_host},
                     {"configuration", basis.m_configuration},
                     {"next", basis.m_records},
                     {"outstanding", basis.m_outstanding},
                     {"told_running", basis.m_load.m_running},
                     {"told_queued", basis.m_load.m_queued},
                     {"told_link_ms", impl::ToMillis(basis.m_load.m_link_wait)},
                     {"told_age_ms", impl::ToMillis(basis.m_load_age)},
                     {"left_ms", impl::ToMillis(action.m_head.m_time_left)}});
  if (!IsOwnGate(action.m_to)) {
    m_peers.SendAttempt(action.m_to,
                        {action.m_attempt, std::move(action.m_head), *request});
    return;
  }
  Work work;
  work.m_attempt = action.m_attempt;
  work.m_head = std::move(action.m_head);
  work.m_request = request;
  OnAttempt(std::move(work));
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::Perform(core::CancelAttempt&& action) {
  m_attempts.erase(action.m_attempt);
  if (IsOwnGate(action.m_to)) {
    CancelWork(std::nullopt, action.m_attempt);
  } else {
    m_peers.Cancel(action.m_to, action.m_attempt);
  }
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::Perform(core::DispatchWork&& action) {
  const core::WorkId id = action.m_work;
  const auto it = m_work.find(id);
  if (it == m_work.end()) {
    return;
  }
  Work& work = it->second;
  work.m_target = action.m_target;
  m_decisions.Write(ReadClocks().m_time, "dispatched",
                    {{"request", m_dialect.RequestIdOf(*work.m_request)},
                     {"target", action.m_target},
                     {"slice", action.m_fence.m_slice},
                     {"fence", action.m_fence.m_epoch},
                     {"running", m_node.gate().running()},
                     {"queued", m_node.gate().queued()},
                     {"waited_ms", impl::ToMillis(ReadClocks().m_time -
                                                  work.m_started.m_time)},
                     {"left_ms", impl::ToMillis(action.m_time_left)}});
  wire::HttpRequest request =
      m_dialect.MakeTargetRequest(*work.m_request, work.m_head, action);
  if (IsTracing()) {
    impl::SetTraceparent(request, work.m_trace);
  }
  const HttpCallId call = m_target.Send(
      request, action.m_time_left,
      [this, id](HttpClient::Result&& result) {
        OnTargetDone(id, std::move(result));
      },
      m_dialect.MakeResponseTie(request));
  if (const auto current = m_work.find(id); current != m_work.end()) {
    current->second.m_target_call = call;
  }
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::Perform(core::CancelWork&& action) {
  const auto it = m_work.find(action.m_work);
  if (it != m_work.end() && it->second.m_target_call) {
    m_target.Cancel(*it->second.m_target_call);
  }
}

// A dialect without calls for holds is never configured to push them.
template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::Perform(core::GrantKeys&& action) {
  if constexpr (HoldDialect<DialectType>) {
    // Renewals are too many for the log.
    SendHoldCall(
        m_grant_client, action.m_id,
        {action.m_is_renewal ? "" : "keys-granted", "grant-failed",
         action.m_range.m_keys, action.m_range.m_fence, ReadClocks().m_time},
        m_dialect.MakeGrantRequest(action), action.m_timeout);
  }
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::Perform(core::ReleaseKeys&& action) {
  if constexpr (HoldDialect<DialectType>) {
    SendHoldCall(m_release_client, action.m_id,
                 {"keys-released", "release-failed", action.m_keys,
                  action.m_fence, ReadClocks().m_time},
                 m_dialect.MakeReleaseRequest(action), action.m_timeout);
  }
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::SendHoldCall(HttpClient& client,
                                            core::HoldCallId id,
                                            HoldCall&& call,
                                            const wire::HttpRequest& request,
                                            core::Duration timeout) {
  if constexpr (HoldDialect<DialectType>) {
    m_hold_calls.emplace(id, std::move(call));
    client.Send(
        request, timeout,
        [this, id](HttpClient::Result&& result) {
          OnHoldCallDone(id, std::move(result));
        },
        m_dialect.MakeHoldTie(request));
  }
}

// While another connection to the target is open, the process at the other end
// is the one that has been granted keys before.
template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::OnHoldCallDone(core::HoldCallId id,
                                              HttpClient::Result&& result) {
  auto node = m_hold_calls.extract(id);
  if (node.empty()) {
    return;
  }
  core::HoldAnswer answer;
  if constexpr (HoldDialect<DialectType>) {
    if (result) {
      answer = m_dialect.ParseHoldAnswer(*result);
    }
  }
  if (!result && result.error() != HttpClientError::kTimeout &&
      m_grant_client.connections() == 0) {
    answer.m_result = core::HoldResult::kDisconnected;
  }
  const HoldCall& call = node.mapped();
  const core::Time now = ReadClocks().m_time;
  const bool is_done = answer.m_result == core::HoldResult::kDone;
  if (!is_done || !call.m_done_event.empty()) {
    m_decisions.Write(now, is_done ? call.m_done_event : call.m_failed_event,
                      {{"first", call.m_keys.m_first},
                       {"last", call.m_keys.m_last},
                       {"fence", call.m_fence},
                       {"result", core::ToString(answer.m_result)},
                       {"status", result ? result->m_status : 0},
                       {"taken_ms", impl::ToMillis(now - call.m_sent_at)}});
  }
  HandleEvent([&](core::Now event_time, auto& sink) {
    m_node.OnHoldResult(event_time, id, answer, sink);
  });
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::Perform(core::FinishAttempt&& action) {
  auto node = m_work.extract(action.m_work);
  if (node.empty()) {
    return;
  }
  Work& work = node.mapped();
  const core::Now now = ReadClocks();
  m_spans.Write({work.m_trace, "gate", work.m_head.m_service,
                 work.m_started.m_wall, now.m_time - work.m_started.m_time,
                 action.m_outcome, action.m_reason});
  m_decisions.Write(
      now.m_time, "attempt-ended",
      {{"request", m_dialect.RequestIdOf(*work.m_request)},
       {"outcome", core::ToString(action.m_outcome)},
       {"reason", core::ToString(action.m_reason)},
       {"status", work.m_response.m_status},
       {"running", action.m_load.m_running},
       {"queued", action.m_load.m_queued},
       {"slots", action.m_load.m_slots},
       {"service_ms", impl::ToMillis(action.m_load.m_service_time)},
       {"link_ms", impl::ToMillis(action.m_load.m_link_wait)},
       {"taken_ms", impl::ToMillis(now.m_time - work.m_started.m_time)}});
  if (action.m_outcome == core::Outcome::kAnswered) {
    work.m_response.m_headers =
        m_dialect.ResponseHeaders(*work.m_request, work.m_response);
  } else {
    work.m_response = {};
  }
  if (work.m_peer) {
    LogBacklog(now.m_time, work);
    m_peers.Reply(*work.m_peer,
                  {work.m_attempt, action.m_outcome, action.m_reason,
                   std::move(work.m_response), action.m_load},
                  {work.m_head.m_priority,
                   work.m_started.m_time + work.m_head.m_time_left});
  } else {
    m_node.OnGateLoad(
        now, work.m_attempt, action.m_load,
        impl::AnswerBytes(action.m_outcome, action.m_reason, work.m_response));
    EndAttempt(work.m_attempt, action.m_outcome, action.m_reason,
               std::move(work.m_response));
  }
}

// What a reply waits for behind its target is not part of `attempt-ended`.
template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::LogBacklog(core::Time now, const Work& work) {
  if (!m_decisions.is_verbose()) {
    return;
  }
  const PeerBacklog backlog = m_peers.BacklogOf(*work.m_peer);
  m_decisions.Write(now, "reply-queued",
                    {{"request", m_dialect.RequestIdOf(*work.m_request)},
                     {"body_bytes", work.m_response.m_body.size()},
                     {"unsent", backlog.m_unsent},
                     {"unacknowledged", backlog.m_unacknowledged},
                     {"all_unsent", backlog.m_all_unsent},
                     {"all_unacknowledged", backlog.m_all_unacknowledged}});
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::Perform(core::FinishCall&& action) {
  auto node = m_calls.extract(action.m_call);
  if (node.empty()) {
    return;
  }
  Call& call = node.mapped();
  const core::Now now = ReadClocks();
  const core::Duration length = now.m_time - call.m_started.m_time;
  m_metrics.CountCall(now.m_time, action.m_outcome, action.m_reason, length);
  m_spans.Write({call.m_trace, "ingress", call.m_service, call.m_started.m_wall,
                 length, action.m_outcome, action.m_reason});
  m_decisions.Write(now.m_time, "call-ended",
                    {{"request", m_dialect.RequestIdOf(*call.m_request)},
                     {"outcome", core::ToString(action.m_outcome)},
                     {"reason", core::ToString(action.m_reason)},
                     {"tenant", call.m_tenant},
                     {"retry_after_ms", impl::ToMillis(action.m_retry_after)},
                     {"taken_ms", impl::ToMillis(length)}});
  const ExchangeId exchange = impl::ToExchangeId(action.m_call);
  if (action.m_outcome == core::Outcome::kAnswered) {
    m_front.Respond(exchange, call.m_response);
    return;
  }
  m_front.Respond(exchange,
                  m_dialect.MakeErrorResponse(*call.m_request, action));
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::Perform(core::ApplyOperatorUpdate&& action) {
  if (m_on_operator_update) {
    m_on_operator_update(std::move(action.m_update));
  }
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::Perform(core::StateChanged&& action) {
  m_decisions.Write(ReadClocks().m_time, core::ToString(action.m_change),
                    {{"member", ToString(action.m_member)},
                     {"record", action.m_record},
                     {"next", action.m_next},
                     {"count", action.m_count}});
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::Perform(core::ReloadLog&&) {
  m_follower.Reload();
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::Perform(core::IdentityLost&&) {
  const core::MemberId id = NewMemberId();
  LOG4CPLUS_WARN(MemberLogger(),
                 "membership lost; rejoining as member " << ToString(id));
  m_node.OnNewIdentity(ReadClocks(), id, [this](core::Action&& action) {
    PerformAction(std::move(action));
  });
}

template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::Perform(core::ReadyToStop&& action) {
  m_front.StopReading();
  m_write_until = action.m_write_until;
  // Other responses of the same event may follow this action.
  m_write_check.Set(core::Duration::zero());
}

// An acknowledgement that arrives at a closed connection resets it, and the
// peer loses what is still on its way, so the last ones are waited for. The
// loop writes responses in its next iteration, so a loop that is stopped at
// once would drop those given in this one.
template <LogService Log, Dialect DialectType>
void Daemon<Log, DialectType>::StopOnceWritten() {
  const core::Time now = ReadClocks().m_time;
  const std::size_t unsent = m_front.unsent_bytes() + m_peers.unsent_bytes() +
                             m_peers.unacknowledged_bytes(now);
  if (unsent > 0 && now < m_write_until) {
    m_write_check.Set(impl::kWriteCheckInterval);
    return;
  }
  LOG4CPLUS_INFO(ProcessLogger(),
                 "stopped with " << unsent << " bytes not written");
  m_loop.Stop();
}

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_IMPL_DAEMON_H_
