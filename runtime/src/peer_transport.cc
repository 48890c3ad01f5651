#include "figlug/runtime/peer_transport.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <algorithm>
#include <cstring>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <log4cplus/loggingmacros.h>

#include "figlug/core/connection_liveness.h"
#include "figlug/runtime/impl/fragment_sender.h"
#include "figlug/runtime/impl/frame_reader.h"
#include "figlug/runtime/impl/peer_socket.h"
#include "figlug/runtime/impl/socket_address.h"
#include "figlug/runtime/impl/timeval.h"
#include "figlug/runtime/logging.h"

namespace figlug::runtime {
namespace {

constexpr int kBacklog = 1024;
constexpr timeval kConnectTimeout{0, 300'000};
/// If a peer reads nothing for this long, its connection is closed.
constexpr timeval kWriteTimeout{1, 0};
/// Well below the times within which a silent connection is probed and closed.
constexpr core::Duration kLivenessInterval = std::chrono::milliseconds(100);
constexpr std::uint32_t kControlPriority = 0;

constexpr std::uint32_t CallPriority(std::uint32_t priority) {
  return std::max(priority, priority + 1);
}

}  // namespace

class PeerTransport::Impl {
 public:
  Impl(EventLoop& loop,
       PeerHandlers handlers,
       core::Duration max_inbound_idle,
       BufferMeter* meter)
      : m_loop(loop),
        m_handlers(std::move(handlers)),
        m_meter(meter),
        m_inbound_read_timeout(impl::ToTimeval(max_inbound_idle)),
        m_large_frames(
            loop,
            {[this](core::LinkPeerId peer, const wire::Frame& frame) {
               WriteNow(*m_links.at(peer), frame);
             },
             [this](core::LinkPeerId peer, core::AttemptId attempt) {
               OnExpired(*m_links.at(peer), attempt);
             }},
            meter),
        m_free_closed(loop, [this] { m_closed.clear(); }),
        m_liveness_timer(loop, [this] { ReviewLiveness(); }),
        m_discard_timer(loop, [this] { CloseDiscarded(); }) {}

  ~Impl() {
    if (m_listener != nullptr) {
      evconnlistener_free(m_listener);
    }
  }

  tl::expected<void, RuntimeError> Listen(const core::Endpoint& endpoint) {
    m_host = endpoint.m_host;
    const sockaddr_in address = impl::ToSocketAddress(endpoint);
    m_listener = evconnlistener_new_bind(
        m_loop.base(), &OnAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        kBacklog, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    if (m_listener == nullptr) {
      return tl::unexpected(
          RuntimeError{"listen for peers on " + endpoint.m_host + ":" +
                           std::to_string(endpoint.m_port),
                       evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())});
    }
    return {};
  }

  void SendAttempt(const core::Endpoint& to, const wire::AttemptFrame& frame) {
    Connection& connection = Connect(to);
    const core::Time end = ReadClocks().m_time + frame.m_head.m_time_left;
    connection.m_attempts.insert(frame.m_attempt);
    connection.m_liveness.OnAttemptSent(end);
    Write(connection, frame, CallPriority(frame.m_head.m_priority), end,
          frame.m_attempt);
  }

  // The peer knows an attempt by the connection that it came from, and not at
  // all while a part of it waits.
  void Cancel(const core::Endpoint& to, core::AttemptId attempt) {
    const auto cancel = [&](Connection& connection) {
      const bool is_open = connection.m_attempts.erase(attempt) > 0;
      if (is_open && !m_large_frames.Cancel(connection.m_link, attempt)) {
        WriteNow(connection, wire::CancelFrame{attempt});
      }
      return is_open;
    };
    const auto current = m_outbound.find(MakeKey(to));
    if (current != m_outbound.end() && cancel(*current->second)) {
      return;
    }
    for (const auto& connection : m_retired) {
      if (cancel(*connection)) {
        return;
      }
    }
  }

  // Records and configurations go before all answers.
  void Send(const core::Endpoint& to, const wire::Frame& frame) {
    Write(Connect(to), frame, kControlPriority, core::kNever, std::nullopt);
  }

