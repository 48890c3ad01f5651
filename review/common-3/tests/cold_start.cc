// Case 12: after an outage of all machines that lasts longer than the store
// keeps records, no process serves its keys again.

#include "lab.h"

namespace review {
namespace {

constexpr int kMachines = 6;
constexpr int kSharded = 4;
constexpr milliseconds kKeep(20'000);
constexpr double kBeforeSeconds = 12;
/// Longer than the store keeps records.
constexpr double kOutageSeconds = 23;
/// The bound `recovery` of the small deployments.
constexpr double kRecoverySeconds = 15;
constexpr double kAfterSeconds = 10;
constexpr double kPauseMs = 100;
constexpr int kClients = 6;

struct Sent {
  double m_at = 0;
  bool m_is_keyed = false;
  int m_status = 0;
};

class Case {
 public:
  explicit Case(const std::string& record)
      : m_record(record), m_store(Host(100), kKeep) {
    m_store.Put("config",
                Configuration(1,
                              {{"browse", "/browse/", "safe", "catalogue"},
                               {"order", "/order/", "unsafe", "orders"}},
                              {{"catalogue", true}, {"orders", false}}));
    for (int i = 0; i < kMachines; ++i) {
      m_nodes.push_back(std::make_unique<Node>(
          m_folder.path(), Host(i + 1),
          std::map<std::string, std::string>{
              {"zone", i % 2 == 0 ? "lautoka" : "suva"},
              {"region", "viti-levu"},
              {"service", ServiceOf(i)},
              {"platform.keep", std::to_string(kKeep.count()) + "ms"},
              {"platform.address",
               Host(100) + ":" + std::to_string(kStorePort)}}));
    }
    StartEndpoints();
  }

  int Run() {
    if (!WaitUntilReady(20)) {
      m_record.Both("not run: the nodes are not ready");
      return kExitNotRun;
    }
    SleepMs(4000);
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i) {
      clients.emplace_back([this, i] { Client(i); });
    }
    m_record.Line("traffic begins; the store: " + m_store.Describe());
    SleepMs(kBeforeSeconds * 1000);
    const double fault_at = Seconds();
    if (HasTrouble()) {
      m_record.Line("all machines lose power; the store: " +
                    m_store.Describe());
      for (const auto& node : m_nodes) {
        node->Kill();
      }
      m_endpoints.clear();
    }
    SleepMs(kOutageSeconds * 1000);
    if (HasTrouble()) {
      m_record.Line("all machines are back; the store: " + m_store.Describe());
      for (const auto& node : m_nodes) {
        node->Start();
      }
      StartEndpoints();
    }
    const double back_at = Seconds();
    for (double at = 0; at < kRecoverySeconds + kAfterSeconds; ++at) {
      SleepMs(1000);
      std::string ready;
      for (const auto& node : m_nodes) {
        ready += node->IsReady() ? "200 " : "503 ";
      }
      m_record.Line("GET /v1/readyz: " + ready);
    }
    m_is_ending = true;
    for (std::thread& client : clients) {
      client.join();
    }
    m_record.Line("the store: " + m_store.Describe());
    return Judge(fault_at, back_at + kRecoverySeconds);
  }

 private:
  struct Share {
    int m_sent = 0;
    int m_served = 0;
    [[nodiscard]] double value() const {
      return m_sent == 0 ? 0 : static_cast<double>(m_served) / m_sent;
    }
    [[nodiscard]] std::string text() const {
      return std::to_string(m_served) + " of " + std::to_string(m_sent);
    }
  };

  static std::string ServiceOf(int machine) {
    return machine < kSharded ? "catalogue" : "orders";
  }
  void StartEndpoints() {
    ++m_life;
    for (int i = 0; i < kMachines; ++i) {
      m_endpoints.push_back(std::make_unique<Endpoint>(
          Host(i + 1), ServiceOf(i),
          "i-" + std::to_string(i) + "-" + std::to_string(m_life), i < kSharded,
          m_runs, 20));
    }
  }
  bool WaitUntilReady(double seconds) {
    const double until = Seconds() + seconds;
    while (Seconds() < until) {
      if (std::ranges::all_of(
              m_nodes, [](const auto& node) { return node->IsReady(); })) {
        return true;
      }
      SleepMs(100);
    }
    return false;
  }

  // Four of five requests browse the catalogue, whose keys the endpoints hold.
  void Client(int client) {
    for (int number = 0; !m_is_ending; ++number) {
      SleepMs(kPauseMs);
      Sent sent{.m_at = Seconds(), .m_is_keyed = number % 5 != 4};
      const std::string id =
          "c" + std::to_string(client) + "-" + std::to_string(number);
      const std::string key =
          std::to_string((number * 7919 + client * 10'007) % 65'536);
      Socket socket =
          Socket::Connect(Host(client % kMachines + 1), kOutboundPort);
      if (socket.fd() >= 0) {
        socket.Send((sent.m_is_keyed ? "GET /browse/" : "POST /order/") + id +
                    " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
                    "\r\nX-Deadline-Ms: 2500\r\n" +
                    (sent.m_is_keyed ? "X-Shard-Key: " + key + "\r\n"
                                     : "Content-Length: 0\r\n") +
                    "\r\n");
        const auto answer = socket.Read(3000);
        sent.m_status = answer ? std::stoi(answer->Word(1)) : -1;
      }
      m_record.Line("sent " + id + (sent.m_is_keyed ? " keyed" : " unsafe") +
                    ", answered " + std::to_string(sent.m_status));
      const std::lock_guard lock(m_mutex);
      m_sent.push_back(sent);
    }
  }

  int Judge(double fault_at, double judged_from) {
    Share before;
    Share after;
    Share after_keyed;
    for (const Sent& sent : m_sent) {
      const bool is_served = sent.m_status == 200;
      if (sent.m_at < fault_at) {
        ++before.m_sent;
        before.m_served += is_served ? 1 : 0;
      } else if (sent.m_at > judged_from) {
        ++after.m_sent;
        after.m_served += is_served ? 1 : 0;
        after_keyed.m_sent += sent.m_is_keyed ? 1 : 0;
        after_keyed.m_served += is_served && sent.m_is_keyed ? 1 : 0;
      }
    }
    m_record.Both("served before: " + before.text() +
                  "; later than 15 s after the machines are back: " +
                  after.text() + ", of these with a key " + after_keyed.text());
    if (before.value() < 0.25 || after.m_sent < 50) {
      return kExitNotRun;
    }
    if (after.value() < 0.25) {
      m_record.Both("RECOVER is broken");
      return kExitBroken;
    }
    return kExitHeld;
  }

  Folder m_folder;
  Record m_record;
  Runs m_runs;
  int m_life = 0;
  Store m_store;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<std::unique_ptr<Endpoint>> m_endpoints;
  std::atomic<bool> m_is_ending = false;
  std::mutex m_mutex;
  std::vector<Sent> m_sent;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::Case(argc > 1 ? argv[1] : "record.txt").Run();
}
