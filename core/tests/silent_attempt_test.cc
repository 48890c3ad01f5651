#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "routed_node.h"

#include <CppUTest/TestHarness.h>

namespace figlug::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A process without a target, with members that serve the route `/long/`, whose
// requests may be repeated and arrive at most twice.
class SilentGates : public RoutedNode {
 public:
  explicit SilentGates(std::size_t members) : RoutedNode("catalogue") {
    Start();
    for (std::uint64_t id = 6; id < 6 + members; ++id) {
      Record(JoinRecord{OtherMember(id, "orders"), {}});
      Record(WeightRecord{MemberId{id}, kMaxWeight});
    }
    ClearActions();
  }

  // Calls and returns the only attempt.
  SendAttempt CallOnce() {
    const std::size_t before = Sent().size();
    Call("/long/1");
    CHECK(Sent().size() == before + 1);
    return Sent().back();
  }
  [[nodiscard]] std::vector<SendAttempt> Sent() const {
    return ActionsOf<SendAttempt>();
  }
  [[nodiscard]] std::vector<FinishCall> Ends() const {
    return ActionsOf<FinishCall>();
  }
  [[nodiscard]] std::vector<CancelAttempt> Cancelled() const {
    return ActionsOf<CancelAttempt>();
  }
};

}  // namespace

TEST_GROUP(SilentAttempt){};

// Guards against a caller that gets 502 while its target is at work: the silent
// attempt was cancelled for another one, which its gate rejected.
TEST(SilentAttempt, AnAttemptBesideItThatIsRejectedEndsNothing) {
  SilentGates self(2);
  const SendAttempt first = self.CallOnce();
  self.Sleep(milliseconds(750));
  self.Silence(first.m_attempt);
  CHECK(self.Sent().size() == 2);
  CHECK(self.Sent()[1].m_member != first.m_member);
  self.EndAttempt(self.Sent()[1].m_attempt, Outcome::kNotRun,
                  Reason::kOverloaded);
  CHECK(self.Ends().empty());
  CHECK(self.Cancelled().empty());
  self.EndAttempt(first.m_attempt, Outcome::kAnswered, Reason::kNone);
  CHECK(self.Ends().size() == 1);
  CHECK(self.Ends()[0].m_outcome == Outcome::kAnswered);
  CHECK(self.Ends()[0].m_attempt == first.m_attempt);
}

// Guards against the same in a process that begins to stop between the two
// attempts, and has no time for a third.
TEST(SilentAttempt, AStopWhileASecondAttemptIsOpenEndsNothing) {
  SilentGates self(4);
  const SendAttempt first = self.CallOnce();
  self.Silence(first.m_attempt);
  CHECK(self.Sent().size() == 2);
  self.node().OnStop(self.At(), [](Action&&) {});
  self.Sleep(seconds(5));
  self.EndAttempt(self.Sent()[1].m_attempt, Outcome::kNotRun,
                  Reason::kStopping);
  CHECK(self.Sent().size() == 2);
  CHECK(self.Ends().empty());
  self.EndAttempt(first.m_attempt, Outcome::kAnswered, Reason::kNone);
  CHECK(self.Ends().size() == 1 &&
        self.Ends()[0].m_outcome == Outcome::kAnswered);
}

// Guards against targets that go on with work whose caller has its answer.
TEST(SilentAttempt, TheFirstAnswerWinsAndCancelsTheOther) {
  for (const std::size_t winner : {0, 1}) {
    SilentGates self(2);
    self.Silence(self.CallOnce().m_attempt);
    const auto sent = self.Sent();
    CHECK(sent.size() == 2);
    self.EndAttempt(sent[winner].m_attempt, Outcome::kAnswered, Reason::kNone);
    CHECK(self.Ends().size() == 1);
    CHECK(self.Ends()[0].m_attempt == sent[winner].m_attempt);
    CHECK(self.Cancelled().size() == 1);
    CHECK(self.Cancelled()[0].m_attempt == sent[1 - winner].m_attempt);
    CHECK(self.Cancelled()[0].m_to == sent[1 - winner].m_to);
  }
}

// Guards against calls that end before their deadline because one of two
// connections was lost, and against ones that never end.
TEST(SilentAttempt, ACallEndsWithTheLastOfItsAttempts) {
  SilentGates self(2);
  self.Silence(self.CallOnce().m_attempt);
  const auto sent = self.Sent();
  CHECK(sent.size() == 2);
  self.EndAttempt(sent[0].m_attempt, Outcome::kUnknown, Reason::kPeerLost);
  CHECK(self.Ends().empty());
  self.EndAttempt(sent[1].m_attempt, Outcome::kUnknown, Reason::kPeerLost);
  CHECK(self.Sent().size() == 2);
  CHECK(self.Ends().size() == 1 &&
        self.Ends()[0].m_outcome == Outcome::kUnknown);
}

TEST(SilentAttempt, ItsDeadlineEndsACallWithBothAttempts) {
  SilentGates self(2);
  self.Silence(self.CallOnce().m_attempt);
  CHECK(self.Sent().size() == 2);
  self.Advance(seconds(20));
  CHECK(self.Ends().size() == 1);
  CHECK(self.Ends()[0].m_outcome == Outcome::kUnknown);
  CHECK(self.Ends()[0].m_reason == Reason::kDeadline);
  CHECK(self.Cancelled().size() == 2);
}

// Guards against a call that waits for a gate that stands still although other
// targets have room: the gate that it tried beside was full.
TEST(SilentAttempt, AFullGateIsReplacedByAnother) {
  SilentGates self(3);
  self.Silence(self.CallOnce().m_attempt);
  CHECK(self.Sent().size() == 2);
  self.EndAttempt(self.Sent()[1].m_attempt, Outcome::kNotRun,
                  Reason::kOverloaded);
  CHECK(self.Sent().size() == 3);
  std::set<MemberId> members;
  for (const SendAttempt& sent : self.Sent()) {
    members.insert(sent.m_member);
  }
  CHECK(members.size() == 3);
  CHECK(self.Ends().empty());
}

