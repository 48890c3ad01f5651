#ifndef FIGLUG_REVIEW_COMMON_3_TESTS_LAB_H_
#define FIGLUG_REVIEW_COMMON_3_TESTS_LAB_H_

// Stand-ins for the cases of the third review: the platform's store, endpoints
// and clients, all with blocking sockets and threads on loopback addresses.
// They share no code with the project, so that they cannot share its faults.

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline constexpr int kExitHeld = 0;
inline constexpr int kExitBroken = 1;
inline constexpr int kExitNotRun = 2;

inline constexpr std::uint16_t kStorePort = 18309;
inline constexpr std::uint16_t kAppPort = 18301;
inline constexpr std::uint16_t kReadyPort = 18302;
inline constexpr std::uint16_t kOutboundPort = 18304;
inline constexpr std::uint16_t kControlPort = 18306;
inline constexpr int kPeerPort = 17620;

inline double Seconds() {
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void SleepMs(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

/// Lines of what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& file) : m_out(file) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f  ", Seconds());
    m_out << time << text << std::endl;
  }
  void Both(const std::string& text) {
    Line(text);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_out;
};

inline sockaddr_in Address(const std::string& host, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

/// One HTTP message; the first line without its line break.
struct Message {
  std::string m_line;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;

  [[nodiscard]] std::string Header(std::string_view name) const {
    for (const auto& [key, value] : m_headers) {
      if (key.size() == name.size() &&
          strncasecmp(key.data(), name.data(), name.size()) == 0) {
        return value;
      }
    }
    return "";
  }
  [[nodiscard]] std::string Word(int index) const {
    std::istringstream words(m_line);
    std::string word;
    for (int i = 0; i <= index; ++i) {
      words >> word;
    }
    return word;
  }
};

/// A connected socket that is closed with the object.
class Socket {
 public:
  explicit Socket(int fd = -1) : m_fd(fd) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept
      : m_fd(std::exchange(other.m_fd, -1)),
        m_buffer(std::move(other.m_buffer)) {}
  Socket& operator=(Socket&& other) noexcept {
    Close();
    m_fd = std::exchange(other.m_fd, -1);
    m_buffer = std::move(other.m_buffer);
    return *this;
  }
  void Close() {
    if (m_fd >= 0) {
      close(m_fd);
    }
    m_fd = -1;
  }
  [[nodiscard]] int fd() const { return m_fd; }

  [[nodiscard]] static Socket Connect(const std::string& host,
                                      std::uint16_t port) {
    Socket out(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = Address(host, port);
    if (connect(out.m_fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
      out.Close();
    } else {
      out.NoDelay();
    }
    return out;
  }
  void NoDelay() const {
    const int on = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  bool Send(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t sent = send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }
  /// Reads a message with a length; nothing at the end or after the time.
  std::optional<Message> Read(int timeout_ms, bool is_head_answer = false) {
    const auto until = Clock::now() + milliseconds(timeout_ms);
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) {
        return std::nullopt;
      }
    }
    Message message;
    std::istringstream lines(m_buffer.substr(0, end));
    std::string line;
    std::getline(lines, line);
    const auto trim = [](std::string& text) {
      while (!text.empty() && (text.back() == '\r' || text.back() == ' ')) {
        text.pop_back();
      }
    };
    trim(line);
    message.m_line = line;
    while (std::getline(lines, line)) {
      trim(line);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t at = colon + 1;
        while (at < line.size() && line[at] == ' ') {
          ++at;
        }
        message.m_headers.emplace_back(line.substr(0, colon), line.substr(at));
      }
    }
    m_buffer.erase(0, end + 4);
    const std::string length = message.Header("Content-Length");
    const std::size_t wanted =
        length.empty() || is_head_answer ? 0 : std::stoul(length);
    while (m_buffer.size() < wanted) {
      if (!Fill(until)) {
        return std::nullopt;
      }
    }
    message.m_body = m_buffer.substr(0, wanted);
    m_buffer.erase(0, wanted);
    return message;
  }

 private:
  bool Fill(Clock::time_point until) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    pollfd wait{m_fd, POLLIN, 0};
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char bytes[65536];
    const ssize_t got = recv(m_fd, bytes, sizeof(bytes), 0);
    if (got <= 0) {
      return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(got));
    return true;
  }

  int m_fd;
  std::string m_buffer;
};

inline std::string Answer(int status,
                          const std::string& headers,
                          const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Serves each connection in a thread of its own.
class Server {
 public:
  /// Returns the bytes to answer with; nothing closes the connection.
  using Handler = std::function<std::optional<std::string>(const Message&)>;

  Server(const std::string& host, std::uint16_t port, Handler handler)
      : m_handler(std::move(handler)),
        m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = Address(host, port);
    if (bind(m_listener, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(m_listener, 512) != 0) {
      std::printf("cannot listen on %s:%d\n", host.c_str(), port);
      std::exit(kExitNotRun);
    }
    m_thread = std::thread([this] { Accept(); });
  }
  ~Server() {
    m_is_ending = true;
    m_thread.join();
    close(m_listener);
    {
      const std::lock_guard lock(m_mutex);
      for (const int fd : m_open) {
        shutdown(fd, SHUT_RDWR);
      }
    }
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }

 private:
  void Accept() {
    while (!m_is_ending) {
      pollfd wait{m_listener, POLLIN, 0};
      if (poll(&wait, 1, 50) <= 0) {
        continue;
      }
      const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        m_threads.emplace_back([this, fd] { Serve(fd); });
      }
    }
  }
  void Serve(int fd) {
    Socket socket(fd);
    socket.NoDelay();
    {
      const std::lock_guard lock(m_mutex);
      m_open.insert(fd);
    }
    while (!m_is_ending) {
      const auto request = socket.Read(3'600'000);
      if (!request) {
        break;
      }
      const auto answer = m_handler(*request);
      if (!answer || !socket.Send(*answer)) {
        break;
      }
    }
    const std::lock_guard lock(m_mutex);
    m_open.erase(fd);
    socket.Close();
  }

  Handler m_handler;
  int m_listener;
  std::atomic<bool> m_is_ending = false;
  std::mutex m_mutex;
  std::set<int> m_open;
  std::vector<std::thread> m_threads;
  std::thread m_thread;
};

/// The platform's store: append, read with a wait, newest. Records expire after
/// `keep`; the newest record of each key of a keyed topic stays.
class Store {
 public:
  Store(const std::string& host, milliseconds keep)
      : m_keep(keep),
        m_expiry([this] { Expire(); }),
        m_server(host, kStorePort, [this](const Message& request) {
          return On(request);
        }) {}
  ~Store() {
    m_is_ending = true;
    m_changed.notify_all();
    m_expiry.join();
  }
  /// Writes as the operator does.
  void Put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    Add("keyed.op", static_cast<char>(key.size()) + key + value);
    m_changed.notify_all();
  }
  std::string Describe() {
    const std::lock_guard lock(m_mutex);
    std::string text;
    for (const auto& [name, topic] : m_topics) {
      text += name + " holds " + std::to_string(topic.m_first) + " to " +
              std::to_string(topic.end()) + ", " +
              std::to_string(topic.m_newest.size()) + " keys; ";
    }
    return text;
  }

 private:
  struct Topic {
    std::uint64_t m_first = 0;
    std::deque<std::pair<Clock::time_point, std::string>> m_records;
    std::map<std::string, std::pair<std::string, std::uint64_t>> m_newest;
    [[nodiscard]] std::uint64_t end() const {
      return m_first + m_records.size();
    }
  };

  void Expire() {
    while (!m_is_ending) {
      SleepMs(50);
      const std::lock_guard lock(m_mutex);
      for (auto& [name, topic] : m_topics) {
        while (!topic.m_records.empty() &&
               topic.m_records.front().first + m_keep < Clock::now()) {
          topic.m_records.pop_front();
          ++topic.m_first;
        }
      }
    }
  }
  void Add(const std::string& name, std::string record) {
    Topic& topic = m_topics[name];
    if (name.starts_with("keyed.")) {
      const auto length = static_cast<std::uint8_t>(record.front());
      const std::string key = record.substr(1, length);
      const std::string value = record.substr(1 + length);
      if (value.empty()) {
        topic.m_newest.erase(key);
      } else {
        topic.m_newest[key] = {value, topic.end()};
      }
    }
    topic.m_records.emplace_back(Clock::now(), std::move(record));
  }
  static std::string Parameter(const std::string& path,
                               const std::string& name) {
    for (const char* mark : {"?", "&"}) {
      const std::size_t at = path.find(mark + name + "=");
      if (at != std::string::npos) {
        const std::size_t begin = at + name.size() + 2;
        return path.substr(begin, path.find('&', begin) - begin);
      }
    }
    return "";
  }
  static std::uint64_t Number(const std::string& text) {
    return text.empty() ? 0 : std::stoull(text);
  }
  static void AppendNumber(std::string& out, std::uint64_t value, int bytes) {
    for (int i = bytes - 1; i >= 0; --i) {
      out.push_back(static_cast<char>(value >> (i * 8) & 0xff));
    }
  }
  static std::string Base64(const std::string& bytes) {
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
      std::uint32_t group = 0;
      for (std::size_t j = 0; j < 3; ++j) {
        const std::uint8_t byte =
            i + j < bytes.size() ? static_cast<std::uint8_t>(bytes[i + j]) : 0;
        group = group << 8 | byte;
      }
      for (std::size_t j = 0; j < 4; ++j) {
        out += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
      }
    }
    return out;
  }

  std::string On(const Message& request) {
    SleepMs(4);
    const std::string path = request.Word(1);
    const std::string name = Parameter(path, "topic");
    if (path.starts_with("/v1/log-append")) {
      return OnAppend(name, request.m_body);
    }
    if (path.starts_with("/v1/log-read")) {
      return OnRead(name, Number(Parameter(path, "from")),
                    Number(Parameter(path, "wait_ms")));
    }
    if (path.starts_with("/v1/log-newest")) {
      return OnNewest(name);
    }
    return Answer(404, "", "{}");
  }
  std::string OnAppend(const std::string& name, const std::string& body) {
    const std::lock_guard lock(m_mutex);
    const std::uint64_t offset = m_topics[name].end();
    for (std::size_t at = 0; at + 4 <= body.size();) {
      std::size_t length = 0;
      for (std::size_t i = 0; i < 4; ++i) {
        length = length << 8 | static_cast<std::uint8_t>(body[at + i]);
      }
      Add(name, body.substr(at + 4, length));
      at += 4 + length;
    }
    m_changed.notify_all();
    return Answer(
        200, "Content-Type: application/json\r\n",
        Json{{"offset", offset}, {"end_offset", m_topics[name].end()}}.dump());
  }
  std::string OnRead(const std::string& name,
                     std::uint64_t from,
                     std::uint64_t wait_ms) {
    std::unique_lock lock(m_mutex);
    Topic& topic = m_topics[name];
    m_changed.wait_for(lock, milliseconds(wait_ms), [&] {
      return m_is_ending || from < topic.end() || from < topic.m_first;
    });
    if (from < topic.m_first) {
      return Answer(410, "Content-Type: application/json\r\n",
                    Json{{"first", topic.m_first}}.dump());
    }
    std::string body;
    AppendNumber(body, topic.end(), 8);
    AppendNumber(body, topic.m_first, 8);
    for (std::uint64_t i = from; i < topic.end(); ++i) {
      const std::string& record = topic.m_records[i - topic.m_first].second;
      AppendNumber(body, record.size(), 4);
      body += record;
    }
    return Answer(200, "Content-Type: application/octet-stream\r\n", body);
  }
  std::string OnNewest(const std::string& name) {
    const std::lock_guard lock(m_mutex);
    const Topic& topic = m_topics[name];
    Json items = Json::array();
    for (const auto& [key, entry] : topic.m_newest) {
      items.push_back({{"key", key},
                       {"value", Base64(entry.first)},
                       {"offset", entry.second}});
    }
    return Answer(
        200, "Content-Type: application/json\r\n",
        Json{{"items", items}, {"has_more", false}, {"end_offset", topic.end()}}
            .dump());
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::atomic<bool> m_is_ending = false;
  std::map<std::string, Topic> m_topics;
  milliseconds m_keep;
  std::thread m_expiry;
  Server m_server;
};

