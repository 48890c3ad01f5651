#include <algorithm>
#include <csignal>
#include <fstream>
#include <random>
#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

#include "checkers.h"
#include "figlug/core/request_id.h"
#include "figlug/runtime/headers.h"
#include "figlug/testing/cluster.h"
#include "figlug/testing/load.h"
#include "programs.h"

namespace figlug::testing {
namespace {

constexpr std::size_t kNodes = 4;

std::string NewRequestId() {
  static std::mt19937_64 random(11);
  return core::ToString(
      core::MakeRequestId(runtime::ReadClocks().m_wall, random(), random()));
}

std::string OutcomeOf(const std::optional<wire::HttpResponse>& answer) {
  if (!answer) {
    return "no answer";
  }
  const std::string* outcome =
      wire::FindHeader(answer->m_headers, runtime::kOutcomeHeader);
  return outcome == nullptr ? "answered" : *outcome;
}

std::string ReadFile(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

}  // namespace

TEST_GROUP(Exactness) {
  Cluster cluster{BuiltPrograms(), SpreadNodes(kNodes)};

  void setup() override {
    cluster.StartAll();
    CHECK(cluster.WaitReady());
  }

  std::optional<wire::HttpResponse> SendOrder(
      std::size_t ingress, const std::string& key, const std::string& id) {
    return cluster.Fetch(ingress, {"POST",
                                   "/order",
                                   {{"Figlug-Service", "orders"},
                                    {"Figlug-Key", key},
                                    {"Figlug-Request-Id", id}},
                                   "one coupling"});
  }

  std::ptrdiff_t CountStartsOfRequest(const std::string& id) {
    return std::ranges::count_if(
        cluster.ExecutionEvents(), [&](const ExecutionEvent& event) {
          return event.m_event == "start" && event.m_request_id == id;
        });
  }

  std::ptrdiff_t CountStartsAtTarget(const std::string& target) {
    return std::ranges::count_if(
        cluster.ExecutionEvents(), [&](const ExecutionEvent& event) {
          return event.m_event == "start" && event.m_target == target;
        });
  }
};

TEST(Exactness, ADuplicateIsNotExecutedAgain) {
  const std::string id = NewRequestId();
  STRCMP_EQUAL("answered", OutcomeOf(SendOrder(0, "k", id)).c_str());
  for (std::size_t node = 0; node < kNodes; ++node) {
    STRCMP_EQUAL("unknown", OutcomeOf(SendOrder(node, "k", id)).c_str());
  }
  LONGS_EQUAL(1, CountStartsOfRequest(id));
}

TEST(Exactness, ADuplicateIsNotExecutedByANewOwnerAfterAPlannedMove) {
  const std::string id = NewRequestId();
  STRCMP_EQUAL("answered", OutcomeOf(SendOrder(0, "k", id)).c_str());
  const auto owner = cluster.OwnerOf("k", 0);
  LONGS_EQUAL(
      0, cluster.RunFiglugctl({"target", "out", "t" + std::to_string(*owner)}));
  CHECK(cluster.WaitUntil([&] { return cluster.OwnerOf("k", 0) != owner; }));
  STRCMP_EQUAL("unknown", OutcomeOf(SendOrder(0, "k", id)).c_str());
  STRCMP_EQUAL("answered",
               OutcomeOf(SendOrder(0, "k", NewRequestId())).c_str());
  LONGS_EQUAL(1, CountStartsOfRequest(id));
}

TEST(Exactness, ADuplicateIsNotExecutedByANewOwnerAfterALoss) {
  const std::string id = NewRequestId();
  STRCMP_EQUAL("answered", OutcomeOf(SendOrder(0, "k", id)).c_str());
  const auto owner = cluster.OwnerOf("k", 0);
  const std::size_t ingress = (*owner + 1) % kNodes;
  cluster.KillNode(*owner);
  CHECK(cluster.WaitUntil(
      [&] { return cluster.OwnerOf("k", ingress) != owner; }));
  STRCMP_EQUAL("unknown", OutcomeOf(SendOrder(ingress, "k", id)).c_str());
  CHECK(cluster.WaitUntil([&] {
    return OutcomeOf(SendOrder(ingress, "k", NewRequestId())) == "answered";
  }));
  LONGS_EQUAL(1, CountStartsOfRequest(id));
}

TEST(Exactness, RequestsAreExecutedAtMostOnceWhileProcessesAreKilled) {
  Load load(cluster.loop(), {.m_service = "orders",
                             .m_ingresses = {cluster.HttpEndpointOf(0),
                                             cluster.HttpEndpointOf(1)},
                             .m_rate = 300,
                             .m_method = "POST"});
  load.Start();
  for (std::size_t node : {2U, 3U, 2U}) {
    cluster.RunFor(std::chrono::milliseconds(700));
    cluster.KillNode(node);
    cluster.RunFor(std::chrono::milliseconds(1500));
    cluster.StartNode(node);
  }
  cluster.RunFor(std::chrono::milliseconds(500));
  load.Stop();
  CHECK(cluster.WaitUntil([&] { return load.open() == 0; }));
  STRCMP_EQUAL(
      "",
      FindIncorrectOutcome(cluster.ExecutionEvents(), load.results()).c_str());
  STRCMP_EQUAL("", FindConcurrentOwners(cluster.ExecutionEvents()).c_str());
  CHECK(CountOutcome(load.results(), "answered") > 300);
}

TEST(Exactness, AFailedTargetLeavesTheOutcomeUnknown) {
  for (std::size_t node = 0; node < kNodes; ++node) {
    cluster.ConfigureTarget(node, "service_us=1000000");
  }
  Load load(cluster.loop(), {.m_service = "orders",
                             .m_ingresses = {cluster.HttpEndpointOf(0)},
                             .m_rate = 20,
                             .m_method = "POST"});
  load.Start();
  cluster.RunFor(std::chrono::milliseconds(600));
  load.Stop();
  cluster.KillTarget(0);
  cluster.KillTarget(1);
  CHECK(cluster.WaitUntil([&] { return load.open() == 0; }));
  STRCMP_EQUAL(
      "",
      FindIncorrectOutcome(cluster.ExecutionEvents(), load.results()).c_str());
  CHECK(CountOutcome(load.results(), "unknown") > 0);
}

TEST(Exactness, ARejectionByTheTargetIsReportedAsNotRun) {
  for (std::size_t node = 0; node < kNodes; ++node) {
    cluster.ConfigureTarget(node, "shed=1");
  }
  const std::string id = NewRequestId();
  STRCMP_EQUAL("not-run", OutcomeOf(SendOrder(0, "k", id)).c_str());
  for (std::size_t node = 0; node < kNodes; ++node) {
    cluster.ConfigureTarget(node, "shed=0");
  }
  STRCMP_EQUAL("answered", OutcomeOf(SendOrder(0, "k", id)).c_str());
}

TEST(Exactness, RequestsStayInTheirHomeRegions) {
  LONGS_EQUAL(0, cluster.Publish("name = orders\nhome_regions = r1\n"));
  CHECK(cluster.WaitUntil([&] {
    for (std::size_t node = 0; node < kNodes; ++node) {
      if (cluster.Status(node)["profiles"].value("orders", 0) != 1) {
        return false;
      }
    }
    return true;
  }));
  const auto before_2 = CountStartsAtTarget("t2");
  const auto before_3 = CountStartsAtTarget("t3");
  const std::string spans = ReadFile(cluster.folder() + "/spans2.jsonl");
  for (int i = 0; i < 40; ++i) {
    const std::string key = "k" + std::to_string(i);
    LONGS_EQUAL(200,
                cluster.Get(static_cast<std::size_t>(i % 2), key)->m_status);
    const auto refused = cluster.Get(2, key);
    LONGS_EQUAL(421, refused->m_status);
    STRCMP_EQUAL(
        "r1",
        wire::FindHeader(refused->m_headers, "Figlug-Home-Regions")->c_str());
  }
  LONGS_EQUAL(before_2, CountStartsAtTarget("t2"));
  LONGS_EQUAL(before_3, CountStartsAtTarget("t3"));
  STRCMP_EQUAL(spans.c_str(),
               ReadFile(cluster.folder() + "/spans2.jsonl").c_str());
}

TEST(Exactness, AnExcludedDomainGetsNoNewRequests) {
  Load load(cluster.loop(), {.m_service = "orders",
                             .m_ingresses = {cluster.HttpEndpointOf(0),
                                             cluster.HttpEndpointOf(2)},
                             .m_rate = 300});
  load.Start();
  cluster.RunFor(std::chrono::milliseconds(500));
  LONGS_EQUAL(0, cluster.RunFiglugctl({"domain", "out", "d2"}));
  CHECK(cluster.WaitUntil(
      [&] { return cluster.Status(1)["owned_slices"] == 0; }));
  cluster.RunFor(std::chrono::milliseconds(200));
  const auto starts = CountStartsAtTarget("t1");
  CHECK(starts > 0);
  cluster.RunFor(std::chrono::seconds(1));
  LONGS_EQUAL(starts, CountStartsAtTarget("t1"));
  LONGS_EQUAL(0, cluster.RunFiglugctl({"domain", "in", "d2"}));
  CHECK(cluster.WaitUntil([&] { return CountStartsAtTarget("t1") > starts; }));
  load.Stop();
  CHECK(cluster.WaitUntil([&] { return load.open() == 0; }));
  LONGS_EQUAL(load.results().size(), CountOutcome(load.results(), "answered"));
  STRCMP_EQUAL(
      "",
      FindIncorrectOutcome(cluster.ExecutionEvents(), load.results()).c_str());
}

TEST(Exactness,
     AProcessPausedWhileItsDomainIsExcludedGetsNoRequestsAfterwards) {
  Load load(cluster.loop(), {.m_service = "orders",
                             .m_ingresses = {cluster.HttpEndpointOf(0)},
                             .m_rate = 200});
  load.Start();
  cluster.RunFor(std::chrono::milliseconds(300));
  cluster.NodeProcess(1).Signal(SIGSTOP);
  LONGS_EQUAL(0, cluster.RunFiglugctl({"domain", "out", "d2"}));
  CHECK(cluster.WaitUntil([&] {
    for (std::uint32_t key = 0; key < 100; ++key) {
      if (cluster.OwnerOf("key" + std::to_string(key), 0) == 1) {
        return false;
      }
    }
    return true;
  }));
  cluster.RunFor(std::chrono::seconds(1));
  cluster.NodeProcess(1).Signal(SIGCONT);
  const auto starts = CountStartsAtTarget("t1");
  cluster.RunFor(std::chrono::seconds(2));
  LONGS_EQUAL(starts, CountStartsAtTarget("t1"));
  load.Stop();
  CHECK(cluster.WaitUntil([&] { return load.open() == 0; }));
  STRCMP_EQUAL("", FindConcurrentOwners(cluster.ExecutionEvents()).c_str());
}

TEST(Exactness, AProcessCutOffOnlyFromTheLogStillLearnsOfItsExclusion) {
  cluster.SetLinkFaults("*", "log-1", "cut=1");
  LONGS_EQUAL(0, cluster.RunFiglugctl({"domain", "out", "d2"}));
  CHECK(cluster.WaitUntil(
      [&] { return cluster.Status(1)["owned_slices"] == 0; }));
  cluster.SetLinkFaults("*", "log-1", "cut=0");
}

}  // namespace figlug::testing
