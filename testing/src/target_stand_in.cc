#include "figlug/testing/target_stand_in.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <deque>
#include <fstream>
#include <list>
#include <map>
#include <utility>

#include <nlohmann/json.hpp>

#include "figlug/testing/query.h"

namespace figlug::testing {
namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr ev_ssize_t kMaxBodyBytes = 64 << 20;
constexpr int kAllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                            EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                            EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS;

std::string HeaderOf(evhttp_request* request, const char* name) {
  const char* value =
      evhttp_find_header(evhttp_request_get_input_headers(request), name);
  return value == nullptr ? "" : value;
}

}  // namespace

class TargetStandIn::Impl {
 public:
  Impl(runtime::EventLoop& loop, TargetOptions options)
      : m_loop(loop),
        m_options(std::move(options)),
        m_server(evhttp_new(loop.base())),
        m_started(runtime::ReadClocks().m_time) {
    evhttp_set_allowed_methods(m_server, kAllMethods);
    evhttp_set_max_body_size(m_server, kMaxBodyBytes);
    evhttp_set_gencb(
        m_server,
        [](evhttp_request* request, void* self) {
          static_cast<Impl*>(self)->OnRequest(request);
        },
        this);
    if (!m_options.m_event_file.empty()) {
      m_events.open(m_options.m_event_file, std::ios::app);
    }
  }

