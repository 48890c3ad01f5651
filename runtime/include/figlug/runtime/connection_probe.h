#ifndef FIGLUG_RUNTIME_CONNECTION_PROBE_H_
#define FIGLUG_RUNTIME_CONNECTION_PROBE_H_

#include <functional>

#include "figlug/core/endpoint.h"
#include "figlug/runtime/event_loop.h"

struct bufferevent;

namespace figlug::runtime {

/// \brief Detects whether a server accepts connections, by keeping one open.
///
/// \code
/// ConnectionProbe probe(loop, target, [](bool is_up) { ... });
/// probe.Start();
/// \endcode
class ConnectionProbe {
 public:
  ConnectionProbe(EventLoop& loop,
                  core::Endpoint to,
                  std::function<void(bool)> on_change);
  ~ConnectionProbe();
  ConnectionProbe(const ConnectionProbe&) = delete;
  ConnectionProbe& operator=(const ConnectionProbe&) = delete;

  void Start();

 private:
  void Connect();
  void OnEvent(short events);
  void Report(bool is_up);

  EventLoop& m_loop;
  core::Endpoint m_to;
  std::function<void(bool)> m_on_change;
  Timer m_retry;
  bufferevent* m_stream = nullptr;
  bool m_is_up = false;
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_CONNECTION_PROBE_H_
