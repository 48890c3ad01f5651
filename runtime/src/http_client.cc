#include "figlug/runtime/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "figlug/wire/response_reader.h"

namespace figlug::runtime {
namespace {

constexpr core::Duration kMinTimeout = std::chrono::milliseconds(1);
constexpr std::size_t kMaxHeadBytes = 64U << 10;
/// Used if the server sends no Keep-Alive timeout; well below the shortest
/// default of common servers (5 s).
constexpr core::Duration kDefaultIdleTime = std::chrono::seconds(4);
/// Fraction of the server's Keep-Alive timeout during which an idle connection
/// is reused.
constexpr double kIdleReuseRatio = 0.7;
/// Responses to earlier requests that are passed over before the own one.
constexpr std::uint32_t kMaxForeignResponses = 4;
/// Ids that a connection may have carried, which bounds their memory.
constexpr std::size_t kMaxCarriedIds = 1024;

constexpr std::string_view kWhiteSpaceAndControls = {" \t\r\n\0", 5};
constexpr std::string_view kLineBreaks = {"\r\n\0", 3};

bool IsWord(std::string_view text) {
  return !text.empty() &&
         text.find_first_of(kWhiteSpaceAndControls) == std::string_view::npos;
}

// A response to CONNECT is framed differently.
bool IsValid(const wire::HttpRequest& request) {
  return IsWord(request.m_method) && request.m_method != "CONNECT" &&
         IsWord(request.m_path) &&
         std::ranges::all_of(request.m_headers, [](const wire::Header& header) {
           return IsWord(header.m_name) &&
                  header.m_name.find(':') == std::string::npos &&
                  header.m_value.find_first_of(kLineBreaks) ==
                      std::string::npos;
         });
}

// The headers that frame the body are written by the client alone.
bool IsFraming(const wire::Header& header) {
  return wire::IsNamed(header, "Content-Length") ||
         wire::IsNamed(header, "Transfer-Encoding");
}

std::string EncodeHead(const wire::HttpRequest& request,
                       const core::Endpoint& to) {
  std::string head = request.m_method + " " + request.m_path + " HTTP/1.1\r\n";
  const auto add = [&](std::string_view name, std::string_view value) {
    head.append(name).append(": ").append(value).append("\r\n");
  };
  for (const wire::Header& header : request.m_headers) {
    if (!IsFraming(header)) {
      add(header.m_name, header.m_value);
    }
  }
  if (wire::FindHeader(request.m_headers, "Host") == nullptr) {
    add("Host", to.m_host + ":" + std::to_string(to.m_port));
  }
  const std::string& method = request.m_method;
  if (!request.m_body.empty() || method == "POST" || method == "PUT" ||
      method == "PATCH") {
    add("Content-Length", std::to_string(request.m_body.size()));
  }
  return head + "\r\n";
}

// The server's Keep-Alive timeout is in whole seconds.
core::Duration ParseIdleTime(const wire::HttpResponse& response) {
  const std::string* text = wire::FindHeader(response.m_headers, "Keep-Alive");
  constexpr std::string_view timeout_field = "timeout=";
  const std::size_t at =
      text == nullptr ? std::string::npos : text->find(timeout_field);
  if (at == std::string::npos) {
    return kDefaultIdleTime;
  }
  std::int64_t seconds = 0;
  const char* begin = text->data() + at + timeout_field.size();
  std::from_chars(begin, text->data() + text->size(), seconds);
  return std::chrono::duration_cast<core::Duration>(
      kIdleReuseRatio * std::chrono::seconds(seconds));
}

HttpClientError ToClientError(wire::ResponseError error) {
  switch (error) {
    case wire::ResponseError::kTooLarge:
      return HttpClientError::kTooLarge;
    case wire::ResponseError::kIncomplete:
      return HttpClientError::kConnectionLost;
    case wire::ResponseError::kMalformed:
      break;
  }
  return HttpClientError::kMalformedResponse;
}

}  // namespace

std::string_view ToString(HttpClientError error) noexcept {
  switch (error) {
    case HttpClientError::kNotSent:
      return "not-sent";
    case HttpClientError::kInvalidRequest:
      return "invalid-request";
    case HttpClientError::kConnectionLost:
      return "connection-lost";
    case HttpClientError::kTimeout:
      return "timeout";
    case HttpClientError::kTooLarge:
      return "too-large";
    case HttpClientError::kMismatchedResponse:
      return "mismatched-response";
    case HttpClientError::kMalformedResponse:
      return "malformed-response";
  }
  return "unknown";
}

std::string_view ToString(UncleanKind kind) noexcept {
  switch (kind) {
    case UncleanKind::kFailed:
      return "failed";
    case UncleanKind::kForeignResponse:
      return "foreign-response";
    case UncleanKind::kLeftOver:
      return "left-over";
    case UncleanKind::kUnasked:
      return "unasked";
  }
  return "unknown";
}

class HttpClient::Impl {
 public:
  Impl(EventLoop& loop,
       core::Endpoint to,
       std::size_t max_connections,
       std::size_t body_limit,
       core::Duration max_idle_time,
       BufferMeter* meter)
      : m_loop(loop),
        m_to(std::move(to)),
        m_max_connections(max_connections),
        m_limits{kMaxHeadBytes, body_limit},
        m_max_idle_time(max_idle_time),
        m_meter(meter) {}

