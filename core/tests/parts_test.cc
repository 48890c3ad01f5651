#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "figlug/core/assignment.h"
#include "figlug/core/balancer.h"
#include "figlug/core/concurrency_limit.h"
#include "figlug/core/connection_liveness.h"
#include "figlug/core/control_state.h"
#include "figlug/core/latency_window.h"
#include "figlug/core/ownership.h"
#include "figlug/core/request_id_filter.h"
#include "figlug/core/watcher_choice.h"

namespace figlug::core {
namespace {

constexpr MemberId kA{1};
constexpr MemberId kB{2};
constexpr MemberId kC{3};

Time At(int ms) {
  return Time(std::chrono::milliseconds(ms));
}

std::ptrdiff_t CountOwned(const std::vector<MemberId>& owners, MemberId id) {
  return std::ranges::count(owners, id);
}

LogEntry Entry(Offset offset, Record record) {
  return {offset, AppendId{offset + 1}, std::move(record)};
}

}  // namespace

TEST_GROUP(Parts){};

TEST(Parts, AJoiningMemberIsAssignedOnlyItsShare) {
  std::vector<MemberId> owners(1024, kNoMember);
  owners = AssignSlices(owners, std::vector<Candidate>{{kA, 8}, {kB, 8}});
  LONGS_EQUAL(512, CountOwned(owners, kA));
  const auto next =
      AssignSlices(owners, std::vector<Candidate>{{kA, 8}, {kB, 8}, {kC, 8}});
  std::size_t moved = 0;
  for (std::size_t i = 0; i < owners.size(); ++i) {
    moved += owners[i] != next[i] ? 1 : 0;
  }
  LONGS_EQUAL(341, moved);
  LONGS_EQUAL(341, CountOwned(next, kC));
}

TEST(Parts, ALossMovesOnlyTheSlicesOfTheLostMember) {
  std::vector<MemberId> owners(1024, kNoMember);
  owners =
      AssignSlices(owners, std::vector<Candidate>{{kA, 8}, {kB, 8}, {kC, 8}});
  const auto next =
      AssignSlices(owners, std::vector<Candidate>{{kA, 8}, {kC, 8}});
  for (std::size_t i = 0; i < owners.size(); ++i) {
    CHECK(owners[i] == kB || owners[i] == next[i]);
  }
}

TEST(Parts, AMemberWithALowWeightGetsASmallShare) {
  std::vector<MemberId> owners(1024, kA);
  owners = AssignSlices(owners, std::vector<Candidate>{{kA, 8}, {kB, 1}});
  CHECK(CountOwned(owners, kB) <= 114);
  CHECK(AssignSlices(owners, {})[0] == kNoMember);
}

// A target that becomes cold shows a higher latency.
TEST(Parts, TheLimitGrowsWithSuccessAndFallsWhenLatencyRises) {
  ConcurrencyLimit limit({2, 20});
  for (int i = 0; i < 100; ++i) {
    limit.OnSuccess(At(i), std::chrono::milliseconds(5), limit.value());
  }
  LONGS_EQUAL(20, limit.value());
  for (int i = 0; i < 20; ++i) {
    limit.OnSuccess(At(1000 + i), std::chrono::milliseconds(200), 20);
  }
  LONGS_EQUAL(2, limit.value());
}

TEST(Parts, TheLimitShrinksOnSheds) {
  ConcurrencyLimit limit({1, 100});
  for (int i = 0; i < 200; ++i) {
    limit.OnSuccess(At(i), std::chrono::milliseconds(5), limit.value());
  }
  const auto before = limit.value();
  limit.OnShed(At(1000));
  CHECK(limit.value() < before);
}

TEST(Parts, LatencyWindowDropsOldSamples) {
  LatencyWindow window(std::chrono::seconds(1));
  for (int i = 0; i < 100; ++i) {
    window.Add(At(i), std::chrono::milliseconds(100));
  }
  CHECK(window.Quantile(At(100), 0.5) >= std::chrono::milliseconds(100));
  CHECK(window.Quantile(At(100), 0.5) <= std::chrono::milliseconds(113));
  LONGS_EQUAL(0, window.count(At(5000)));
}

TEST(Parts, EvictedIdsAreRejectedByTime) {
  RequestIdFilter filter(2);
  const auto id = [](int ms) {
    return MakeRequestId(WallTime(std::chrono::milliseconds(ms)), 1, 1);
  };
  CHECK(filter.Insert(3, id(10)));
  CHECK(!filter.Insert(3, id(10)));
  CHECK(filter.Insert(3, id(20)));
  CHECK(filter.Insert(3, id(30)));
  CHECK(!filter.Insert(3, id(10)));
  CHECK(filter.Insert(4, id(10)));
}

TEST(Parts, RequestIdsAreParsedAndFormatted) {
  const char* text = "019384f2-7c00-7abc-8def-0123456789ab";
  const auto id = ParseRequestId(text);
  CHECK(id.has_value());
  STRCMP_EQUAL(text, ToString(*id).c_str());
  LONGS_EQUAL(
      15,
      ParseRequestId("019384f2-7c00-4abc-8def-0123456789ab").error().m_column);
}

TEST(Parts, EveryBalancerPicksAValidIndex) {
  const std::vector<TargetCandidate> choices = {{kA, 5, 100}, {kB, 0, 100}};
  Random random(3);
  for (AnyBalancer balancer :
       {AnyBalancer(TwoChoices{}), AnyBalancer(RandomChoice{}),
        AnyBalancer(RoundRobin{}), AnyBalancer(LeastOutstanding{})}) {
    for (int i = 0; i < 50; ++i) {
      CHECK(Pick(balancer, choices, random) < choices.size());
    }
  }
  LONGS_EQUAL(1, LeastOutstanding{}.Pick(choices, random));
  LONGS_EQUAL(1, TwoChoices{}.Pick(choices, random));
}

TEST(Parts, TheSecondOfTwoConcurrentExclusionsIsRejected) {
  ControlState state;
  CHECK(state
            .Apply(Entry(
                0, ExclusionRecord{ExclusionKind::kDomain, "d1", true, 0}))
            .m_applied);
  const ApplyResult second = state.Apply(
      Entry(1, ExclusionRecord{ExclusionKind::kDomain, "d2", true, 0}));
  CHECK(!second.m_applied);
  CHECK(second.m_reason == RejectReason::kStale);
}

TEST(Parts, TrafficThatIsNotSlicedCannotBecomeSliced) {
  ControlState state;
  Profile profile{.m_name = "menu", .m_keyed = false, .m_repeatable = true};
  CHECK(state.Apply(Entry(0, ProfileRecord{profile, 0})).m_applied);
  profile.m_keyed = true;
  CHECK(!state.Apply(Entry(1, ProfileRecord{profile, 1})).m_applied);
}

TEST(Parts, WatchersAreSpreadOverMembers) {
  ControlState state;
  std::vector<MemberInfo> infos;
  for (std::uint64_t i = 1; i <= 80; ++i) {
    MemberInfo info{.m_id = MemberId(i * 7919), .m_service = "s"};
    info.m_region = i % 4 < 2 ? "r1" : "r2";
    info.m_domain = "d" + std::to_string(i % 4);
    infos.push_back(info);
    state.Apply(Entry(state.next(), JoinRecord{info, {}}));
  }
  std::map<MemberId, std::size_t> duties;
  for (const MemberInfo& info : infos) {
    const auto watchers = ChooseWatchers(info, state, {});
    LONGS_EQUAL(kWatchersPerMember, watchers.size());
    LONGS_EQUAL(4, RateWatchers(info, state, watchers));
    state.Apply(Entry(state.next(), WatchersRecord{info.m_id, 2, watchers}));
    for (MemberId watcher : watchers) {
      ++duties[watcher];
    }
  }
  for (const auto& [id, count] : duties) {
    CHECK(count <= kMaxWatchedMembers);
  }
}

TEST(Parts, ADuplicateAppendIsAppliedOnce) {
  ControlState state;
  LogEntry entry = Entry(0, ProfileRecord{Profile{.m_name = "p"}, 0});
  CHECK(state.Apply(entry).m_applied);
  entry.m_offset = 1;
  CHECK(state.Apply(entry).m_reason == RejectReason::kDuplicate);
  LONGS_EQUAL(1, state.FindProfile("p")->m_version);
}

namespace {

// Reviews a connection every 100 ms until something is due, at most until
// `last_ms`.
LivenessAction ReviewUntil(ConnectionLiveness& liveness, int& ms, int last_ms) {
  LivenessAction action = LivenessAction::kNone;
  while (action == LivenessAction::kNone && ms < last_ms) {
    ms += 100;
    action = liveness.Review(At(ms));
  }
  return action;
}

// A connection that owes an answer until 5 s and was retired at `ms`.
ConnectionLiveness MakeRetired(int& ms) {
  ConnectionLiveness liveness;
  liveness.OnSent(At(0));
  liveness.OnAttemptSent(At(5000));
  CHECK(ReviewUntil(liveness, ms, 300) == LivenessAction::kProbe);
  CHECK(ReviewUntil(liveness, ms, 1000) == LivenessAction::kRetire);
  return liveness;
}

}  // namespace

TEST(Parts, ASilentConnectionIsProbedAndThenRetired) {
  ConnectionLiveness liveness;
  CHECK(liveness.Review(At(0)) == LivenessAction::kNone);
  liveness.OnSent(At(0));
  CHECK(liveness.Review(At(100)) == LivenessAction::kNone);
  CHECK(liveness.Review(At(300)) == LivenessAction::kProbe);
  int ms = 300;
  // Within the second in which service has to resume.
  CHECK(ReviewUntil(liveness, ms, 900) == LivenessAction::kRetire);
}

// Guards against retired connections that stay for good where the peer is gone:
// the last attempt bounds their life.
TEST(Parts, ARetiredConnectionIsClosedAfterItsLastAttempt) {
  int ms = 0;
  ConnectionLiveness liveness = MakeRetired(ms);
  CHECK(ReviewUntil(liveness, ms, 9000) == LivenessAction::kClose);
  CHECK(ms > 5000 && ms <= 5600);
}

// Guards against callers that wait until their deadline for a connection that
// is dead for good.
TEST(Parts, ARetiredConnectionIsClosedWhenItsPeerAnswersElsewhere) {
  int ms = 0;
  ConnectionLiveness liveness = MakeRetired(ms);
  liveness.OnPeerAnsweredElsewhere(At(ms));
  const int answered = ms;
  CHECK(ReviewUntil(liveness, ms, 4000) == LivenessAction::kClose);
  LONGS_EQUAL(answered + 1000, ms);
}

// A peer that stood still answers on all its connections, if not at once.
TEST(Parts, ARetiredConnectionThatReceivesAgainIsKept) {
  int ms = 0;
  ConnectionLiveness liveness = MakeRetired(ms);
  liveness.OnPeerAnsweredElsewhere(At(ms));
  liveness.OnReceived(At(ms + 500), true);
  liveness.OnPeerAnsweredElsewhere(At(ms + 500));
  CHECK(ReviewUntil(liveness, ms, 4000) == LivenessAction::kProbe);
  liveness.OnReceived(At(ms), true);
  CHECK(ReviewUntil(liveness, ms, 4000) == LivenessAction::kProbe);
}

TEST(Parts, AConnectionThatReceivesIsKept) {
  ConnectionLiveness liveness;
  liveness.OnSent(At(0));
  for (int ms = 300; ms < 3000; ms += 600) {
    CHECK(liveness.Review(At(ms)) == LivenessAction::kProbe);
    liveness.OnReceived(At(ms + 100), true);
    CHECK(liveness.Review(At(ms + 200)) == LivenessAction::kNone);
  }
  liveness.OnReceived(At(3000), false);
  CHECK_FALSE(liveness.is_outstanding());
  CHECK(liveness.Review(At(9000)) == LivenessAction::kNone);
}

// What arrived during a pause of this process has not been read yet.
TEST(Parts, APauseOfThisProcessIsNoSilence) {
  ConnectionLiveness liveness;
  liveness.OnSent(At(0));
  CHECK(liveness.Review(At(9000)) == LivenessAction::kProbe);
  CHECK(liveness.Review(At(9100)) == LivenessAction::kNone);
  // Another pause, after the probe.
  CHECK(liveness.Review(At(12000)) == LivenessAction::kNone);
  for (int ms = 12100; ms < 12500; ms += 100) {
    CHECK(liveness.Review(At(ms)) == LivenessAction::kNone);
  }
  CHECK(liveness.Review(At(12600)) == LivenessAction::kRetire);
}

// Guards against a fencing token that goes back between a restore of the log
// and the record that begins the new era.
TEST(Parts, AContinuedSliceKeepsItsFenceAfterARestore) {
  const auto service = [](Position epoch) {
    return Service{"p", {Slice{.m_owner = kA, .m_epoch = epoch}}};
  };
  Ownership ownership(kA);
  ownership.OnRecordApplied(At(0), {}, service(MakePosition(1, 36)), {});
  const Service restored = service(MakePosition(0, 34));
  ownership.OnRestored(At(1), &restored, true);
  CHECK(ownership.StatusOf(At(1), 0) == SliceStatus::kReady);
  UNSIGNED_LONGS_EQUAL(MakePosition(1, 36), ownership.EpochOf(0));
  ownership.OnRestored(At(2), &restored, true);
  UNSIGNED_LONGS_EQUAL(MakePosition(1, 36), ownership.EpochOf(0));
  ownership.OnRecordApplied(At(3), {}, service(MakePosition(3, 35)), {});
  UNSIGNED_LONGS_EQUAL(MakePosition(3, 35), ownership.EpochOf(0));
}

// Records of another writer: each has a value out of range, and none may change
// more than it names.
TEST(Parts, RecordsWithValuesOutOfRangeChangeNothing) {
  constexpr std::uint32_t max = 0xffffffff;
  constexpr Offset max_offset = ~Offset{0};
  ControlState state;
  MemberInfo info{.m_id = kA, .m_service = "orders", .m_slots = 2};
  state.Apply(Entry(0, JoinRecord{info, {kA}}));
  state.Apply(Entry(1, WeightRecord{kA, 8}));
  const auto members = state.members();
  const auto slices = state.services().at("orders").m_slices;
  const std::vector<Record> records = {
      JoinRecord{MemberInfo{.m_service = "orders"}, {}},
      JoinRecord{info, {}},
      WeightRecord{kA, max},
      WeightRecord{kB, 8},
      WatchersRecord{kA, max, {kB}},
      VoteRecord{kB, kA, 1, true},
      VoteRecord{kA, kB, max, false},
      DrainRecord{MemberId{~0ULL}},
      LeaveRecord{kNoMember},
      ReleaseRecord{kA, max_offset, {max, kMaxSlicesPerService}},
      MoveRecord{kA, kA, max_offset, {max}},
      MoveRecord{kA, kB, max_offset, {0}},
      ProfileRecord{{.m_name = "orders", .m_max_attempts = max}, max_offset},
      ExclusionRecord{ExclusionKind::kDomain, "\xff", true, max_offset},
      ForceDownRecord{kB},
      UnreadableRecord{}};
  for (const Record& record : records) {
    state.Apply(Entry(state.next(), record));
  }
  CHECK(state.members() == members);
  CHECK(state.services().at("orders").m_slices == slices);
  info.m_id = kB;
  info.m_service = "wide";
  info.m_slice_count = max;
  state.Apply(Entry(state.next(), JoinRecord{info, {}}));
  LONGS_EQUAL(kMaxSlicesPerService,
              state.services().at("wide").m_slices.size());
}

}  // namespace figlug::core
