#include "figlug/runtime/daemon.h"

#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <vector>

#include "figlug/core/outcome.h"
#include "figlug/runtime/headers.h"
#include "figlug/runtime/http_log_client.h"
#include "figlug/runtime/log_prefix.h"
#include "figlug/runtime/status_report.h"

namespace figlug::runtime {
namespace {

using core::Outcome;
using core::Reason;

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kConflict = 409;
constexpr std::uint16_t kMisdirected = 421;
constexpr std::uint16_t kBadGateway = 502;
constexpr std::uint16_t kUnavailable = 503;
constexpr std::uint16_t kGatewayTimeout = 504;
constexpr std::size_t kBytesPerKib = 1024;
constexpr std::string_view kAdminPrefix = "/figlug/";

core::CallId ToCall(ExchangeId id) {
  return core::CallId(static_cast<std::uint64_t>(id));
}

ExchangeId ToExchange(core::CallId id) {
  return ExchangeId(static_cast<std::uint64_t>(id));
}

std::uint16_t StatusOf(Outcome outcome, Reason reason) {
  switch (reason) {
    case Reason::kUnknownService:
      return kNotFound;
    case Reason::kWrongRegion:
      return kMisdirected;
    case Reason::kDeadline:
      return kGatewayTimeout;
    case Reason::kDuplicate:
      return kConflict;
    case Reason::kBadRequestId:
      return kBadRequest;
    default:
      return outcome == Outcome::kNotRun ? kUnavailable : kBadGateway;
  }
}

wire::HttpResponse MakeRefusal(Outcome outcome, Reason reason) {
  const std::string outcome_name(core::ToString(outcome));
  const std::string reason_name(core::ToString(reason));
  return {StatusOf(outcome, reason),
          {{std::string(kOutcomeHeader), outcome_name},
           {std::string(kReasonHeader), reason_name}},
          outcome_name + ": " + reason_name + "\n"};
}

wire::HttpResponse MakeBadRequest(const std::string& problem) {
  return {kBadRequest,
          {{std::string(kOutcomeHeader), "not-run"},
           {std::string(kReasonHeader), "bad-request"}},
          "not-run: " + problem + "\n"};
}

wire::HttpResponse MakeText(std::uint16_t status,
                            const std::string& type,
                            std::string body) {
  return {status, {{"Content-Type", type}}, std::move(body)};
}

std::string JoinNames(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

// The answer to HEAD has a length but no body to take it from.
wire::Headers AnswerHeaders(const wire::HttpRequest& request,
                            const wire::HttpResponse& response) {
  wire::Headers headers = EndToEndHeaders(response.m_headers);
  const std::string* length =
      wire::FindHeader(response.m_headers, "Content-Length");
  if (request.m_method == "HEAD" && length != nullptr) {
    headers.push_back({"Content-Length", *length});
  }
  return headers;
}

core::TargetResult JudgeError(HttpClientError error) {
  switch (error) {
    case HttpClientError::kNotSent:
    case HttpClientError::kUnsupportedMethod:
      return {Outcome::kNotRun, Reason::kTargetUnreachable};
    case HttpClientError::kTimeout:
      return {Outcome::kUnknown, Reason::kDeadline};
    case HttpClientError::kBroken:
    case HttpClientError::kTooLarge:
      break;
  }
  return {Outcome::kUnknown, Reason::kTargetFailed};
}

core::NodeSettings WithIdentity(const settings::DaemonSettings& settings,
                                std::uint64_t seed) {
  core::NodeSettings node = settings.m_node;
  std::mt19937_64 random(seed);
  node.m_self.m_id = core::MemberId(random() | 1);
  node.m_seed = random();
  return node;
}

wire::Header MakeHeader(std::string_view name, std::string value) {
  return {std::string(name), std::move(value)};
}

}  // namespace

template <LogService Log>
Daemon<Log>::Daemon(EventLoop& loop,
                    const settings::DaemonSettings& settings,
                    Log& log,
                    std::uint64_t seed)
    : m_loop(loop),
      m_settings(settings),
      m_log(log),
      m_random(seed ^ 0x9e3779b97f4a7c15U),
      m_node(WithIdentity(settings, seed), ReadClocks()),
      m_front(loop,
              {[this](const auto& head) { return Screen(head); },
               [this](ExchangeId id, wire::HttpRequest&& request) {
                 OnHttpRequest(id, std::move(request));
               },
               [this](ExchangeId id) { OnCallerGone(id); }},
              settings.m_body_limit_kib * kBytesPerKib),
      m_target(loop,
               settings.m_target,
               settings.m_target_connections,
               settings.m_body_limit_kib * kBytesPerKib),
      m_peers(loop,
              {[this](PeerConnectionId from, wire::Frame&& frame) {
                 OnFrame(from, std::move(frame));
               },
               [this](wire::ReplyFrame&& reply) { OnReply(std::move(reply)); },
               [this](core::AttemptId attempt, bool was_sent) {
                 OnLost(attempt, was_sent);
               },
               [this](PeerConnectionId peer) { OnPeerClosed(peer); }}),
      m_datagrams(loop,
                  [this](const core::Datagram& datagram) {
                    Drive([&](core::Now now, auto& sink) {
                      m_node.OnDatagram(now, datagram, sink);
                    });
                  }),
      m_probe(loop,
              settings.m_target,
              [this](bool is_up) {
                LOG4CPLUS_INFO(MemberLog(),
                               "target " << m_settings.m_node.m_self.m_target
                                         << (is_up ? " accepts" : " refuses")
                                         << " connections");
                Drive([&](core::Now now, auto& sink) {
                  m_node.OnTargetHealth(now, is_up, sink);
                });
              }),
      m_follower(loop, log, MakeLogHandlers()),
      m_spans(loop),
      m_timer(loop, [this] {
        m_timer_at = core::kNever;
        Drive([&](core::Now now, auto& sink) { m_node.OnTimer(now, sink); });
      }) {}

template <LogService Log>
LogFollowerHandlers Daemon<Log>::MakeLogHandlers() {
  return {
      .m_on_start =
          [this](core::ControlState&& state) {
            Drive([&](core::Now now, auto& sink) {
              m_node.OnStart(now, std::move(state), sink);
            });
          },
      .m_on_records =
          [this](const std::vector<core::LogEntry>& entries) {
            Drive([&](core::Now now, auto& sink) {
              m_node.OnRecords(now, entries, sink);
            });
          },
      .m_on_caught_up =
          [this] {
            Drive([&](core::Now now, auto& sink) {
              m_node.OnCaughtUp(now, sink);
            });
          },
      .m_on_gap =
          [this] {
            LOG4CPLUS_WARN(RecordLog(),
                           "log no longer has the next record; starting over");
            Drive(
                [&](core::Now now, auto& sink) { m_node.OnLogGap(now, sink); });
          },
      .m_on_health = [this](bool is_healthy) { OnLogHealth(is_healthy); },
      .m_on_bounds =
          [this](core::Offset first) {
            m_node.OnLogBounds(ReadClocks(), first);
          },
      .m_next = [this] { return m_node.state().next(); },
  };
}

template <LogService Log>
void Daemon<Log>::OnLogHealth(bool is_healthy) {
  if (is_healthy != m_log_answers) {
    m_log_answers = is_healthy;
    if (is_healthy) {
      LOG4CPLUS_INFO(RecordLog(), "log answers");
    } else {
      LOG4CPLUS_WARN(RecordLog(), "log does not answer; serving goes on");
    }
  }
  m_node.OnLogHealth(ReadClocks(), is_healthy);
}

template <LogService Log>
tl::expected<void, RuntimeError> Daemon<Log>::Start() {
  if (auto opened = m_spans.Open(m_settings.m_trace_file); !opened) {
    return opened;
  }
  if (auto bound = m_peers.Listen(m_settings.m_peer_listen); !bound) {
    return bound;
  }
  if (auto bound = m_datagrams.Listen(m_settings.m_peer_listen); !bound) {
    return bound;
  }
  if (auto bound = m_front.Listen(m_settings.m_http_listen); !bound) {
    return bound;
  }
  LOG4CPLUS_INFO(ProcessLog(),
                 "started as member " << ToString(m_node.self().m_id));
  m_probe.Start();
  m_follower.Start();
  Rearm();
  return {};
}

template <LogService Log>
void Daemon<Log>::Stop() {
  LOG4CPLUS_INFO(ProcessLog(), "stopping gracefully");
  m_front.StopListening();
  Drive([&](core::Now now, auto& sink) { m_node.OnStop(now, sink); });
}

template <LogService Log>
template <class Event>
void Daemon<Log>::Drive(Event&& event) {
  auto sink = [this](core::Action&& action) { CarryAny(std::move(action)); };
  event(ReadClocks(), sink);
  Rearm();
}

template <LogService Log>
void Daemon<Log>::CarryAny(core::Action&& action) {
  std::visit(
      [this]<class Typed>(Typed& typed) { this->Carry(std::move(typed)); },
      action);
}

template <LogService Log>
void Daemon<Log>::Rearm() {
  const core::Time next = m_node.NextDeadline();
  if (next != m_timer_at) {
    m_timer_at = next;
    m_timer.Set(next - ReadClocks().m_time);
  }
}

template <LogService Log>
core::MemberId Daemon<Log>::NewMemberId() {
  return core::MemberId(m_random() | 1);
}

template <LogService Log>
std::optional<wire::HttpResponse> Daemon<Log>::Screen(
    const wire::HttpRequest& head) {
  if (head.m_path.starts_with(kAdminPrefix)) {
    return std::nullopt;
  }
  const auto call = ParseCallHead(head.m_headers);
  if (!call) {
    return MakeBadRequest(call.error().m_problem);
  }
  const Reason reason = m_node.Screen(*call);
  const core::Profile& profile = m_node.state().ProfileOf(call->m_service);
  if (reason == Reason::kNone) {
    return profile.m_keyed && call->m_key.empty()
               ? std::optional(MakeBadRequest("header Figlug-Key is missing"))
               : std::nullopt;
  }
  wire::HttpResponse refusal = MakeRefusal(Outcome::kNotRun, reason);
  if (reason == Reason::kWrongRegion) {
    refusal.m_headers.push_back(
        MakeHeader("Figlug-Home-Regions", JoinNames(profile.m_home_regions)));
  }
  return refusal;
}

template <LogService Log>
void Daemon<Log>::OnHttpRequest(ExchangeId id, wire::HttpRequest&& request) {
  if (const auto answer = Administer(request)) {
    m_front.Respond(id, *answer);
    return;
  }
  const auto head = ParseCallHead(request.m_headers);
  if (!head) {
    m_front.Respond(id, MakeBadRequest(head.error().m_problem));
    return;
  }
  const std::size_t limit = m_settings.m_buffer_limit_kib * kBytesPerKib;
  if (m_buffered + request.m_body.size() > limit) {
    m_front.Respond(id, MakeRefusal(Outcome::kNotRun, Reason::kOverloaded));
    return;
  }
  const std::string* parent =
      wire::FindHeader(request.m_headers, kTraceparentHeader);
  Call call;
  call.m_service = head->m_service;
  call.m_trace = OpenSpan(
      parent == nullptr ? std::nullopt : ParseTraceparent(*parent), m_random);
  call.m_started = ReadClocks();
  call.m_buffered = request.m_body.size();
  m_buffered += call.m_buffered;
  request.m_headers = EndToEndHeaders(request.m_headers);
  request.m_headers.push_back(
      MakeHeader(kTraceparentHeader, ToTraceparent(call.m_trace)));
  call.m_request =
      std::make_shared<const wire::HttpRequest>(std::move(request));
  m_calls.emplace(ToCall(id), std::move(call));
  Drive([&](core::Now now, auto& sink) {
    m_node.OnCall(now, ToCall(id), *head, sink);
  });
}

template <LogService Log>
std::optional<wire::HttpResponse> Daemon<Log>::Administer(
    const wire::HttpRequest& request) {
  if (!request.m_path.starts_with(kAdminPrefix)) {
    return std::nullopt;
  }
  const std::string_view page =
      std::string_view(request.m_path).substr(kAdminPrefix.size());
  const core::Time now = ReadClocks().m_time;
  if (page == "health") {
    return MakeText(kOk, "text/plain", "ok\n");
  }
  if (page == "ready") {
    const bool is_ready = m_node.IsServing(now);
    return MakeText(is_ready ? kOk : kUnavailable, "text/plain",
                    is_ready ? "ready\n" : "not ready\n");
  }
  if (page == "status") {
    return MakeText(kOk, "application/json",
                    DescribeNode(m_node, now).dump(2) + "\n");
  }
  if (page == "metrics") {
    return MakeText(kOk, "text/plain; version=0.0.4",
                    m_metrics.Render(now, ReadGauges()));
  }
  if (page == "explain") {
    const auto head = ParseCallHead(request.m_headers);
    if (!head) {
      return MakeBadRequest(head.error().m_problem);
    }
    return MakeText(
        kOk, "application/json",
        DescribeRoute(m_node.state(), m_node.Explain(*head)).dump(2) + "\n");
  }
  return MakeText(kNotFound, "text/plain", "no such page\n");
}

template <LogService Log>
Gauges Daemon<Log>::ReadGauges() const {
  const core::Time now = ReadClocks().m_time;
  return {
      {"lease_valid", m_node.HasLease(now) ? 1 : 0},
      {"serving", m_node.IsServing(now) ? 1 : 0},
      {"members", static_cast<double>(m_node.state().members().size())},
      {"next_offset", static_cast<double>(m_node.state().next())},
      {"owned_slices", m_node.ownership().owned_count()},
      {"gate_limit", m_node.gate().limit()},
      {"gate_running", m_node.gate().running()},
      {"gate_queued", static_cast<double>(m_node.gate().queued())},
      {"open_calls", static_cast<double>(m_node.ingress().open_calls())},
      {"target_connections", static_cast<double>(m_target.connections())},
      {"caller_connections", static_cast<double>(m_front.connections())},
      {"buffered_bytes", static_cast<double>(m_buffered)},
      {"peer_sent_bytes", static_cast<double>(m_peers.bytes_sent())},
      {"heartbeat_bytes", static_cast<double>(m_datagrams.bytes())},
  };
}

template <LogService Log>
void Daemon<Log>::OnCallerGone(ExchangeId id) {
  Drive([&](core::Now now, auto& sink) {
    m_node.OnCallerGone(now, ToCall(id), sink);
  });
}

template <LogService Log>
void Daemon<Log>::OnFrame(PeerConnectionId from, wire::Frame&& frame) {
  if (auto* attempt = std::get_if<wire::AttemptFrame>(&frame)) {
    Work work;
    work.m_peer = from;
    work.m_attempt = attempt->m_attempt;
    work.m_head = std::move(attempt->m_head);
    work.m_request = std::make_shared<const wire::HttpRequest>(
        std::move(attempt->m_request));
    OnAttempt(std::move(work));
  } else if (const auto* cancel = std::get_if<wire::CancelFrame>(&frame)) {
    CancelWork(from, cancel->m_attempt);
  } else if (const auto* message = std::get_if<core::PeerMessage>(&frame)) {
    Drive([&](core::Now now, auto& sink) {
      m_node.OnPeerMessage(now, *message, sink);
    });
  }
}

template <LogService Log>
void Daemon<Log>::OnAttempt(Work&& work) {
  const std::string* parent =
      wire::FindHeader(work.m_request->m_headers, kTraceparentHeader);
  work.m_trace = OpenSpan(
      parent == nullptr ? std::nullopt : ParseTraceparent(*parent), m_random);
  work.m_started = ReadClocks();
  const core::WorkId id{++m_last_work};
  const core::AttemptHead head = work.m_head;
  m_work.emplace(id, std::move(work));
  Drive([&](core::Now now, auto& sink) {
    m_node.OnAttempt(now, id, head, sink);
  });
}

template <LogService Log>
void Daemon<Log>::CancelWork(std::optional<PeerConnectionId> peer,
                             core::AttemptId attempt) {
  const auto it = std::ranges::find_if(m_work, [&](const auto& entry) {
    return entry.second.m_peer == peer && entry.second.m_attempt == attempt;
  });
  if (it == m_work.end()) {
    return;
  }
  const core::WorkId id = it->first;
  Drive([&](core::Now now, auto& sink) {
    m_node.OnWorkCancelled(now, id, sink);
  });
  m_work.erase(id);
}

template <LogService Log>
void Daemon<Log>::OnPeerClosed(PeerConnectionId peer) {
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

template <LogService Log>
void Daemon<Log>::OnReply(wire::ReplyFrame&& frame) {
  EndAttempt(frame.m_attempt, frame.m_outcome, frame.m_reason,
             std::move(frame.m_response));
}

template <LogService Log>
void Daemon<Log>::OnLost(core::AttemptId attempt, bool was_sent) {
  EndAttempt(attempt, was_sent ? Outcome::kUnknown : Outcome::kNotRun,
             was_sent ? Reason::kPeerLost : Reason::kPeerUnreachable, {});
}

template <LogService Log>
void Daemon<Log>::EndAttempt(core::AttemptId attempt,
                             Outcome outcome,
                             Reason reason,
                             wire::HttpResponse&& response) {
  const auto it = m_attempts.find(attempt);
  if (it == m_attempts.end()) {
    return;
  }
  const auto call = m_calls.find(it->second);
  m_attempts.erase(it);
  if (call != m_calls.end() && outcome == Outcome::kAnswered) {
    call->second.m_response = std::move(response);
  }
  Drive([&](core::Now now, auto& sink) {
    m_node.OnAttemptEnd(now, attempt, outcome, reason, sink);
  });
}

template <LogService Log>
void Daemon<Log>::OnTargetDone(core::WorkId id, HttpClient::Result&& result) {
  const auto it = m_work.find(id);
  if (it == m_work.end()) {
    return;
  }
  it->second.m_target_call.reset();
  core::TargetResult judged;
  if (!result) {
    judged = JudgeError(result.error());
  } else if (wire::FindHeader(result->m_headers, kNotRunHeader) != nullptr) {
    judged = {Outcome::kNotRun, Reason::kTargetShed};
  } else {
    it->second.m_response = std::move(*result);
  }
  Drive([&](core::Now now, auto& sink) {
    m_node.OnTargetResult(now, id, judged, sink);
  });
}

template <LogService Log>
void Daemon<Log>::Carry(core::SendDatagram&& action) {
  m_datagrams.Send(action.m_to, action.m_datagram);
}

template <LogService Log>
void Daemon<Log>::Carry(core::SendPeerMessage&& action) {
  m_peers.Send(action.m_to, std::move(action.m_message));
}

template <LogService Log>
void Daemon<Log>::Carry(core::AppendRecord&& action) {
  m_log.Append(action.m_id, action.m_record);
}

template <LogService Log>
void Daemon<Log>::Carry(core::SendAttempt&& action) {
  const auto call = m_calls.find(action.m_call);
  if (call == m_calls.end()) {
    return;
  }
  m_attempts[action.m_attempt] = action.m_call;
  const std::shared_ptr<const wire::HttpRequest> request =
      call->second.m_request;
  if (action.m_member != m_node.self().m_id) {
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

template <LogService Log>
void Daemon<Log>::Carry(core::CancelAttempt&& action) {
  m_attempts.erase(action.m_attempt);
  if (action.m_member == m_node.self().m_id) {
    CancelWork(std::nullopt, action.m_attempt);
  } else if (action.m_to.m_port != 0) {
    m_peers.Send(action.m_to, wire::CancelFrame{action.m_attempt});
  }
}

template <LogService Log>
wire::HttpRequest Daemon<Log>::MakeTargetRequest(
    const Work& work,
    const core::DispatchWork& action) const {
  wire::HttpRequest request = *work.m_request;
  std::erase_if(request.m_headers, [](const wire::Header& header) {
    return header.m_name == kTraceparentHeader;
  });
  const auto left_ms =
      std::chrono::ceil<std::chrono::milliseconds>(action.m_time_left);
  request.m_headers.push_back(
      MakeHeader(kTraceparentHeader, ToTraceparent(work.m_trace)));
  request.m_headers.push_back(
      MakeHeader(kDeadlineHeader, std::to_string(left_ms.count())));
  request.m_headers.push_back(
      MakeHeader(kRequestIdHeader, core::ToString(work.m_head.m_request_id)));
  if (action.m_fence.m_epoch > 0) {
    request.m_headers.push_back(MakeHeader(
        kFenceHeader, action.m_fence.m_service + "/" +
                          std::to_string(action.m_fence.m_slice) + "/" +
                          std::to_string(action.m_fence.m_epoch)));
  }
  return request;
}

template <LogService Log>
void Daemon<Log>::Carry(core::DispatchWork&& action) {
  const core::WorkId id = action.m_work;
  const auto it = m_work.find(id);
  if (it == m_work.end()) {
    return;
  }
  const HttpCallId call =
      m_target.Send(MakeTargetRequest(it->second, action), action.m_time_left,
                    [this, id](HttpClient::Result&& result) {
                      OnTargetDone(id, std::move(result));
                    });
  if (const auto still = m_work.find(id); still != m_work.end()) {
    still->second.m_target_call = call;
  }
}

template <LogService Log>
void Daemon<Log>::Carry(core::CancelWork&& action) {
  const auto it = m_work.find(action.m_work);
  if (it != m_work.end() && it->second.m_target_call) {
    m_target.Cancel(*it->second.m_target_call);
  }
}

template <LogService Log>
void Daemon<Log>::Carry(core::FinishAttempt&& action) {
  auto node = m_work.extract(action.m_work);
  if (node.empty()) {
    return;
  }
  Work& work = node.mapped();
  const core::Now now = ReadClocks();
  m_spans.Write({work.m_trace, "gate", work.m_head.m_service,
                 work.m_started.m_wall, now.m_time - work.m_started.m_time,
                 action.m_outcome, action.m_reason});
  work.m_response.m_headers = AnswerHeaders(*work.m_request, work.m_response);
  if (work.m_peer) {
    m_peers.Reply(*work.m_peer, {work.m_attempt, action.m_outcome,
                                 action.m_reason, std::move(work.m_response)});
  } else {
    EndAttempt(work.m_attempt, action.m_outcome, action.m_reason,
               std::move(work.m_response));
  }
}

template <LogService Log>
void Daemon<Log>::Carry(core::FinishCall&& action) {
  auto node = m_calls.extract(action.m_call);
  if (node.empty()) {
    return;
  }
  Call& call = node.mapped();
  m_buffered -= call.m_buffered;
  const core::Now now = ReadClocks();
  const core::Duration length = now.m_time - call.m_started.m_time;
  m_metrics.CountCall(now.m_time, action.m_outcome, action.m_reason, length);
  m_spans.Write({call.m_trace, "ingress", call.m_service, call.m_started.m_wall,
                 length, action.m_outcome, action.m_reason});
  const ExchangeId exchange = ToExchange(action.m_call);
  if (action.m_outcome == Outcome::kAnswered) {
    m_front.Respond(exchange, call.m_response);
    return;
  }
  LOG4CPLUS_DEBUG(CallLog(), "call ended " << core::ToString(action.m_outcome)
                                           << ", "
                                           << core::ToString(action.m_reason));
  m_front.Respond(exchange, MakeRefusal(action.m_outcome, action.m_reason));
}

template <LogService Log>
void Daemon<Log>::Carry(core::IdentityLost&&) {
  const core::MemberId id = NewMemberId();
  LOG4CPLUS_WARN(MemberLog(),
                 "membership was lost; joining again as " << ToString(id));
  m_node.OnNewIdentity(ReadClocks(), id, [this](core::Action&& action) {
    CarryAny(std::move(action));
  });
}

template <LogService Log>
void Daemon<Log>::Carry(core::ReadyToStop&&) {
  LOG4CPLUS_INFO(ProcessLog(), "stopped");
  m_loop.Stop();
}

template class Daemon<HttpLogClient>;

}  // namespace figlug::runtime