/// A request that an endpoint ran.
struct Run {
  double m_at = 0;
  std::string m_endpoint;
  std::string m_id;
  std::string m_method;
  std::string m_path;
};

/// What all endpoints ran.
class Runs {
 public:
  void Add(Run run) {
    const std::lock_guard lock(m_mutex);
    m_runs.push_back(std::move(run));
  }
  [[nodiscard]] std::vector<Run> All() {
    const std::lock_guard lock(m_mutex);
    return m_runs;
  }

 private:
  std::mutex m_mutex;
  std::vector<Run> m_runs;
};

/// An application endpoint: sends heartbeats to the node beside it, holds the
/// keys that the answers name, and runs requests.
class Endpoint {
 public:
  Endpoint(std::string host,
           std::string service,
           std::string id,
           bool is_sharded,
           Runs& runs,
           double work_ms)
      : m_host(std::move(host)),
        m_service(std::move(service)),
        m_id(std::move(id)),
        m_is_sharded(is_sharded),
        m_runs(runs),
        m_work_ms(work_ms),
        m_born(std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()),
        m_beats([this] { Beat(); }),
        m_server(m_host, kAppPort, [this](const Message& request) {
          return On(request);
        }) {}
  ~Endpoint() {
    m_is_ending = true;
    m_beats.join();
  }

