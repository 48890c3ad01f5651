// A probe against a server that can stop listening.

#include "figlug/runtime/connection_probe.h"

#include <event2/listener.h>
#include <unistd.h>

#include <vector>

#include <CppUTest/TestHarness.h>

#include "figlug/runtime/impl/socket_address.h"

namespace figlug::runtime {
namespace {

using std::chrono::milliseconds;

constexpr core::Duration kWaitTimeout = std::chrono::seconds(10);
constexpr core::Duration kMaxIdleTime = milliseconds(300);
const core::Endpoint kServerAddress = {"127.0.0.1", 7976};

/// \brief A server that keeps the connections it accepted and sends nothing.
class MuteServer {
 public:
  explicit MuteServer(EventLoop& loop) {
    const sockaddr_in address = impl::ToSocketAddress(kServerAddress);
    m_listener = evconnlistener_new_bind(
        loop.base(), &OnAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
        reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    CHECK(m_listener != nullptr);
  }
  ~MuteServer() {
    StopListening();
    for (evutil_socket_t socket : m_sockets) {
      close(socket);
    }
  }
  MuteServer(const MuteServer&) = delete;
  MuteServer& operator=(const MuteServer&) = delete;

  void StopListening() {
    if (m_listener != nullptr) {
      evconnlistener_free(m_listener);
      m_listener = nullptr;
    }
  }

 private:
  static void OnAccept(evconnlistener*,
                       evutil_socket_t socket,
                       sockaddr*,
                       int,
                       void* arg) {
    static_cast<MuteServer*>(arg)->m_sockets.push_back(socket);
  }

  evconnlistener* m_listener = nullptr;
  std::vector<evutil_socket_t> m_sockets;
};

}  // namespace

TEST_GROUP(ConnectionProbe) {
  void RunUntilReports(std::size_t count) {
    const core::Time end = ReadClocks().m_time + kWaitTimeout;
    while (m_reports.size() < count && ReadClocks().m_time < end) {
      RunFor(milliseconds(10));
    }
  }
  void RunFor(core::Duration duration) {
    Timer timer(m_loop, [this] { m_loop.Stop(); });
    timer.Set(duration);
    m_loop.Run();
  }

  EventLoop m_loop;
  std::vector<bool> m_reports;
};

// Guards against a target that is gone while the probe's connection to it fell
// silent: it counted as up for good.
TEST(ConnectionProbe, AServerThatIsGoneBehindASilentConnectionIsDown) {
  MuteServer server(m_loop);
  ConnectionProbe probe(
      m_loop, kServerAddress,
      [this](bool is_up) { m_reports.push_back(is_up); }, kMaxIdleTime);
  probe.Start();
  RunUntilReports(1);
  CHECK(m_reports == std::vector<bool>{true});
  server.StopListening();
  RunUntilReports(2);
  CHECK((m_reports == std::vector<bool>{true, false}));
}

// A server that sends nothing and accepts new connections stays up.
TEST(ConnectionProbe, AServerThatSendsNothingStaysUp) {
  MuteServer server(m_loop);
  ConnectionProbe probe(
      m_loop, kServerAddress,
      [this](bool is_up) { m_reports.push_back(is_up); }, kMaxIdleTime);
  probe.Start();
  RunUntilReports(1);
  RunFor(5 * kMaxIdleTime);
  CHECK(m_reports == std::vector<bool>{true});
}

}  // namespace figlug::runtime
