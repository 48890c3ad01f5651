#include "figlug/runtime/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace figlug::runtime {
namespace {

constexpr core::Duration::rep kMicrosPerSecond = 1'000'000;
constexpr core::Duration kMinTimeout = std::chrono::milliseconds(1);
constexpr std::size_t kMaxHeadBytes = 64U << 10;
/// Used if the server sends no Keep-Alive timeout; well below the shortest
/// default of common servers (5 s).
constexpr core::Duration kDefaultIdleTime = std::chrono::seconds(4);
/// Fraction of the server's Keep-Alive timeout during which an idle connection
/// is reused.
constexpr double kIdleReuseRatio = 0.7;

constexpr std::array<std::pair<std::string_view, evhttp_cmd_type>, 7> kMethods =
    {{{"GET", EVHTTP_REQ_GET},
      {"POST", EVHTTP_REQ_POST},
      {"PUT", EVHTTP_REQ_PUT},
      {"HEAD", EVHTTP_REQ_HEAD},
      {"DELETE", EVHTTP_REQ_DELETE},
      {"PATCH", EVHTTP_REQ_PATCH},
      {"OPTIONS", EVHTTP_REQ_OPTIONS}}};

std::optional<evhttp_cmd_type> FindMethod(std::string_view name) {
  const auto* it = std::ranges::find(
      kMethods, name, &std::pair<std::string_view, evhttp_cmd_type>::first);
  if (it == kMethods.end()) {
    return std::nullopt;
  }
  return it->second;
}

wire::HttpResponse ReadResponse(evhttp_request* request) {
  wire::HttpResponse response;
  response.m_status =
      static_cast<std::uint16_t>(evhttp_request_get_response_code(request));
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  for (const evkeyval* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    response.m_headers.push_back({header->key, header->value});
  }
  evbuffer* body = evhttp_request_get_input_buffer(request);
  response.m_body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, response.m_body.data(), response.m_body.size());
  return response;
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

bool IsLastOfConnection(const wire::HttpResponse& response) {
  const std::string* connection =
      wire::FindHeader(response.m_headers, "Connection");
  return connection != nullptr &&
         evutil_ascii_strcasecmp(connection->c_str(), "close") == 0;
}

HttpClientError ToClientError(evhttp_request_error error) {
  switch (error) {
    case EVREQ_HTTP_TIMEOUT:
      return HttpClientError::kTimeout;
    case EVREQ_HTTP_DATA_TOO_LONG:
      return HttpClientError::kTooLarge;
    default:
      return HttpClientError::kConnectionLost;
  }
}

}  // namespace