  struct Hold {
    std::uint32_t m_first = 0;
    std::uint32_t m_last = 0;
    std::uint64_t m_fence = 0;
    Clock::time_point m_until;
  };
  /// What the endpoint holds now.
  [[nodiscard]] std::vector<Hold> Held() {
    const std::lock_guard lock(m_mutex);
    std::vector<Hold> held = m_holds;
    std::erase_if(held,
                  [](const Hold& hold) { return hold.m_until < Clock::now(); });
    return held;
  }
  [[nodiscard]] const std::string& id() const { return m_id; }

 private:
  static constexpr double kHeartbeatMs = 870;

  std::optional<std::string> On(const Message& request) {
    if (request.Word(1) == "/healthz") {
      return Answer(200, "X-Instance-Id: " + m_id + "\r\n", "");
    }
    const std::string id = request.Header("X-Request-Id");
    const std::string echo = "X-Request-Id: " + id + "\r\n";
    const std::string wanted = request.Header("X-Target-Instance");
    if ((!wanted.empty() && wanted != m_id) ||
        (m_is_sharded && !Holds(request.Header("X-Shard-Key")))) {
      return Answer(421, echo + "X-Not-Executed: 1\r\n", "");
    }
    m_runs.Add({Seconds(), m_id, id, request.Word(0), request.Word(1)});
    SleepMs(m_work_ms);
    return Answer(200, echo + "X-Server-Seal: seal-" + m_id + "\r\n",
                  "done " + request.Word(1) + "\n");
  }
  bool Holds(const std::string& key) {
    const std::lock_guard lock(m_mutex);
    const auto number =
        key.empty() ? 0U : static_cast<std::uint32_t>(std::stoul(key));
    return std::ranges::any_of(m_holds, [&](const Hold& hold) {
      return hold.m_first <= number && number <= hold.m_last &&
             Clock::now() < hold.m_until;
    });
  }
  Json HeldRows() {
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_holds,
                  [](const Hold& hold) { return hold.m_until < Clock::now(); });
    Json rows = Json::array();
    for (const Hold& hold : m_holds) {
      rows.push_back({hold.m_first, hold.m_last, hold.m_fence});
    }
    return rows;
  }
  void Beat() {
    while (!m_is_ending) {
      Json beat = {{"service", m_service},
                   {"address", m_host + ":" + std::to_string(kAppPort)},
                   {"zone", "z"},
                   {"version", "v1"},
                   {"slots", 9},
                   {"state", "ready"},
                   {"cold_left", "0ms"},
                   {"sequence", ++m_sequence},
                   {"born", m_born}};
      if (m_is_sharded) {
        beat["holds"] = HeldRows();
        beat["released"] = Json::array();
      }
      SendBeat(beat.dump());
      for (double waited = 0; waited < kHeartbeatMs && !m_is_ending;
           waited += 30) {
        SleepMs(30);
      }
    }
  }
  void SendBeat(const std::string& body) {
    const auto sent_at = Clock::now();
    Socket socket = Socket::Connect(m_host, kControlPort);
    if (socket.fd() < 0) {
      return;
    }
    socket.Send("POST /v1/Instances.Heartbeat/" + m_id +
                " HTTP/1.1\r\nHost: " + m_host +
                "\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto answer = socket.Read(1000);
    if (!answer || answer->Word(1) != "200" || !m_is_sharded) {
      return;
    }
    const Json json = Json::parse(answer->m_body, nullptr, false);
    if (!json.is_object() || !json.contains("holds")) {
      return;
    }
    const double hold_ms = std::stod(json["hold_time"].get<std::string>());
    const std::lock_guard lock(m_mutex);
    m_holds.clear();
    for (const Json& row : json["holds"]) {
      m_holds.push_back(
          {row[0].get<std::uint32_t>(), row[1].get<std::uint32_t>(),
           row[2].get<std::uint64_t>(),
           sent_at + std::chrono::duration_cast<Clock::duration>(
                         std::chrono::duration<double, std::milli>(hold_ms))});
    }
  }

  std::string m_host;
  std::string m_service;
  std::string m_id;
  bool m_is_sharded;
  Runs& m_runs;
  double m_work_ms;
  std::int64_t m_born;
  std::uint64_t m_sequence = 0;
  std::mutex m_mutex;
  std::vector<Hold> m_holds;
  std::atomic<bool> m_is_ending = false;
  std::thread m_beats;
  Server m_server;
};

