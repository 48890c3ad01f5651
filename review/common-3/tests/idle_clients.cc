// Case 13: clients that leave their connections idle for longer than the
// operator's `idle_timeout` take all descriptors of a node, which then takes no
// new connection.

#include "lab.h"

namespace review {
namespace {

constexpr int kMachines = 2;
/// The limit of a process on the small deployments.
constexpr std::uint32_t kMaxDescriptors = 4100;
constexpr double kTrafficSeconds = 95;
/// Processes of the clients, each with fewer connections than 1,024.
constexpr int kHolders = 6;
/// New connections a second of one of them.
constexpr double kPerSecond = 9;
constexpr int kMaxHeld = 900;
/// The bound `contact` of the small deployments.
constexpr double kContactSeconds = 3;
constexpr int kProbers = 8;

std::string Request(const std::string& id) {
  return "GET /browse/" + id +
         " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id +
         "\r\nX-Deadline-Ms: 2500\r\n\r\n";
}

// Opens a connection for each request. With the disruption it neither uses it
// again nor closes it, and the node may close it after `idle_timeout`.
void Hold(const std::string& host, int holder, int report) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  std::vector<Socket> held;
  const double start = Seconds();
  int answered = 0;
  int sent = 0;
  double next_report = 5;
  while (Seconds() < start + kTrafficSeconds &&
         held.size() < static_cast<std::size_t>(kMaxHeld)) {
    const double due = start + sent / kPerSecond;
    SleepMs(std::max(0.0, (due - Seconds()) * 1000));
    ++sent;
    Socket socket = Socket::Connect(host, kOutboundPort);
    if (socket.fd() >= 0 && socket.Send(Request("h" + std::to_string(holder) +
                                                "-" + std::to_string(sent)))) {
      answered += socket.Read(1000) ? 1 : 0;
    }
    if (HasTrouble()) {
      held.push_back(std::move(socket));
    }
    if (Seconds() - start > next_report) {
      next_report += 5;
      dprintf(report,
              "clients %d: %d requests sent on new connections, %d answered, "
              "%zu connections left open\n",
              holder, sent, answered, held.size());
    }
  }
  SleepMs(3'600'000);
}

class Case {
 public:
  Case(const std::string& record,
       int reports,
       std::vector<pid_t> holders,
       int go)
      : m_record(record),
        m_holders(std::move(holders)),
        m_go(go),
        m_store(Host(100), milliseconds(20'000)),
        m_reports([this, reports] { ReadReports(reports); }) {
    m_store.Put("config",
                Configuration(1, {{"browse", "/browse/", "safe", "catalogue"}},
                              {{"catalogue", false}}));
    for (int i = 0; i < kMachines; ++i) {
      m_nodes.push_back(std::make_unique<Node>(
          m_folder.path(), Host(i + 1),
          std::map<std::string, std::string>{
              {"zone", i == 0 ? "lautoka" : "suva"},
              {"region", "viti-levu"},
              {"service", "catalogue"},
              {"platform.address",
               Host(100) + ":" + std::to_string(kStorePort)}},
          kMaxDescriptors));
      m_endpoints.push_back(std::make_unique<Endpoint>(Host(i + 1), "catalogue",
                                                       "i-" + std::to_string(i),
                                                       false, m_runs, 5));
    }
  }
  ~Case() {
    for (const pid_t holder : m_holders) {
      kill(holder, SIGKILL);
      waitpid(holder, nullptr, 0);
    }
    m_reports.join();
  }

  int Run() {
    const double until = Seconds() + 10;
    while (!std::ranges::all_of(
        m_nodes, [](const auto& node) { return node->IsReady(); })) {
      if (Seconds() > until) {
        m_record.Both("not run: the nodes are not ready");
        return kExitNotRun;
      }
      SleepMs(100);
    }
    SleepMs(2000);
    m_record.Line(std::string("traffic begins, connections are ") +
                  (HasTrouble() ? "left open" : "closed"));
    for (int i = 0; i < kHolders; ++i) {
      if (write(m_go, "g", 1) != 1) {
        return kExitNotRun;
      }
    }
    m_taken_at = Seconds();
    std::vector<std::thread> threads;
    threads.emplace_back([this] { AskReady(); });
    for (int i = 0; i < kProbers; ++i) {
      threads.emplace_back([this, i] { Probe(i); });
    }
    const double end = Seconds() + kTrafficSeconds + 6;
    while (Seconds() < end && !m_is_broken) {
      SleepMs(1000);
      Observe();
    }
    m_is_ending = true;
    for (std::thread& thread : threads) {
      thread.join();
    }
    m_record.Both(
        "longest time in which the node said that it is ready and "
        "took no new connection: " +
        std::to_string(m_longest) + " s; bound " +
        std::to_string(kContactSeconds) + " s");
    if (m_nodes[0]->HasEnded()) {
      m_record.Both("the node ended by itself");
      return kExitBroken;
    }
    return m_is_broken ? kExitBroken : kExitHeld;
  }

 private:
  void ReadReports(int reports) {
    FILE* in = fdopen(reports, "r");
    char line[512];
    while (in != nullptr && fgets(line, sizeof(line), in) != nullptr) {
      std::string text(line);
      text.pop_back();
      m_record.Line(text);
    }
    if (in != nullptr) {
      fclose(in);
    }
  }

  // The platform asks each second, on a connection that it keeps.
  void AskReady() {
    Socket socket;
    while (!m_is_ending) {
      if (socket.fd() < 0) {
        socket = Socket::Connect(m_nodes[0]->host(), kReadyPort);
      }
      socket.Send("GET /v1/readyz HTTP/1.1\r\nHost: node\r\n\r\n");
      const auto answer = socket.Read(1000);
      m_record.Line("GET /v1/readyz: " +
                    (answer ? answer->Word(1) : std::string("no answer")));
      if (answer && answer->Word(1) == "200") {
        m_ready_at = Seconds();
      } else {
        m_unready_at = Seconds();
        socket.Close();
      }
      SleepMs(1000);
    }
  }

  // Each of these clients opens a new connection for each request and closes
  // it.
  void Probe(int prober) {
    for (int number = 0; !m_is_ending; ++number) {
      const std::string id =
          "p" + std::to_string(prober) + "-" + std::to_string(number);
      Socket socket = Socket::Connect(m_nodes[0]->host(), kOutboundPort);
      std::string result = "no connection";
      if (socket.fd() >= 0) {
        socket.Send(Request(id));
        const auto answer = socket.Read(1000);
        result = answer ? answer->Word(1) : "no answer in 1 s";
        if (answer) {
          m_taken_at = Seconds();
        }
      }
      ++m_tries;
      m_record.Line("sent " + id + " on a new connection, answered " + result);
      SleepMs(500);
    }
  }

  void Observe() {
    const double now = Seconds();
    const bool says_ready = m_ready_at > now - 2.5 && m_unready_at < m_taken_at;
    const double span = says_ready ? now - m_taken_at : 0;
    m_longest = std::max(m_longest, span);
    m_record.Line("node: " + std::to_string(m_nodes[0]->Descriptors()) +
                  " descriptors, " + std::to_string(m_nodes[0]->CpuSeconds()) +
                  " s of processor time; no new connection taken for " +
                  std::to_string(now - m_taken_at) + " s");
    // Three more seconds, so that the record shows that it lasts.
    if (span > 2 * kContactSeconds) {
      m_is_broken = true;
      m_record.Both(
          "RECOVER: the node says that it is ready and has taken no new "
          "connection for " +
          std::to_string(span) + " s, while " + std::to_string(kProbers) +
          " clients tried");
    }
  }

  Folder m_folder;
  Record m_record;
  std::vector<pid_t> m_holders;
  int m_go;
  Runs m_runs;
  Store m_store;
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::vector<std::unique_ptr<Endpoint>> m_endpoints;
  std::atomic<bool> m_is_ending = false;
  std::atomic<int> m_tries = 0;
  std::atomic<double> m_taken_at = 0;
  std::atomic<double> m_ready_at = 0;
  std::atomic<double> m_unready_at = 0;
  std::atomic<bool> m_is_broken = false;
  double m_longest = 0;
  std::thread m_reports;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  using namespace review;
  int reports[2];
  int go[2];
  if (pipe(reports) != 0 || pipe(go) != 0) {
    return kExitNotRun;
  }
  const std::string host = Host(1);
  std::vector<pid_t> holders;
  for (int i = 0; i < kHolders; ++i) {
    const pid_t pid = fork();
    if (pid == 0) {
      close(go[1]);
      close(reports[0]);
      char byte = 0;
      if (read(go[0], &byte, 1) == 1) {
        Hold(host, i, reports[1]);
      }
      _exit(0);
    }
    holders.push_back(pid);
  }
  close(go[0]);
  close(reports[1]);
  return Case(argc > 1 ? argv[1] : "record.txt", reports[0], holders, go[1])
      .Run();
}