  HttpCallId Send(const wire::HttpRequest& request,
                  core::Duration timeout,
                  Callback callback,
                  ResponseTie tie) {
    CloseExpired();
    const HttpCallId id{++m_last_id};
    Call& call = m_calls[id];
    call.m_id = id;
    call.m_callback = std::move(callback);
    call.m_tie = std::move(tie);
    call.m_is_head = request.m_method == "HEAD";
    call.m_deadline.emplace(m_loop, [this, id] { OnDeadline(id); });
    call.m_deadline->Set(std::max(timeout, kMinTimeout));
    if (m_meter != nullptr) {
      call.m_unsent.emplace(*m_meter);
      call.m_unsent->Set(request.m_body.size());
      call.m_arriving.emplace(*m_meter, [this, &call] {
        call.m_is_discarded = true;
        FailDiscardedSoon();
      });
    }
    if (!IsValid(request)) {
      call.m_is_invalid = true;
      FailDiscardedSoon();
    } else if (CanStart()) {
      Start(call, request);
    } else {
      call.m_pending_request = request;
      m_queue.push_back(id);
    }
    return id;
  }

  void Cancel(HttpCallId id) {
    const auto it = m_calls.find(id);
    if (it == m_calls.end()) {
      return;
    }
    Remove(it->second);
    StartQueued();
  }

  std::size_t connections() const noexcept { return m_connections.size(); }

  void SetTraceHandler(std::function<void(const HttpCallTrace&)> handler) {
    m_on_trace = std::move(handler);
  }

  void SetDisconnectedHandler(std::function<void()> handler) {
    m_on_disconnected = std::move(handler);
  }

 private:
  struct Call;

  struct Connection {
    ~Connection() {
      evbuffer_remove_cb(bufferevent_get_output(m_stream), &OnOutput, this);
      bufferevent_free(m_stream);
    }
    Impl* m_impl = nullptr;
    bufferevent* m_stream = nullptr;
    /// Place among the connections of the client, from 1.
    std::uint64_t m_number = 0;
    std::uint64_t m_exchanges = 0;
    /// Whether bytes of a request have left this process. The connection may
    /// be established before libevent says so.
    bool m_has_sent = false;
    /// The call that uses the connection, or null.
    Call* m_call = nullptr;
    /// Hashes of the ids that it has carried.
    std::vector<std::size_t> m_carried_ids;
    /// From this time on, the server may close the idle connection.
    core::Time m_expiry{};
    /// When the last response on it was complete.
    core::Time m_last_used{};
  };

  struct Call {
    HttpCallId m_id{0};
    Callback m_callback;
    ResponseTie m_tie;
    bool m_is_head = false;
    Connection* m_connection = nullptr;
    std::optional<Timer> m_deadline;
    /// When it was given a connection.
    core::Time m_started{};
    std::optional<wire::ResponseReader> m_reader;
    std::uint32_t m_foreign_responses = 0;
    wire::HttpRequest m_pending_request;
    /// The request's body until it is written.
    std::optional<BufferCharge> m_unsent;
    /// The response while it arrives.
    std::optional<BufferCharge> m_arriving;
    /// The response is given up because too much is buffered.
    bool m_is_discarded = false;
    bool m_is_invalid = false;
  };

  static evbuffer* InputOf(const Connection& connection) {
    return bufferevent_get_input(connection.m_stream);
  }

  static evbuffer* OutputOf(const Connection& connection) {
    return bufferevent_get_output(connection.m_stream);
  }

  // If the server closes an idle connection just as a request is sent on it,
  // the client cannot know whether the request was read.
  void CloseExpired() {
    const core::Time now = ReadClocks().m_time;
    RetireIdleIf([&](const Connection& idle) { return now >= idle.m_expiry; });
  }

  template <class Predicate>
  void RetireIdleIf(Predicate&& predicate) {
    std::erase_if(m_idle, [&](Connection* idle) {
      if (!predicate(*idle)) {
        return false;
      }
      Retire(*idle);
      return true;
    });
  }

