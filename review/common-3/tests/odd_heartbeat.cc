// Case 11: a heartbeat of another writer, in which fields are missing, makes a
// node give away keys that its endpoint still holds.

#include "lab.h"

namespace review {
namespace {

constexpr int kMachines = 6;
constexpr int kSharded = 4;
constexpr double kPauseMs = 100;
constexpr int kClients = 4;
/// One heartbeat of another writer to each of these machines.
constexpr int kOddHeartbeats = 2;
constexpr double kBetweenSeconds = 12;
/// The bound of the rule.
constexpr double kBoundSeconds = 0.5;

class Case {
 public:
  explicit Case(const std::string& record)
      : m_record(record), m_store(Host(100), milliseconds(20'000)) {
    m_store.Put("config",
                Configuration(1,
                              {{"browse", "/browse/", "safe", "catalogue"},
                               {"order", "/order/", "unsafe", "orders"}},
                              {{"catalogue", true}, {"orders", false}}));
    for (int i = 0; i < kMachines; ++i) {
      const std::string service = i < kSharded ? "catalogue" : "orders";
      m_nodes.push_back(std::make_unique<Node>(
          m_folder.path(), Host(i + 1),
          std::map<std::string, std::string>{
              {"zone", i % 2 == 0 ? "lautoka" : "suva"},
              {"region", "viti-levu"},
              {"service", service},
              {"platform.address",
               Host(100) + ":" + std::to_string(kStorePort)}}));
      m_endpoints.push_back(std::make_unique<Endpoint>(
          Host(i + 1), service, "i-" + std::to_string(i), i < kSharded, m_runs,
          20));
    }
  }

  int Run() {
    const double until = Seconds() + 15;
    while (HeldKeys() < kKeys) {
      if (Seconds() > until) {
        m_record.Both("not run: not all keys are held");
        return kExitNotRun;
      }
      SleepMs(50);
    }
    SleepMs(5000);
    m_record.Line("all keys are held; traffic begins");
    std::vector<std::thread> threads;
    threads.emplace_back([this] { Watch(); });
    for (int i = 0; i < kClients; ++i) {
      threads.emplace_back([this, i] { Client(i); });
    }
    SleepMs(3000);
    for (int i = 0; i < kOddHeartbeats; ++i) {
      if (HasTrouble()) {
        SendOddHeartbeat(i);
      }
      SleepMs(kBetweenSeconds * 1000);
      Describe();
    }
    m_is_ending = true;
    for (std::thread& thread : threads) {
      thread.join();
    }
    m_record.Both(std::to_string(m_served) + " of " + std::to_string(m_sent) +
                  " requests served");
    m_record.Both("longest time for which two endpoints held a key: " +
                  std::to_string(m_longest) + " s; bound " +
                  std::to_string(kBoundSeconds) + " s");
    if (m_served < m_sent / 2) {
      return kExitNotRun;
    }
    return m_longest > kBoundSeconds ? kExitBroken : kExitHeld;
  }

 private:
  static constexpr std::uint32_t kKeys = 65'536;

  std::uint32_t HeldKeys() {
    std::uint32_t keys = 0;
    for (const auto& endpoint : m_endpoints) {
      for (const auto& hold : endpoint->Held()) {
        keys += hold.m_last - hold.m_first + 1;
      }
    }
    return keys;
  }

  void Describe() {
    for (int i = 0; i < kSharded; ++i) {
      std::uint32_t keys = 0;
      for (const auto& hold : m_endpoints[i]->Held()) {
        keys += hold.m_last - hold.m_first + 1;
      }
      m_record.Line(m_endpoints[i]->id() + " is up and holds " +
                    std::to_string(keys) + " keys");
    }
  }

  // `zone` and `version` are missing, which the page names for each heartbeat.
  void SendOddHeartbeat(int machine) {
    const auto born = std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    const std::string body = Json{
        {"service", "catalogue"},
        {"address", Host(machine + 1) + ":" + std::to_string(kAppPort)},
        {"slots", 9},
        {"state", "ready"},
        {"cold_left", "0ms"},
        {"sequence", 1},
        {"born", born},
        {"holds", Json::array()},
        {"released",
         Json::array()}}.dump();
    Socket socket = Socket::Connect(Host(machine + 1), kControlPort);
    socket.Send("POST /v1/Instances.Heartbeat/i-other-" +
                std::to_string(machine) +
                " HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n"
                "Content-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto answer = socket.Read(1000);
    m_record.Both(
        "another writer's heartbeat without zone and version to the "
        "node beside " +
        m_endpoints[machine]->id() + ": " + body + ", answered " +
        (answer ? answer->Word(1) + " " + answer->m_body
                : std::string("nothing")));
  }

  // Looks at what the endpoints hold, as they see it.
  void Watch() {
    std::map<std::pair<std::string, std::string>, double> since;
    while (!m_is_ending) {
      struct Row {
        std::uint32_t m_first;
        std::uint32_t m_last;
        std::string m_holder;
      };
      std::vector<Row> rows;
      for (int i = 0; i < kSharded; ++i) {
        for (const auto& hold : m_endpoints[i]->Held()) {
          rows.push_back({hold.m_first, hold.m_last, m_endpoints[i]->id()});
        }
      }
      std::ranges::sort(rows, {}, &Row::m_first);
      // The keys that each pair of endpoints shares.
      std::map<std::pair<std::string, std::string>, std::uint32_t> shared;
      for (std::size_t i = 0; i < rows.size(); ++i) {
        for (std::size_t j = i + 1;
             j < rows.size() && rows[j].m_first <= rows[i].m_last; ++j) {
          if (rows[i].m_holder != rows[j].m_holder) {
            shared[std::minmax(rows[i].m_holder, rows[j].m_holder)] +=
                std::min(rows[i].m_last, rows[j].m_last) - rows[j].m_first + 1;
          }
        }
      }
      const double now = Seconds();
      for (const auto& [pair, keys] : shared) {
        if (since.try_emplace(pair, now).second) {
          m_record.Both(pair.first + " and " + pair.second + " both hold " +
                        std::to_string(keys) + " keys");
        }
        m_longest = std::max(m_longest, now - since[pair]);
      }
      std::erase_if(since, [&](const auto& entry) {
        const bool has_ended = !shared.contains(entry.first);
        if (has_ended) {
          m_record.Both(entry.first.first + " and " + entry.first.second +
                        " shared keys for " +
                        std::to_string(now - entry.second) + " s");
        }
        return has_ended;
      });
      SleepMs(10);
    }
  }

  void Client(int client) {
    for (int number = 0; !m_is_ending; ++number) {
      SleepMs(kPauseMs);
      const std::string id =
          "c" + std::to_string(client) + "-" + std::to_string(number);
      const std::string key =
          std::to_string((number * 7919 + client * 10'007) % 65'536);
      Socket socket =
          Socket::Connect(Host(client % kMachines + 1), kOutboundPort);
      socket.Send("GET /browse/" + id +
                  " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
                  "\r\nX-Deadline-Ms: 2500\r\nX-Shard-Key: " + key +
                  "\r\n\r\n");
      const auto answer = socket.Read(3000);
      m_record.Line("sent " + id + " with key " + key + ", answered " +
                    (answer ? answer->Word(1) : std::string("nothing")));
      ++m_sent;
      m_served += answer && answer->Word(1) == "200" ? 1 : 0;
    }
  }

  Folder m_folder;
  Record m_record;
  Runs m_runs;
  Store m_store;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<std::unique_ptr<Endpoint>> m_endpoints;
  std::atomic<bool> m_is_ending = false;
  std::atomic<int> m_sent = 0;
  std::atomic<int> m_served = 0;
  double m_longest = 0;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::Case(argc > 1 ? argv[1] : "record.txt").Run();
}
