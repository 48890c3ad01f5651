#include <csignal>
#include <fstream>
#include <functional>
#include <string>

#include <CppUTest/TestHarness.h>

#include "figlug/runtime/http_client.h"
#include "figlug/runtime/operator_session.h"
#include "figlug/testing/cluster.h"
#include "figlug/testing/log_stand_in.h"
#include "programs.h"

namespace figlug::testing {
namespace {

constexpr std::size_t kNodes = 4;
const core::Endpoint kLogAddress = {"127.0.0.1", 7977};
constexpr core::Duration kControlTimeout = std::chrono::seconds(2);
/// Later than the append, earlier than the answer of a slow log.
constexpr core::Duration kRestoreDelay = std::chrono::milliseconds(300);

}  // namespace

TEST_GROUP(Operators) {
  Cluster cluster{BuiltPrograms(), SpreadNodes(kNodes)};

  void setup() override {
    cluster.StartAll();
    CHECK(cluster.WaitReady());
  }

  bool WaitForProfileVersion(int version) {
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

TEST(Operators, OneOfTwoConcurrentPublishersWins) {
  const std::string file = cluster.folder() + "/race.ini";
  std::ofstream(file) << "[profile]\nname = orders\n";
  LONGS_EQUAL(0, cluster.RunFiglugctl({"--expect", "0", "publish", file}));
  LONGS_EQUAL(1, cluster.RunFiglugctl({"--expect", "0", "publish", file}));
  LONGS_EQUAL(0, cluster.RunFiglugctl({"--expect", "1", "publish", file}));
  CHECK(WaitForProfileVersion(2));
}

TEST(Operators, APublishedProfileSurvivesRestartsAndLogOutages) {
  LONGS_EQUAL(0, cluster.Publish("name = orders\nqueue_length = 7\n"));
  CHECK(WaitForProfileVersion(1));
  cluster.SetLogFaults("down=1");
  cluster.RunFor(std::chrono::milliseconds(500));
  CHECK(WaitForProfileVersion(1));
  cluster.SetLogFaults("down=0");
  for (std::size_t node = 0; node < kNodes; ++node) {
    cluster.KillNode(node);
    cluster.StartNode(node);
    CHECK(WaitForProfileVersion(1));
  }
}

TEST(Operators, AnAppendWithALostReplyTakesEffectOnce) {
  cluster.SetLogFaults("lose_replies=3");
  LONGS_EQUAL(0, cluster.Publish("name = orders\n"));
  CHECK(WaitForProfileVersion(1));
  cluster.SetLogFaults("slow_ms=300");
  LONGS_EQUAL(0, cluster.Publish("name = orders\n"));
  CHECK(WaitForProfileVersion(2));
}

TEST(Operators, ALogOutageIsReported) {
  cluster.SetLogFaults("down=1");
  LONGS_EQUAL(3, cluster.RunFiglugctl({"domain", "out", "d1"}));
}

TEST(Operators, ExcludingTheLastTargetsIsRejected) {
  for (const char* domain : {"d1", "d2", "d3"}) {
    LONGS_EQUAL(0, cluster.RunFiglugctl({"domain", "out", domain}));
  }
  LONGS_EQUAL(1, cluster.RunFiglugctl({"domain", "out", "d4"}));
  LONGS_EQUAL(0, cluster.RunFiglugctl({"domain", "in", "d1"}));
  LONGS_EQUAL(0, cluster.RunFiglugctl({"domain", "out", "d4"}));
}

TEST(Operators, InvalidInputIsRejected) {
  LONGS_EQUAL(2, cluster.RunFiglugctl({"domain", "out", "nowhere"}));
  LONGS_EQUAL(2, cluster.RunFiglugctl({"fly"}));
  LONGS_EQUAL(2, cluster.RunFiglugctl({"--fly", "status"}));
  LONGS_EQUAL(0, cluster.RunFiglugctl({"--help"}));
  LONGS_EQUAL(2, cluster.RunFiglugctl({"publish", "/nowhere.ini"}));
  LONGS_EQUAL(2, cluster.Publish("name = orders\ncold_limit = 0\n"));
  LONGS_EQUAL(2, cluster.RunFiglugctl({"force-down", "12"}));
}

TEST(Operators, StatusAndExplainReturnTheirExitCodes) {
  LONGS_EQUAL(0, cluster.RunFiglugctl({"status"}));
  LONGS_EQUAL(0, cluster.RunFiglugctl({"--json", "status"}));
  LONGS_EQUAL(0, cluster.RunFiglugctl({"explain", "orders", "k"}));
  LONGS_EQUAL(1, cluster.RunFiglugctl({"explain", "none", "k"}));
}

TEST(Operators, AForcedDownMemberRejoinsAsANewMember) {
  const std::string before = cluster.MemberIdOf(2);
  LONGS_EQUAL(0, cluster.RunFiglugctl({"--force", "force-down", before}));
  CHECK(cluster.WaitUntil([&] {
    const std::string now = cluster.MemberIdOf(2);
    return !now.empty() && now != before;
  }));
  CHECK(cluster.WaitReady());
}

TEST_GROUP(OperatorSession) {
  runtime::EventLoop loop;
  LogStandIn log{loop};
  runtime::HttpClient control{loop, kLogAddress, 1, 1024};
  runtime::OperatorSession session{loop, kLogAddress};

  void setup() override {
    CHECK(log.Listen(kLogAddress).has_value());
    CHECK(session.Load().has_value());
  }

  void Control(const std::string& faults,
               const std::function<void()>& on_done) {
    control.Send({"POST", "/control?" + faults, {}, ""}, kControlTimeout,
                 [on_done](runtime::HttpClient::Result&& result) {
                   CHECK(result.has_value());
                   LONGS_EQUAL(200, result->m_status);
                   on_done();
                 });
  }

  /// Publishes a profile; the log changes after the append and before the
  /// record is read back.
  tl::expected<void, runtime::OperatorError> PublishDuring(
      const std::string& before, const std::string& after) {
    Control(before, [this] { loop.Stop(); });
    loop.Run();
    runtime::Timer timer(loop, [this, after] { Control(after, [] {}); });
    timer.Set(kRestoreDelay);
    core::ProfileRecord record;
    record.m_profile.m_name = "orders";
    return session.Commit(record);
  }
};

// Guards against a command that waits for a record which the log has lost.
TEST(OperatorSession, ARecordThatARestoreHasLostIsSentAgain) {
  CHECK(PublishDuring("copy=1&slow_ms=600", "restore=1").has_value());
  LONGS_EQUAL(1, session.state().FindProfile("orders")->m_version);
}

// Guards against "refused" for a record that took effect and that the command
// read as part of a restored state.
TEST(OperatorSession, ARecordReadInARestoredStateIsNotReportedAsRefused) {
  const auto result = PublishDuring("slow_ms=600", "copy=1&restore=1");
  LONGS_EQUAL(1, session.state().FindProfile("orders")->m_version);
  CHECK(result.has_value() ||
        result.error() == runtime::OperatorError::kUnknown);
}

}  // namespace figlug::testing
