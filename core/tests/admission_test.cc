// Load patterns: a burst over a target's capacity, and many ingresses that
// choose by the same late word on load.

#include <CppUTest/TestHarness.h>

#include <map>
#include <vector>

#include "figlug/core/admission.h"
#include "figlug/core/balancer.h"
#include "routed_node.h"

using namespace figlug::core;
using std::chrono::milliseconds;

namespace {

AttemptHead Head(Duration target_latency, Duration left) {
  return {.m_service = "orders",
          .m_time_left = left,
          .m_patience = left,
          .m_target_latency = target_latency,
          .m_target_latency_left = target_latency};
}

// Lets the gate learn how long such work runs.
void RunOneByOne(RoutedNode& self, const AttemptHead& head, Duration run) {
  for (int i = 0; i < 20; ++i) {
    const WorkId work = self.Attempt(head);
    self.Advance(run);
    self.Answer(work);
    static_cast<void>(self.Report());
  }
  self.Forget();
}

}  // namespace

TEST_GROUP(Admission){};

TEST(Admission, ARunTimeIsKnownByClassAndGuessedFromAll) {
  RunTimes times;
  CHECK(times.Of({1, milliseconds(200)}) == Duration::zero());
  times.Observe({1, milliseconds(200)}, milliseconds(50));
  times.Observe({2, milliseconds(800)}, milliseconds(300));
  CHECK(times.Of({1, milliseconds(200)}) == milliseconds(50));
  CHECK(times.Of({2, milliseconds(800)}) == milliseconds(300));
  CHECK(times.Of({3, milliseconds(100)}) == times.OfAll());
}

TEST(Admission, AWaitIsUsefulWhileTheAnswerCanBeInTime) {
  const Duration wait = UsefulWait(Head(milliseconds(800), milliseconds(3000)),
                                   milliseconds(200), false);
  CHECK(wait > Duration::zero());
  CHECK(wait + milliseconds(200) < milliseconds(800));
}

TEST(Admission, NoWaitIsUsefulThatWouldHaveTheRunCutOff) {
  CHECK(UsefulWait(Head(milliseconds(800), milliseconds(250)),
                   milliseconds(200), false) == Duration::zero());
  CHECK(UsefulWait(Head(milliseconds(800), milliseconds(250)),
                   milliseconds(200), true) == Duration::zero());
}

TEST(Admission, AQueueThatPassesSoonMayAnswerLate) {
  const AttemptHead head = Head(milliseconds(800), milliseconds(3000));
  const Duration wait = UsefulWait(head, milliseconds(200), true);
  CHECK(wait > UsefulWait(head, milliseconds(200), false));
  CHECK(wait + milliseconds(200) < milliseconds(3000));
}

TEST(Admission, ASlowTargetKeepsAShortQueue) {
  const Duration wait = UsefulWait(Head(milliseconds(300), milliseconds(3000)),
                                   milliseconds(900), false);
  CHECK(wait > Duration::zero());
  CHECK(wait < milliseconds(100));
}

// Two slots of 200 ms are offered twice what they can do.
TEST(Admission, AStandingQueueIsAsShortAsTheTargetLatencyAsks) {
  RoutedNode self("orders");
  self.Start();
  self.Report();
  self.Settle();
  const AttemptHead head = Head(milliseconds(800), milliseconds(3000));
  RunOneByOne(self, head, milliseconds(200));
  std::size_t dispatched = 0;
  std::size_t refused = 0;
  std::vector<DispatchWork> running;
  for (int round = 0; round < 20; ++round) {
    for (int i = 0; i < 4; ++i) {
      static_cast<void>(self.Attempt(head));
    }
    self.Advance(milliseconds(200));
    static_cast<void>(self.Report());
    running = self.Taken<DispatchWork>();
    refused += self.Taken<FinishAttempt>().size();
    dispatched += running.size();
    self.Forget();
    for (const DispatchWork& work : running) {
      self.Answer(work.m_work);
    }
    refused += self.Taken<FinishAttempt>().size() - running.size();
  }
  // All that the slots can do is done; what stands in the queue at the end
  // would be answered within the target latency.
  CHECK(dispatched >= 36);
  CHECK(refused >= 30);
  CHECK(self.node().gate().queued() <= 6);
}

TEST(Admission, WorkThatUrgentWorkPushesBackIsRefusedEarly) {
  RoutedNode self("orders");
  self.Start();
  self.Report();
  self.Settle();
  AttemptHead head = Head(milliseconds(800), milliseconds(3000));
  head.m_priority = 1;
  RunOneByOne(self, head, milliseconds(200));
  const WorkId running = self.Attempt(head);
  static_cast<void>(self.Attempt(head));
  const WorkId waiting = self.Attempt(head);
  CHECK(!self.EndOf(waiting));
  const AttemptHead urgent = Head(milliseconds(2000), milliseconds(3000));
  for (int i = 0; i < 8; ++i) {
    static_cast<void>(self.Attempt(urgent));
  }
  self.Answer(running);
  CHECK(self.EndOf(waiting).has_value());
  CHECK(self.EndOf(waiting)->m_reason == Reason::kOverloaded);
}

TEST(Admission, ASearchForRoomEndsAfterAFewFullGates) {
  RoutedNode self("archive");
  self.Start();
  self.Report();
  self.Settle();
  for (std::uint64_t id = 50; id < 70; ++id) {
    self.Record(JoinRecord{RoutedNode::Other(id, "orders"), {}});
    self.Record(WeightRecord{MemberId{id}, kFullWeight});
  }
  self.Forget();
  const CallId call = self.Call("/order/1");
  std::size_t next = 0;
  while (next < self.Taken<SendAttempt>().size()) {
    const SendAttempt sent = self.Taken<SendAttempt>()[next++];
    self.EndAttempt(sent.m_attempt, Outcome::kNotRun, Reason::kOverloaded);
  }
  LONGS_EQUAL(3, next);
  const auto ends = self.Taken<FinishCall>();
  LONGS_EQUAL(1, ends.size());
  CHECK(ends[0].m_call == call);
  CHECK(ends[0].m_outcome == Outcome::kNotRun);
  CHECK(ends[0].m_retry_after > Duration::zero());
}

TEST(Admission, ASampledChoiceSpreadsAndStillAvoidsLongWaits) {
  Random random(7);
  SampledWait balancer;
  std::vector<TargetCandidate> choices(10);
  for (std::size_t i = 0; i < choices.size(); ++i) {
    choices[i].m_expected_answer_us = 100.0 + static_cast<double>(i);
  }
  choices[9].m_expected_answer_us = 10'000;
  std::map<std::size_t, int> picked;
  for (int i = 0; i < 1000; ++i) {
    ++picked[balancer.Pick(choices, random)];
  }
  CHECK(picked[0] < 500);
  CHECK(picked.size() >= 7);
  LONGS_EQUAL(0, picked[9]);
}