std::string_view ToString(HttpClientError error) noexcept {
  switch (error) {
    case HttpClientError::kNotSent:
      return "not-sent";
    case HttpClientError::kUnsupportedMethod:
      return "unsupported-method";
    case HttpClientError::kConnectionLost:
      return "connection-lost";
    case HttpClientError::kTimeout:
      return "timeout";
    case HttpClientError::kTooLarge:
      return "too-large";
    case HttpClientError::kMismatchedResponse:
      return "mismatched-response";
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
        m_body_limit(body_limit),
        m_max_idle_time(max_idle_time),
        m_meter(meter) {}

  ~Impl() {
    m_is_closing = true;
    for (auto& [id, call] : m_calls) {
      if (call.m_connection != nullptr) {
        evhttp_connection_free(call.m_connection);
      }
    }
    for (const IdleConnection& idle : m_idle_connections) {
      evhttp_connection_set_closecb(idle.m_connection, nullptr, nullptr);
      evhttp_connection_free(idle.m_connection);
    }
    FreeRetired();
  }

  HttpCallId Send(const wire::HttpRequest& request,
                  core::Duration timeout,
                  Callback callback,
                  ResponseCheck check) {
    CloseExpired();
    const HttpCallId id{++m_last_id};
    Call& call = m_calls[id];
    call.m_impl = this;
    call.m_id = id;
    call.m_callback = std::move(callback);
    call.m_check = std::move(check);
    call.m_deadline = ReadClocks().m_time + std::max(timeout, kMinTimeout);
    if (m_meter != nullptr) {
      call.m_unsent.emplace(*m_meter);
      call.m_unsent->Set(request.m_body.size());
      call.m_arriving.emplace(*m_meter, [this, &call] {
        call.m_is_discarded = true;
        FailOversizedSoon();
      });
    }
    if (!m_idle_connections.empty() || m_open < m_max_connections) {
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
    std::erase(m_queue, id);
    Abandon(it->second);
    StartQueued();
  }

  std::size_t connections() const noexcept { return m_open; }

  void SetTraceHandler(std::function<void(const HttpCallTrace&)> handler) {
    m_on_trace = std::move(handler);
  }

  void SetDisconnectedHandler(std::function<void()> handler) {
    m_on_disconnected = std::move(handler);
  }

 private:
  struct Call {
    Impl* m_impl = nullptr;
    HttpCallId m_id{0};
    Callback m_callback;
    ResponseCheck m_check;
    evhttp_connection* m_connection = nullptr;
    core::Time m_deadline{};
    /// When it was given a connection.
    core::Time m_started{};
    std::optional<evhttp_request_error> m_error;
    bool m_is_cancelled = false;
    wire::HttpRequest m_pending_request;
    /// The request's body until it is written.
    std::optional<BufferCharge> m_unsent;
    /// The response while it arrives.
    std::optional<BufferCharge> m_arriving;
    std::size_t m_received = 0;
    /// The response is given up because too much is buffered.
    bool m_is_discarded = false;
  };

  /// A connection's place among those of its client, and its use.
  struct ConnectionUse {
    std::uint64_t m_number = 0;
    std::uint64_t m_exchanges = 0;
  };

  struct IdleConnection {
    evhttp_connection* m_connection = nullptr;
    /// From this time on, the server may close the connection.
    core::Time m_expiry{};
    /// When the last response on it was complete.
    core::Time m_last_used{};
  };

  // If the server closes an idle connection just as a request is sent on it,
  // the client cannot know whether the request was read.
  void CloseExpired() {
    const core::Time now = ReadClocks().m_time;
    std::erase_if(m_idle_connections, [&](const IdleConnection& idle) {
      if (now < idle.m_expiry) {
        return false;
      }
      Retire(idle.m_connection);
      return true;
    });
  }

  // The server's connections may all have fallen silent at once. Those that
  // have carried a response since the call began work.
  void RetireUnusedSince(core::Time start) {
    std::erase_if(m_idle_connections, [&](const IdleConnection& idle) {
      if (idle.m_last_used >= start) {
        return false;
      }
      Retire(idle.m_connection);
      return true;
    });
  }

  evhttp_connection* AcquireConnection() {
    if (!m_idle_connections.empty()) {
      evhttp_connection* connection = m_idle_connections.back().m_connection;
      m_idle_connections.pop_back();
      evhttp_connection_set_closecb(connection, nullptr, nullptr);
      return connection;
    }
    ++m_open;
    evhttp_connection* connection = evhttp_connection_base_new(
        m_loop.base(), nullptr, m_to.m_host.c_str(), m_to.m_port);
    evhttp_connection_set_max_headers_size(
        connection, static_cast<ev_ssize_t>(kMaxHeadBytes));
    m_uses[connection].m_number = ++m_last_connection;
    evbuffer_add_cb(InputOf(connection), &OnInput, this);
    evbuffer_add_cb(OutputOf(connection), &OnOutput, this);
    evhttp_connection_set_max_body_size(connection,
                                        static_cast<ev_ssize_t>(m_body_limit));
    return connection;
  }

  static evbuffer* InputOf(evhttp_connection* connection) {
    return bufferevent_get_input(evhttp_connection_get_bufferevent(connection));
  }

  static evbuffer* OutputOf(evhttp_connection* connection) {
    return bufferevent_get_output(
        evhttp_connection_get_bufferevent(connection));
  }

  // The call that uses the connection of a buffer, or null.
  Call* FindCall(const std::unordered_map<evbuffer*, HttpCallId>& buffers,
                 evbuffer* buffer) {
    const auto it = buffers.find(buffer);
    const auto call =
        it == buffers.end() ? m_calls.end() : m_calls.find(it->second);
    return call == m_calls.end() ? nullptr : &call->second;
  }

  [[nodiscard]] bool IsOversized(evbuffer* input) const {
    return evbuffer_get_length(input) > kMaxHeadBytes + m_body_limit;
  }

  // evhttp limits heads and bodies, but not the line that begins a chunk.
  static void OnInput(evbuffer* input,
                      const evbuffer_cb_info* change,
                      void* arg) {
    auto* impl = static_cast<Impl*>(arg);
    if (impl->IsOversized(input)) {
      impl->FailOversizedSoon();
    }
    Call* call = impl->FindCall(impl->m_inputs, input);
    if (call != nullptr && call->m_arriving && change->n_added > 0) {
      // evhttp keeps what it removes from the input.
      call->m_received += change->n_added;
      call->m_arriving->Set(call->m_received);
    }
  }

  static void OnOutput(evbuffer* output,
                       const evbuffer_cb_info* change,
                       void* arg) {
    auto* impl = static_cast<Impl*>(arg);
    Call* call = impl->FindCall(impl->m_outputs, output);
    if (call != nullptr && call->m_unsent && change->n_deleted > 0) {
      call->m_unsent->Set(evbuffer_get_length(output));
    }
  }

  // Setting the timer again would postpone it for as long as bytes arrive.
  void FailOversizedSoon() {
    if (!std::exchange(m_has_oversized, true)) {
      m_fail_oversized.Set(core::Duration::zero());
    }
  }

  void FailOversized() {
    m_has_oversized = false;
    std::vector<HttpCallId> oversized;
    for (const auto& [id, call] : m_calls) {
      if (call.m_connection != nullptr &&
          (call.m_is_discarded || IsOversized(InputOf(call.m_connection)))) {
        oversized.push_back(id);
      }
    }
    for (HttpCallId id : oversized) {
      const auto it = m_calls.find(id);
      if (it == m_calls.end()) {
        continue;
      }
      Trace(it->second, HttpClientError::kTooLarge, 0, nullptr);
      const Callback callback = std::move(it->second.m_callback);
      Abandon(it->second);
      callback(tl::unexpected(HttpClientError::kTooLarge));
    }
    StartQueued();
  }

  // Closes the connection of a call, which is not called back.
  void Abandon(Call& call) {
    call.m_is_cancelled = true;
    if (call.m_connection != nullptr) {
      --m_open;
      Unassign(call.m_connection);
      m_uses.erase(call.m_connection);
      evhttp_connection_free(call.m_connection);
    }
    m_calls.erase(call.m_id);
  }

  void Start(Call& call, const wire::HttpRequest& request) {
    const auto method = FindMethod(request.m_method);
    if (!method) {
      Finish(call.m_id, tl::unexpected(HttpClientError::kUnsupportedMethod));
      return;
    }
    call.m_connection = AcquireConnection();
    m_inputs[InputOf(call.m_connection)] = call.m_id;
    m_outputs[OutputOf(call.m_connection)] = call.m_id;
    ++m_uses[call.m_connection].m_exchanges;
    call.m_started = ReadClocks().m_time;
    const auto remaining = std::max((call.m_deadline - call.m_started).count(),
                                    kMinTimeout.count());
    const timeval timeout{remaining / kMicrosPerSecond,
                          remaining % kMicrosPerSecond};
    evhttp_connection_set_timeout_tv(call.m_connection, &timeout);
    evhttp_request* message = evhttp_request_new(&OnDone, &call);
    evhttp_request_set_error_cb(message, &OnError);
    evkeyvalq* headers = evhttp_request_get_output_headers(message);
    for (const wire::Header& header : request.m_headers) {
      evhttp_add_header(headers, header.m_name.c_str(), header.m_value.c_str());
    }
    // HTTP/1.1 requires this header, and evhttp does not add it.
    if (wire::FindHeader(request.m_headers, "Host") == nullptr) {
      evhttp_add_header(
          headers, "Host",
          (m_to.m_host + ":" + std::to_string(m_to.m_port)).c_str());
    }
    if (!request.m_body.empty()) {
      evbuffer_add(evhttp_request_get_output_buffer(message),
                   request.m_body.data(), request.m_body.size());
      if (*method == EVHTTP_REQ_GET || *method == EVHTTP_REQ_DELETE ||
          *method == EVHTTP_REQ_OPTIONS || *method == EVHTTP_REQ_HEAD) {
        evhttp_add_header(headers, "Content-Length",
                          std::to_string(request.m_body.size()).c_str());
      }
    }
    evhttp_make_request(call.m_connection, message, *method,
                        request.m_path.c_str());
  }

  static void OnError(evhttp_request_error error, void* arg) {
    static_cast<Call*>(arg)->m_error = error;
  }

  // If OnError was not called before, the connection was never established.
  static void OnDone(evhttp_request* request, void* arg) {
    auto* call = static_cast<Call*>(arg);
    Impl* impl = call->m_impl;
    if (impl->m_is_closing || call->m_is_cancelled) {
      return;
    }
    const bool has_response =
        request != nullptr && evhttp_request_get_response_code(request) != 0;
    if (has_response) {
      wire::HttpResponse response = ReadResponse(request);
      const bool is_own = !call->m_check || call->m_check(response);
      const std::size_t left_over =
          evbuffer_get_length(InputOf(call->m_connection));
      if (!is_own) {
        impl->Trace(*call, HttpClientError::kMismatchedResponse, left_over,
                    &response);
      } else if (left_over > 0) {
        impl->Trace(*call, std::nullopt, left_over, &response);
      }
      if (!is_own) {
        impl->Retire(call->m_connection);
        impl->Finish(call->m_id,
                     tl::unexpected(HttpClientError::kMismatchedResponse));
        return;
      }
      impl->KeepIdle(call->m_connection, response);
      impl->Finish(call->m_id, std::move(response));
      return;
    }
    const HttpClientError error = call->m_error ? ToClientError(*call->m_error)
                                                : HttpClientError::kNotSent;
    impl->Trace(*call, error, 0, nullptr);
    if (error == HttpClientError::kTimeout) {
      impl->RetireUnusedSince(call->m_started);
    }
    impl->Retire(call->m_connection);
    impl->Finish(call->m_id, tl::unexpected(error));
  }

  void Trace(const Call& call,
             std::optional<HttpClientError> error,
             std::size_t left_over,
             const wire::HttpResponse* response) {
    if (m_on_trace) {
      const ConnectionUse& use = m_uses[call.m_connection];
      m_on_trace({call.m_id, use.m_number, use.m_exchanges, error, left_over,
                  response});
    }
  }

  // evhttp has closed the connection already if the response says so.
  void KeepIdle(evhttp_connection* connection,
                const wire::HttpResponse& response) {
    if (IsLastOfConnection(response)) {
      Retire(connection);
      return;
    }
    const core::Time now = ReadClocks().m_time;
    m_idle_connections.push_back(
        {connection, now + std::min(m_max_idle_time, ParseIdleTime(response)),
         now});
    evhttp_connection_set_closecb(connection, &OnIdleClosed, this);
  }

  // evhttp would connect again when the connection is used next, perhaps to
  // another process at the same address.
  static void OnIdleClosed(evhttp_connection* connection, void* arg) {
    auto* impl = static_cast<Impl*>(arg);
    const auto closed = std::erase_if(
        impl->m_idle_connections,
        [&](const auto& idle) { return idle.m_connection == connection; });
    if (closed == 0) {
      return;
    }
    impl->Retire(connection);
    if (impl->m_open == 0 && impl->m_on_disconnected) {
      impl->m_on_disconnected();
    }
  }

  // evhttp still uses the connection when it reports a failure, so freeing it
  // is deferred to the next iteration of the loop.
  void Retire(evhttp_connection* connection) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    --m_open;
    m_uses.erase(connection);
    m_retired.push_back(connection);
    m_free_retired.Set(core::Duration::zero());
  }

  // The buffers of the connection no longer belong to a call.
  void Unassign(evhttp_connection* connection) {
    m_inputs.erase(InputOf(connection));
    m_outputs.erase(OutputOf(connection));
  }

  void Finish(HttpCallId id, Result&& result) {
    auto node = m_calls.extract(id);
    if (!node.empty()) {
      if (node.mapped().m_connection != nullptr) {
        Unassign(node.mapped().m_connection);
      }
      node.mapped().m_unsent.reset();
      node.mapped().m_arriving.reset();
      node.mapped().m_callback(std::move(result));
    }
    StartQueued();
  }

  void StartQueued() {
    while (!m_queue.empty() &&
           (!m_idle_connections.empty() || m_open < m_max_connections)) {
      Call& call = m_calls.at(m_queue.front());
      m_queue.pop_front();
      const wire::HttpRequest request = std::move(call.m_pending_request);
      Start(call, request);
    }
  }

  void FreeRetired() {
    for (evhttp_connection* connection : std::exchange(m_retired, {})) {
      evhttp_connection_free(connection);
    }
  }

  EventLoop& m_loop;
  core::Endpoint m_to;
  std::size_t m_max_connections;
  std::size_t m_body_limit;
  core::Duration m_max_idle_time;
  BufferMeter* m_meter;
  std::function<void()> m_on_disconnected;
  std::function<void(const HttpCallTrace&)> m_on_trace;
  std::uint64_t m_last_connection = 0;
  std::unordered_map<evhttp_connection*, ConnectionUse> m_uses;
  std::size_t m_open = 0;
  bool m_is_closing = false;
  bool m_has_oversized = false;
  std::uint64_t m_last_id = 0;
  std::unordered_map<HttpCallId, Call> m_calls;
  std::deque<HttpCallId> m_queue;
  /// Calls by the buffers of their connections.
  std::unordered_map<evbuffer*, HttpCallId> m_inputs;
  std::unordered_map<evbuffer*, HttpCallId> m_outputs;
  std::vector<IdleConnection> m_idle_connections;
  std::vector<evhttp_connection*> m_retired;
  Timer m_free_retired{m_loop, [this] { FreeRetired(); }};
  Timer m_fail_oversized{m_loop, [this] { FailOversized(); }};
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
                            ResponseCheck check) {
  return m_impl->Send(request, timeout, std::move(callback), std::move(check));
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