  void Reply(PeerConnectionId to,
             const wire::ReplyFrame& frame,
             const SendTerms& terms) {
    const auto it = m_inbound.find(to);
    if (it != m_inbound.end()) {
      Write(*it->second, frame, CallPriority(terms.m_priority),
            terms.m_deadline, frame.m_attempt);
    }
  }

  core::LinkLoad link_load(core::Time now) const {
    return m_large_frames.scheduler().Load(now);
  }

  std::size_t link_window() const noexcept {
    return m_large_frames.scheduler().window();
  }

  std::size_t unacknowledged_bytes(core::Time now) const {
    return m_large_frames.scheduler().InFlightBytes(now);
  }

  std::uint64_t dropped_bytes() const noexcept {
    return m_large_frames.dropped_bytes();
  }

  std::size_t unsent_bytes() const {
    std::size_t bytes = m_large_frames.unsent_bytes();
    ForEachConnected([&](const Connection& connection) {
      bytes += impl::UnsentBytes(connection.m_stream);
    });
    return bytes;
  }

  PeerBacklog BacklogOf(PeerConnectionId to) const {
    PeerBacklog backlog;
    backlog.m_all_unsent = m_large_frames.unsent_bytes();
    ForEachConnected([&](const Connection& connection) {
      const std::size_t unsent = impl::UnsentBytes(connection.m_stream);
      const std::size_t unacknowledged =
          impl::UnacknowledgedBytes(connection.m_stream);
      backlog.m_all_unsent += unsent;
      backlog.m_all_unacknowledged += unacknowledged;
      if (!IsOutbound(connection) && connection.m_id == to) {
        backlog.m_unsent = unsent;
        backlog.m_unacknowledged = unacknowledged;
      }
    });
    return backlog;
  }

  std::uint64_t bytes_sent() const noexcept { return m_bytes_sent; }

 private:
  struct Connection {
    ~Connection() {
      if (m_stream != nullptr) {
        if (m_arriving) {
          evbuffer_remove_cb(bufferevent_get_input(m_stream), &OnInput, this);
          evbuffer_remove_cb(bufferevent_get_output(m_stream), &OnOutput, this);
        }
        bufferevent_free(m_stream);
      }
    }
    Impl* m_impl = nullptr;
    bufferevent* m_stream = nullptr;
    core::LinkPeerId m_link{0};
    impl::FrameReader m_reader;
    /// Set for connections opened by a peer.
    PeerConnectionId m_id{0};
    /// Set for connections opened by this process.
    core::Endpoint m_to;
    bool m_is_connected = false;
    std::set<core::AttemptId> m_attempts;
    /// Used for connections opened by this process.
    core::ConnectionLiveness m_liveness;
    /// Used for connections opened by a peer: probed since the last receipt.
    bool m_is_probed = false;
    /// The frame that is arriving.
    std::optional<BufferCharge> m_arriving;
    /// The frames that wait to be written.
    std::optional<BufferCharge> m_unsent;
    /// To be closed because too much is buffered.
    bool m_is_discarded = false;
  };
  using Key = std::pair<std::string, std::uint16_t>;

  template <class Function>
  void ForEachConnected(Function&& function) const {
    const auto visit = [&](const std::unique_ptr<Connection>& connection) {
      if (connection->m_is_connected) {
        function(*connection);
      }
    };
    for (const auto& [key, connection] : m_outbound) {
      visit(connection);
    }
    std::ranges::for_each(m_retired, visit);
    for (const auto& [id, connection] : m_inbound) {
      visit(connection);
    }
  }

  static Key MakeKey(const core::Endpoint& endpoint) {
    return {endpoint.m_host, endpoint.m_port};
  }

  Connection& Connect(const core::Endpoint& to) {
    std::unique_ptr<Connection>& slot = m_outbound[MakeKey(to)];
    if (slot) {
      return *slot;
    }
    slot = std::make_unique<Connection>();
    slot->m_impl = this;
    slot->m_to = to;
    // Outgoing connections use the address that this process listens on.
    Attach(*slot, impl::OpenPeerSocket(m_host));
    bufferevent_set_timeouts(slot->m_stream, nullptr, &kConnectTimeout);
    const sockaddr_in address = impl::ToSocketAddress(to);
    bufferevent_socket_connect(slot->m_stream,
                               reinterpret_cast<const sockaddr*>(&address),
                               sizeof(address));
    return *slot;
  }

