// An HTTP client against a server that writes any bytes as its answer.

#include "figlug/runtime/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "figlug/runtime/impl/socket_address.h"

namespace figlug::runtime {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::Duration kRequestTimeout = seconds(5);
constexpr std::size_t kMaxBodyBytes = 1U << 20;
const core::Endpoint kServerAddress = {"127.0.0.1", 7974};

/// \brief What a server does after a request.
struct Script {
  std::string m_bytes;
  /// Written again and again until the client closes.
  std::string m_endless;
  bool m_closes = false;
};

/// \brief A server for one connection, which follows a script.
class ScriptedServer {
 public:
  ScriptedServer(EventLoop& loop, Script script)
      : m_loop(loop), m_script(std::move(script)) {
    const sockaddr_in address = impl::ToSocketAddress(kServerAddress);
    m_listener = evconnlistener_new_bind(
        loop.base(), &OnAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
        reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    CHECK(m_listener != nullptr);
  }
  ~ScriptedServer() {
    if (m_stream != nullptr) {
      bufferevent_free(m_stream);
    }
    evconnlistener_free(m_listener);
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  [[nodiscard]] std::size_t bytes_written() const { return m_written; }

 private:
  static void OnAccept(evconnlistener*,
                       evutil_socket_t socket,
                       sockaddr*,
                       int,
                       void* arg) {
    auto* self = static_cast<ScriptedServer*>(arg);
    self->m_stream = bufferevent_socket_new(self->m_loop.base(), socket,
                                            BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(self->m_stream, &OnRead, &OnWritten, &OnEnd, arg);
    bufferevent_enable(self->m_stream, EV_READ | EV_WRITE);
  }
  static void OnRead(bufferevent* stream, void* arg) {
    auto* self = static_cast<ScriptedServer*>(arg);
    evbuffer* input = bufferevent_get_input(stream);
    evbuffer_drain(input, evbuffer_get_length(input));
    self->Write(self->m_script.m_bytes);
    self->m_has_answered = true;
  }
  static void OnWritten(bufferevent* stream, void* arg) {
    auto* self = static_cast<ScriptedServer*>(arg);
    if (!self->m_has_answered) {
      return;
    }
    if (!self->m_script.m_endless.empty()) {
      self->Write(self->m_script.m_endless);
    } else if (self->m_script.m_closes) {
      bufferevent_free(stream);
      self->m_stream = nullptr;
    }
  }
  static void OnEnd(bufferevent* stream, short, void* arg) {
    bufferevent_free(stream);
    static_cast<ScriptedServer*>(arg)->m_stream = nullptr;
  }
  void Write(const std::string& bytes) {
    m_written += bytes.size();
    bufferevent_write(m_stream, bytes.data(), bytes.size());
  }

  EventLoop& m_loop;
  Script m_script;
  evconnlistener* m_listener = nullptr;
  bufferevent* m_stream = nullptr;
  bool m_has_answered = false;
  std::size_t m_written = 0;
};

/// \brief A server that answers every request, until the connections that are
/// open fall silent; new ones work.
class FadingServer {
 public:
  explicit FadingServer(EventLoop& loop) : m_loop(loop) {
    const sockaddr_in address = impl::ToSocketAddress(kServerAddress);
    m_listener = evconnlistener_new_bind(
        loop.base(), &OnAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
        reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    CHECK(m_listener != nullptr);
  }
  ~FadingServer() {
    for (bufferevent* stream : m_streams) {
      bufferevent_free(stream);
    }
    evconnlistener_free(m_listener);
  }
  FadingServer(const FadingServer&) = delete;
  FadingServer& operator=(const FadingServer&) = delete;

  void SilenceConnections() {
    for (bufferevent* stream : m_streams) {
      bufferevent_disable(stream, EV_READ | EV_WRITE);
    }
  }
  [[nodiscard]] std::size_t connections() const { return m_streams.size(); }

 private:
  static void OnAccept(evconnlistener*,
                       evutil_socket_t socket,
                       sockaddr*,
                       int,
                       void* arg) {
    auto* self = static_cast<FadingServer*>(arg);
    bufferevent* stream = bufferevent_socket_new(self->m_loop.base(), socket,
                                                 BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(stream, &OnRead, nullptr, nullptr, nullptr);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
    self->m_streams.push_back(stream);
  }
  static void OnRead(bufferevent* stream, void*) {
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    evbuffer* input = bufferevent_get_input(stream);
    evbuffer_drain(input, evbuffer_get_length(input));
    bufferevent_write(stream, answer.data(), answer.size());
  }

  EventLoop& m_loop;
  evconnlistener* m_listener = nullptr;
  std::vector<bufferevent*> m_streams;
};

/// \brief A server that answers the requests of all its connections by a
/// function of the numbers of the connection and of the request on it, from 1.
class AnsweringServer {
 public:
  using Answer = std::function<std::string(std::size_t, std::size_t)>;

  AnsweringServer(EventLoop& loop, Answer answer)
      : m_loop(loop), m_answer(std::move(answer)) {
    const sockaddr_in address = impl::ToSocketAddress(kServerAddress);
    m_listener = evconnlistener_new_bind(
        loop.base(), &OnAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
        reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    CHECK(m_listener != nullptr);
  }
  ~AnsweringServer() {
    for (const auto& stream : m_streams) {
      bufferevent_free(stream->m_stream);
    }
    evconnlistener_free(m_listener);
  }
  AnsweringServer(const AnsweringServer&) = delete;
  AnsweringServer& operator=(const AnsweringServer&) = delete;

  [[nodiscard]] std::size_t connections() const { return m_streams.size(); }
  /// \brief Resets the newest connection.
  void Reset() {
    const linger at_once{1, 0};
    setsockopt(bufferevent_getfd(m_streams.back()->m_stream), SOL_SOCKET,
               SO_LINGER, &at_once, sizeof(at_once));
    bufferevent_free(m_streams.back()->m_stream);
    m_streams.pop_back();
  }
  /// \brief Writes bytes that nobody asked for on the newest connection.
  void WriteUnasked(const std::string& bytes) {
    LONGS_EQUAL(bytes.size(),
                send(bufferevent_getfd(m_streams.back()->m_stream),
                     bytes.data(), bytes.size(), MSG_NOSIGNAL));
  }

 private:
  struct Stream {
    AnsweringServer* m_server = nullptr;
    bufferevent* m_stream = nullptr;
    std::size_t m_number = 0;
    std::size_t m_requests = 0;
  };

  static void OnAccept(evconnlistener*,
                       evutil_socket_t socket,
                       sockaddr*,
                       int,
                       void* arg) {
    auto* self = static_cast<AnsweringServer*>(arg);
    self->m_streams.push_back(std::make_unique<Stream>());
    Stream& stream = *self->m_streams.back();
    stream.m_server = self;
    stream.m_number = self->m_streams.size();
    stream.m_stream = bufferevent_socket_new(self->m_loop.base(), socket,
                                             BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(stream.m_stream, &OnRead, nullptr, nullptr, &stream);
    bufferevent_enable(stream.m_stream, EV_READ | EV_WRITE);
  }
  static void OnRead(bufferevent* socket, void* arg) {
    auto* stream = static_cast<Stream*>(arg);
    evbuffer* input = bufferevent_get_input(socket);
    evbuffer_drain(input, evbuffer_get_length(input));
    const std::string bytes =
        stream->m_server->m_answer(stream->m_number, ++stream->m_requests);
    bufferevent_write(socket, bytes.data(), bytes.size());
  }

  EventLoop& m_loop;
  Answer m_answer;
  evconnlistener* m_listener = nullptr;
  std::vector<std::unique_ptr<Stream>> m_streams;
};

std::string MakeAnswer(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

ResponseTie TieTo(const std::string& id) {
  return {id, [id](const wire::HttpResponse& response) {
            const std::string* named =
                wire::FindHeader(response.m_headers, "X-Id");
            if (named == nullptr) {
              return ResponseMatch::kUnnamed;
            }
            return *named == id ? ResponseMatch::kOwn : ResponseMatch::kForeign;
          }};
}

HttpClient::Result Ask(EventLoop& loop,
                       HttpClient& client,
                       const std::string& id,
                       std::string body = "") {
  HttpClient::Result outcome;
  client.Send(
      {"POST", "/order/1", {}, std::move(body)}, kRequestTimeout,
      [&](HttpClient::Result&& result) {
        outcome = std::move(result);
        loop.Stop();
      },
      TieTo(id));
  loop.Run();
  return outcome;
}

/// \brief Result of one request to a scripted server.
struct Fetched {
  HttpClient::Result m_result;
  core::Duration m_taken{};
  std::size_t m_bytes_written = 0;
};

Fetched Fetch(Script script) {
  EventLoop loop;
  ScriptedServer server(loop, std::move(script));
  HttpClient client(loop, kServerAddress, 1, kMaxBodyBytes);
  Fetched fetched;
  const core::Time start = ReadClocks().m_time;
  client.Send({"GET", "/order/1", {}, ""}, kRequestTimeout,
              [&](HttpClient::Result&& result) {
                fetched.m_result = std::move(result);
                loop.Stop();
              });
  loop.Run();
  fetched.m_taken = ReadClocks().m_time - start;
  fetched.m_bytes_written = server.bytes_written();
  return fetched;
}

}  // namespace

TEST_GROUP(HttpClient){};

TEST(HttpClient, AWholeAnswerIsReturned) {
  const Fetched fetched =
      Fetch({.m_bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"});
  CHECK(fetched.m_result.has_value());
  STRCMP_EQUAL("ok", fetched.m_result->m_body.c_str());
}

// Guards against an answer that ends early and is passed on as whole.
TEST(HttpClient, AnAnswerThatEndsEarlyIsAnError) {
  const std::string whole =
      "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbody";
  for (std::size_t length = 1; length < whole.size(); ++length) {
    const Fetched fetched =
        Fetch({.m_bytes = whole.substr(0, length), .m_closes = true});
    CHECK_FALSE(fetched.m_result.has_value());
  }
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nbody\r\n0\r\n\r\n";
  for (std::size_t length = 1; length < chunked.size(); ++length) {
    const Fetched fetched =
        Fetch({.m_bytes = chunked.substr(0, length), .m_closes = true});
    CHECK_FALSE(fetched.m_result.has_value());
  }
}

// Guards against a target that writes without end and fills the memory.
TEST(HttpClient, AnAnswerWithoutEndIsAnError) {
  const std::string line = "X-Filler: " + std::string(1000, 'x') + "\r\n";
  const std::string block(8192, 'x');
  const Script scripts[] = {
      {.m_bytes = "HTTP/1.1 200 OK\r\n", .m_endless = line},
      {.m_bytes = "HTTP/1.1 200 OK\r\nX-Filler: ", .m_endless = block},
      {.m_bytes = "x", .m_endless = block},
      {.m_bytes = "HTTP/1.1 200 OK\r\n\r\n", .m_endless = block},
      {.m_bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       .m_endless = "1000\r\n" + std::string(0x1000, 'x') + "\r\n"},
      {.m_bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       .m_endless = block}};
  constexpr std::size_t socket_buffers_bytes = 16U << 20;
  for (const Script& script : scripts) {
    const Fetched fetched = Fetch(script);
    CHECK_FALSE(fetched.m_result.has_value());
    CHECK(fetched.m_taken < kRequestTimeout);
    CHECK(fetched.m_bytes_written < kMaxBodyBytes + socket_buffers_bytes);
  }
}

// Guards against a server whose open connections all fell silent: each idle one
// cost a request its whole time-out.
TEST(HttpClient, ATimeoutRetiresTheConnectionsThatWereIdleMeanwhile) {
  constexpr std::size_t connections = 3;
  constexpr core::Duration short_timeout = milliseconds(200);
  EventLoop loop;
  FadingServer server(loop);
  HttpClient client(loop, kServerAddress, connections, kMaxBodyBytes);
  std::vector<HttpClient::Result> results;
  const auto send = [&](core::Duration timeout, std::size_t expected) {
    client.Send({"GET", "/order/1", {}, ""}, timeout,
                [&, expected](HttpClient::Result&& result) {
                  results.push_back(std::move(result));
                  if (results.size() == expected) {
                    loop.Stop();
                  }
                });
  };
  for (std::size_t i = 0; i < connections; ++i) {
    send(kRequestTimeout, connections);
  }
  loop.Run();
  LONGS_EQUAL(connections, server.connections());

  server.SilenceConnections();
  send(short_timeout, connections + 1);
  loop.Run();
  CHECK_FALSE(results.back().has_value());
  CHECK(results.back().error() == HttpClientError::kTimeout);
  send(short_timeout, connections + 2);
  loop.Run();
  CHECK(results.back().has_value());
  LONGS_EQUAL(connections + 1, server.connections());
}

// Guards against a request that is failed, though its answer comes, for a
// second copy of the answer before it.
TEST(HttpClient, ALateCopyOfAnEarlierAnswerIsPassedOver) {
  EventLoop loop;
  AnsweringServer server(loop, [](std::size_t, std::size_t request) {
    return request == 1 ? MakeAnswer("1", "first")
                        : MakeAnswer("1", "copy") + MakeAnswer("2", "second");
  });
  HttpClient client(loop, kServerAddress, 1, kMaxBodyBytes);
  std::vector<UncleanKind> traced;
  client.SetTraceHandler(
      [&](const HttpCallTrace& trace) { traced.push_back(trace.m_kind); });
  STRCMP_EQUAL("first", Ask(loop, client, "1")->m_body.c_str());
  STRCMP_EQUAL("second", Ask(loop, client, "2")->m_body.c_str());
  LONGS_EQUAL(1, server.connections());
  CHECK(traced == std::vector{UncleanKind::kForeignResponse});
  // Another copy may follow on that connection.
  (void)Ask(loop, client, "3");
  LONGS_EQUAL(2, server.connections());
}

// Guards against a late copy of the answer to an earlier attempt, which bears
// the same id as the next attempt.
TEST(HttpClient, AConnectionCarriesAnIdOnce) {
  EventLoop loop;
  AnsweringServer server(loop, [](std::size_t connection, std::size_t request) {
    if (connection == 1) {
      return request == 1 ? MakeAnswer("1", "first")
                          : MakeAnswer("1", "copy") + MakeAnswer("2", "other");
    }
    return MakeAnswer("1", "second");
  });
  HttpClient client(loop, kServerAddress, 2, kMaxBodyBytes);
  STRCMP_EQUAL("first", Ask(loop, client, "1")->m_body.c_str());
  STRCMP_EQUAL("second", Ask(loop, client, "1")->m_body.c_str());
  LONGS_EQUAL(2, server.connections());
}

// Guards against an answer to a request that names none: nothing could tell it
// from a late copy.
TEST(HttpClient, ARequestWithoutAnIdHasAConnectionOfItsOwn) {
  EventLoop loop;
  AnsweringServer server(loop, [](std::size_t connection, std::size_t) {
    return MakeAnswer(connection == 2 ? "" : "1", "body");
  });
  HttpClient client(loop, kServerAddress, 2, kMaxBodyBytes);
  CHECK(Ask(loop, client, "1").has_value());
  CHECK(Ask(loop, client, "").has_value());
  LONGS_EQUAL(2, server.connections());
}

// Guards against bytes after an answer that are taken for the next one.
TEST(HttpClient, AConnectionOnWhichMoreBytesArriveIsNotUsedAgain) {
  for (const bool is_late : {false, true}) {
    EventLoop loop;
    const std::string more = MakeAnswer("2", "copy");
    AnsweringServer server(loop, [&](std::size_t connection, std::size_t) {
      const std::string id = std::to_string(connection);
      return MakeAnswer(id, "own") + (is_late ? "" : more);
    });
    HttpClient client(loop, kServerAddress, 1, kMaxBodyBytes);
    STRCMP_EQUAL("own", Ask(loop, client, "1")->m_body.c_str());
    if (is_late) {
      server.WriteUnasked(more);
    }
    STRCMP_EQUAL("own", Ask(loop, client, "2")->m_body.c_str());
    LONGS_EQUAL(2, server.connections());
  }
}

// Guards against another request's bytes where a server that has answered early
// expects the rest of a body.
TEST(HttpClient, AConnectionWithAnUnwrittenRequestIsNotUsedAgain) {
  EventLoop loop;
  AnsweringServer server(loop, [](std::size_t connection, std::size_t request) {
    return request > 1 ? std::string()
                       : MakeAnswer(std::to_string(connection), "early");
  });
  HttpClient client(loop, kServerAddress, 1, kMaxBodyBytes);
  const std::string long_body(16U << 20, 'x');
  STRCMP_EQUAL("early", Ask(loop, client, "1", long_body)->m_body.c_str());
  STRCMP_EQUAL("early", Ask(loop, client, "2")->m_body.c_str());
  LONGS_EQUAL(2, server.connections());
}

// Guards against an answer that was reset on its way and counts as whole, while
// a part of the request still waits to be written.
TEST(HttpClient, AResetCompletesNoAnswer) {
  EventLoop loop;
  AnsweringServer server(loop, [](std::size_t, std::size_t request) {
    return request > 1 ? std::string()
                       : std::string("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart");
  });
  HttpClient client(loop, kServerAddress, 1, kMaxBodyBytes);
  Timer reset(loop, [&] { server.Reset(); });
  reset.Set(milliseconds(100));
  const HttpClient::Result result =
      Ask(loop, client, "1", std::string(64U << 20, 'x'));
  CHECK_FALSE(result.has_value());
  CHECK(result.error() == HttpClientError::kConnectionLost);
}

// Guards against a promise that a request was not sent, if it was written in
// the iteration of the loop in which its time ended.
TEST(HttpClient, ARequestThatWasWrittenCountsAsSent) {
  constexpr core::Duration short_timeout = milliseconds(5);
  EventLoop loop;
  AnsweringServer server(
      loop, [](std::size_t, std::size_t) { return std::string(); });
  HttpClient client(loop, kServerAddress, 1, kMaxBodyBytes);
  HttpClient::Result outcome;
  client.Send({"GET", "/", {}, ""}, short_timeout,
              [&](HttpClient::Result&& result) {
                outcome = std::move(result);
                loop.Stop();
              });
  // The loop stands still until the connection is there and the time is over.
  usleep(30'000);
  loop.Run();
  CHECK_FALSE(outcome.has_value());
  CHECK(outcome.error() == HttpClientError::kTimeout);
}

// Guards against a request that another one is smuggled into.
TEST(HttpClient, ARequestThatCannotBeWrittenIsNotSent) {
  EventLoop loop;
  AnsweringServer server(
      loop, [](std::size_t, std::size_t) { return MakeAnswer("", ""); });
  HttpClient client(loop, kServerAddress, 1, kMaxBodyBytes);
  const wire::HttpRequest requests[] = {
      {"GET", "/ HTTP/1.1\r\nX: y", {}, ""},
      {"GET", "/", {{"X", "y\r\n\r\nGET / HTTP/1.1"}}, ""},
      {"GET", "/", {{"X: y\r\nZ", "z"}}, ""},
      {"GE T", "/", {}, ""},
      {"CONNECT", "/", {}, ""},
      {"GET", "", {}, ""}};
  for (const wire::HttpRequest& request : requests) {
    HttpClient::Result outcome;
    client.Send(request, kRequestTimeout, [&](HttpClient::Result&& result) {
      outcome = std::move(result);
      loop.Stop();
    });
    loop.Run();
    CHECK_FALSE(outcome.has_value());
    CHECK(outcome.error() == HttpClientError::kInvalidRequest);
  }
  LONGS_EQUAL(0, server.connections());
}

}  // namespace figlug::runtime
