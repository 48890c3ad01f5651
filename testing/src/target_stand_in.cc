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
constexpr ev_ssize_t kMaxFrameBodyBytes = 64 << 20;
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
    evhttp_set_max_body_size(m_server, kMaxFrameBodyBytes);
    evhttp_set_gencb(
        m_server,
        [](evhttp_request* request, void* self) {
          static_cast<Impl*>(self)->OnRequest(request);
        },
        this);
    if (!m_options.m_record_file.empty()) {
      m_records.open(m_options.m_record_file, std::ios::app);
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
          "listen on port " + std::to_string(endpoint.m_port), "in use"});
    }
    return {};
  }

 private:
  struct Run {
    Run(Impl& impl, evhttp_request* request)
        : m_impl(impl),
          m_request(request),
          m_timer(impl.m_loop, [this] { m_impl.Finish(*this); }),
          m_closed(event_new(
              impl.m_loop.base(),
              bufferevent_getfd(evhttp_connection_get_bufferevent(
                  evhttp_request_get_connection(request))),
              EV_CLOSED,
              [](evutil_socket_t, short, void* self) {
                auto* run = static_cast<Run*>(self);
                run->m_impl.Cancel(*run);
              },
              this)) {
      event_add(m_closed, nullptr);
    }
    ~Run() { event_free(m_closed); }
    Run(const Run&) = delete;
    Run& operator=(const Run&) = delete;

    Impl& m_impl;
    evhttp_request* m_request;
    runtime::Timer m_timer;
    /// The library does not tell of a client that leaves during a request.
    event* m_closed;
  };

  void OnRequest(evhttp_request* request) {
    if (PathOf(request) == "/control") {
      Control(request);
    } else if (m_sheds) {
      Refuse(request, kUnavailable, "shed");
    } else if (m_options.m_checks_fence && !AcceptFence(request)) {
      Record(request, "stale-fence");
      Refuse(request, kConflict, "stale fence");
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
    m_sheds = QueryNumber(request, "shed").value_or(m_sheds ? 1 : 0) != 0;
    evhttp_send_reply(request, kOk, "OK", nullptr);
  }

  static void Refuse(evhttp_request* request, int status, const char* why) {
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Figlug-Not-Run", why);
    evhttp_send_reply(request, status, why, nullptr);
  }

  // A fence is "service/slice/epoch"; the newest epoch of a slice wins.
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
    if (m_running.size() + m_waiting.size() >= Slots()) {
      m_waiting.push_back(request);
      evhttp_request_own(request);
      return;
    }
    Start(request);
  }

  // A target that is over its slots slows down for all.
  void Start(evhttp_request* request) {
    Record(request, "start");
    Run& run = m_running.emplace_back(*this, request);
    run.m_timer.Set(m_options.m_service_time);
  }

  void Cancel(Run& run) {
    Record(run.m_request, "cancelled");
    evhttp_connection* connection =
        evhttp_request_get_connection(run.m_request);
    Remove(run);
    evhttp_connection_free(connection);
    StartWaiting();
  }

  void Remove(Run& run) {
    m_running.remove_if([&](const Run& other) { return &other == &run; });
  }

  void Finish(Run& run) {
    evhttp_request* request = run.m_request;
    Remove(run);
    Record(request, "end");
    Answer(request);
    StartWaiting();
  }

  void StartWaiting() {
    while (!m_waiting.empty() && m_running.size() < Slots()) {
      evhttp_request* request = m_waiting.front();
      m_waiting.pop_front();
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
    }
    evhttp_add_header(evhttp_request_get_output_headers(request), "X-Target",
                      m_options.m_name.c_str());
    if (evhttp_request_get_command(request) == EVHTTP_REQ_HEAD) {
      const std::string length = std::to_string(evbuffer_get_length(reply));
      evhttp_add_header(evhttp_request_get_output_headers(request),
                        "Content-Length", length.c_str());
      evbuffer_drain(reply, evbuffer_get_length(reply));
    }
    evhttp_send_reply(request, status, "OK", reply);
    evbuffer_free(reply);
  }

  void Record(evhttp_request* request, const char* event) {
    if (!m_records.is_open()) {
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
        {"held", m_running.size() + m_waiting.size()},
        {"slots", Slots()},
    };
    m_records << line.dump() << '\n' << std::flush;
  }

  runtime::EventLoop& m_loop;
  TargetOptions m_options;
  evhttp* m_server;
  core::Time m_started;
  bool m_sheds = false;
  std::ofstream m_records;
  std::map<std::string, std::uint64_t> m_epochs;
  std::list<Run> m_running;
  std::deque<evhttp_request*> m_waiting;
};

TargetStandIn::TargetStandIn(runtime::EventLoop& loop, TargetOptions options)
    : m_impl(std::make_unique<Impl>(loop, std::move(options))) {}

TargetStandIn::~TargetStandIn() = default;

tl::expected<void, runtime::RuntimeError> TargetStandIn::Listen(
    const core::Endpoint& endpoint) {
  return m_impl->Listen(endpoint);
}

}  // namespace figlug::testing
