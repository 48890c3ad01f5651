#ifndef FIGLUG_RUNTIME_CONNECTION_PROBE_H_
#define FIGLUG_RUNTIME_CONNECTION_PROBE_H_

#include <functional>

#include "figlug/core/endpoint.h"
#include "figlug/runtime/event_loop.h"

struct bufferevent;

namespace figlug::runtime {

/// Such a connection is replaced after this time, as it may have fallen silent.
/// A target that is gone is noticed that late at most; one new connection in
/// this time costs a target next to nothing.
inline constexpr core::Duration kProbeIdleTime = std::chrono::seconds(5);

/// \brief Detects whether a server accepts connections, by keeping one open.
///
/// \code
/// ConnectionProbe probe(loop, target, [](bool is_up) { ... });
/// probe.Start();
/// \endcode
class ConnectionProbe {
 public:
  /// \param max_idle_time Time without data after which the connection is
  /// replaced.
  ConnectionProbe(EventLoop& loop,
                  core::Endpoint to,
                  std::function<void(bool)> on_change,
                  core::Duration max_idle_time = kProbeIdleTime);
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
  core::Duration m_max_idle_time;
  Timer m_retry;
  bufferevent* m_stream = nullptr;
  bool m_is_up = false;
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_CONNECTION_PROBE_H_