  [[nodiscard]] bool CanStart() const noexcept {
    return !m_idle.empty() || m_connections.size() < m_max_connections;
  }

  // Bytes that have arrived before the request is sent do not answer it. Where
  // the end of the last connection matters, a request has to meet it.
  bool IsUsable(const Connection& idle) {
    char byte = 0;
    const ssize_t received = recv(bufferevent_getfd(idle.m_stream), &byte, 1,
                                  MSG_PEEK | MSG_DONTWAIT);
    const bool is_open =
        received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    const std::size_t left_over = evbuffer_get_length(InputOf(idle));
    if (received > 0 || left_over > 0) {
      Trace(idle, {.m_kind = UncleanKind::kUnasked, .m_left_over = left_over});
      return false;
    }
    return is_open || m_on_disconnected != nullptr;
  }

  // A late response to an earlier attempt of the same request bears its id, so
  // it must not find the next attempt on its connection.
  Connection& AcquireConnection(const ResponseTie& tie) {
    const bool is_tied = tie.m_check != nullptr;
    const std::size_t id = std::hash<std::string>{}(tie.m_id);
    const bool may_share = !is_tied || !tie.m_id.empty();
    Connection* chosen = nullptr;
    for (std::size_t i = m_idle.size(); may_share && i-- > 0;) {
      Connection* idle = m_idle[i];
      if (is_tied && std::ranges::count(idle->m_carried_ids, id) > 0) {
        continue;
      }
      m_idle.erase(m_idle.begin() + static_cast<std::ptrdiff_t>(i));
      if (IsUsable(*idle)) {
        chosen = idle;
        break;
      }
      Retire(*idle);
    }
    if (chosen == nullptr) {
      if (m_connections.size() >= m_max_connections) {
        Retire(*m_idle.front());
        m_idle.erase(m_idle.begin());
      }
      chosen = &Connect();
    }
    if (is_tied) {
      chosen->m_carried_ids.push_back(id);
    }
    return *chosen;
  }

  Connection& Connect() {
    const std::uint64_t number = ++m_last_connection;
    std::unique_ptr<Connection>& slot = m_connections[number];
    slot = std::make_unique<Connection>();
    slot->m_impl = this;
    slot->m_number = number;
    slot->m_stream = bufferevent_socket_new(
        m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(slot->m_stream, &OnReadable, nullptr, &OnEvent,
                      slot.get());
    bufferevent_enable(slot->m_stream, EV_READ | EV_WRITE);
    bufferevent_socket_connect_hostname(slot->m_stream, nullptr, AF_INET,
                                        m_to.m_host.c_str(), m_to.m_port);
    evbuffer_add_cb(OutputOf(*slot), &OnOutput, slot.get());
    return *slot;
  }

  static void OnOutput(evbuffer* output,
                       const evbuffer_cb_info* change,
                       void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    connection->m_has_sent |= change->n_deleted > 0;
    Call* call = connection->m_call;
    if (call != nullptr && call->m_unsent) {
      call->m_unsent->Set(evbuffer_get_length(output));
    }
  }

  void Start(Call& call, const wire::HttpRequest& request) {
    Connection& connection = AcquireConnection(call.m_tie);
    connection.m_call = &call;
    ++connection.m_exchanges;
    call.m_connection = &connection;
    call.m_started = ReadClocks().m_time;
    call.m_reader.emplace(m_limits, call.m_is_head);
    const std::string head = EncodeHead(request, m_to);
    evbuffer* output = OutputOf(connection);
    evbuffer_add(output, head.data(), head.size());
    evbuffer_add(output, request.m_body.data(), request.m_body.size());
  }

  void StartQueued() {
    while (!m_queue.empty() && CanStart()) {
      Call& call = m_calls.at(m_queue.front());
      m_queue.pop_front();
      const wire::HttpRequest request = std::move(call.m_pending_request);
      Start(call, request);
    }
  }

  static void OnReadable(bufferevent* stream, void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    Impl* impl = connection->m_impl;
    if (connection->m_call == nullptr) {
      impl->Trace(
          *connection,
          {.m_kind = UncleanKind::kUnasked,
           .m_left_over = evbuffer_get_length(bufferevent_get_input(stream))});
      impl->OnIdleClosed(*connection);
      return;
    }
    impl->ReadResponse(*connection->m_call, bufferevent_get_input(stream));
  }

  void ReadResponse(Call& call, evbuffer* input) {
    while (true) {
      const std::size_t length = evbuffer_get_length(input);
      const auto read = call.m_reader->Read(
          {reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), length});
      if (!read) {
        Fail(call, ToClientError(read.error()));
        return;
      }
      evbuffer_drain(input, *read);
      if (call.m_arriving) {
        call.m_arriving->Set(call.m_reader->body_bytes() + length - *read);
      }
      if (!call.m_reader->is_complete()) {
        return;
      }
      if (!IsPassedOver(call)) {
        Deliver(call, call.m_reader->KeepsConnection());
        return;
      }
      Trace(*call.m_connection, {.m_kind = UncleanKind::kForeignResponse,
                                 .m_response = &call.m_reader->response()});
      ++call.m_foreign_responses;
      call.m_reader.emplace(m_limits, call.m_is_head);
    }
  }

