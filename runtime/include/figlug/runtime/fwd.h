#ifndef FIGLUG_RUNTIME_FWD_H_
#define FIGLUG_RUNTIME_FWD_H_

/// \file
/// \brief Forward declarations of the main types of the runtime package.

/// \brief Sockets, files, timers and clocks around the core, on one event loop.
namespace figlug::runtime {

class EventLoop;       // event_loop.h
class Timer;           // event_loop.h
class SignalHandler;   // event_loop.h
struct RuntimeError;   // runtime_error.h
class HttpServer;      // http_server.h
class HttpClient;      // http_client.h
class PeerTransport;   // peer_transport.h
class DatagramSocket;  // datagram_socket.h
class HttpLogClient;   // http_log_client.h
class SpanWriter;      // span_writer.h
class Metrics;         // metrics.h

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_FWD_H_
