#include "figlug/runtime/impl/server_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <string>
#include <utility>

#include <log4cplus/loggingmacros.h>

#include "figlug/runtime/impl/socket_state.h"
#include "figlug/runtime/impl/timeval.h"
#include "figlug/runtime/logging.h"
#include "figlug/wire/response_writer.h"

namespace figlug::runtime::impl {
namespace {

constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::string_view kInvalidRequestResponse =
    "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
    "Content-Type: text/plain\r\nContent-Length: 16\r\n\r\n"
    "invalid request\n";
constexpr std::string_view kHeadTooLargeResponse =
    "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n"
    "Content-Type: text/plain\r\nContent-Length: 26\r\n\r\n"
    "request head is too large\n";
constexpr std::string_view kTimeoutResponse =
    "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
    "Content-Length: 0\r\n\r\n";
constexpr std::string_view kOverloadResponse =
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
    "Content-Length: 0\r\n\r\n";
constexpr std::uint16_t kContentTooLarge = 413;
constexpr std::uint16_t kBadGateway = 502;
constexpr std::uint16_t kUnavailable = 503;
constexpr std::size_t kMaxHeadBytes = 64U << 10;
/// A body that exceeds the limit is read and discarded up to this multiple of
/// the limit; beyond it, the connection is closed.
constexpr std::uint64_t kMaxReadBodyRatio = 4;
/// Well below the 0.5 s within which work for a client that has left must end.
constexpr timeval kCloseCheckInterval{0, 100'000};

}  // namespace

ServerConnection::ServerConnection(ServerState& state, evutil_socket_t socket)
    : m_state(state),
      m_stream(
          bufferevent_socket_new(state.m_base, socket, BEV_OPT_CLOSE_ON_FREE)),
      m_resume_event(event_new(state.m_base, -1, 0, &OnResume, this)),
      m_timeout(evtimer_new(state.m_base, &OnTimeout, this)),
      // libevent reports a reset connection as readable, not as closed.
      m_close_event(event_new(state.m_base,
                              socket,
                              EV_READ | EV_CLOSED,
                              &OnCloseCheck,
                              this)),
      m_close_check(evtimer_new(state.m_base, &OnCloseCheck, this)),
      m_reader(kMaxHeadBytes) {
  const int is_enabled = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &is_enabled, sizeof(is_enabled));
  bufferevent_setcb(m_stream, &OnReadable, &OnWritten, &OnEvent, this);
  if (state.m_meter != nullptr) {
    m_unsent.emplace(*state.m_meter);
    evbuffer_add_cb(output(), &OnOutput, this);
  }
  bufferevent_enable(m_stream, EV_READ | EV_WRITE);
  WaitForClient();
}

ServerConnection::~ServerConnection() {
  event_free(m_resume_event);
  event_free(m_timeout);
  event_free(m_close_event);
  event_free(m_close_check);
  if (m_unsent) {
    evbuffer_remove_cb(output(), &OnOutput, this);
  }
  bufferevent_setcb(m_stream, nullptr, nullptr, nullptr, nullptr);
  bufferevent_free(m_stream);
}

void ServerConnection::OnReadable(bufferevent*, void* arg) {
  static_cast<ServerConnection*>(arg)->ReadInput();
}

void ServerConnection::OnWritten(bufferevent*, void* arg) {
  auto* connection = static_cast<ServerConnection*>(arg);
  if (connection->m_closes_once_written) {
    connection->End();
  }
}

void ServerConnection::OnEvent(bufferevent*, short, void* arg) {
  static_cast<ServerConnection*>(arg)->End();
}

void ServerConnection::OnResume(evutil_socket_t, short, void* arg) {
  static_cast<ServerConnection*>(arg)->ReadInput();
}

// A client that still receives its response is not idle.
void ServerConnection::OnTimeout(evutil_socket_t, short, void* arg) {
  auto* connection = static_cast<ServerConnection*>(arg);
  const std::size_t unsent = connection->unsent_bytes();
  const std::size_t before = std::exchange(connection->m_last_unsent, unsent);
  if (unsent > 0 && unsent != before) {
    connection->SetTimeout(connection->m_state.m_client_limits.m_idle_timeout);
    return;
  }
  if (!connection->HasBegunRequest() || connection->m_closes_once_written) {
    connection->End();
    return;
  }
  LOG4CPLUS_INFO(ProcessLogger(),
                 "rejected a request whose client takes too long");
  connection->Reject(kTimeoutResponse);
}

// The head has one time limit, however often a part of it arrives.
void ServerConnection::WaitForClient() {
  const bool is_head_due = !m_reader.has_head() && HasBegunRequest();
  if (is_head_due && std::exchange(m_is_head_begun, true)) {
    return;
  }
  const core::ClientLimits& limits = m_state.m_client_limits;
  SetTimeout(is_head_due ? limits.m_header_timeout : limits.m_idle_timeout);
}

void ServerConnection::SetTimeout(core::Duration time) {
  const timeval limit = ToTimeval(time);
  event_add(m_timeout, &limit);
}

// A waiting request keeps the socket readable, so the socket is then checked at
// intervals.
void ServerConnection::OnCloseCheck(evutil_socket_t, short, void* arg) {
  auto* connection = static_cast<ServerConnection*>(arg);
  if (IsClosedByPeer(bufferevent_getfd(connection->m_stream))) {
    connection->End();
    return;
  }
  event_add(connection->m_close_check, &kCloseCheckInterval);
}

void ServerConnection::OnOutput(evbuffer* output,
                                const evbuffer_cb_info*,
                                void* arg) {
  static_cast<ServerConnection*>(arg)->m_unsent->Set(
      evbuffer_get_length(output));
}

void ServerConnection::ReadInput() {
  while (!m_exchange) {
    const std::size_t length = evbuffer_get_length(input());
    if (m_closes_once_written) {
      evbuffer_drain(input(), length);
    }
    if (m_closes_once_written || length == 0) {
      return;
    }
    const auto* bytes =
        reinterpret_cast<const char*>(evbuffer_pullup(input(), -1));
    const auto used = m_reader.Read({bytes, length});
    if (!used) {
      LOG4CPLUS_WARN(ProcessLogger(), "rejected a request that is "
                                          << wire::ToString(used.error()));
      const bool is_head_too_large =
          used.error() == wire::RequestError::kTooLarge && !m_reader.has_head();
      Reject(is_head_too_large ? kHeadTooLargeResponse
                               : kInvalidRequestResponse);
      continue;
    }
    evbuffer_drain(input(), *used);
    if (m_reader.has_head() && !m_is_head_checked) {
      CheckHead();
    }
    if (m_closes_once_written) {
      continue;
    }
    if (!CheckBody()) {
      End();
      return;
    }
    if (m_reader.is_complete()) {
      DeliverRequest();
      return;
    }
    CountArriving();
    if (*used == 0 || evbuffer_get_length(input()) == 0) {
      WaitForClient();
      return;
    }
  }
}

bool ServerConnection::HasBegunRequest() const {
  return m_reader.head_memory() > 0 || evbuffer_get_length(input()) > 0;
}

void ServerConnection::CheckHead() {
  m_is_head_checked = true;
  m_is_head_request = m_reader.request().m_method == "HEAD";
  m_refusal = m_state.m_handlers.m_check_head(m_reader.request());
  if (m_refusal) {
    m_reader.DiscardBody();
  }
  if (!m_reader.ExpectsContinue()) {
    return;
  }
  if (!m_refusal) {
    bufferevent_write(m_stream, kContinueResponse.data(),
                      kContinueResponse.size());
    return;
  }
  // The client need not send the body now, and where the next request begins is
  // then not known.
  m_refusal->m_headers.push_back({"Connection", "close"});
  Write(*m_refusal);
}

bool ServerConnection::CheckBody() {
  const std::uint64_t limit = m_state.m_body_limit;
  if (m_reader.body_bytes() <= limit) {
    return true;
  }
  if (!m_refusal) {
    m_reader.DiscardBody();
    m_refusal = wire::HttpResponse{
        kContentTooLarge,
        {{"Figlug-Outcome", "not-run"}, {"Connection", "close"}},
        "request body exceeds the limit of " + std::to_string(limit) +
            " bytes\n"};
  }
  return m_reader.body_bytes() <= kMaxReadBodyRatio * limit;
}

void ServerConnection::DeliverRequest() {
  m_arriving.reset();
  event_del(m_timeout);
  if (m_refusal) {
    Write(*m_refusal);
    BeginNextRequest();
    return;
  }
  // After a pause of this process, requests wait whose clients gave up since.
  if (IsClosedByPeer(bufferevent_getfd(m_stream))) {
    End();
    return;
  }
  const ExchangeId id{++m_state.m_last_id};
  m_state.m_exchanges[id] = this;
  m_exchange = id;
  bufferevent_disable(m_stream, EV_READ);
  event_add(m_close_event, nullptr);
  // May respond, or end the connection.
  m_state.m_handlers.m_on_request(id, m_reader.Take());
}

void ServerConnection::Respond(const wire::HttpResponse& response) {
  m_exchange.reset();
  event_del(m_close_event);
  event_del(m_close_check);
  Write(response);
  BeginNextRequest();
}

void ServerConnection::BeginNextRequest() {
  m_reader = wire::RequestReader(kMaxHeadBytes);
  m_is_head_begun = false;
  m_is_head_checked = false;
  m_refusal.reset();
  if (m_state.m_is_reading_stopped) {
    return;
  }
  bufferevent_enable(m_stream, EV_READ);
  WaitForClient();
  if (evbuffer_get_length(input()) > 0) {
    event_active(m_resume_event, EV_TIMEOUT, 0);
  }
}

void ServerConnection::CountArriving() {
  if (m_state.m_meter == nullptr) {
    return;
  }
  if (!m_arriving) {
    m_arriving.emplace(*m_state.m_meter, [this] { DiscardArriving(); });
  }
  m_arriving->Set(evbuffer_get_length(input()) + m_reader.head_memory() +
                  m_reader.request().m_body.size());
}

void ServerConnection::DiscardArriving() {
  if (m_closes_once_written) {
    return;
  }
  if (!m_reader.has_head()) {
    Reject(kOverloadResponse);
    return;
  }
  m_reader.DiscardBody();
  if (!m_refusal) {
    const auto& make = m_state.m_handlers.m_make_overload_response;
    m_refusal = make ? make(m_reader.request())
                     : wire::HttpResponse{kUnavailable, {}, ""};
  }
}

void ServerConnection::Write(const wire::HttpResponse& response) {
  if (!wire::IsWritable(response)) {
    LOG4CPLUS_WARN(ProcessLogger(),
                   "response with status "
                       << response.m_status
                       << " or one of its header fields is not HTTP");
    Write({kBadGateway, {}, ""});
    return;
  }
  const bool closes =
      wire::FindHeader(response.m_headers, "Connection") != nullptr ||
      ClosesAfterResponse() || !m_reader.KeepsConnection();
  const auto kept = m_reader.IsHttp10() ? wire::ConnectionOption::kKeepAlive
                                        : wire::ConnectionOption::kNone;
  const std::string head =
      wire::EncodeResponseHead(response, m_is_head_request,
                               closes ? wire::ConnectionOption::kClose : kept);
  bufferevent_write(m_stream, head.data(), head.size());
  if (wire::HasBody(response, m_is_head_request)) {
    bufferevent_write(m_stream, response.m_body.data(), response.m_body.size());
  }
  if (closes) {
    CloseOnceWritten();
  }
}

void ServerConnection::Reject(std::string_view response) {
  bufferevent_write(m_stream, response.data(), response.size());
  CloseOnceWritten();
}

void ServerConnection::CloseOnceWritten() {
  m_closes_once_written = true;
  SetTimeout(m_state.m_client_limits.m_idle_timeout);
}

// A request that waits behind the response is answered first. Closing a
// connection with unread bytes may also cost its client the response.
bool ServerConnection::ClosesAfterResponse() const {
  if (m_state.m_is_reading_stopped) {
    return true;
  }
  if (m_state.m_is_listening && !m_state.m_closes_after_response) {
    return false;
  }
  return evbuffer_get_length(input()) == 0 &&
         !HasUnreadBytes(bufferevent_getfd(m_stream));
}

void ServerConnection::StopReading() {
  bufferevent_disable(m_stream, EV_READ);
}

bool ServerConnection::IsIdle() const {
  return !m_exchange && unsent_bytes() == 0;
}

std::size_t ServerConnection::unsent_bytes() const {
  return evbuffer_get_length(output());
}

void ServerConnection::End() {
  ServerState& state = m_state;
  const std::optional<ExchangeId> exchange = m_exchange;
  state.m_connections.erase(this);
  if (!exchange) {
    return;
  }
  state.m_exchanges.erase(*exchange);
  if (!state.m_is_closing) {
    state.m_handlers.m_on_disconnect(*exchange);
  }
}

evbuffer* ServerConnection::input() const {
  return bufferevent_get_input(m_stream);
}

evbuffer* ServerConnection::output() const {
  return bufferevent_get_output(m_stream);
}

}  // namespace figlug::runtime::impl