  // The server still owes the own response.
  static bool IsPassedOver(const Call& call) {
    return call.m_tie.m_check &&
           call.m_foreign_responses < kMaxForeignResponses &&
           call.m_reader->KeepsConnection() &&
           call.m_tie.m_check(call.m_reader->response()) ==
               ResponseMatch::kForeign;
  }

  static void OnEvent(bufferevent* stream, short events, void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    Impl* impl = connection->m_impl;
    if ((events & BEV_EVENT_CONNECTED) != 0) {
      const int on = 1;
      setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on,
                 sizeof(on));
      return;
    }
    Call* call = connection->m_call;
    if (call == nullptr) {
      impl->OnIdleClosed(*connection);
      return;
    }
    if (!connection->m_has_sent) {
      impl->Fail(*call, HttpClientError::kNotSent);
      return;
    }
    // A connection that was reset does not complete a response.
    const bool is_end =
        (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == BEV_EVENT_EOF;
    if (is_end && call->m_reader->End()) {
      impl->Deliver(*call, false);
    } else {
      impl->Fail(*call, HttpClientError::kConnectionLost);
    }
  }

  void Deliver(Call& call, bool keeps_connection) {
    wire::HttpResponse response = call.m_reader->Take();
    const ResponseMatch match =
        call.m_tie.m_check ? call.m_tie.m_check(response) : ResponseMatch::kOwn;
    Connection& connection = *call.m_connection;
    const std::size_t left_over = evbuffer_get_length(InputOf(connection));
    if (match != ResponseMatch::kOwn) {
      Fail(call, HttpClientError::kMismatchedResponse, &response);
      return;
    }
    if (left_over > 0 && wire::ContainsStatusLine(response.m_body)) {
      Fail(call, HttpClientError::kMalformedResponse, &response);
      return;
    }
    if (left_over > 0) {
      Trace(connection, {.m_kind = UncleanKind::kLeftOver,
                         .m_left_over = left_over,
                         .m_response = &response});
    }
    // The server would take the next request for the rest of this one's body,
    // and a late copy of an answer to HEAD has a length but no body.
    const bool is_written = evbuffer_get_length(OutputOf(connection)) == 0;
    if (keeps_connection && left_over == 0 && is_written && !call.m_is_head &&
        call.m_foreign_responses == 0) {
      KeepIdle(connection, response);
    } else {
      Retire(connection);
    }
    Finish(call.m_id, std::move(response));
  }

  void KeepIdle(Connection& connection, const wire::HttpResponse& response) {
    if (connection.m_carried_ids.size() >= kMaxCarriedIds) {
      Retire(connection);
      return;
    }
    connection.m_call = nullptr;
    connection.m_last_used = ReadClocks().m_time;
    connection.m_expiry = connection.m_last_used +
                          std::min(m_max_idle_time, ParseIdleTime(response));
    m_idle.push_back(&connection);
  }

  void OnIdleClosed(Connection& connection) {
    std::erase(m_idle, &connection);
    Retire(connection);
    if (m_connections.empty() && m_on_disconnected) {
      m_on_disconnected();
    }
  }

  void OnDeadline(HttpCallId id) {
    Call& call = m_calls.at(id);
    if (call.m_connection == nullptr || !call.m_connection->m_has_sent) {
      Fail(call, HttpClientError::kNotSent);
      return;
    }
    // The server's connections may all have fallen silent at once. Those that
    // have carried a response since the call began work.
    RetireIdleIf([&](const Connection& idle) {
      return idle.m_last_used < call.m_started;
    });
    Fail(call, HttpClientError::kTimeout);
  }

  // Setting the timer again would postpone it for as long as bytes arrive.
  void FailDiscardedSoon() {
    if (!std::exchange(m_has_discarded, true)) {
      m_fail_discarded.Set(core::Duration::zero());
    }
  }