// Guards against attempts beyond the retry budget, which has one token at the
// start and gets a tenth from each call.
TEST(SilentAttempt, WithoutATokenACallWaits) {
  SilentGates self(4);
  self.Silence(self.CallOnce().m_attempt);
  CHECK(self.Sent().size() == 2);
  const SendAttempt second_call = self.CallOnce();
  self.Silence(second_call.m_attempt);
  CHECK(self.Sent().size() == 3);
  CHECK(self.Ends().empty());
  CHECK(self.Cancelled().empty());
}

// Guards against arrivals beyond max_attempts, which is 2: attempts that ended
// before the silence of another, or beside it, were not counted.
TEST(SilentAttempt, AttemptsThatHaveEndedCount) {
  for (const bool is_lost_first : {true, false}) {
    SilentGates self(5);
    for (int i = 0; i < 40; ++i) {
      self.EndAttempt(self.CallOnce().m_attempt, Outcome::kAnswered,
                      Reason::kNone);
    }
    self.ClearActions();
    const SendAttempt first = self.CallOnce();
    if (!is_lost_first) {
      self.Silence(first.m_attempt);
    }
    self.EndAttempt(first.m_attempt, Outcome::kUnknown, Reason::kPeerLost);
    CHECK(self.Sent().size() == 2);
    CHECK(self.Ends().empty());
    self.Silence(self.Sent()[1].m_attempt);
    CHECK(self.Sent().size() == 2);
    CHECK(self.Ends().empty());
  }
}

// Guards against a target's error response that reaches the caller although
// another target may still answer.
TEST(SilentAttempt, AnErrorResponseWaitsForTheOtherAttempt) {
  for (const bool is_answered : {true, false}) {
    SilentGates self(2);
    self.Silence(self.CallOnce().m_attempt);
    const auto sent = self.Sent();
    CHECK(sent.size() == 2);
    self.EndAttempt(sent[1].m_attempt, Outcome::kAnswered,
                    Reason::kTargetError);
    CHECK(self.Ends().empty());
    self.EndAttempt(sent[0].m_attempt,
                    is_answered ? Outcome::kAnswered : Outcome::kUnknown,
                    is_answered ? Reason::kNone : Reason::kPeerLost);
    CHECK(self.Ends().size() == 1);
    CHECK(self.Ends()[0].m_outcome == Outcome::kAnswered);
    CHECK(self.Ends()[0].m_attempt == sent[is_answered ? 0 : 1].m_attempt);
  }
}

// Guards against calls that end while an attempt is open, that arrive at more
// targets than max_attempts, or that get another response than the last one:
// gates fall silent and attempts end in any order.
TEST(SilentAttempt, NoOrderOfEventsEndsACallEarly) {
  constexpr std::uint32_t max_attempts = 2;
  constexpr int calls = 2000;
  std::mt19937_64 random(48);
  std::uint64_t answered_late = 0;
  std::uint64_t besides = 0;
  SilentGates self(5);
  for (int i = 0; i < calls; ++i) {
    self.ClearActions();
    const Time begun = self.now();
    self.Call("/long/1");
    std::set<AttemptId> open;
    std::set<AttemptId> silent;
    std::size_t seen = 0;
    std::uint32_t arrived = 0;
    std::optional<AttemptId> last_answered;
    while (self.Ends().empty()) {
      const auto sent = self.Sent();
      for (; seen < sent.size(); ++seen) {
        besides += open.empty() ? 0 : 1;
        open.insert(sent[seen].m_attempt);
      }
      CHECK(arrived + open.size() <= max_attempts);
      if (open.empty() || random() % 8 == 0) {
        self.Advance(milliseconds(random() % 4000));
        continue;
      }
      const AttemptId attempt =
          *std::next(open.begin(), static_cast<int>(random() % open.size()));
      if (random() % 2 == 0 && silent.insert(attempt).second) {
        self.Silence(attempt);
        CHECK(self.Cancelled().empty());
        CHECK(self.Ends().empty());
        continue;
      }
      const std::pair<Outcome, Reason> ends[] = {
          {Outcome::kAnswered, Reason::kNone},
          {Outcome::kAnswered, Reason::kTargetError},
          {Outcome::kNotRun, Reason::kOverloaded},
          {Outcome::kNotRun, Reason::kTargetShed},
          {Outcome::kUnknown, Reason::kPeerLost}};
      const auto [outcome, reason] = ends[random() % std::size(ends)];
      open.erase(attempt);
      arrived += outcome != Outcome::kNotRun || reason == Reason::kTargetShed;
      if (outcome == Outcome::kAnswered) {
        last_answered = attempt;
      }
      self.EndAttempt(attempt, outcome, reason);
      if (reason == Reason::kNone) {
        answered_late += silent.contains(attempt) ? 1 : 0;
        CHECK(self.Ends().size() == 1);
      } else if (!open.empty()) {
        CHECK(self.Ends().empty());
      }
    }
    const FinishCall end = self.Ends().front();
    CHECK((end.m_outcome == Outcome::kAnswered) == last_answered.has_value());
    if (last_answered) {
      CHECK(end.m_attempt == *last_answered);
    }
    CHECK(self.Cancelled().size() == open.size());
    CHECK(end.m_reason != Reason::kDeadline ||
          self.now() >= begun + seconds(20));
  }
  CHECK(besides > 20);
  CHECK(answered_late > 20);
}

}  // namespace figlug::core
