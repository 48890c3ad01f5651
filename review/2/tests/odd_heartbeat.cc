// Another writer sends a heartbeat that cannot be read. Exit code: 0 if the
// rule LOST held, 1 if it was broken, 2 if the case could not run.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "small_site.h"

using figlug::core::Duration;
using figlug::core::Time;
using figlug::review::milliseconds;
using figlug::review::seconds;
using figlug::review::Sent;
using figlug::review::SmallSite;
using figlug::runtime::HttpClient;

namespace {

constexpr std::size_t kMachines = 6;
/// Machine that gets the heartbeats: one of the service `orders`.
constexpr std::size_t kMachine = 3;
constexpr std::size_t kClients = 10;
constexpr std::size_t kBodyBytes = 1200;
constexpr int kOk = 200;
constexpr Duration kWorkTime = milliseconds(290);
constexpr Duration kRestartTime = milliseconds(500);
constexpr milliseconds kDeadline{3000};
constexpr std::size_t kAllowedLosses = 3;

/// The method has a wrong byte.
constexpr std::string_view kWrongByte =
    "PMST /v1/Instances.Heartbeat/i-3 HTTP/1.1\r\n"
    "Host: node\r\nContent-Type: application/json\r\nContent-Length: 2\r\n"
    "\r\n{}";
/// The first line breaks off.
constexpr std::string_view kBrokenOff =
    "POST /v1/Instances.Heartbeat/i-3\r\n"
    "Host: node\r\nContent-Type: application/json\r\nContent-Length: 2\r\n"
    "\r\n{}";

// Sends bytes on a new connection to the control address of the machine.
void SendHeartbeat(SmallSite& site, std::string_view bytes) {
  const auto& machine = site.machines()[kMachine];
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(figlug::review::kControlPort);
  inet_pton(AF_INET, machine.m_host.c_str(), &address.sin_addr);
  const int opened = socket(AF_INET, SOCK_STREAM, 0);
  if (connect(opened, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0) {
    (void)!write(opened, bytes.data(), bytes.size());
  }
  site.RunFor(milliseconds(50));
  close(opened);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) {
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  SmallSite site(argv[1], argv[2]);
  for (int i = 0; i < 50 && site.CountReady() < kMachines; ++i) {
    site.RunFor(milliseconds(500));
  }
  if (site.CountReady() < kMachines) {
    site.Note("not all machines became ready");
    return 2;
  }
  for (auto& machine : site.machines()) {
    machine.m_endpoint->set_delay(kWorkTime);
  }
  // Each client keeps its connection and has one request open at a time.
  struct Client {
    std::unique_ptr<HttpClient> m_http;
    std::shared_ptr<Sent> m_sent;
  };
  std::vector<Client> clients(kClients);
  for (Client& client : clients) {
    client.m_http = std::make_unique<HttpClient>(
        site.loop(), site.machines()[kMachine].At(figlug::review::kCallerPort),
        1, 1U << 20);
  }
  std::size_t ends = 0;
  Time restart_at{};
  const auto platform = [&] {
    auto& machine = site.machines()[kMachine];
    const Time now = SmallSite::Now();
    if (restart_at == Time{} && machine.m_process->Poll()) {
      ++ends;
      site.Note("the process of machine 3 has ended by itself with " +
                std::to_string(*machine.m_process->Poll()));
      restart_at = now + kRestartTime;
    } else if (restart_at != Time{} && now >= restart_at) {
      restart_at = Time{};
      site.StartProcess(kMachine);
    }
  };
  const auto each = [&] {
    platform();
    for (Client& client : clients) {
      const bool waits =
          client.m_sent && client.m_sent->m_status != kOk &&
          SmallSite::Now() < client.m_sent->m_ended_at + milliseconds(500);
      if (!client.m_sent || (client.m_sent->m_status != 0 && !waits)) {
        client.m_sent = site.SendOn(*client.m_http, kMachine, "/order/1",
                                    kDeadline, std::string(kBodyBytes, 'x'));
      }
    }
  };
  site.RunFor(seconds(8), each);
  for (const std::string_view bytes : {kWrongByte, kBrokenOff}) {
    if (has_trouble) {
      site.Note("another writer sends a heartbeat: " +
                std::string(bytes.substr(0, bytes.find('\r'))));
      SendHeartbeat(site, bytes);
    }
    site.RunFor(seconds(8), each);
  }
  site.RunFor(kDeadline + seconds(1), platform);
  const std::size_t losses = site.CountCut(kDeadline);
  site.Note("ends of the process by itself: " + std::to_string(ends));
  site.Note(
      "requests that an endpoint ran and whose connection was closed "
      "without an answer: " +
      std::to_string(losses));
  site.WriteRequests();
  return losses > kAllowedLosses ? 1 : 0;
}
