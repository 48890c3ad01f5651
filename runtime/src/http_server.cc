#include "figlug/runtime/http_server.h"

#include <evhtp.h>

#include <algorithm>
#include <array>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <log4cplus/loggingmacros.h>

#include "figlug/runtime/impl/socket_state.h"
#include "figlug/runtime/logging.h"

namespace figlug::runtime {
namespace {

constexpr int kBacklog = 1024;
constexpr std::string_view kInvalidHeadResponse =
    "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
    "Content-Type: text/plain\r\nContent-Length: 21\r\n\r\n"
    "invalid request head\n";
constexpr std::string_view kHeadTooLargeResponse =
    "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n"
    "Content-Type: text/plain\r\nContent-Length: 26\r\n\r\n"
    "request head is too large\n";
constexpr std::string_view kOverloadResponse =
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
    "Content-Length: 0\r\n\r\n";
constexpr std::uint16_t kBadGateway = 502;
constexpr std::uint16_t kUnavailable = 503;
constexpr std::uint16_t kMinFinalStatus = 200;
constexpr std::uint16_t kMaxStatus = 599;
constexpr int kContentTooLarge = 413;
constexpr std::size_t kMaxHeadBytes = 64U << 10;
/// Memory that libevhtp uses for a header field besides its name and value.
constexpr std::size_t kHeaderFieldBytes = 64;
/// A body that exceeds the limit is read and discarded up to this multiple of
/// the limit; beyond it, the connection is closed.
constexpr std::size_t kMaxReadBodyRatio = 4;
/// Well below the 0.5 s within which work for a client that has left must end.
constexpr timeval kCloseCheckInterval{0, 100'000};
constexpr timeval kWriteCheckInterval{0, 1'000};

// Whether the header fields say in one way at most how long the body is.
// libevhtp takes the last of several lengths, and no body for a transfer coding
// that it does not know.
bool HasClearLength(const wire::Headers& headers) {
  const std::size_t lengths = wire::CountHeaders(headers, "Content-Length");
  const std::size_t codings = wire::CountHeaders(headers, "Transfer-Encoding");
  if (lengths + codings == 0) {
    return true;
  }
  if (lengths + codings > 1) {
    return false;
  }
  if (codings == 1) {
    return *wire::FindHeader(headers, "Transfer-Encoding") == "chunked";
  }
  const std::string& length = *wire::FindHeader(headers, "Content-Length");
  return !length.empty() && std::ranges::all_of(length, [](char c) {
    return c >= '0' && c <= '9';
  });
}

bool IsPathCharacter(char c) {
  return static_cast<unsigned char>(c) > ' ' && c != '\x7f' && c != '#';
}

// Whether the line and the header fields of a request can be read in one way.
bool IsUnambiguous(const evhtp_request_t* request,
                   const wire::HttpRequest& head) {
  htparser* parser = request->conn->parser;
  return htparser_get_major(parser) == 1 && htparser_get_minor(parser) <= 1 &&
         request->method != htp_method_CONNECT &&
         request->uri->scheme == htp_scheme_none &&
         std::ranges::all_of(head.m_path, IsPathCharacter) &&
         request->uri->fragment == nullptr &&
         wire::CountHeaders(head.m_headers, "Host") <= 1 &&
         HasClearLength(head.m_headers);
}

std::string PathAndQuery(const evhtp_uri_t* uri) {
  std::string path = uri->path->full;
  if (uri->query_raw != nullptr) {
    path += "?";
    path += reinterpret_cast<const char*>(uri->query_raw);
  }
  return path;
}

// Any other response would be read as none, or as more than one.
bool IsWritable(const wire::HttpResponse& response) {
  return response.m_status >= kMinFinalStatus &&
         response.m_status <= kMaxStatus &&
         std::ranges::all_of(response.m_headers, [](const auto& header) {
           return wire::IsValidField(header.m_name, header.m_value);
         });
}

// Assigning an empty string would keep the memory.
void FreeBody(wire::HttpRequest& request) {
  std::string().swap(request.m_body);
}

int CopyHeader(evhtp_header_t* header, void* out) {
  static_cast<wire::Headers*>(out)->push_back(
      {std::string(header->key, header->klen),
       std::string(header->val, header->vlen)});
  return 0;
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(EventLoop& loop,
       HttpServerHandlers handlers,
       std::size_t body_limit,
       BufferMeter* meter)
      : m_loop(loop),
        m_handlers(std::move(handlers)),
        m_body_limit(body_limit),
        m_meter(meter),
        m_server(evhtp_new(loop.base(), nullptr)) {
    evhtp_enable_flag(m_server, EVHTP_FLAG_ENABLE_NODELAY);
    evhtp_set_gencb(m_server, &OnRequest, this);
    evhtp_set_post_accept_cb(m_server, &OnAccept, this);
  }

  ~Impl() {
    m_is_closing = true;
    while (!m_connections.empty()) {
      evhtp_connection_free(m_connections.begin()->first);
    }
    if (m_is_listening) {
      evhtp_unbind_socket(m_server);
    }
    evhtp_free(m_server);
  }

  tl::expected<void, RuntimeError> Listen(const core::Endpoint& endpoint) {
    if (evhtp_bind_socket(m_server, endpoint.m_host.c_str(), endpoint.m_port,
                          kBacklog) != 0) {
      return tl::unexpected(
          RuntimeError{"listen for HTTP on " + endpoint.m_host + ":" +
                           std::to_string(endpoint.m_port),
                       evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())});
    }
    m_is_listening = true;
    return {};
  }

  void StopListening() {
    if (m_is_listening) {
      evhtp_unbind_socket(m_server);
      m_is_listening = false;
    }
  }

  void Respond(ExchangeId id, const wire::HttpResponse& response) {
    const auto it = m_exchanges.find(id);
    if (it == m_exchanges.end()) {
      return;
    }
    evhtp_request_t* request = it->second;
    m_exchanges.erase(it);
    Connection& connection = m_connections[request->conn];
    connection.m_exchange.reset();
    event_del(connection.m_close_event);
    event_del(connection.m_close_check);
    evhtp_connection_t* handle = request->conn;
    if (Write(request, response)) {
      CloseOnceWritten(connection);
    }
    evhtp_request_resume(request);
    if (m_is_reading_stopped && m_connections.contains(handle)) {
      bufferevent_disable(handle->bev, EV_READ);
    }
  }

  void CloseAfterResponses() { m_close_after_response = true; }

  void StopReading() {
    StopListening();
    m_is_reading_stopped = true;
    std::vector<evhtp_connection_t*> idle;
    for (const auto& [handle, connection] : m_connections) {
      bufferevent_disable(handle->bev, EV_READ);
      if (!connection.m_exchange &&
          evbuffer_get_length(bufferevent_get_output(handle->bev)) == 0) {
        idle.push_back(handle);
      }
    }
    // Their clients need not wait until other responses are written.
    for (evhtp_connection_t* handle : idle) {
      evhtp_connection_free(handle);
    }
  }

  std::size_t unsent_bytes() const {
    std::size_t bytes = 0;
    for (const auto& [handle, connection] : m_connections) {
      bytes += evbuffer_get_length(bufferevent_get_output(handle->bev));
    }
    return bytes;
  }

  std::size_t open_exchanges() const noexcept { return m_exchanges.size(); }
  std::size_t connections() const noexcept { return m_connections.size(); }

 private:
  struct Connection {
    Impl* m_impl = nullptr;
    evhtp_connection_t* m_handle = nullptr;
    /// Fires when the client closes its connection, or sends another request,
    /// while its request is being handled.
    event* m_close_event = nullptr;
    /// Checks for a closed connection while another request waits in it.
    event* m_close_check = nullptr;
    std::optional<ExchangeId> m_exchange;
    wire::HttpRequest m_request;
    std::optional<wire::HttpResponse> m_refusal;
    std::size_t m_body_bytes = 0;
    std::size_t m_head_bytes = 0;
    bool m_has_head = false;
    /// The request while it arrives.
    std::optional<BufferCharge> m_arriving;
    /// The responses that wait to be written.
    std::optional<BufferCharge> m_unsent;
    /// What still arrives on the connection is dropped.
    bool m_closes_once_written = false;
  };

  static evhtp_res OnAccept(evhtp_connection_t* handle, void* arg) {
    auto* impl = static_cast<Impl*>(arg);
    Connection& connection = impl->m_connections[handle];
    connection.m_impl = impl;
    connection.m_handle = handle;
    // libevent reports a reset connection as readable, not as closed.
    connection.m_close_event =
        event_new(impl->m_loop.base(), handle->sock, EV_READ | EV_CLOSED,
                  &OnCloseCheck, &connection);
    connection.m_close_check =
        evtimer_new(impl->m_loop.base(), &OnCloseCheck, &connection);
    const auto set = [&](evhtp_hook_type type, auto hook) {
      evhtp_connection_set_hook(
          handle, type,
          reinterpret_cast<evhtp_hook>(reinterpret_cast<void*>(hook)),
          &connection);
    };
    set(evhtp_hook_on_header, &OnHeader);
    set(evhtp_hook_on_headers, &OnHeaders);
    set(evhtp_hook_on_read, &OnBody);
    set(evhtp_hook_on_connection_fini, &OnFini);
    if (impl->m_meter != nullptr) {
      connection.m_unsent.emplace(*impl->m_meter);
      evbuffer_add_cb(bufferevent_get_output(handle->bev), &OnOutput,
                      &connection);
    }
    return EVHTP_RES_OK;
  }

  static void OnOutput(evbuffer* output, const evbuffer_cb_info*, void* arg) {
    static_cast<Connection*>(arg)->m_unsent->Set(evbuffer_get_length(output));
  }

  // libevhtp limits the length of a header field, but not their number.
  static evhtp_res OnHeader(evhtp_request_t*,
                            evhtp_header_t* header,
                            void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    if (connection->m_closes_once_written) {
      return EVHTP_RES_OK;
    }
    if (!wire::IsValidField({header->key, header->klen},
                            {header->val, header->vlen})) {
      LOG4CPLUS_WARN(ProcessLogger(),
                     "rejected a request with an invalid header field");
      RejectConnection(*connection, kInvalidHeadResponse);
      return EVHTP_RES_OK;
    }
    connection->m_head_bytes += header->klen + header->vlen + kHeaderFieldBytes;
    if (connection->m_head_bytes > kMaxHeadBytes) {
      LOG4CPLUS_WARN(ProcessLogger(),
                     "rejected a request whose head is too large");
      RejectConnection(*connection, kHeadTooLargeResponse);
      return EVHTP_RES_OK;
    }
    CountArriving(*connection);
    return EVHTP_RES_OK;
  }

  static void CountArriving(Connection& connection) {
    Impl* impl = connection.m_impl;
    if (impl->m_meter == nullptr) {
      return;
    }
    if (!connection.m_arriving) {
      connection.m_arriving.emplace(
          *impl->m_meter, [&connection] { DiscardArriving(connection); });
    }
    connection.m_arriving->Set(connection.m_head_bytes +
                               connection.m_request.m_body.size());
  }

  static void DiscardArriving(Connection& connection) {
    if (!connection.m_has_head) {
      RejectConnection(connection, kOverloadResponse);
      return;
    }
    FreeBody(connection.m_request);
    if (!connection.m_refusal) {
      const auto& make = connection.m_impl->m_handlers.m_make_overload_response;
      connection.m_refusal = make ? make(connection.m_request)
                                  : wire::HttpResponse{kUnavailable, {}, ""};
    }
  }

  // The request is complete: it is delivered, or its body has been discarded.
  static void ResetArriving(Connection& connection) {
    connection.m_arriving.reset();
    connection.m_head_bytes = 0;
    connection.m_has_head = false;
  }

  static evhtp_res OnHeaders(evhtp_request_t* request,
                             evhtp_headers_t*,
                             void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    if (connection->m_closes_once_written) {
      return EVHTP_RES_OK;
    }
    connection->m_body_bytes = 0;
    auto head = ReadHead(request);
    if (!head) {
      LOG4CPLUS_WARN(ProcessLogger(),
                     "rejected a request whose head is invalid");
      connection->m_impl->RejectConnection(*connection, kInvalidHeadResponse);
      return EVHTP_RES_OK;
    }
    connection->m_request = std::move(*head);
    connection->m_has_head = true;
    connection->m_refusal =
        connection->m_impl->m_handlers.m_check_head(connection->m_request);
    return EVHTP_RES_OK;
  }

  // Discards the body of a rejected request. The input buffer is always
  // drained: libevhtp would otherwise parse a form body on the stack, whatever
  // its size.
  static evhtp_res OnBody(evhtp_request_t*, evbuffer* bytes, void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    if (connection->m_closes_once_written) {
      evbuffer_drain(bytes, evbuffer_get_length(bytes));
      return EVHTP_RES_OK;
    }
    const std::size_t limit = connection->m_impl->m_body_limit;
    connection->m_body_bytes += evbuffer_get_length(bytes);
    if (connection->m_body_bytes > limit && !connection->m_refusal) {
      FreeBody(connection->m_request);
      connection->m_refusal = wire::HttpResponse{
          kContentTooLarge,
          {{"Figlug-Outcome", "not-run"}, {"Connection", "close"}},
          "request body exceeds the limit of " + std::to_string(limit) +
              " bytes\n"};
    }
    if (!connection->m_refusal) {
      const std::size_t length = evbuffer_get_length(bytes);
      std::string& body = connection->m_request.m_body;
      const std::size_t old_length = body.size();
      body.resize(old_length + length);
      evbuffer_copyout(bytes, body.data() + old_length, length);
      CountArriving(*connection);
    }
    evbuffer_drain(bytes, evbuffer_get_length(bytes));
    return connection->m_body_bytes > kMaxReadBodyRatio * limit
               ? EVHTP_RES_ERROR
               : EVHTP_RES_OK;
  }

  static void OnRequest(evhtp_request_t* request, void* arg) {
    auto* impl = static_cast<Impl*>(arg);
    impl->m_is_parsing = true;
    impl->HandleRequest(request);
    impl->m_is_parsing = false;
  }

  void HandleRequest(evhtp_request_t* request) {
    Connection& connection = m_connections[request->conn];
    ResetArriving(connection);
    if (connection.m_closes_once_written) {
      return;
    }
    if (connection.m_refusal) {
      // Without the pause, libevhtp neither reads a request that waits behind
      // this one nor closes the connection after its last response.
      evhtp_request_pause(request);
      if (Write(request, *connection.m_refusal)) {
        CloseOnceWritten(connection);
      }
      connection.m_refusal.reset();
      connection.m_request = {};
      evhtp_request_resume(request);
      return;
    }
    // After a pause of this process, requests wait whose clients gave up since.
    // The connection is freed by its event, not while libevhtp parses it.
    if (impl::IsClosedByPeer(request->conn->sock)) {
      connection.m_request = {};
      evhtp_request_pause(request);
      event_active(connection.m_close_event, EV_CLOSED, 0);
      return;
    }
    const ExchangeId id{++m_last_id};
    m_exchanges[id] = request;
    connection.m_exchange = id;
    evhtp_request_pause(request);
    event_add(connection.m_close_event, nullptr);
    m_handlers.m_on_request(id, std::move(connection.m_request));
  }

  // A waiting request keeps the socket readable, so the socket is then checked
  // at intervals.
  static void OnCloseCheck(evutil_socket_t, short, void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    evhtp_connection_t* handle = connection->m_handle;
    const bool is_written =
        connection->m_closes_once_written &&
        evbuffer_get_length(bufferevent_get_output(handle->bev)) == 0;
    if (is_written || impl::IsClosedByPeer(handle->sock)) {
      evhtp_connection_free(handle);
      return;
    }
    event_add(connection->m_close_check, &kCloseCheckInterval);
  }

  static evhtp_res OnFini(evhtp_connection_t* handle, void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    Impl* impl = connection->m_impl;
    const std::optional<ExchangeId> exchange = connection->m_exchange;
    event_free(connection->m_close_event);
    event_free(connection->m_close_check);
    if (connection->m_unsent) {
      evbuffer_remove_cb(bufferevent_get_output(handle->bev), &OnOutput,
                         connection);
    }
    impl->m_connections.erase(handle);
    if (exchange) {
      impl->m_exchanges.erase(*exchange);
      if (!impl->m_is_closing) {
        impl->m_handlers.m_on_disconnect(*exchange);
      }
    }
    return EVHTP_RES_OK;
  }

  // libevhtp has no name for an unknown method, and no path for a request line
  // without an HTTP version.
  static std::optional<wire::HttpRequest> ReadHead(evhtp_request_t* request) {
    const char* method =
        htparser_get_methodstr_m(evhtp_request_get_method(request));
    const evhtp_uri_t* uri = request->uri;
    if (method == nullptr || uri == nullptr || uri->path == nullptr ||
        uri->path->full == nullptr) {
      return std::nullopt;
    }
    wire::HttpRequest head;
    head.m_method = method;
    head.m_path = PathAndQuery(uri);
    evhtp_headers_for_each(request->headers_in, &CopyHeader, &head.m_headers);
    if (!IsUnambiguous(request, head)) {
      return std::nullopt;
    }
    return head;
  }

  // libevhtp cannot respond to a request whose first line it could not read.
  static void RejectConnection(Connection& connection,
                               std::string_view response) {
    bufferevent_write(connection.m_handle->bev, response.data(),
                      response.size());
    CloseOnceWritten(connection);
  }

  static void CloseOnceWritten(Connection& connection) {
    connection.m_closes_once_written = true;
    event_add(connection.m_close_check, &kWriteCheckInterval);
  }

  // Returns whether it is the last response on its connection.
  bool Write(evhtp_request_t* request, const wire::HttpResponse& response) {
    if (!IsWritable(response)) {
      LOG4CPLUS_WARN(ProcessLogger(),
                     "response with status "
                         << response.m_status
                         << " or one of its header fields is not HTTP");
      return Write(request, {kBadGateway, {}, ""});
    }
    const auto add = [&](const std::string& name, const std::string& value) {
      evhtp_headers_add_header(
          request->headers_out,
          evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
    };
    for (const wire::Header& header : response.m_headers) {
      add(header.m_name, header.m_value);
    }
    bool is_last =
        wire::FindHeader(response.m_headers, "Connection") != nullptr;
    if (!is_last && ClosesAfterResponse(*request->conn)) {
      add("Connection", "close");
      is_last = true;
    }
    if (is_last) {
      evhtp_request_set_keepalive(request, 0);
    }
    // The client may also have asked for the end of the connection.
    is_last = is_last || (request->flags & EVHTP_REQ_FLAG_KEEPALIVE) == 0;
    if (evhtp_request_get_method(request) != htp_method_HEAD) {
      evbuffer_add(request->buffer_out, response.m_body.data(),
                   response.m_body.size());
    } else if (wire::FindHeader(response.m_headers, "Content-Length") ==
               nullptr) {
      add("Content-Length", std::to_string(response.m_body.size()));
    }
    evhtp_send_reply(request, static_cast<evhtp_res>(response.m_status));
    return is_last;
  }

  // A request that waits behind the response is answered first. Closing a
  // connection with unread bytes may also cost its client the response. While
  // libevhtp parses, its input still holds the request that is answered.
  bool ClosesAfterResponse(const evhtp_connection_t& connection) const {
    return m_is_reading_stopped ||
           ((!m_is_listening || m_close_after_response) &&
            (m_is_parsing || !HasMoreInput(connection)));
  }

  static bool HasMoreInput(const evhtp_connection_t& connection) {
    return evbuffer_get_length(bufferevent_get_input(connection.bev)) > 0 ||
           impl::HasUnreadBytes(connection.sock);
  }

  EventLoop& m_loop;
  HttpServerHandlers m_handlers;
  std::size_t m_body_limit;
  BufferMeter* m_meter;
  evhtp_t* m_server;
  bool m_is_listening = false;
  bool m_close_after_response = false;
  bool m_is_closing = false;
  bool m_is_reading_stopped = false;
  /// In libevhtp's callback for a request that is complete.
  bool m_is_parsing = false;
  std::uint64_t m_last_id = 0;
  std::unordered_map<ExchangeId, evhtp_request_t*> m_exchanges;
  std::unordered_map<evhtp_connection_t*, Connection> m_connections;
};

HttpServer::HttpServer(EventLoop& loop,
                       HttpServerHandlers handlers,
                       std::size_t body_limit,
                       BufferMeter* meter)
    : m_impl(std::make_unique<Impl>(loop,
                                    std::move(handlers),
                                    body_limit,
                                    meter)) {}

HttpServer::~HttpServer() = default;

tl::expected<void, RuntimeError> HttpServer::Listen(
    const core::Endpoint& endpoint) {
  return m_impl->Listen(endpoint);
}

void HttpServer::StopListening() {
  m_impl->StopListening();
}

void HttpServer::CloseAfterResponses() {
  m_impl->CloseAfterResponses();
}

void HttpServer::StopReading() {
  m_impl->StopReading();
}

std::size_t HttpServer::unsent_bytes() const {
  return m_impl->unsent_bytes();
}

void HttpServer::Respond(ExchangeId id, const wire::HttpResponse& response) {
  m_impl->Respond(id, response);
}

std::size_t HttpServer::open_exchanges() const noexcept {
  return m_impl->open_exchanges();
}

std::size_t HttpServer::connections() const noexcept {
  return m_impl->connections();
}

}  // namespace figlug::runtime
