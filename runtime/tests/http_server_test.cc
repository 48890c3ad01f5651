// An HTTP server whose clients are plain sockets, so that a test can close them
// in every way.

#include "figlug/runtime/http_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <string_view>

#include <CppUTest/TestHarness.h>

#include "figlug/runtime/impl/socket_address.h"

namespace figlug::runtime {
namespace {

using std::chrono::milliseconds;

constexpr core::Duration kWaitTimeout = std::chrono::seconds(10);
constexpr std::size_t kMaxBodyBytes = 1U << 20;
constexpr std::size_t kAnswerBytes = 10'000;
const core::Endpoint kServerAddress = {"127.0.0.1", 7973};
constexpr std::string_view kRequest =
    "GET /order/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n";

/// \brief A client that sends bytes and closes its connection.
class Client {
 public:
  Client() : m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in address = impl::ToSocketAddress(kServerAddress);
    CHECK(connect(m_socket, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) == 0);
  }
  ~Client() { Close(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Send(std::string_view bytes) const {
    CHECK(send(m_socket, bytes.data(), bytes.size(), 0) ==
          static_cast<ssize_t>(bytes.size()));
  }
  /// \brief Reads what has arrived and returns its length.
  [[nodiscard]] std::size_t Receive() const {
    std::size_t bytes = 0;
    std::array<char, 4096> buffer{};
    for (ssize_t length = 0;
         (length = recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT)) >
         0;) {
      bytes += static_cast<std::size_t>(length);
    }
    return bytes;
  }
  /// \brief Closes the connection with a FIN.
  void Close() {
    if (m_socket >= 0) {
      close(m_socket);
    }
    m_socket = -1;
  }
  /// \brief Closes the connection with a RST.
  void Reset() {
    const linger no_wait{1, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &no_wait, sizeof(no_wait));
    Close();
  }

 private:
  int m_socket;
};

/// \brief A server that answers nothing and counts its callbacks.
class Server {
 public:
  Server()
      : m_server(m_loop,
                 {[](const wire::HttpRequest&) { return std::nullopt; },
                  [this](ExchangeId id, wire::HttpRequest&&) {
                    ++m_requests;
                    m_last_id = id;
                  },
                  [this](ExchangeId) { ++m_disconnects; }},
                 kMaxBodyBytes) {
    CHECK(m_server.Listen(kServerAddress).has_value());
  }

  void RunFor(core::Duration duration) {
    Timer timer(m_loop, [this] { m_loop.Stop(); });
    timer.Set(duration);
    m_loop.Run();
  }
  /// \brief Runs the loop until a number of callbacks or the time-out.
  template <class Condition>
  [[nodiscard]] bool WaitUntil(Condition condition) {
    const core::Time end = ReadClocks().m_time + kWaitTimeout;
    while (!condition() && ReadClocks().m_time < end) {
      RunFor(milliseconds(10));
    }
    return condition();
  }
  /// \brief Answers the last request and ends as a process does: reads nothing
  /// more and writes what is left.
  [[nodiscard]] bool AnswerAndEnd(std::size_t body_bytes) {
    m_server.Respond(m_last_id, {200, {}, std::string(body_bytes, 'x')});
    m_server.StopReading();
    return WaitUntil([&] { return m_server.unsent_bytes() == 0; });
  }
  [[nodiscard]] int requests() const { return m_requests; }
  [[nodiscard]] int disconnects() const { return m_disconnects; }
  [[nodiscard]] std::size_t connections() const {
    return m_server.connections();
  }

 private:
  EventLoop m_loop;
  int m_requests = 0;
  ExchangeId m_last_id{0};
  int m_disconnects = 0;
  HttpServer m_server;
};

}  // namespace

TEST_GROUP(HttpServer){};

TEST(HttpServer, AClientThatClosesItsConnectionIsNoticed) {
  Server server;
  Client client;
  client.Send(kRequest);
  CHECK(server.WaitUntil([&] { return server.requests() == 1; }));
  client.Close();
  CHECK(server.WaitUntil([&] { return server.disconnects() == 1; }));
}

// Guards against requests that go on for a client that has reset its
// connection.
TEST(HttpServer, AClientThatResetsItsConnectionIsNoticed) {
  Server server;
  Client client;
  client.Send(kRequest);
  CHECK(server.WaitUntil([&] { return server.requests() == 1; }));
  client.Reset();
  CHECK(server.WaitUntil([&] { return server.disconnects() == 1; }));
}

TEST(HttpServer, AClientThatLeavesWithPipelinedRequestsIsNoticed) {
  for (const bool is_reset : {false, true}) {
    Server server;
    Client client;
    client.Send(kRequest);
    client.Send(kRequest);
    CHECK(server.WaitUntil([&] { return server.requests() == 1; }));
    if (is_reset) {
      client.Reset();
    } else {
      client.Close();
    }
    CHECK(server.WaitUntil([&] { return server.disconnects() == 1; }));
    LONGS_EQUAL(1, server.requests());
  }
}

// Guards against requests that are sent on although their client closed before
// they were read, as happens after a pause of the server.
TEST(HttpServer, ARequestWhoseClientHasClosedIsNotDelivered) {
  for (const bool is_reset : {false, true}) {
    Server server;
    Client client;
    client.Send(kRequest);
    if (is_reset) {
      client.Reset();
    } else {
      client.Close();
    }
    server.RunFor(milliseconds(100));
    LONGS_EQUAL(0, server.requests());
    LONGS_EQUAL(0, server.connections());
  }
}

// Guards against responses that are lost because the process ends before it has
// written them, and against requests that are read then.
TEST(HttpServer, AResponseIsWrittenBeforeTheEndAndNothingMoreIsRead) {
  Server server;
  Client client;
  Client late;
  client.Send(kRequest);
  CHECK(server.WaitUntil(
      [&] { return server.requests() == 1 && server.connections() == 2; }));
  CHECK(server.AnswerAndEnd(kAnswerBytes));
  CHECK(client.Receive() > kAnswerBytes);
  late.Send(kRequest);
  server.RunFor(milliseconds(100));
  LONGS_EQUAL(1, server.requests());
}

}  // namespace figlug::runtime