/// A process of the project, started with the command of the deploy file and
/// with the settings that the platform makes from the project's template.
class Node {
 public:
  /// With a limit of descriptors the output is dropped, since a process that
  /// has reached it writes gigabytes.
  Node(const std::string& folder,
       std::string host,
       const std::map<std::string, std::string>& own,
       std::uint32_t max_descriptors = 0)
      : m_host(std::move(host)), m_max_descriptors(max_descriptors) {
    std::map<std::string, std::string> values = {
        {"listen.outbound", m_host + ":" + std::to_string(kOutboundPort)},
        {"listen.control", m_host + ":" + std::to_string(kControlPort)},
        {"listen.ready_addr", m_host + ":" + std::to_string(kReadyPort)},
        {"ip", m_host},
        {"port_range.0", std::to_string(kPeerPort)},
        {"node_name", "node-" + m_host},
        {"app_addr", m_host + ":" + std::to_string(kAppPort)},
        {"heartbeat", "870ms"},
        {"platform.keep", "20s"},
        {"bounds.grace", "6s"},
        {"bounds.drain", "2000ms"},
        {"bounds.max_hold", "10000ms"},
        {"grants", "heartbeat"},
        {"platform.record_bytes", "262144"},
        {"platform.call_bytes", "2097152"},
        {"limits.memory_mb", "260"}};
    for (const auto& [key, value] : own) {
      values[key] = value;
    }
    std::ifstream in("platform/deploy/node.ini.in");
    std::stringstream text;
    text << in.rdbuf();
    std::string rest = text.str();
    std::string filled;
    for (std::size_t at = 0; (at = rest.find("{{")) != std::string::npos;) {
      const std::size_t end = rest.find("}}", at);
      filled += rest.substr(0, at) + values[rest.substr(at + 2, end - at - 2)];
      rest.erase(0, end + 2);
    }
    m_settings = folder + "/" + m_host + ".ini";
    m_output = folder + "/" + m_host + ".log";
    std::ofstream(m_settings) << filled << rest;
    Start();
  }
  ~Node() { Kill(); }

