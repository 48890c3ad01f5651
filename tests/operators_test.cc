#include <csignal>
#include <fstream>
#include <string>

#include <CppUTest/TestHarness.h>

#include "figlug/testing/cluster.h"
#include "programs.h"

namespace figlug::testing {
namespace {

constexpr std::size_t kNodes = 4;

}  // namespace

TEST_GROUP(Operators) {
  Cluster cluster{BuiltPrograms(), SpreadNodes(kNodes)};

  void setup() override {
    cluster.StartAll();
    CHECK(cluster.WaitReady());
  }

  bool AllAtVersion(int version) {
    return cluster.WaitUntil([&] {
      for (std::size_t node = 0; node < kNodes; ++node) {
        const auto status = cluster.Status(node);
        if (!status.is_object() ||
            status["profiles"].value("orders", 0) != version) {
          return false;
        }
      }
      return true;
    });
  }
};

TEST(Operators, OneOfTwoRacingPublishersWins) {
  const std::string file = cluster.folder() + "/race.ini";
  std::ofstream(file) << "[profile]\nname = orders\n";
  LONGS_EQUAL(0, cluster.Operate({"--expect", "0", "publish", file}));
  LONGS_EQUAL(1, cluster.Operate({"--expect", "0", "publish", file}));
  LONGS_EQUAL(0, cluster.Operate({"--expect", "1", "publish", file}));
  CHECK(AllAtVersion(2));
}

TEST(Operators, APublishedProfileOutlivesRestartsAndOutages) {
  LONGS_EQUAL(0, cluster.Publish("name = orders\nqueue_length = 7\n"));
  CHECK(AllAtVersion(1));
  cluster.SetLog("down=1");
  cluster.RunFor(std::chrono::milliseconds(500));
  CHECK(AllAtVersion(1));
  cluster.SetLog("down=0");
  for (std::size_t node = 0; node < kNodes; ++node) {
    cluster.KillNode(node);
    cluster.StartNode(node);
    CHECK(AllAtVersion(1));
  }
}

TEST(Operators, AnAppendWithoutReplyTakesEffectOnce) {
  cluster.SetLog("lose_replies=3");
  LONGS_EQUAL(0, cluster.Publish("name = orders\n"));
  CHECK(AllAtVersion(1));
  cluster.SetLog("slow_ms=300");
  LONGS_EQUAL(0, cluster.Publish("name = orders\n"));
  CHECK(AllAtVersion(2));
}

TEST(Operators, TheLogBeingDownIsSaid) {
  cluster.SetLog("down=1");
  LONGS_EQUAL(3, cluster.Operate({"domain", "out", "d1"}));
}

TEST(Operators, TheLastTargetsAreNotTakenOutUnawares) {
  for (const char* domain : {"d1", "d2", "d3"}) {
    LONGS_EQUAL(0, cluster.Operate({"domain", "out", domain}));
  }
  LONGS_EQUAL(1, cluster.Operate({"domain", "out", "d4"}));
  LONGS_EQUAL(0, cluster.Operate({"domain", "in", "d1"}));
  LONGS_EQUAL(0, cluster.Operate({"domain", "out", "d4"}));
}

TEST(Operators, BadInputIsRefused) {
  LONGS_EQUAL(2, cluster.Operate({"domain", "out", "nowhere"}));
  LONGS_EQUAL(2, cluster.Operate({"fly"}));
  LONGS_EQUAL(2, cluster.Operate({"--fly", "status"}));
  LONGS_EQUAL(0, cluster.Operate({"--help"}));
  LONGS_EQUAL(2, cluster.Operate({"publish", "/nowhere.ini"}));
  LONGS_EQUAL(2, cluster.Publish("name = orders\ncold_limit = 0\n"));
  LONGS_EQUAL(2, cluster.Operate({"force-down", "12"}));
}

TEST(Operators, StatusAndExplainAnswer) {
  LONGS_EQUAL(0, cluster.Operate({"status"}));
  LONGS_EQUAL(0, cluster.Operate({"--json", "status"}));
  LONGS_EQUAL(0, cluster.Operate({"explain", "orders", "k"}));
  LONGS_EQUAL(1, cluster.Operate({"explain", "none", "k"}));
}

TEST(Operators, AForcedDownMemberComesBackAsAnother) {
  const std::string before = cluster.MemberOf(2);
  LONGS_EQUAL(0, cluster.Operate({"--force", "force-down", before}));
  CHECK(cluster.WaitUntil([&] {
    const std::string now = cluster.MemberOf(2);
    return !now.empty() && now != before;
  }));
  CHECK(cluster.WaitReady());
}

}  // namespace figlug::testing
