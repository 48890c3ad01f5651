// Load patterns of a VM's link, behind a target that has slots free: a burst of
// large answers at twice the link's rate, then half of it, beside short calls.

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "../routed_node.h"
#include "figlug/core/admission/answer_sizes.h"
#include "figlug/core/admission/link_admission.h"

using namespace figlug::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kLargeBytes = 100'000;
constexpr std::size_t kShortBytes = 500;
constexpr double kBytesPerSecond = 1e6;
constexpr Duration kStep = milliseconds(10);
constexpr Duration kServiceTime = milliseconds(10);
constexpr Duration kLargeDeadline = seconds(2);

AttemptHead LargeHead() {
  return {.m_service = "orders",
          .m_time_left = kLargeDeadline,
          .m_priority = 2,
          .m_max_queue_wait = seconds(1),
          .m_target_latency = kLargeDeadline,
          .m_target_latency_left = kLargeDeadline};
}

AttemptHead ShortHead() {
  return {.m_service = "orders",
          .m_time_left = milliseconds(400),
          .m_priority = 1,
          .m_max_queue_wait = milliseconds(200),
          .m_target_latency = milliseconds(200),
          .m_target_latency_left = milliseconds(200)};
}

// A gate with its target, and a link that carries large answers in the order in
// which they were given to it.
class LinkedGate {
 public:
  explicit LinkedGate(bool knows_rate = true) : m_knows_rate(knows_rate) {
    m_self.Start();
    m_self.Report();
    m_self.Settle();
    // The gate has seen answers of both classes.
    for (const AttemptHead& head : {LargeHead(), ShortHead()}) {
      const WorkId work = m_self.Attempt(head);
      m_self.Advance(kServiceTime);
      m_self.Finish(work, {.m_body_bytes = head.m_priority == 2 ? kLargeBytes
                                                                : kShortBytes});
    }
    m_self.ClearActions();
  }

  struct Result {
    int m_offered = 0;
    int m_refused = 0;
    int m_in_time = 0;
    int m_late = 0;
  };

  // Offers large calls at a share of the link's rate, and short ones beside
  // them.
  void Run(Duration span, double load) {
    const Time end = m_self.now() + span;
    while (m_self.now() < end) {
      m_due += load * kBytesPerSecond * 0.01 / kLargeBytes;
      for (; m_due >= 1; m_due -= 1) {
        Offer(LargeHead());
      }
      Offer(ShortHead());
      Step();
    }
  }
  void Offer(const AttemptHead& head) {
    m_self.node().OnLinkLoad(Load());
    const WorkId work = m_self.Attempt(head);
    m_work[work] = {head.m_priority == 2, m_self.now() + head.m_time_left};
    ++ResultOf(m_work[work]).m_offered;
    TakeRefused();
  }
  [[nodiscard]] std::size_t queued_bytes() const {
    return Load().m_queued_bytes;
  }
  // Time from the arrival of refused large work to its refusal.
  [[nodiscard]] Duration longest_refusal() const { return m_longest_refusal; }

  Result m_large;
  Result m_short;

 private:
  struct Work {
    bool m_is_large = false;
    Time m_deadline{};
  };
  struct Message {
    std::size_t m_left = 0;
    Time m_deadline{};
  };

