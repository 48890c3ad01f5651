#include "figlug/testing/fault_proxy.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <deque>
#include <list>
#include <map>
#include <random>
#include <utility>

#include <nlohmann/json.hpp>

#include "figlug/runtime/impl/socket_address.h"
#include "figlug/testing/query.h"

namespace figlug::testing {
namespace {

using runtime::impl::ToSocketAddress;

constexpr int kListenBacklog = 512;
constexpr std::uint64_t kRandomSeed = 7;
constexpr std::size_t kMaxDatagramBytes = 2048;
constexpr int kSides = 2;
constexpr core::Duration kCutCheckInterval = std::chrono::milliseconds(5);

std::string HostOf(const sockaddr* address) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &reinterpret_cast<const sockaddr_in*>(address)->sin_addr,
            text.data(), text.size());
  return text.data();
}

tl::unexpected<runtime::RuntimeError> ListenError(
    const core::Endpoint& endpoint) {
  return tl::unexpected(runtime::RuntimeError{
      "listen on " + endpoint.m_host + ":" + std::to_string(endpoint.m_port),
      std::strerror(errno)});
}

// Disables Nagle's algorithm, so that only the rules delay traffic.
void SetNoDelay(bufferevent* stream) {
  const int on = 1;
  setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on,
             sizeof(on));
}

struct Rule {
  bool m_is_cut = false;
  core::Duration m_delay{};
  std::int64_t m_loss = 0;
  std::int64_t m_copies = 0;
};

}  // namespace

class FaultProxy::Impl {
 public:
  explicit Impl(runtime::EventLoop& loop)
      : m_loop(loop),
        m_control(evhttp_new(loop.base())),
        m_random(kRandomSeed) {
    evhttp_set_gencb(
        m_control,
        [](evhttp_request* request, void* self) {
          static_cast<Impl*>(self)->OnControl(request);
        },
        this);
  }

  ~Impl() {
    m_streams.clear();
    evhttp_free(m_control);
    for (Link& link : m_links) {
      evconnlistener_free(link.m_listener);
      event_free(link.m_readable);
      close(link.m_socket);
    }
  }

  tl::expected<void, runtime::RuntimeError> ListenControl(
      const core::Endpoint& endpoint) {
    if (evhttp_bind_socket(m_control, endpoint.m_host.c_str(),
                           endpoint.m_port) != 0) {
      return ListenError(endpoint);
    }
    return {};
  }

  tl::expected<void, runtime::RuntimeError> AddLink(
      const std::string& name,
      const core::Endpoint& listen,
      const core::Endpoint& forward) {
    Link& link = m_links.emplace_back();
    link.m_impl = this;
    link.m_name = name;
    link.m_forward = forward;
    const sockaddr_in address = ToSocketAddress(listen);
    const auto* raw = reinterpret_cast<const sockaddr*>(&address);
    link.m_socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
    link.m_listener =
        evconnlistener_new_bind(m_loop.base(), &OnAccept, &link,
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                kListenBacklog, raw, sizeof(address));
    link.m_readable = event_new(m_loop.base(), link.m_socket,
                                EV_READ | EV_PERSIST, &OnDatagram, &link);
    if (link.m_listener == nullptr ||
        bind(link.m_socket, raw, sizeof(address)) != 0) {
      return ListenError(listen);
    }
    event_add(link.m_readable, nullptr);
    return {};
  }

 private:
  struct Link {
    Impl* m_impl = nullptr;
    std::string m_name;
    core::Endpoint m_forward;
    evconnlistener* m_listener = nullptr;
    evutil_socket_t m_socket = -1;
    event* m_readable = nullptr;
  };
  struct Chunk {
    core::Time m_release_time{};
    std::string m_bytes;
  };
  /// A forwarded connection. While the link is cut, its bytes are queued and
  /// not dropped, because TCP would retransmit them.
  struct Stream {
    Stream(Impl& impl, Link& link, std::string from)
        : m_impl(impl),
          m_link(link),
          m_from(std::move(from)),
          m_timer(impl.m_loop, [this] { m_impl.Flush(*this); }) {}
    ~Stream() {
      bufferevent_free(m_client);
      bufferevent_free(m_server);
    }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    Impl& m_impl;
    Link& m_link;
    std::string m_from;
    bufferevent* m_client = nullptr;
    bufferevent* m_server = nullptr;
    std::deque<Chunk> m_to_server;
    std::deque<Chunk> m_to_client;
    /// Whether the connection carries nothing any more, not even its end.
    bool m_is_silent = false;
    /// Number of sides that have ended a silent connection.
    int m_ended_sides = 0;
    bool m_is_closing = false;
    /// Whether a closing connection has been given time to send its last bytes.
    bool m_has_lingered = false;
    runtime::Timer m_timer;
  };

  Rule RuleOf(const std::string& from, const std::string& to) const {
    for (const auto& key :
         {std::pair(from, to), std::pair(from, Wildcard()),
          std::pair(Wildcard(), to), std::pair(Wildcard(), Wildcard())}) {
      const auto it = m_rules.find(key);
      if (it != m_rules.end()) {
        return it->second;
      }
    }
    return {};
  }