  void Start() {
    m_pid = fork();
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const char* const file =
          m_max_descriptors > 0 ? "/dev/null" : m_output.c_str();
      const int out = open(file, O_WRONLY | O_CREAT | O_APPEND, 0644);
      if (m_max_descriptors > 0) {
        rlimit limit{};
        getrlimit(RLIMIT_NOFILE, &limit);
        limit.rlim_max = std::min<rlim_t>(limit.rlim_max, m_max_descriptors);
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
      }
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      setenv("FIGLUG_SETTINGS", m_settings.c_str(), 1);
      execl("target/platform/figlugd-platform",
            "target/platform/figlugd-platform", nullptr);
      _exit(127);
    }
  }
  void Signal(int signal) const {
    if (m_pid > 0) {
      kill(m_pid, signal);
    }
  }
  void Kill() {
    if (m_pid > 0) {
      kill(m_pid, SIGKILL);
      waitpid(m_pid, nullptr, 0);
      m_pid = -1;
    }
  }
  /// Whether the process has ended by itself.
  [[nodiscard]] bool HasEnded() {
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
      m_pid = -1;
    }
    return m_pid < 0;
  }
  [[nodiscard]] bool IsReady() const {
    Socket socket = Socket::Connect(m_host, kReadyPort);
    if (socket.fd() < 0) {
      return false;
    }
    socket.Send("GET /v1/readyz HTTP/1.1\r\nHost: " + m_host + "\r\n\r\n");
    const auto answer = socket.Read(500);
    return answer && answer->Word(1) == "200";
  }
  [[nodiscard]] const std::string& host() const { return m_host; }
  /// Processor time of the process so far, seconds.
  [[nodiscard]] double CpuSeconds() const {
    std::ifstream in("/proc/" + std::to_string(m_pid) + "/stat");
    std::string word;
    double ticks = 0;
    for (int i = 1; i <= 15 && in >> word; ++i) {
      ticks += i >= 14 ? std::stod(word) : 0;
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  }
  /// Open descriptors of the process.
  [[nodiscard]] std::size_t Descriptors() const {
    std::size_t count = 0;
    const std::string folder = "/proc/" + std::to_string(m_pid) + "/fd";
    if (DIR* open = opendir(folder.c_str())) {
      while (readdir(open) != nullptr) {
        ++count;
      }
      closedir(open);
    }
    return count > 2 ? count - 2 : 0;
  }

 private:
  std::string m_host;
  std::uint32_t m_max_descriptors;
  std::string m_settings;
  std::string m_output;
  pid_t m_pid = -1;
};

