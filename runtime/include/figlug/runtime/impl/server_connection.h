#ifndef FIGLUG_RUNTIME_IMPL_SERVER_CONNECTION_H_
#define FIGLUG_RUNTIME_IMPL_SERVER_CONNECTION_H_

#include <event2/util.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "figlug/runtime/buffer_meter.h"
#include "figlug/runtime/http_server.h"
#include "figlug/wire/request_reader.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct event;

namespace figlug::runtime::impl {

class ServerConnection;

/// \brief What the connections of an HttpServer share.
struct ServerState {
  event_base* m_base = nullptr;
  HttpServerHandlers m_handlers;
  std::size_t m_body_limit = 0;
  /// Null: buffers are not counted.
  BufferMeter* m_meter = nullptr;
  core::ClientLimits m_client_limits;
  bool m_is_listening = false;
  bool m_closes_after_response = false;
  bool m_is_reading_stopped = false;
  bool m_is_closing = false;
  std::uint64_t m_last_id = 0;
  std::unordered_map<ExchangeId, ServerConnection*> m_exchanges;
  std::unordered_map<ServerConnection*, std::unique_ptr<ServerConnection>>
      m_connections;
};

/// \brief A connection of an HttpServer. Reads one request at a time: the next
/// one is read once the response has been passed on.
class ServerConnection {
 public:
  /// \param state Must outlive the connection.
  /// \param socket Closed with the connection.
  ServerConnection(ServerState& state, evutil_socket_t socket);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  /// \brief Responds to the request that has been delivered.
  void Respond(const wire::HttpResponse& response);
  void StopReading();
  /// \brief Whether no request is being handled and nothing is left to write.
  [[nodiscard]] bool IsIdle() const;
  [[nodiscard]] std::size_t unsent_bytes() const;

 private:
  static void OnReadable(bufferevent* stream, void* arg);
  static void OnWritten(bufferevent* stream, void* arg);
  static void OnEvent(bufferevent* stream, short events, void* arg);
  static void OnResume(evutil_socket_t socket, short events, void* arg);
  static void OnTimeout(evutil_socket_t socket, short events, void* arg);
  static void OnCloseCheck(evutil_socket_t socket, short events, void* arg);
  static void OnOutput(evbuffer* output,
                       const evbuffer_cb_info* info,
                       void* arg);

  /// Reads up to the end of a request; may end the connection.
  void ReadInput();
  [[nodiscard]] bool HasBegunRequest() const;
  /// Bounds the time until the client sends what is missing.
  void WaitForClient();
  void SetTimeout(core::Duration time);
  void CheckHead();
  /// Returns false if the connection has to end since the body is too large.
  [[nodiscard]] bool CheckBody();
  /// Ends the connection if the client has closed it.
  void DeliverRequest();
  void BeginNextRequest();
  void CountArriving();
  void DiscardArriving();
  void Write(const wire::HttpResponse& response);
  /// Responds to bytes that are no request, and reads no more.
  void Reject(std::string_view response);
  void CloseOnceWritten();
  [[nodiscard]] bool ClosesAfterResponse() const;
  /// Destroys the connection.
  void End();

  [[nodiscard]] evbuffer* input() const;
  [[nodiscard]] evbuffer* output() const;

  ServerState& m_state;
  bufferevent* m_stream;
  /// Reads the next request, which may wait in the input, once the handler of
  /// the one before has returned.
  event* m_resume_event;
  /// Fires when the client has taken too long to send a request.
  event* m_timeout;
  /// Fires when the client closes its connection, or sends another request,
  /// while its request is being handled.
  event* m_close_event;
  /// Checks for a closed connection while another request waits in it.
  event* m_close_check;
  wire::RequestReader m_reader;
  std::optional<ExchangeId> m_exchange;
  bool m_is_head_begun = false;
  bool m_is_head_checked = false;
  std::optional<wire::HttpResponse> m_refusal;
  /// The request while it arrives.
  std::optional<BufferCharge> m_arriving;
  /// The responses that wait to be written.
  std::optional<BufferCharge> m_unsent;
  /// Bytes that were unsent when the time of the client last passed.
  std::size_t m_last_unsent = 0;
  /// What still arrives on the connection is dropped.
  bool m_closes_once_written = false;
  bool m_is_head_request = false;
};

}  // namespace figlug::runtime::impl

#endif  // FIGLUG_RUNTIME_IMPL_SERVER_CONNECTION_H_