  void Attach(Connection& connection, evutil_socket_t socket) {
    connection.m_link = core::LinkPeerId{++m_last_link};
    m_links[connection.m_link] = &connection;
    connection.m_stream = bufferevent_socket_new(
        m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(connection.m_stream, &OnReadable, nullptr, &OnEvent,
                      &connection);
    bufferevent_enable(connection.m_stream, EV_READ | EV_WRITE);
    if (m_meter == nullptr) {
      return;
    }
    connection.m_unsent.emplace(*m_meter);
    connection.m_arriving.emplace(*m_meter, [this, &connection] {
      connection.m_is_discarded = true;
      m_discard_timer.Set(core::Duration::zero());
    });
    evbuffer_add_cb(bufferevent_get_input(connection.m_stream), &OnInput,
                    &connection);
    evbuffer_add_cb(bufferevent_get_output(connection.m_stream), &OnOutput,
                    &connection);
  }

  static void OnInput(evbuffer* input, const evbuffer_cb_info*, void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    connection->m_arriving->Set(evbuffer_get_length(input) +
                                connection->m_reader.incomplete_bytes());
  }

  static void OnOutput(evbuffer* output, const evbuffer_cb_info*, void* arg) {
    static_cast<Connection*>(arg)->m_unsent->Set(evbuffer_get_length(output));
  }

  // A frame cannot be dropped without the connection that it arrives on.
  void CloseDiscarded() {
    std::vector<Connection*> discarded;
    const auto add = [&](const auto& connection) {
      if (connection->m_is_discarded) {
        discarded.push_back(connection.get());
      }
    };
    for (const auto& [key, connection] : m_outbound) {
      add(connection);
    }
    std::ranges::for_each(m_retired, add);
    for (const auto& [id, connection] : m_inbound) {
      add(connection);
    }
    for (Connection* connection : discarded) {
      LOG4CPLUS_WARN(MemberLogger(),
                     "connection to a peer closed: its frame is too large for "
                     "the buffers that are left");
      Close(*connection);
    }
  }

  static void OnAccept(evconnlistener*,
                       evutil_socket_t socket,
                       sockaddr*,
                       int,
                       void* arg) {
    auto* impl = static_cast<Impl*>(arg);
    impl::EnableNoDelay(socket);
    const PeerConnectionId id{++impl->m_last_id};
    auto connection = std::make_unique<Connection>();
    connection->m_impl = impl;
    connection->m_id = id;
    connection->m_is_connected = true;
    impl->Attach(*connection, socket);
    bufferevent_set_timeouts(connection->m_stream,
                             &impl->m_inbound_read_timeout, &kWriteTimeout);
    impl->m_inbound[id] = std::move(connection);
  }

  // Frames that are small go at once, past the large ones that wait.
  void Write(Connection& connection,
             const wire::Frame& frame,
             std::uint32_t priority,
             core::Time deadline,
             std::optional<core::AttemptId> attempt) {
    std::string head = wire::EncodeFrameHead(frame);
    const std::string_view body = wire::BodyOf(frame);
    if (head.size() + body.size() <= core::kFragmentBytes) {
      WriteEncoded(connection, head, body);
      return;
    }
    head += body;
    m_large_frames.Send({.m_peer = connection.m_link,
                         .m_priority = priority,
                         .m_deadline = deadline},
                        std::move(head), attempt);
  }

  // A peer whose answer will not come in time may try elsewhere. An attempt of
  // this process is left to its deadline.
  void OnExpired(Connection& connection, core::AttemptId attempt) {
    if (!IsOutbound(connection)) {
      WriteNow(connection,
               wire::ReplyFrame{.m_attempt = attempt,
                                .m_outcome = core::Outcome::kUnknown,
                                .m_reason = core::Reason::kOverloaded});
    }
  }

  void WriteNow(Connection& connection, const wire::Frame& frame) {
    WriteEncoded(connection, wire::EncodeFrameHead(frame), wire::BodyOf(frame));
  }

  void WriteEncoded(Connection& connection,
                    std::string_view head,
                    std::string_view body) {
    evbuffer* output = bufferevent_get_output(connection.m_stream);
    evbuffer_add(output, head.data(), head.size());
    evbuffer_add(output, body.data(), body.size());
    m_bytes_sent += head.size() + body.size();
    if (connection.m_is_connected && IsOutbound(connection)) {
      connection.m_liveness.OnSent(ReadClocks().m_time);
      StartLivenessTimer();
    }
  }

  static bool IsOutbound(const Connection& connection) {
    return connection.m_id == PeerConnectionId{0};
  }

  void StartLivenessTimer() {
    if (!std::exchange(m_is_reviewing_liveness, true)) {
      m_liveness_timer.Set(kLivenessInterval);
    }
  }

  // While data waits to be sent, the peer cannot have answered it. A connection
  // that accepts no more data is left to the write timeout.
  void ReviewLiveness() {
    m_is_reviewing_liveness = false;
    const core::Time now = ReadClocks().m_time;
    std::vector<Connection*> silent;
    std::vector<Connection*> ended;
    const auto review = [&](const std::unique_ptr<Connection>& connection) {
      if (!connection->m_is_connected || HasUnsent(*connection)) {
        return;
      }
      switch (connection->m_liveness.Review(now)) {
        case core::LivenessAction::kNone:
          break;
        case core::LivenessAction::kProbe:
          WriteNow(*connection, wire::ProbeFrame{});
          break;
        case core::LivenessAction::kRetire:
          silent.push_back(connection.get());
          break;
        case core::LivenessAction::kClose:
          ended.push_back(connection.get());
          break;
      }
    };
    for (const auto& [key, connection] : m_outbound) {
      if (connection->m_is_connected &&
          connection->m_liveness.is_outstanding()) {
        StartLivenessTimer();
        review(connection);
      }
    }
    for (const auto& connection : m_retired) {
      if (connection->m_attempts.empty() && !HasUnsent(*connection)) {
        ended.push_back(connection.get());
      } else {
        review(connection);
      }
    }
    for (Connection* connection : ended) {
      if (!connection->m_attempts.empty()) {
        LOG4CPLUS_WARN(MemberLogger(), "retired connection to peer "
                                           << connection->m_to.m_host << ":"
                                           << connection->m_to.m_port
                                           << " closed with "
                                           << connection->m_attempts.size()
                                           << " attempts without a reply");
      }
      Close(*connection);
    }
    for (Connection* connection : silent) {
      Retire(*connection);
    }
    ConnectAnew();
  }

  static bool HasUnsent(const Connection& connection) {
    return evbuffer_get_length(bufferevent_get_output(connection.m_stream)) > 0;
  }

  // The connection gets no more frames but cancellations, and stays open for
  // replies. It is closed by the next review if nobody waits for one.
  void Retire(Connection& connection) {
    LOG4CPLUS_WARN(MemberLogger(), "connection to peer "
                                       << connection.m_to.m_host << ":"
                                       << connection.m_to.m_port
                                       << " is silent; retiring it with "
                                       << connection.m_attempts.size()
                                       << " attempts without a reply");
    const auto it = m_outbound.find(MakeKey(connection.m_to));
    m_retired.push_back(std::move(it->second));
    m_outbound.erase(it);
    for (core::AttemptId attempt : std::set(connection.m_attempts)) {
      m_handlers.m_on_silent(attempt);
    }
  }

  // Whether the peer answers on another connection shows which of the two has
  // failed, the connection or the peer.
  void ConnectAnew() {
    for (const auto& retired : m_retired) {
      StartLivenessTimer();
      if (!retired->m_attempts.empty() &&
          !m_outbound.contains(MakeKey(retired->m_to))) {
        WriteNow(Connect(retired->m_to), wire::ProbeFrame{});
      }
    }
  }

  void OnReceived(Connection& connection) {
    const core::Time now = ReadClocks().m_time;
    connection.m_liveness.OnReceived(now, !connection.m_attempts.empty());
    const auto current = m_outbound.find(MakeKey(connection.m_to));
    if (current == m_outbound.end() || current->second.get() != &connection) {
      return;
    }
    for (const auto& retired : m_retired) {
      if (MakeKey(retired->m_to) == current->first) {
        retired->m_liveness.OnPeerAnsweredElsewhere(now);
      }
    }
  }

  static void OnReadable(bufferevent* stream, void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    connection->m_is_probed = false;
    impl::FrameBatch batch = connection->m_reader.Read(stream);
    if (connection->m_arriving) {
      OnInput(bufferevent_get_input(stream), nullptr, connection);
    }
    for (std::size_t i = 0; i < batch.m_fragments; ++i) {
      connection->m_impl->WriteNow(*connection, wire::FragmentAckFrame{});
    }
    connection->m_impl->Deliver(*connection, std::move(batch.m_frames));
    if (!batch.m_is_valid) {
      LOG4CPLUS_WARN(MemberLogger(),
                     "connection to a peer closed: cannot parse its frames");
      connection->m_impl->Close(*connection);
      return;
    }
    if (IsOutbound(*connection)) {
      connection->m_impl->OnReceived(*connection);
    }
  }

  // An attempt that a later frame of the batch cancels is not delivered.
  void Deliver(Connection& connection, std::vector<wire::Frame>&& frames) {
    std::set<core::AttemptId> cancelled;
    for (const wire::Frame& frame : frames) {
      if (const auto* cancel = std::get_if<wire::CancelFrame>(&frame)) {
        cancelled.insert(cancel->m_attempt);
      }
    }
    for (wire::Frame& frame : frames) {
      const auto* attempt = std::get_if<wire::AttemptFrame>(&frame);
      if (attempt == nullptr || !cancelled.contains(attempt->m_attempt)) {
        OnFrame(connection, std::move(frame));
      }
    }
  }

  void OnFrame(Connection& connection, wire::Frame&& frame) {
    if (auto* reply = std::get_if<wire::ReplyFrame>(&frame)) {
      if (connection.m_attempts.erase(reply->m_attempt) > 0) {
        m_handlers.m_on_reply(std::move(*reply));
      }
      return;
    }
    if (std::holds_alternative<wire::ProbeFrame>(frame)) {
      WriteNow(connection, wire::ProbeReplyFrame{});
      return;
    }
    if (std::holds_alternative<wire::FragmentAckFrame>(frame)) {
      m_large_frames.OnAck(connection.m_link);
      return;
    }
    const auto* cancel = std::get_if<wire::CancelFrame>(&frame);
    if (cancel != nullptr &&
        m_large_frames.Cancel(connection.m_link, cancel->m_attempt)) {
      return;
    }
    if (!std::holds_alternative<wire::ProbeReplyFrame>(frame)) {
      m_handlers.m_on_frame(connection.m_id, std::move(frame));
    }
  }

  static void OnEvent(bufferevent* stream, short events, void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    if ((events & BEV_EVENT_CONNECTED) != 0) {
      connection->m_is_connected = true;
      impl::EnableNoDelay(bufferevent_getfd(stream));
      bufferevent_set_timeouts(stream, nullptr, &kWriteTimeout);
      connection->m_liveness.OnSent(ReadClocks().m_time);
      connection->m_impl->StartLivenessTimer();
      return;
    }
    constexpr short read_timeout = BEV_EVENT_READING | BEV_EVENT_TIMEOUT;
    if ((events & read_timeout) == read_timeout) {
      connection->m_impl->OnInboundSilent(*connection);
      return;
    }
    connection->m_impl->Close(*connection);
  }

  // Closing at once could meet an attempt on its way, whose outcome would then
  // be unknown. libevent stops reading after a read timeout.
  void OnInboundSilent(Connection& connection) {
    if (!std::exchange(connection.m_is_probed, true)) {
      WriteNow(connection, wire::ProbeFrame{});
      bufferevent_enable(connection.m_stream, EV_READ);
      return;
    }
    LOG4CPLUS_WARN(MemberLogger(),
                   "connection " << static_cast<std::uint64_t>(connection.m_id)
                                 << " from a peer is silent; closing it");
    Close(connection);
  }

  // libevent may still be in a callback of this connection, so freeing it is
  // deferred to the next iteration of the loop.
  void Close(Connection& connection) {
    bufferevent_disable(connection.m_stream, EV_READ | EV_WRITE);
    bufferevent_setcb(connection.m_stream, nullptr, nullptr, nullptr, nullptr);
    m_free_closed.Set(core::Duration::zero());
    m_links.erase(connection.m_link);
    const std::set<core::AttemptId> unsent =
        m_large_frames.OnClosed(connection.m_link);
    if (connection.m_id != PeerConnectionId{0}) {
      const PeerConnectionId id = connection.m_id;
      const auto it = m_inbound.find(id);
      m_closed.push_back(std::move(it->second));
      m_inbound.erase(it);
      m_handlers.m_on_closed(id);
      return;
    }
    const auto it = m_outbound.find(MakeKey(connection.m_to));
    if (it != m_outbound.end() && it->second.get() == &connection) {
      m_closed.push_back(std::move(it->second));
      m_outbound.erase(it);
    } else {
      const auto retired = std::ranges::find(m_retired, &connection,
                                             &std::unique_ptr<Connection>::get);
      m_closed.push_back(std::move(*retired));
      m_retired.erase(retired);
    }
    const bool was_sent = connection.m_is_connected;
    for (core::AttemptId attempt : std::exchange(connection.m_attempts, {})) {
      m_handlers.m_on_lost(attempt, was_sent && !unsent.contains(attempt));
    }
  }

  EventLoop& m_loop;
  PeerHandlers m_handlers;
  BufferMeter* m_meter;
  timeval m_inbound_read_timeout;
  std::string m_host;
  evconnlistener* m_listener = nullptr;
  std::uint64_t m_last_id = 0;
  std::uint64_t m_last_link = 0;
  std::uint64_t m_bytes_sent = 0;
  /// All connections that are not closed.
  std::map<core::LinkPeerId, Connection*> m_links;
  impl::FragmentSender m_large_frames;
  std::map<Key, std::unique_ptr<Connection>> m_outbound;
  std::map<PeerConnectionId, std::unique_ptr<Connection>> m_inbound;
  /// Silent connections of this process that still owe replies.
  std::vector<std::unique_ptr<Connection>> m_retired;
  std::vector<std::unique_ptr<Connection>> m_closed;
  Timer m_free_closed;
  Timer m_liveness_timer;
  Timer m_discard_timer;
  bool m_is_reviewing_liveness = false;
};

PeerTransport::PeerTransport(EventLoop& loop,
                             PeerHandlers handlers,
                             core::Duration max_inbound_idle,
                             BufferMeter* meter)
    : m_impl(std::make_unique<Impl>(loop,
                                    std::move(handlers),
                                    max_inbound_idle,
                                    meter)) {}

PeerTransport::~PeerTransport() = default;

tl::expected<void, RuntimeError> PeerTransport::Listen(
    const core::Endpoint& endpoint) {
  return m_impl->Listen(endpoint);
}

void PeerTransport::SendAttempt(const core::Endpoint& to,
                                const wire::AttemptFrame& frame) {
  m_impl->SendAttempt(to, frame);
}

void PeerTransport::Cancel(const core::Endpoint& to, core::AttemptId attempt) {
  m_impl->Cancel(to, attempt);
}

void PeerTransport::Send(const core::Endpoint& to, const wire::Frame& frame) {
  m_impl->Send(to, frame);
}

void PeerTransport::Reply(PeerConnectionId to,
                          const wire::ReplyFrame& frame,
                          const SendTerms& terms) {
  m_impl->Reply(to, frame, terms);
}

core::LinkLoad PeerTransport::link_load(core::Time now) const {
  return m_impl->link_load(now);
}

std::size_t PeerTransport::link_window() const {
  return m_impl->link_window();
}

std::size_t PeerTransport::unacknowledged_bytes(core::Time now) const {
  return m_impl->unacknowledged_bytes(now);
}

std::uint64_t PeerTransport::dropped_bytes() const noexcept {
  return m_impl->dropped_bytes();
}

std::size_t PeerTransport::unsent_bytes() const {
  return m_impl->unsent_bytes();
}

PeerBacklog PeerTransport::BacklogOf(PeerConnectionId to) const {
  return m_impl->BacklogOf(to);
}

std::uint64_t PeerTransport::bytes_sent() const noexcept {
  return m_impl->bytes_sent();
}

}  // namespace figlug::runtime