struct RouteSpec {
  std::string m_name;
  std::string m_prefix;
  std::string m_kind;
  std::string m_service;
};

inline std::string Configuration(
    int version,
    const std::vector<RouteSpec>& routes,
    const std::vector<std::pair<std::string, bool>>& services) {
  Json resources = Json::array();
  for (const RouteSpec& route : routes) {
    resources.push_back({{"entry_kind", "routes"},
                         {"metadata", {{"name", route.m_name}}},
                         {"spec",
                          {{"host", "shop.example"},
                           {"path_prefix", route.m_prefix},
                           {"kind", route.m_kind},
                           {"timeout", "2000ms"},
                           {"target_latency", "600ms"},
                           {"priority", 1},
                           {"service", route.m_service},
                           {"max_attempts", 2},
                           {"allowed_regions", Json::array()}}}});
  }
  for (const auto& [name, is_sharded] : services) {
    resources.push_back({{"entry_kind", "services"},
                         {"metadata", {{"name", name}}},
                         {"spec",
                          {{"health_path", "/healthz"},
                           {"max_conns", 130},
                           {"cold_start", "3s"},
                           {"cold_per_s", 6.2},
                           {"sharded", is_sharded},
                           {"warmup", "5s"},
                           {"grants", "heartbeat"}}}});
  }
  resources.push_back({{"entry_kind", "limits"},
                       {"metadata", Json::object()},
                       {"spec",
                        {{"max_header_bytes", 16384},
                         {"max_body_bytes", 67108864},
                         {"header_timeout", "3000ms"},
                         {"idle_timeout", "15000ms"}}}});
  return Json{{"version", "r" + std::to_string(version)},
              {"resources", resources}}
      .dump();
}

/// An address of this run, so that two runs do not meet.
inline std::string Host(int number) {
  const int run = static_cast<int>(getpid());
  return "127." + std::to_string(16 + run / 250 % 200) + "." +
         std::to_string(1 + run % 250) + "." + std::to_string(number);
}

/// Whether the disruption takes place.
inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

/// A folder for settings and logs, removed with the object.
class Folder {
 public:
  Folder() {
    std::string path =
        (std::filesystem::temp_directory_path() / "figlug-review-XXXXXX")
            .string();
    if (mkdtemp(path.data()) == nullptr) {
      std::printf("no temporary folder\n");
      std::exit(kExitNotRun);
    }
    m_path = path;
  }
  ~Folder() {
    if (std::getenv("KEEP") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(m_path, ignored);
    }
  }
  [[nodiscard]] const std::string& path() const { return m_path; }

 private:
  std::string m_path;
};

}  // namespace review

#endif  // FIGLUG_REVIEW_COMMON_3_TESTS_LAB_H_