  [[nodiscard]] LinkLoad Load() const {
    LinkLoad load{0, m_knows_rate ? kBytesPerSecond : 0};
    for (const Message& message : m_link) {
      load.m_queued_bytes += message.m_left;
    }
    return load;
  }
  Result& ResultOf(const Work& work) {
    return work.m_is_large ? m_large : m_short;
  }
  void TakeRefused() {
    for (const FinishAttempt& end : m_self.ActionsOf<FinishAttempt>()) {
      const auto it = m_work.find(end.m_work);
      if (it == m_work.end() || end.m_outcome != Outcome::kNotRun) {
        continue;
      }
      CHECK(end.m_reason == Reason::kOverloaded);
      ++ResultOf(it->second).m_refused;
      if (it->second.m_is_large) {
        m_longest_refusal =
            std::max(m_longest_refusal,
                     m_self.now() - (it->second.m_deadline - kLargeDeadline));
      }
      m_work.erase(it);
    }
  }
  // The target answers what it was given in the last step, and the link carries
  // on.
  void Step() {
    const std::vector<DispatchWork> running = m_self.ActionsOf<DispatchWork>();
    m_self.ClearActions();
    m_self.Advance(kStep);
    if (m_self.now() >= m_reported_at + seconds(1)) {
      m_reported_at = m_self.now();
      static_cast<void>(m_self.Report());
    }
    for (const DispatchWork& dispatch : running) {
      const Work work = m_work.at(dispatch.m_work);
      m_work.erase(dispatch.m_work);
      m_self.node().OnLinkLoad(Load());
      m_self.Finish(
          dispatch.m_work,
          {.m_body_bytes = work.m_is_large ? kLargeBytes : kShortBytes});
      if (work.m_is_large) {
        m_link.push_back({kLargeBytes, work.m_deadline});
      } else {
        ++m_short.m_in_time;
      }
    }
    TakeRefused();
    auto room = static_cast<std::size_t>(kBytesPerSecond * 0.01);
    while (!m_link.empty() && room > 0) {
      const std::size_t bytes = std::min(room, m_link.front().m_left);
      room -= bytes;
      m_link.front().m_left -= bytes;
      if (m_link.front().m_left == 0) {
        ++(m_self.now() <= m_link.front().m_deadline ? m_large.m_in_time
                                                     : m_large.m_late);
        m_link.pop_front();
      }
    }
  }

  RoutedNode m_self{"orders"};
  bool m_knows_rate;
  double m_due = 0;
  Time m_reported_at{};
  std::map<WorkId, Work> m_work;
  std::deque<Message> m_link;
  Duration m_longest_refusal{};
};

}  // namespace

TEST_GROUP(LinkAdmission){};

