#include "figlug/testing/log_stand_in.h"

#include <event2/buffer.h>
#include <event2/http.h>

#include <algorithm>
#include <deque>
#include <list>
#include <optional>
#include <string>
#include <utility>

#include "figlug/testing/query.h"
#include "figlug/wire/log_codec.h"

namespace figlug::testing {
namespace {

constexpr std::size_t kMaxEntriesPerPage = 500;
constexpr std::size_t kMaxPageBytes = 4U << 20;
constexpr std::int64_t kMaxWaitMs = 10'000;
constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

}  // namespace

class LogStandIn::Impl {
 public:
  explicit Impl(runtime::EventLoop& loop)
      : m_loop(loop), m_server(evhttp_new(loop.base())) {
    evhttp_set_allowed_methods(m_server, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
    evhttp_set_gencb(
        m_server,
        [](evhttp_request* request, void* self) {
          static_cast<Impl*>(self)->OnRequest(request);
        },
        this);
  }

  ~Impl() {
    m_readers.clear();
    evhttp_free(m_server);
  }

  tl::expected<void, runtime::RuntimeError> Listen(
      const core::Endpoint& endpoint) {
    if (evhttp_bind_socket(m_server, endpoint.m_host.c_str(),
                           endpoint.m_port) != 0) {
      return tl::unexpected(runtime::RuntimeError{
          "listen on port " + std::to_string(endpoint.m_port),
          "cannot bind the socket"});
    }
    return {};
  }

 private:
  struct Stored {
    /// Offset of the first record.
    core::Offset m_first = 0;
    std::deque<std::string> m_records;
  };
  /// A long-polling read that waits for its first record or its timeout.
  struct Reader {
    Reader(Impl& impl, evhttp_request* request, core::Offset from)
        : m_request(request),
          m_from(from),
          m_timer(impl.m_loop, [this, &impl] { impl.Finish(*this); }) {}
    evhttp_request* m_request;
    core::Offset m_from;
    runtime::Timer m_timer;
  };

  core::Offset next() const {
    return m_stored.m_first + m_stored.m_records.size();
  }

  void OnRequest(evhttp_request* request) {
    const std::string path = PathOf(request);
    if (path == "/control") {
      Control(request);
    } else if (m_is_down) {
      evhttp_send_reply(request, kUnavailable, "down", nullptr);
    } else if (path != "/v1/records") {
      evhttp_send_reply(request, kNotFound, "no such page", nullptr);
    } else if (evhttp_request_get_command(request) == EVHTTP_REQ_POST) {
      Append(request);
    } else {
      Read(request);
    }
  }

  void Control(evhttp_request* request) {
    m_is_down = QueryNumber(request, "down").value_or(m_is_down ? 1 : 0) != 0;
    m_read_delay_ms = QueryNumber(request, "slow_ms").value_or(m_read_delay_ms);
    m_replies_to_lose =
        QueryNumber(request, "lose_replies").value_or(m_replies_to_lose);
    m_max_records = static_cast<std::size_t>(
        QueryNumber(request, "retain")
            .value_or(static_cast<std::int64_t>(m_max_records)));
    Trim();
    const bool is_restored = QueryNumber(request, "restore").value_or(0) != 0;
    if (QueryNumber(request, "copy").value_or(0) != 0) {
      m_copy = m_stored;
    }
    if (is_restored && !m_copy) {
      evhttp_send_reply(request, kConflict, "no copy", nullptr);
      return;
    }
    if (is_restored) {
      m_stored = *m_copy;
      ++m_era;
      WakeReaders();
    }
    if (m_is_down) {
      while (!m_readers.empty()) {
        evhttp_send_reply(m_readers.front().m_request, kUnavailable, "down",
                          nullptr);
        m_readers.pop_front();
      }
    }
    evhttp_send_reply(request, kOk, "OK", nullptr);
  }

  void Append(evhttp_request* request) {
    evbuffer* body = evhttp_request_get_input_buffer(request);
    std::string data(evbuffer_get_length(body), '\0');
    evbuffer_remove(body, data.data(), data.size());
    const core::Offset offset = next();
    m_stored.m_records.push_back(std::move(data));
    Trim();
    WakeReaders();
    if (m_replies_to_lose > 0) {
      --m_replies_to_lose;
      evhttp_send_reply(request, kUnavailable, "reply lost", nullptr);
      return;
    }
    evbuffer* reply = evbuffer_new();
    evbuffer_add_printf(reply, "{\"offset\":%llu}\n",
                        static_cast<unsigned long long>(offset));
    evhttp_send_reply(request, kCreated, "Created", reply);
    evbuffer_free(reply);
  }

  void Read(evhttp_request* request) {
    const auto from =
        static_cast<core::Offset>(QueryNumber(request, "from").value_or(0));
    const std::int64_t wait_ms = std::clamp<std::int64_t>(
        QueryNumber(request, "wait_ms").value_or(0), 0, kMaxWaitMs);
    Reader& reader = m_readers.emplace_back(*this, request, from);
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(request),
        [](evhttp_connection* connection, void* self) {
          static_cast<Impl*>(self)->OnClosed(connection);
        },
        this);
    const bool waits = from == next();
    reader.m_timer.Set(std::chrono::milliseconds(
        waits ? std::max(wait_ms, m_read_delay_ms) : m_read_delay_ms));
  }

  void OnClosed(evhttp_connection* connection) {
    m_readers.remove_if([&](const Reader& reader) {
      return evhttp_request_get_connection(reader.m_request) == connection;
    });
  }

  void WakeReaders() {
    for (Reader& reader : m_readers) {
      reader.m_timer.Set(std::chrono::milliseconds(m_read_delay_ms));
    }
  }

  void Finish(Reader& reader) {
    evhttp_request* request = reader.m_request;
    const core::Offset from = std::max(reader.m_from, m_stored.m_first);
    m_readers.remove_if([&](const Reader& other) { return &other == &reader; });
    wire::LogPage page{m_stored.m_first, next(), {}, m_era};
    std::size_t bytes = 0;
    for (core::Offset offset = from;
         offset < next() && page.m_entries.size() < kMaxEntriesPerPage &&
         bytes < kMaxPageBytes;
         ++offset) {
      page.m_entries.push_back(
          {offset, m_stored.m_records[offset - m_stored.m_first]});
      bytes += page.m_entries.back().m_data.size();
    }
    const std::string data = wire::EncodeLogPage(page);
    evbuffer* reply = evbuffer_new();
    evbuffer_add(reply, data.data(), data.size());
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  nullptr, nullptr);
    evhttp_send_reply(request, kOk, "OK", reply);
    evbuffer_free(reply);
  }

  void Trim() {
    while (m_stored.m_records.size() > m_max_records) {
      m_stored.m_records.pop_front();
      ++m_stored.m_first;
    }
  }

  runtime::EventLoop& m_loop;
  evhttp* m_server;
  bool m_is_down = false;
  std::int64_t m_read_delay_ms = 0;
  std::int64_t m_replies_to_lose = 0;
  std::size_t m_max_records = 1'000'000;
  Stored m_stored;
  std::optional<Stored> m_copy;
  /// Number of restores.
  core::Era m_era = 1;
  std::list<Reader> m_readers;
};

LogStandIn::LogStandIn(runtime::EventLoop& loop)
    : m_impl(std::make_unique<Impl>(loop)) {}

LogStandIn::~LogStandIn() = default;

tl::expected<void, runtime::RuntimeError> LogStandIn::Listen(
    const core::Endpoint& endpoint) {
  return m_impl->Listen(endpoint);
}

}  // namespace figlug::testing
