// Case 12: a request whose first line arrives in two parts is run with another
// path or query than its client sent.

#include "lab.h"

namespace review {
namespace {

constexpr int kMachines = 4;
constexpr int kClients = 8;
constexpr double kTrafficSeconds = 20;
constexpr double kPauseMs = 80;
/// When packets are lost, in seconds of the traffic.
constexpr double kLossFrom = 7;
constexpr double kLossUntil = kLossFrom + 5.5;
/// Bytes of a head that one packet carries.
constexpr std::size_t kPacketBytes = 1448;
/// Share of the packets that are lost; each is sent again after a time-out.
constexpr double kLossRatio = 0.025;
constexpr double kRetransmissionMs = 200;

struct Sent {
  std::string m_method;
  std::string m_path;
};

class Case {
 public:
  explicit Case(const std::string& record)
      : m_record(record), m_store(Host(100), milliseconds(20'000)) {
    m_store.Put("config",
                Configuration(1,
                              {{"order", "/order/", "unsafe", "orders"},
                               {"browse", "/browse/", "safe", "menu"}},
                              {{"orders", false}, {"menu", false}}));
    for (int i = 0; i < kMachines; ++i) {
      const std::string service = i % 2 == 0 ? "orders" : "menu";
      m_nodes.push_back(std::make_unique<Node>(
          m_folder.path(), Host(i + 1),
          std::map<std::string, std::string>{
              {"zone", i < 2 ? "waw-a" : "waw-b"},
              {"region", "pl-central"},
              {"service", service},
              {"platform.address",
               Host(100) + ":" + std::to_string(kStorePort)}}));
      m_endpoints.push_back(std::make_unique<Endpoint>(
          Host(i + 1), service, "i-" + std::to_string(i), false, m_runs, 20));
    }
  }

  int Run() {
    const double until = Seconds() + 20;
    while (!AreReady()) {
      if (Seconds() > until) {
        m_record.Both("not run: the nodes are not ready");
        return kExitNotRun;
      }
      SleepMs(100);
    }
    SleepMs(2000);
    m_record.Line(std::string("traffic begins, trouble is ") +
                  (HasTrouble() ? "on" : "off"));
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i) {
      clients.emplace_back([this, i] { Client(i); });
    }
    for (std::thread& client : clients) {
      client.join();
    }
    return Judge();
  }

 private:
  bool AreReady() {
    return std::ranges::all_of(
        m_nodes, [](const auto& node) { return node->IsReady(); });
  }

  // A bulk order names its lines in the query.
  static Sent MakeRequest(int client, int number) {
    std::string path = (number % 2 == 0 ? "/order/" : "/browse/") +
                       std::to_string(client * 10'000 + number) + "?lines=";
    const int lines = 130 + (client * 7 + number * 13) % 80;
    for (int i = 0; i < lines; ++i) {
      path += "sku-" +
              std::to_string(10'000 + (number * 37 + i * 101) % 90'000) + "x" +
              std::to_string(1 + (i + number) % 9) + ",";
    }
    path += "&end=1";
    return {number % 2 == 0 ? "POST" : "GET", path};
  }

  void Client(int client) {
    const double start = Seconds();
    std::uint32_t random = 12'345U + 977U * static_cast<std::uint32_t>(client);
    const auto is_lost = [&] {
      random = random * 1'664'525U + 1'013'904'223U;
      const double at = Seconds() - start;
      return HasTrouble() && at > kLossFrom && at < kLossUntil &&
             (random >> 8) % 10'000 < kLossRatio * 10'000;
    };
    Socket socket;
    const std::string host = Host(client % kMachines + 1);
    const double end = start + kTrafficSeconds;
    for (int number = 0; Seconds() < end; ++number) {
      SleepMs(kPauseMs);
      if (socket.fd() < 0) {
        socket = Socket::Connect(host, kOutboundPort);
      }
      const Sent sent = MakeRequest(client, number);
      const std::string id =
          "c" + std::to_string(client) + "-" + std::to_string(number);
      {
        const std::lock_guard lock(m_mutex);
        m_sent[id] = sent;
      }
      const std::string head =
          sent.m_method + " " + sent.m_path +
          " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
          "\r\nX-Deadline-Ms: 3000\r\n" +
          (sent.m_method == "POST" ? "Content-Length: 0\r\n\r\n" : "\r\n");
      // TCP delivers in order: what follows a lost packet comes with it.
      std::size_t split = 0;
      for (std::size_t at = 0; at < head.size(); at += kPacketBytes) {
        if (is_lost() && split == 0) {
          split = at;
        }
      }
      socket.Send(std::string_view(head).substr(0, split));
      if (split > 0) {
        SleepMs(kRetransmissionMs);
      }
      socket.Send(std::string_view(head).substr(split));
      const auto answer = socket.Read(3500);
      m_record.Line(
          "sent " + id + " " + sent.m_method + " " + sent.m_path.substr(0, 30) +
          ".. (" + std::to_string(head.size()) + " bytes" +
          (split > 0 ? ", the rest from byte " + std::to_string(split) +
                           " 200 ms later"
                     : "") +
          "), answered " + (answer ? answer->Word(1) : std::string("nothing")));
      if (!answer || answer->Header("Connection") == "close") {
        socket.Close();
      }
    }
  }

  int Judge() {
    int changed = 0;
    const std::vector<review::Run> runs = m_runs.All();
    for (const review::Run& run : runs) {
      const auto sent = m_sent.find(run.m_id);
      if (sent == m_sent.end()) {
        ++changed;
        m_record.Both("UNASKED: " + run.m_endpoint + " ran id " + run.m_id +
                      ", which no client sent");
        continue;
      }
      const auto& [method, path] = sent->second;
      if (run.m_method == method && run.m_path == path) {
        continue;
      }
      ++changed;
      const auto differ = std::ranges::mismatch(path, run.m_path);
      const auto at = static_cast<std::size_t>(differ.in1 - path.begin());
      const std::size_t from = at < 20 ? 0 : at - 20;
      m_record.Both("UNASKED: " + run.m_endpoint + " ran " + run.m_id + ", " +
                    run.m_method + ", with another path or query: sent .." +
                    path.substr(from, 40) + ".., ran .." +
                    run.m_path.substr(from, 41) + "..");
    }
    for (const auto& node : m_nodes) {
      if (node->HasEnded()) {
        m_record.Both("a node ended by itself");
        return kExitNotRun;
      }
    }
    m_record.Both(std::to_string(m_sent.size()) + " requests sent, " +
                  std::to_string(runs.size()) + " run, " +
                  std::to_string(changed) + " run changed");
    if (runs.size() < m_sent.size() / 2) {
      return kExitNotRun;
    }
    return changed > 0 ? kExitBroken : kExitHeld;
  }

  Folder m_folder;
  Record m_record;
  Runs m_runs;
  Store m_store;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<std::unique_ptr<Endpoint>> m_endpoints;
  std::mutex m_mutex;
  std::map<std::string, Sent> m_sent;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::Case(argc > 1 ? argv[1] : "record.txt").Run();
}
