#include "figlug/runtime/connection_probe.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <utility>

#include "figlug/runtime/impl/socket_address.h"
#include "figlug/runtime/impl/timeval.h"

namespace figlug::runtime {
namespace {

constexpr timeval kConnectTimeout{0, 500'000};
constexpr core::Duration kRetryInterval = std::chrono::milliseconds(100);

}  // namespace

ConnectionProbe::ConnectionProbe(EventLoop& loop,
                                 core::Endpoint to,
                                 std::function<void(bool)> on_change,
                                 core::Duration max_idle_time)
    : m_loop(loop),
      m_to(std::move(to)),
      m_on_change(std::move(on_change)),
      m_max_idle_time(max_idle_time),
      m_retry(loop, [this] { Connect(); }) {}

ConnectionProbe::~ConnectionProbe() {
  if (m_stream != nullptr) {
    bufferevent_free(m_stream);
  }
}

void ConnectionProbe::Start() {
  Connect();
}

void ConnectionProbe::Connect() {
  if (m_stream != nullptr) {
    bufferevent_free(m_stream);
  }
  m_stream = bufferevent_socket_new(
      m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(
      m_stream,
      [](bufferevent* stream, void*) {
        evbuffer* input = bufferevent_get_input(stream);
        evbuffer_drain(input, evbuffer_get_length(input));
      },
      nullptr,
      [](bufferevent*, short events, void* self) {
        static_cast<ConnectionProbe*>(self)->OnEvent(events);
      },
      this);
  bufferevent_set_timeouts(m_stream, nullptr, &kConnectTimeout);
  bufferevent_enable(m_stream, EV_READ | EV_WRITE);
  const sockaddr_in address = impl::ToSocketAddress(m_to);
  bufferevent_socket_connect(
      m_stream, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

// A server may close an idle connection, or it may fall silent; the server
// counts as down only if a new connection is refused or times out.
void ConnectionProbe::OnEvent(short events) {
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    const timeval max_idle = impl::ToTimeval(m_max_idle_time);
    bufferevent_set_timeouts(m_stream, &max_idle, nullptr);
    Report(true);
    return;
  }
  const bool was_connected =
      (events & BEV_EVENT_READING) != 0 &&
      (events & (BEV_EVENT_EOF | BEV_EVENT_TIMEOUT)) != 0;
  if (!was_connected) {
    Report(false);
  }
  m_retry.Set(was_connected ? core::Duration::zero() : kRetryInterval);
}

void ConnectionProbe::Report(bool is_up) {
  if (is_up != m_is_up) {
    m_is_up = is_up;
    m_on_change(is_up);
  }
}

}  // namespace figlug::runtime