  static std::string Wildcard() { return "*"; }

  static std::string QueryText(evhttp_request* request, const char* name) {
    evkeyvalq pairs;
    evhttp_parse_query_str(
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request)), &pairs);
    const char* value = evhttp_find_header(&pairs, name);
    std::string text = value == nullptr ? Wildcard() : value;
    evhttp_clear_headers(&pairs);
    return text;
  }

  void OnControl(evhttp_request* request) {
    evbuffer* reply = evbuffer_new();
    if (PathOf(request) == "/rule") {
      Rule& rule =
          m_rules[{QueryText(request, "from"), QueryText(request, "to")}];
      rule.m_is_cut =
          QueryNumber(request, "cut").value_or(rule.m_is_cut ? 1 : 0) != 0;
      rule.m_delay = core::Duration(
          QueryNumber(request, "delay_us").value_or(rule.m_delay.count()));
      rule.m_loss = QueryNumber(request, "loss").value_or(rule.m_loss);
      rule.m_copies = QueryNumber(request, "copies").value_or(rule.m_copies);
    } else if (PathOf(request) == "/silence") {
      Silence(QueryText(request, "from"), QueryText(request, "to"));
    } else if (PathOf(request) == "/reset") {
      const std::string link = QueryText(request, "to");
      m_streams.remove_if(
          [&](const Stream& stream) { return stream.m_link.m_name == link; });
    } else {
      nlohmann::json report = nlohmann::json::array();
      for (const auto& [key, bytes] : m_bytes) {
        report.push_back(
            {{"from", key.first}, {"to", key.second}, {"bytes", bytes}});
      }
      const std::string text = report.dump();
      evbuffer_add(reply, text.data(), text.size());
    }
    evhttp_send_reply(request, 200, "OK", reply);
    evbuffer_free(reply);
  }

  void Silence(const std::string& from, const std::string& to) {
    const auto matches = [](const std::string& pattern,
                            const std::string& name) {
      return pattern == Wildcard() || pattern == name;
    };
    for (Stream& stream : m_streams) {
      if (matches(from, stream.m_from) && matches(to, stream.m_link.m_name)) {
        stream.m_is_silent = true;
        stream.m_to_server.clear();
        stream.m_to_client.clear();
      }
    }
  }

  static void OnDatagram(evutil_socket_t socket, short, void* arg) {
    auto* link = static_cast<Link*>(arg);
    std::array<char, kMaxDatagramBytes> buffer;
    sockaddr_in from{};
    socklen_t from_length = sizeof(from);
    const ssize_t length =
        recvfrom(socket, buffer.data(), buffer.size(), 0,
                 reinterpret_cast<sockaddr*>(&from), &from_length);
    if (length > 0) {
      link->m_impl->ForwardDatagram(
          *link, HostOf(reinterpret_cast<const sockaddr*>(&from)),
          {buffer.data(), static_cast<std::size_t>(length)});
    }
  }

  void ForwardDatagram(Link& link,
                       const std::string& from,
                       const std::string& bytes) {
    const Rule rule = RuleOf(from, link.m_name);
    m_bytes[{from, link.m_name}] += bytes.size();
    const auto occurs = [&](std::int64_t permille) {
      return static_cast<std::int64_t>(m_random() % 1000) < permille;
    };
    if (rule.m_is_cut || occurs(rule.m_loss)) {
      return;
    }
    const int copies = occurs(rule.m_copies) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      DelayDatagram(link, rule.m_delay * (i + 1), bytes);
    }
  }

  void DelayDatagram(Link& link,
                     core::Duration delay,
                     const std::string& bytes) {
    if (delay == core::Duration::zero()) {
      SendDatagram(link, bytes);
      return;
    }
    const std::uint64_t id = ++m_last_delayed_id;
    auto timer =
        std::make_unique<runtime::Timer>(m_loop, [this, &link, id, bytes] {
          SendDatagram(link, bytes);
          m_sent_delayed_ids.push_back(id);
          m_sweep_timer.Set(core::Duration::zero());
        });
    timer->Set(delay);
    m_delayed[id] = std::move(timer);
  }

  static void SendDatagram(const Link& link, const std::string& bytes) {
    const sockaddr_in to = ToSocketAddress(link.m_forward);
    sendto(link.m_socket, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  }

  static void OnAccept(evconnlistener*,
                       evutil_socket_t socket,
                       sockaddr* from,
                       int,
                       void* arg) {
    auto* link = static_cast<Link*>(arg);
    Impl& impl = *link->m_impl;
    Stream& stream = impl.m_streams.emplace_back(impl, *link, HostOf(from));
    stream.m_client = impl.Attach(stream, socket);
    stream.m_server = impl.Attach(stream, -1);
    const sockaddr_in to = ToSocketAddress(link->m_forward);
    bufferevent_socket_connect(
        stream.m_server, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  }

  bufferevent* Attach(Stream& stream, evutil_socket_t socket) {
    bufferevent* side = bufferevent_socket_new(
        m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(side, &OnReadable, nullptr, &OnEvent, &stream);
    bufferevent_enable(side, EV_READ | EV_WRITE);
    SetNoDelay(side);
    return side;
  }

  static void OnReadable(bufferevent* side, void* arg) {
    auto* stream = static_cast<Stream*>(arg);
    Impl& impl = stream->m_impl;
    evbuffer* input = bufferevent_get_input(side);
    Chunk chunk;
    chunk.m_bytes.resize(evbuffer_get_length(input));
    evbuffer_remove(input, chunk.m_bytes.data(), chunk.m_bytes.size());
    const Rule rule = impl.RuleOf(stream->m_from, stream->m_link.m_name);
    chunk.m_release_time = runtime::ReadClocks().m_time + rule.m_delay;
    impl.m_bytes[{stream->m_from, stream->m_link.m_name}] +=
        chunk.m_bytes.size();
    if (stream->m_is_silent) {
      return;
    }
    (side == stream->m_client ? stream->m_to_server : stream->m_to_client)
        .push_back(std::move(chunk));
    impl.Flush(*stream);
  }

  static void OnEvent(bufferevent* side, short events, void* arg) {
    if ((events & BEV_EVENT_CONNECTED) != 0) {
      SetNoDelay(side);
    } else {
      auto* stream = static_cast<Stream*>(arg);
      if (stream->m_is_silent && ++stream->m_ended_sides < kSides) {
        return;
      }
      stream->m_is_closing = true;
      stream->m_timer.Set(core::Duration::zero());
    }
  }

  // Forwards the bytes that are due. A closing connection is kept until bytes
  // sent before its end have been forwarded.
  void Flush(Stream& stream) {
    const core::Time now = runtime::ReadClocks().m_time;
    const Rule rule = RuleOf(stream.m_from, stream.m_link.m_name);
    core::Duration wait = core::Duration::max();
    const auto flush = [&](std::deque<Chunk>& chunks, bufferevent* to) {
      while (!chunks.empty() && !rule.m_is_cut &&
             chunks.front().m_release_time <= now) {
        bufferevent_write(to, chunks.front().m_bytes.data(),
                          chunks.front().m_bytes.size());
        chunks.pop_front();
      }
      if (!chunks.empty()) {
        wait =
            std::min(wait, rule.m_is_cut ? kCutCheckInterval
                                         : chunks.front().m_release_time - now);
      }
    };
    flush(stream.m_to_server, stream.m_server);
    flush(stream.m_to_client, stream.m_client);
    const bool has_output =
        evbuffer_get_length(bufferevent_get_output(stream.m_client)) > 0;
    if (wait != core::Duration::max()) {
      stream.m_timer.Set(wait);
    } else if (stream.m_is_closing && has_output && !stream.m_has_lingered) {
      stream.m_has_lingered = true;
      stream.m_timer.Set(kCutCheckInterval);
    } else if (stream.m_is_closing) {
      m_ended_streams.push_back(&stream);
      m_sweep_timer.Set(core::Duration::zero());
    }
  }

  // Destroys timers and streams that have ended. Deferred to its own timer, as
  // neither may be destroyed inside its own callback.
  void Sweep() {
    for (std::uint64_t id : std::exchange(m_sent_delayed_ids, {})) {
      m_delayed.erase(id);
    }
    for (Stream* ended : std::exchange(m_ended_streams, {})) {
      m_streams.remove_if(
          [&](const Stream& stream) { return &stream == ended; });
    }
  }

  runtime::EventLoop& m_loop;
  evhttp* m_control;
  std::mt19937_64 m_random;
  std::map<std::pair<std::string, std::string>, Rule> m_rules;
  std::map<std::pair<std::string, std::string>, std::uint64_t> m_bytes;
  std::list<Link> m_links;
  std::list<Stream> m_streams;
  std::uint64_t m_last_delayed_id = 0;
  std::map<std::uint64_t, std::unique_ptr<runtime::Timer>> m_delayed;
  std::vector<std::uint64_t> m_sent_delayed_ids;
  std::vector<Stream*> m_ended_streams;
  runtime::Timer m_sweep_timer{m_loop, [this] { Sweep(); }};
};

FaultProxy::FaultProxy(runtime::EventLoop& loop)
    : m_impl(std::make_unique<Impl>(loop)) {}

FaultProxy::~FaultProxy() = default;

tl::expected<void, runtime::RuntimeError> FaultProxy::ListenControl(
    const core::Endpoint& endpoint) {
  return m_impl->ListenControl(endpoint);
}

tl::expected<void, runtime::RuntimeError> FaultProxy::AddLink(
    const std::string& name,
    const core::Endpoint& listen,
    const core::Endpoint& forward) {
  return m_impl->AddLink(name, listen, forward);
}

}  // namespace figlug::testing
