#include <sys/socket.h>

#include <algorithm>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

#include "figlug/runtime/headers.h"
#include "figlug/testing/cluster.h"
#include "programs.h"

namespace figlug::testing {
namespace {

constexpr std::size_t kNodes = 4;

wire::Headers OrderHeaders(const std::string& key) {
  return {{std::string(runtime::kServiceHeader), "orders"},
          {std::string(runtime::kKeyHeader), key}};
}

std::string RandomBytes(std::size_t length) {
  std::mt19937_64 random(length);
  std::string bytes(length, '\0');
  std::ranges::generate(bytes, [&] { return static_cast<char>(random()); });
  return bytes;
}

std::string HeaderOf(const wire::HttpResponse& response,
                     std::string_view name) {
  const std::string* value = wire::FindHeader(response.m_headers, name);
  return value == nullptr ? "" : *value;
}

}  // namespace

TEST_GROUP(WholePath) {
  Cluster cluster{BuiltPrograms(), SpreadNodes(kNodes)};

  void setup() override {
    cluster.StartAll();
    CHECK(cluster.WaitReady());
  }

  wire::HttpResponse Send(const wire::HttpRequest& request) {
    const auto answer = cluster.Fetch(0, request);
    CHECK(answer.has_value());
    return answer.value_or(wire::HttpResponse{});
  }
};

TEST(WholePath, EveryIngressReachesTheOwnerOfAKey) {
  for (const char* key : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
    const auto owner = cluster.OwnerOf(key, 0);
    CHECK(owner.has_value());
    for (std::size_t node = 0; node < kNodes; ++node) {
      const auto answer = cluster.Get(node, key);
      CHECK(answer.has_value());
      LONGS_EQUAL(200, answer->m_status);
      STRCMP_EQUAL(("t" + std::to_string(*owner)).c_str(),
                   HeaderOf(*answer, "X-Target").c_str());
    }
  }
}

TEST(WholePath, LargeBodiesArriveUnchangedInBothDirections) {
  const std::string body = RandomBytes(16'000'000);
  wire::Headers headers = OrderHeaders("big");
  headers.push_back({"Content-Type", "application/x-www-form-urlencoded"});
  for (std::size_t node = 0; node < kNodes; ++node) {
    const auto answer = cluster.Fetch(node, {"POST", "/echo", headers, body},
                                      std::chrono::seconds(30));
    CHECK(answer.has_value());
    LONGS_EQUAL(200, answer->m_status);
    CHECK(answer->m_body == body);
  }
}

TEST(WholePath, ABodyOverTheLimitGets413) {
  const auto answer =
      Send({"POST", "/echo", OrderHeaders("big"), std::string(17U << 20, 'x')});
  LONGS_EQUAL(413, answer.m_status);
  STRCMP_EQUAL("not-run", HeaderOf(answer, "Figlug-Outcome").c_str());
}

TEST(WholePath, ResponsesWithoutABodyKeepTheirStatusAndLength) {
  LONGS_EQUAL(
      204, Send({"GET", "/status?code=204", OrderHeaders("a"), ""}).m_status);
  LONGS_EQUAL(
      304, Send({"GET", "/status?code=304", OrderHeaders("a"), ""}).m_status);
  const auto head = Send({"HEAD", "/bytes?n=1234", OrderHeaders("a"), ""});
  LONGS_EQUAL(200, head.m_status);
  STRCMP_EQUAL("1234", HeaderOf(head, "Content-Length").c_str());
  LONGS_EQUAL(0, head.m_body.size());
}

TEST(WholePath, InvalidRequestsGetAnErrorStatusAndAReason) {
  LONGS_EQUAL(400, Send({"GET", "/", {}, ""}).m_status);
  LONGS_EQUAL(404,
              Send({"GET", "/", {{"Figlug-Service", "none"}}, ""}).m_status);
  LONGS_EQUAL(400,
              Send({"GET", "/", {{"Figlug-Service", "orders"}}, ""}).m_status);
  wire::Headers headers = OrderHeaders("a");
  headers.push_back({"Figlug-Request-Id", "no-uuid"});
  const auto answer = Send({"GET", "/", headers, ""});
  LONGS_EQUAL(400, answer.m_status);
  STRCMP_CONTAINS("column 1", answer.m_body.c_str());
}

TEST(WholePath, ForgedRouterHeadersDoNotReachTheTarget) {
  wire::Headers headers = OrderHeaders("a");
  headers.push_back({"Figlug-Fence", "orders/1/999999"});
  LONGS_EQUAL(200, Send({"GET", "/", headers, ""}).m_status);
  for (const ExecutionEvent& event : cluster.ExecutionEvents()) {
    CHECK(event.m_fence.find("999999") == std::string::npos);
    CHECK(!event.m_fence.empty());
  }
}

TEST(WholePath, PipelinedRequestsAreAnsweredInOrder) {
  const int client = socket(AF_INET, SOCK_STREAM, 0);
  CHECK(client >= 0);
  std::string requests;
  for (int i = 0; i < 20; ++i) {
    requests +=
        "POST /echo HTTP/1.1\r\nHost: x\r\nFiglug-Service: orders\r\n"
        "Figlug-Key: k" +
        std::to_string(i) + "\r\nContent-Length: 4\r\n\r\n" +
        std::to_string(1000 + i);
  }
  std::FILE* in = std::fopen((cluster.folder() + "/in").c_str(), "w");
  std::fwrite(requests.data(), 1, requests.size(), in);
  std::fclose(in);
  Process sender({"/bin/bash", "-c",
                  "exec 3<>/dev/tcp/" + cluster.HostOf(0) + "/7100; cat " +
                      cluster.folder() + "/in >&3; timeout 3 cat <&3 > " +
                      cluster.folder() + "/answers; true"},
                 cluster.folder() + "/sender.out");
  CHECK(cluster.WaitUntil([&] { return sender.Poll().has_value(); }));
  std::string answers;
  std::FILE* out = std::fopen((cluster.folder() + "/answers").c_str(), "r");
  CHECK(out != nullptr);
  char buffer[65536];
  answers.append(buffer, std::fread(buffer, 1, sizeof(buffer), out));
  std::fclose(out);
  std::size_t from = 0;
  for (int i = 0; i < 20; ++i) {
    from = answers.find("\r\n\r\n" + std::to_string(1000 + i), from);
    CHECK(from != std::string::npos);
  }
}

TEST(WholePath, ACallerDisconnectCancelsTheExecution) {
  for (std::size_t node = 0; node < kNodes; ++node) {
    cluster.ConfigureTarget(node, "service_us=2000000");
  }
  for (const char* key : {"a", "b", "c"}) {
    const auto answer = cluster.Fetch(0, {"GET", "/", OrderHeaders(key), ""},
                                      std::chrono::milliseconds(300));
    CHECK(!answer.has_value());
  }
  CHECK(cluster.WaitUntil(
      [&] {
        return std::ranges::count(cluster.ExecutionEvents(), "cancelled",
                                  &ExecutionEvent::m_event) == 3;
      },
      std::chrono::milliseconds(1500)));
}

TEST(WholePath, AnExpiredDeadlineGets504WithAnUnknownOutcome) {
  for (std::size_t node = 0; node < kNodes; ++node) {
    cluster.ConfigureTarget(node, "service_us=3000000");
  }
  wire::Headers headers = OrderHeaders("a");
  headers.push_back({"Figlug-Deadline-Ms", "200"});
  const auto answer = Send({"GET", "/", headers, ""});
  LONGS_EQUAL(504, answer.m_status);
  STRCMP_EQUAL("unknown", HeaderOf(answer, "Figlug-Outcome").c_str());
}

TEST(WholePath, OperatorEndpointsRespond) {
  LONGS_EQUAL(200, Send({"GET", "/figlug/health", {}, ""}).m_status);
  LONGS_EQUAL(200, Send({"GET", "/figlug/ready", {}, ""}).m_status);
  CHECK(cluster.Get(0, "a").has_value());
  const auto metrics = Send({"GET", "/figlug/metrics", {}, ""});
  STRCMP_CONTAINS("figlug_calls_total{outcome=\"answered\"",
                  metrics.m_body.c_str());
}

}  // namespace figlug::testing