TEST(LinkAdmission, TheSizeOfAnswersIsKeptByClass) {
  AnswerSizes sizes;
  CHECK(sizes.Expected({1, milliseconds(200)}) == 0);
  sizes.Observe({1, milliseconds(200)}, 1'000);
  sizes.Observe({2, milliseconds(800)}, 100'000);
  LONGS_EQUAL(1'000, sizes.Expected({1, milliseconds(200)}));
  LONGS_EQUAL(0, sizes.ExpectedLarge({1, milliseconds(200)}));
  LONGS_EQUAL(100'000, sizes.ExpectedLarge({2, milliseconds(800)}));
  LONGS_EQUAL(0, sizes.ExpectedLarge({3, milliseconds(800)}));
}

TEST(LinkAdmission, WorkIsTooLateByWhatTheLinkCarriesBeforeIt) {
  LinkAdmission link;
  const Time now{seconds(100)};
  const LinkLoad load{500'000, 1e6};
  // 100 ms at the target, 500 ms queued, 100 ms for the answer itself.
  const LinkWork work{now + milliseconds(700), milliseconds(100), 100'000};
  CHECK(!link.IsTooLate(now, work, load));
  CHECK(link.IsTooLate(now + milliseconds(1), work, load));
  LinkWork behind = work;
  behind.m_bytes_ahead = 1'000;
  CHECK(link.IsTooLate(now, behind, load));
  link.OnDispatched(1'000);
  CHECK(link.IsTooLate(now, work, load));
  link.OnEnded(1'000);
  CHECK(!link.IsTooLate(now, work, load));
  CHECK(!link.IsTooLate(now, behind, {500'000, 0}));
  CHECK(LinkWait(load) == milliseconds(500));
  CHECK(LinkWait({500'000, 0}) == Duration::zero());
  CHECK(link.IsTooLate(now, work, {1, 1e-12}));
}

// 5 s at twice the link's rate. Without the rule, the answers of the last
// seconds are all late.
TEST(LinkAdmission, LargeWorkThatWouldArriveLateIsRefusedAtItsArrival) {
  LinkedGate gate;
  gate.Run(seconds(5), 2);
  gate.Run(seconds(4), 0);
  LONGS_EQUAL(100, gate.m_large.m_offered);
  LONGS_EQUAL(0, gate.m_large.m_late);
  LONGS_EQUAL(gate.m_large.m_offered,
              gate.m_large.m_in_time + gate.m_large.m_refused);
  // The link was never idle meanwhile.
  CHECK(gate.m_large.m_in_time >= 50);
  CHECK(gate.longest_refusal() <= kStep);
}

TEST(LinkAdmission, ShortWorkIsNotRefusedForTheLink) {
  LinkedGate gate;
  gate.Run(seconds(5), 2);
  CHECK(gate.m_large.m_refused > 0);
  LONGS_EQUAL(0, gate.m_short.m_refused);
  CHECK(gate.m_short.m_in_time + 2 >= gate.m_short.m_offered);
}

TEST(LinkAdmission, AllIsAdmittedAgainSoonAfterABurst) {
  LinkedGate gate;
  gate.Run(seconds(5), 2);
  gate.Run(seconds(1), 0.5);
  const int refused = gate.m_large.m_refused;
  gate.Run(seconds(5), 0.5);
  LONGS_EQUAL(refused, gate.m_large.m_refused);
  LONGS_EQUAL(0, gate.m_large.m_late);
  // One answer is under way at most.
  CHECK(gate.queued_bytes() <= kLargeBytes);
}

TEST(LinkAdmission, ALinkOfUnknownRateRefusesNothing) {
  LinkedGate gate(false);
  gate.Run(seconds(5), 2);
  LONGS_EQUAL(0, gate.m_large.m_refused);
  LONGS_EQUAL(0, gate.m_short.m_refused);
}

TEST(LinkAdmission, WorkOfAnUnknownSizeIsAdmitted) {
  RoutedNode self("orders");
  self.Start();
  self.Report();
  self.Settle();
  self.node().OnLinkLoad({100'000'000, kBytesPerSecond});
  CHECK(self.IsDispatched(self.Attempt(LargeHead())));
}

TEST(LinkAdmission, WorkOfTheOwnIngressDoesNotNeedTheLink) {
  RoutedNode self("orders");
  self.Start();
  self.Report();
  self.Settle();
  self.Finish(self.Attempt(LargeHead()), {.m_body_bytes = kLargeBytes});
  self.node().OnLinkLoad({2'000'000, kBytesPerSecond});
  const WorkId refused = self.Attempt(LargeHead());
  CHECK(self.ResultOf(refused)->m_reason == Reason::kOverloaded);
  CHECK(self.IsDispatched(self.OwnAttempt(LargeHead())));
}

// Answers at the target count as if they were queued for the link.
TEST(LinkAdmission, WorkAtTheTargetCountsAndCancelledWorkDoesNot) {
  RoutedNode self("orders");
  self.Start();
  self.Report();
  self.Settle();
  self.Finish(self.Attempt(LargeHead()), {.m_body_bytes = kLargeBytes});
  self.node().OnLinkLoad({1'850'000, kBytesPerSecond});
  const WorkId first = self.Attempt(LargeHead());
  CHECK(self.IsDispatched(first));
  const WorkId second = self.Attempt(LargeHead());
  CHECK(self.ResultOf(second)->m_reason == Reason::kOverloaded);
  self.Withdraw(first);
  CHECK(self.IsDispatched(self.Attempt(LargeHead())));
}

// Both slots are taken when the large work arrives, and the link fills while it
// waits for one.
TEST(LinkAdmission, QueuedWorkIsJudgedAgainBeforeItIsDispatched) {
  RoutedNode self("orders");
  self.Start();
  self.Report();
  self.Settle();
  self.Finish(self.Attempt(LargeHead()), {.m_body_bytes = kLargeBytes});
  const WorkId running = self.Attempt(ShortHead());
  static_cast<void>(self.Attempt(ShortHead()));
  const WorkId waiting = self.Attempt(LargeHead());
  CHECK(!self.ResultOf(waiting) && !self.IsDispatched(waiting));
  self.node().OnLinkLoad({2'000'000, kBytesPerSecond});
  self.Finish(running, {.m_body_bytes = kShortBytes});
  CHECK(self.ResultOf(waiting)->m_outcome == Outcome::kNotRun);
  CHECK(self.ResultOf(waiting)->m_reason == Reason::kOverloaded);
  CHECK(!self.IsDispatched(waiting));
}

// The answer that frees the slot is not part of the reported load yet.
TEST(LinkAdmission, TheAnswerThatFreesASlotCountsForTheNextWork) {
  RoutedNode self("orders");
  self.Start();
  self.Report();
  self.Settle();
  self.Finish(self.Attempt(LargeHead()), {.m_body_bytes = kLargeBytes});
  const WorkId running = self.Attempt(LargeHead());
  static_cast<void>(self.Attempt(ShortHead()));
  const WorkId waiting = self.Attempt(LargeHead());
  CHECK(!self.ResultOf(waiting) && !self.IsDispatched(waiting));
  self.node().OnLinkLoad({1'850'000, kBytesPerSecond});
  self.Finish(running, {.m_body_bytes = kLargeBytes});
  CHECK(!self.IsDispatched(waiting));
  CHECK(self.ResultOf(waiting)->m_reason == Reason::kOverloaded);
}

// Guards against a queue that stands at the deadline during an overload, so
// that each large answer arrives, and each arrives too late to be of much use.
TEST(LinkAdmission, LargeAnswersAreRefusedThatWouldMissTheTargetLatency) {
  RoutedNode self("orders");
  self.Start();
  self.Report();
  self.Settle();
  AttemptHead head = LargeHead();
  head.m_target_latency = head.m_target_latency_left = seconds(1);
  const WorkId first = self.Attempt(head);
  self.Advance(kServiceTime);
  self.Finish(first, {.m_body_bytes = kLargeBytes});
  const auto is_admitted = [&](Duration target_latency_left,
                               std::size_t queued_bytes) {
    self.node().OnLinkLoad({queued_bytes, kBytesPerSecond});
    head.m_target_latency_left = target_latency_left;
    const WorkId work = self.Attempt(head);
    const bool is_dispatched = self.IsDispatched(work);
    if (is_dispatched) {
      self.Finish(work, {.m_body_bytes = kLargeBytes});
    } else {
      CHECK(self.ResultOf(work)->m_reason == Reason::kOverloaded);
    }
    return is_dispatched;
  };
  CHECK(is_admitted(seconds(1), 800'000));
  CHECK_FALSE(is_admitted(seconds(1), 950'000));
  // Work that is late already may use a quarter of the target latency.
  CHECK(is_admitted(milliseconds(-100), 100'000));
  CHECK_FALSE(is_admitted(milliseconds(-100), 300'000));
}

TEST(LinkAdmission, AReportSaysHowLongALargeAnswerWaits) {
  RoutedNode self("orders");
  self.Start();
  self.Report();
  self.Settle();
  self.node().OnLinkLoad({300'000, kBytesPerSecond});
  const WorkId work = self.Attempt(ShortHead());
  self.Answer(work);
  CHECK(self.ResultOf(work)->m_load.m_link_wait == milliseconds(300));
  const WorkId own = self.OwnAttempt(ShortHead());
  self.Answer(own);
  CHECK(self.ResultOf(own)->m_load.m_link_wait == Duration::zero());
  self.node().OnLinkLoad({300'000, 0});
  const WorkId unknown = self.Attempt(ShortHead());
  self.Answer(unknown);
  CHECK(self.ResultOf(unknown)->m_load.m_link_wait == Duration::zero());
}

TEST(LinkAdmission, AReportBehindALargeAnswerReplacesNoNewerOne) {
  TargetView target;
  const Time now{seconds(100)};
  const auto report = [](milliseconds link_wait) {
    return GateLoad{.m_slots = 2, .m_link_wait = link_wait};
  };
  UpdateLoad(target, now, report(milliseconds(50)), false);
  UpdateLoad(target, now + milliseconds(100), report(milliseconds(900)), true);
  CHECK(target.m_load.m_link_wait == milliseconds(50));
  CHECK(target.m_load_reported_at == now);
  UpdateLoad(target, now + milliseconds(990), report(milliseconds(900)), true);
  CHECK(target.m_load.m_link_wait == milliseconds(900));
  CHECK(IsLoadFresh(target, now + milliseconds(1500)));
  const double large_us = ExpectedAnswerTime(
      target, 2, now + milliseconds(1500), std::nullopt, true);
  const double short_us =
      ExpectedAnswerTime(target, 2, now + milliseconds(1500));
  DOUBLES_EQUAL(900'000, large_us - short_us, 1);
  // An outdated report says nothing about the link.
  DOUBLES_EQUAL(
      0,
      ExpectedAnswerTime(target, 2, now + seconds(3), std::nullopt, true) -
          ExpectedAnswerTime(target, 2, now + seconds(3)),
      1);
}

namespace {

// An ingress with four targets of a service on two VMs of its region and two of
// the other, all alike but for the load of their links.
class LinkedTargets {
 public:
  LinkedTargets() {
    m_self.Start();
    m_self.Report();
    m_self.Settle();
    for (std::uint64_t id = 50; id < 54; ++id) {
      MemberInfo info = RoutedNode::OtherMember(id, "orders");
      info.m_slots = 8;
      info.m_region = id < 52 ? "r1" : "r2";
      m_self.Record(JoinRecord{info, {}});
      m_self.Record(WeightRecord{MemberId{id}, kMaxWeight});
    }
    m_self.ClearActions();
  }

  // Sends a call that is answered at once.
  MemberId Call(std::size_t answer_bytes) {
    m_self.ClearActions();
    static_cast<void>(m_self.Call("/long/1"));
    const auto sent = m_self.ActionsOf<SendAttempt>();
    LONGS_EQUAL(1, sent.size());
    const MemberId to = sent.front().m_member;
    m_self.node().OnGateLoad(m_self.At(), sent.front().m_attempt,
                             {.m_running = 1,
                              .m_slots = 8,
                              .m_service_time = milliseconds(120),
                              .m_link_wait = m_link_waits[to]},
                             answer_bytes);
    m_self.EndAttempt(sent.front().m_attempt, Outcome::kAnswered,
                      Reason::kNone);
    m_self.Sleep(milliseconds(10));
    return to;
  }
  // Calls by member, after the ingress has heard of all targets' loads.
  std::map<MemberId, int> Spread(std::size_t answer_bytes) {
    for (int i = 0; i < 40; ++i) {
      static_cast<void>(Call(answer_bytes));
    }
    std::map<MemberId, int> calls;
    for (int i = 0; i < 100; ++i) {
      ++calls[Call(answer_bytes)];
    }
    return calls;
  }

  std::map<MemberId, Duration> m_link_waits;

 private:
  RoutedNode m_self{"archive", [](NodeSettings& settings) {
                      settings.m_balancer = SampledWait{};
                    }};
};

}  // namespace

// 100 calls in 1 s; the link of one VM is 400 ms behind, the other is free.
TEST(LinkAdmission, LargeAnswersGoToTheVmWhoseLinkIsFree) {
  LinkedTargets targets;
  targets.m_link_waits[MemberId{50}] = milliseconds(400);
  auto calls = targets.Spread(kLargeBytes);
  CHECK(calls[MemberId{50}] <= 5);
  CHECK(calls[MemberId{51}] >= 95);
}

TEST(LinkAdmission, ShortAnswersGoToAllVmsAlike) {
  LinkedTargets targets;
  targets.m_link_waits[MemberId{50}] = milliseconds(400);
  auto calls = targets.Spread(kShortBytes);
  CHECK(calls[MemberId{50}] >= 30);
  CHECK(calls[MemberId{51}] >= 30);
}

// With a target latency of 500 ms, no answer of the own region is in time.
TEST(LinkAdmission, LargeAnswersGoToTheOtherRegionWhenTheOwnLinksAreFull) {
  LinkedTargets targets;
  targets.m_link_waits[MemberId{50}] = milliseconds(900);
  targets.m_link_waits[MemberId{51}] = milliseconds(900);
  auto calls = targets.Spread(kLargeBytes);
  CHECK(calls[MemberId{52}] + calls[MemberId{53}] >= 90);
  LinkedTargets other;
  other.m_link_waits = targets.m_link_waits;
  auto short_calls = other.Spread(kShortBytes);
  LONGS_EQUAL(100, short_calls[MemberId{50}] + short_calls[MemberId{51}]);
}