  ~Impl() {
    m_running.clear();
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
  struct Execution {
    Execution(Impl& impl, evhttp_request* request)
        : m_impl(impl),
          m_request(request),
          m_timer(impl.m_loop, [this] { m_impl.Finish(*this); }),
          m_closed(event_new(
              impl.m_loop.base(),
              bufferevent_getfd(evhttp_connection_get_bufferevent(
                  evhttp_request_get_connection(request))),
              EV_CLOSED,
              [](evutil_socket_t, short, void* self) {
                auto* execution = static_cast<Execution*>(self);
                execution->m_impl.Cancel(*execution);
              },
              this)) {
      event_add(m_closed, nullptr);
    }
    ~Execution() { event_free(m_closed); }
    Execution(const Execution&) = delete;
    Execution& operator=(const Execution&) = delete;

    Impl& m_impl;
    evhttp_request* m_request;
    runtime::Timer m_timer;
    /// Detects a client that disconnects while its request runs, which
    /// libevent's HTTP server does not report.
    event* m_closed;
  };

  void OnRequest(evhttp_request* request) {
    if (PathOf(request) == "/control") {
      Control(request);
    } else if (m_is_shedding) {
      Reject(request, kUnavailable, "shed");
    } else if (m_options.m_checks_fence && !AcceptFence(request)) {
      RecordEvent(request, "stale-fence");
      Reject(request, kConflict, "stale fence");
    } else {
      Admit(request);
    }
  }

  void Control(evhttp_request* request) {
    if (const auto us = QueryNumber(request, "service_us")) {
      m_options.m_service_time = core::Duration(*us);
    }
    if (const auto slots = QueryNumber(request, "slots")) {
      m_options.m_slots = static_cast<std::uint32_t>(*slots);
    }
    m_is_shedding =
        QueryNumber(request, "shed").value_or(m_is_shedding ? 1 : 0) != 0;
    evhttp_send_reply(request, kOk, "OK", nullptr);
  }

  static void Reject(evhttp_request* request, int status, const char* reason) {
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Figlug-Not-Run", reason);
    evhttp_send_reply(request, status, reason, nullptr);
  }

  // A fence is "service/slice/epoch". Rejects an epoch older than the newest
  // one seen for the slice.
  bool AcceptFence(evhttp_request* request) {
    const std::string fence = HeaderOf(request, "Figlug-Fence");
    const std::size_t slash = fence.rfind('/');
    if (slash == std::string::npos) {
      return true;
    }
    const std::uint64_t epoch = std::stoull(fence.substr(slash + 1));
    std::uint64_t& newest = m_epochs[fence.substr(0, slash)];
    newest = std::max(newest, epoch);
    return epoch == newest;
  }

  bool IsCold() const {
    return runtime::ReadClocks().m_time < m_started + m_options.m_cold_time;
  }

  std::uint32_t Slots() const { return IsCold() ? 1 : m_options.m_slots; }

  void Admit(evhttp_request* request) {
    if (m_running.size() + m_queued.size() >= Slots()) {
      m_queued.push_back(request);
      evhttp_request_own(request);
      return;
    }
    Start(request);
  }

  void Start(evhttp_request* request) {
    RecordEvent(request, "start");
    Execution& execution = m_running.emplace_back(*this, request);
    execution.m_timer.Set(m_options.m_service_time);
  }

  void Cancel(Execution& execution) {
    RecordEvent(execution.m_request, "cancelled");
    evhttp_connection* connection =
        evhttp_request_get_connection(execution.m_request);
    Remove(execution);
    evhttp_connection_free(connection);
    StartQueued();
  }

  void Remove(Execution& execution) {
    m_running.remove_if(
        [&](const Execution& other) { return &other == &execution; });
  }

  void Finish(Execution& execution) {
    evhttp_request* request = execution.m_request;
    Remove(execution);
    RecordEvent(request, "end");
    Answer(request);
    StartQueued();
  }

  void StartQueued() {
    while (!m_queued.empty() && m_running.size() < Slots()) {
      evhttp_request* request = m_queued.front();
      m_queued.pop_front();
      if (evhttp_request_get_connection(request) == nullptr) {
        evhttp_request_free(request);
        continue;
      }
      Start(request);
    }
  }

  void Answer(evhttp_request* request) {
    evbuffer* reply = evbuffer_new();
    const std::string path = PathOf(request);
    int status = kOk;
    if (path == "/echo") {
      evbuffer_add_buffer(reply, evhttp_request_get_input_buffer(request));
    } else if (path == "/bytes") {
      const auto n = QueryNumber(request, "n").value_or(0);
      const std::string bytes(static_cast<std::size_t>(n), 'x');
      evbuffer_add(reply, bytes.data(), bytes.size());
    } else if (path == "/status") {
      status = static_cast<int>(QueryNumber(request, "code").value_or(kOk));
    } else {
      evbuffer_add_printf(reply, "%s %s %s\n", m_options.m_name.c_str(),
                          HeaderOf(request, "Figlug-Request-Id").c_str(),
                          HeaderOf(request, "X-Tag").c_str());
      for (const char* name : {"Figlug-Tenant", "Figlug-Credential"}) {
        if (const std::string value = HeaderOf(request, name); !value.empty()) {
          evbuffer_add_printf(reply, "%s: %s\n", name, value.c_str());
        }
      }
    }
    evhttp_add_header(evhttp_request_get_output_headers(request), "X-Target",
                      m_options.m_name.c_str());
    if (const std::string id = HeaderOf(request, "Figlug-Request-Id");
        !id.empty()) {
      evhttp_add_header(evhttp_request_get_output_headers(request),
                        "Figlug-Request-Id", id.c_str());
    }
    if (evhttp_request_get_command(request) == EVHTTP_REQ_HEAD) {
      const std::string length = std::to_string(evbuffer_get_length(reply));
      evhttp_add_header(evhttp_request_get_output_headers(request),
                        "Content-Length", length.c_str());
      evbuffer_drain(reply, evbuffer_get_length(reply));
    }
    evhttp_send_reply(request, status, "OK", reply);
    evbuffer_free(reply);
  }

  void RecordEvent(evhttp_request* request, const char* event) {
    if (!m_events.is_open()) {
      return;
    }
    const nlohmann::json line = {
        {"event", event},
        {"target", m_options.m_name},
        {"region", m_options.m_region},
        {"id", HeaderOf(request, "Figlug-Request-Id")},
        {"fence", HeaderOf(request, "Figlug-Fence")},
        {"tag", HeaderOf(request, "X-Tag")},
        {"at_us", runtime::ReadClocks().m_time.time_since_epoch().count()},
        {"held", m_running.size() + m_queued.size()},
        {"slots", Slots()},
    };
    m_events << line.dump() << '\n' << std::flush;
  }

  runtime::EventLoop& m_loop;
  TargetOptions m_options;
  evhttp* m_server;
  core::Time m_started;
  bool m_is_shedding = false;
  std::ofstream m_events;
  std::map<std::string, std::uint64_t> m_epochs;
  std::list<Execution> m_running;
  std::deque<evhttp_request*> m_queued;
};

TargetStandIn::TargetStandIn(runtime::EventLoop& loop, TargetOptions options)
    : m_impl(std::make_unique<Impl>(loop, std::move(options))) {}

TargetStandIn::~TargetStandIn() = default;

tl::expected<void, runtime::RuntimeError> TargetStandIn::Listen(
    const core::Endpoint& endpoint) {
  return m_impl->Listen(endpoint);
}

}  // namespace figlug::testing