  void FailDiscarded() {
    m_has_discarded = false;
    std::vector<HttpCallId> failed;
    for (const auto& [id, call] : m_calls) {
      if (call.m_is_discarded || call.m_is_invalid) {
        failed.push_back(id);
      }
    }
    for (HttpCallId id : failed) {
      const auto it = m_calls.find(id);
      if (it != m_calls.end()) {
        Fail(it->second, it->second.m_is_invalid
                             ? HttpClientError::kInvalidRequest
                             : HttpClientError::kTooLarge);
      }
    }
  }

  void Fail(Call& call,
            HttpClientError error,
            const wire::HttpResponse* response = nullptr) {
    if (call.m_connection != nullptr) {
      Trace(*call.m_connection,
            {.m_error = error,
             .m_left_over = evbuffer_get_length(InputOf(*call.m_connection)),
             .m_response = response});
      Retire(*call.m_connection);
    }
    Finish(call.m_id, tl::unexpected(error));
  }

  void Trace(const Connection& connection, HttpCallTrace trace) {
    if (m_on_trace) {
      trace.m_call = connection.m_call == nullptr ? HttpCallId{0}
                                                  : connection.m_call->m_id;
      trace.m_connection = connection.m_number;
      trace.m_exchange = connection.m_exchanges;
      m_on_trace(trace);
    }
  }

  // libevent may still be in a callback of the connection, so freeing it is
  // deferred to the next iteration of the loop; the server learns of the end at
  // once. Setting the timer again would postpone it.
  void Retire(Connection& connection) {
    connection.m_call = nullptr;
    bufferevent_disable(connection.m_stream, EV_READ | EV_WRITE);
    bufferevent_setcb(connection.m_stream, nullptr, nullptr, nullptr, nullptr);
    const auto it = m_connections.find(connection.m_number);
    shutdown(bufferevent_getfd(connection.m_stream), SHUT_RDWR);
    if (m_retired.empty()) {
      m_free_retired.Set(core::Duration::zero());
    }
    m_retired.push_back(std::move(it->second));
    m_connections.erase(it);
  }

  // Ends a call without its callback.
  void Remove(Call& call) {
    std::erase(m_queue, call.m_id);
    if (call.m_connection != nullptr) {
      Retire(*call.m_connection);
    }
    m_calls.erase(call.m_id);
  }

  void Finish(HttpCallId id, Result&& result) {
    auto node = m_calls.extract(id);
    std::erase(m_queue, id);
    Call& call = node.mapped();
    call.m_deadline.reset();
    call.m_unsent.reset();
    call.m_arriving.reset();
    call.m_callback(std::move(result));
    StartQueued();
  }

  EventLoop& m_loop;
  core::Endpoint m_to;
  std::size_t m_max_connections;
  wire::ResponseLimits m_limits;
  core::Duration m_max_idle_time;
  BufferMeter* m_meter;
  std::function<void()> m_on_disconnected;
  std::function<void(const HttpCallTrace&)> m_on_trace;
  bool m_has_discarded = false;
  std::uint64_t m_last_connection = 0;
  std::uint64_t m_last_id = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
  std::vector<std::unique_ptr<Connection>> m_retired;
  /// The most recently used one is the last.
  std::vector<Connection*> m_idle;
  std::unordered_map<HttpCallId, Call> m_calls;
  std::deque<HttpCallId> m_queue;
  Timer m_free_retired{m_loop, [this] { m_retired.clear(); }};
  Timer m_fail_discarded{m_loop, [this] { FailDiscarded(); }};
};

HttpClient::HttpClient(EventLoop& loop,
                       core::Endpoint to,
                       std::size_t max_connections,
                       std::size_t body_limit,
                       core::Duration max_idle_time,
                       BufferMeter* meter)
    : m_impl(std::make_unique<Impl>(loop,
                                    std::move(to),
                                    max_connections,
                                    body_limit,
                                    max_idle_time,
                                    meter)) {}

HttpClient::~HttpClient() = default;

HttpCallId HttpClient::Send(const wire::HttpRequest& request,
                            core::Duration timeout,
                            Callback callback,
                            ResponseTie tie) {
  return m_impl->Send(request, timeout, std::move(callback), std::move(tie));
}

void HttpClient::SetTraceHandler(
    std::function<void(const HttpCallTrace&)> handler) {
  m_impl->SetTraceHandler(std::move(handler));
}

void HttpClient::SetDisconnectedHandler(std::function<void()> handler) {
  m_impl->SetDisconnectedHandler(std::move(handler));
}

void HttpClient::Cancel(HttpCallId id) {
  m_impl->Cancel(id);
}

std::size_t HttpClient::connections() const noexcept {
  return m_impl->connections();
}

}  // namespace figlug::runtime
