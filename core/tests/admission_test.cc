// Load patterns: a burst that exceeds a target's capacity, and many ingresses
// that choose a target by the same outdated load report.

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
          .m_max_queue_wait = left,
          .m_target_latency = target_latency,
          .m_target_latency_left = target_latency};
}

// Gives the gate observations of the service time of such work.
void RunSequentially(RoutedNode& self,
                     const AttemptHead& head,
                     Duration service_time) {
  for (int i = 0; i < 20; ++i) {
    const WorkId work = self.Attempt(head);
    self.Advance(service_time);
    self.Answer(work);
    static_cast<void>(self.Report());
  }
  self.ClearActions();
}

}  // namespace

TEST_GROUP(Admission){};

TEST(Admission, AServiceTimeIsKeptByClassAndOtherwiseEstimatedFromAll) {
  ServiceTimes times;
  CHECK(times.Expected({1, milliseconds(200)}) == Duration::zero());
  times.Observe({1, milliseconds(200)}, milliseconds(50));
  times.Observe({2, milliseconds(800)}, milliseconds(300));
  CHECK(times.Expected({1, milliseconds(200)}) == milliseconds(50));
  CHECK(times.Expected({2, milliseconds(800)}) == milliseconds(300));
  CHECK(times.Expected({3, milliseconds(100)}) == times.ExpectedOverall());
}

TEST(Admission, AWaitIsUsefulWhileTheAnswerCanMeetTheTargetLatency) {
  const Duration wait = MaxUsefulWait(
      Head(milliseconds(800), milliseconds(3000)), milliseconds(200), false);
  CHECK(wait > Duration::zero());
  CHECK(wait + milliseconds(200) < milliseconds(800));
}

TEST(Admission, NoWaitIsUsefulIfTheWorkWouldMissItsDeadline) {
  CHECK(MaxUsefulWait(Head(milliseconds(800), milliseconds(250)),
                      milliseconds(200), false) == Duration::zero());
  CHECK(MaxUsefulWait(Head(milliseconds(800), milliseconds(250)),
                      milliseconds(200), true) == Duration::zero());
}

TEST(Admission, AQueueThatClearsSoonMayAnswerLate) {
  const AttemptHead head = Head(milliseconds(800), milliseconds(3000));
  const Duration wait = MaxUsefulWait(head, milliseconds(200), true);
  CHECK(wait > MaxUsefulWait(head, milliseconds(200), false));
  CHECK(wait + milliseconds(200) < milliseconds(3000));
}

TEST(Admission, ASlowTargetKeepsAShortQueue) {
  const Duration wait = MaxUsefulWait(
      Head(milliseconds(300), milliseconds(3000)), milliseconds(900), false);
  CHECK(wait > Duration::zero());
  CHECK(wait < milliseconds(100));
}

// Two slots with a service time of 200 ms are offered twice their capacity.
TEST(Admission, AStandingQueueIsAsShortAsTheTargetLatencyRequires) {
  RoutedNode self("orders");
  self.Start();
  self.Report();
  self.Settle();
  const AttemptHead head = Head(milliseconds(800), milliseconds(3000));
  RunSequentially(self, head, milliseconds(200));
  std::size_t dispatched = 0;
  std::size_t refused = 0;
  std::vector<DispatchWork> running;
  for (int round = 0; round < 20; ++round) {
    for (int i = 0; i < 4; ++i) {
      static_cast<void>(self.Attempt(head));
    }
    self.Advance(milliseconds(200));
    static_cast<void>(self.Report());
    running = self.ActionsOf<DispatchWork>();
    refused += self.ActionsOf<FinishAttempt>().size();
    dispatched += running.size();
    self.ClearActions();
    for (const DispatchWork& work : running) {
      self.Answer(work.m_work);
    }
    refused += self.ActionsOf<FinishAttempt>().size() - running.size();
  }
  // The slots are fully used, and the work left in the queue would be answered
  // within the target latency.
  CHECK(dispatched >= 36);
  CHECK(refused >= 30);
  CHECK(self.node().gate().queued() <= 6);
}

TEST(Admission, WorkDelayedByUrgentWorkIsRefusedEarly) {
  RoutedNode self("orders");
  self.Start();
  self.Report();
  self.Settle();
  AttemptHead head = Head(milliseconds(800), milliseconds(3000));
  head.m_priority = 1;
  RunSequentially(self, head, milliseconds(200));
  const WorkId running = self.Attempt(head);
  static_cast<void>(self.Attempt(head));
  const WorkId waiting = self.Attempt(head);
  CHECK(!self.ResultOf(waiting));
  const AttemptHead urgent = Head(milliseconds(2000), milliseconds(3000));
  for (int i = 0; i < 8; ++i) {
    static_cast<void>(self.Attempt(urgent));
  }
  self.Answer(running);
  CHECK(self.ResultOf(waiting).has_value());
  CHECK(self.ResultOf(waiting)->m_reason == Reason::kOverloaded);
}

TEST(Admission, ASearchForRoomEndsAfterAFewFullGates) {
  RoutedNode self("archive");
  self.Start();
  self.Report();
  self.Settle();
  for (std::uint64_t id = 50; id < 70; ++id) {
    self.Record(JoinRecord{RoutedNode::OtherMember(id, "orders"), {}});
    self.Record(WeightRecord{MemberId{id}, kMaxWeight});
  }
  self.ClearActions();
  const CallId call = self.Call("/order/1");
  std::size_t next = 0;
  while (next < self.ActionsOf<SendAttempt>().size()) {
    const SendAttempt sent = self.ActionsOf<SendAttempt>()[next++];
    self.EndAttempt(sent.m_attempt, Outcome::kNotRun, Reason::kOverloaded);
  }
  LONGS_EQUAL(3, next);
  const auto ends = self.ActionsOf<FinishCall>();
  LONGS_EQUAL(1, ends.size());
  CHECK(ends[0].m_call == call);
  CHECK(ends[0].m_outcome == Outcome::kNotRun);
  CHECK(ends[0].m_retry_after > Duration::zero());
}

TEST(Admission, ASampledChoiceSpreadsLoadAndAvoidsLongWaits) {
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
