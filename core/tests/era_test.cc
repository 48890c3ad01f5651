#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "figlug/core/checkpoint_choice.h"
#include "figlug/core/control_state.h"
#include "figlug/core/lease_watcher.h"
#include "figlug/core/ownership.h"
#include "routed_node.h"

namespace figlug::core {
namespace {

constexpr MemberId kA{1};
constexpr MemberId kB{2};
constexpr std::string_view kService = "orders";
constexpr Era kEra = 2;

Time At(int ms) {
  return Time(std::chrono::milliseconds(ms));
}

ApplyResult Apply(ControlState& state, Record record) {
  return state.Apply(
      {state.next(), AppendId{state.next() + 1}, std::move(record)});
}

MemberInfo Info(MemberId id) {
  MemberInfo info{.m_id = id, .m_service = std::string(kService)};
  info.m_region = "r1";
  info.m_domain = "d" + std::to_string(static_cast<std::uint64_t>(id));
  return info;
}

// Both own slices, some of which B has taken from A.
ControlState StateOfTwo() {
  ControlState state;
  Apply(state, JoinRecord{Info(kA), {kB}});
  Apply(state, WeightRecord{kA, 8});
  Apply(state, JoinRecord{Info(kB), {kA}});
  Apply(state, WeightRecord{kB, 8});
  return state;
}

Service ServiceOf(std::vector<Slice> slices) {
  Service service;
  service.m_slices = std::move(slices);
  return service;
}

Slice OwnedBy(MemberId owner, Position epoch) {
  Slice slice;
  slice.m_owner = owner;
  slice.m_epoch = epoch;
  return slice;
}

auto SinkOf(RoutedNode& node) {
  return [&node](Action&& action) { node.AddAction(std::move(action)); };
}

void StartAndJoin(RoutedNode& node) {
  node.Start();
  std::ignore = node.Report();
  node.Settle();
  node.Record(JoinRecord{RoutedNode::OtherMember(5, "catalogue"), {}});
  node.ClearActions();
}

}  // namespace

TEST_GROUP(EraRecords){};

TEST(EraRecords, AnEraRaisesEveryFenceAndAwaitsEveryReleaseAnew) {
  ControlState state = StateOfTwo();
  const Position position = MakePosition(kEra, state.next());
  CHECK(Apply(state, EraRecord{kEra}).m_applied);
  std::size_t previous_holders = 0;
  for (const Slice& slice : state.FindService(kService)->m_slices) {
    CHECK(slice.m_epoch == position);
    CHECK(slice.m_lost_at == position);
    for (const PreviousHolder& previous : slice.m_previous_holders) {
      CHECK(previous.m_taken_at == position);
      ++previous_holders;
    }
  }
  CHECK(previous_holders > 0);
  LONGS_EQUAL(kEra, state.era());
  CHECK_FALSE(state.is_era_settled());
}

TEST(EraRecords, ARepeatedOrStaleEraChangesNothing) {
  ControlState state = StateOfTwo();
  CHECK(Apply(state, EraRecord{kEra}).m_applied);
  CHECK(Apply(state, EraSettledRecord{kEra}).m_applied);
  const auto slices = state.FindService(kService)->m_slices;
  CHECK(Apply(state, EraRecord{kEra}).m_reason == RejectReason::kStale);
  CHECK(Apply(state, EraRecord{1}).m_reason == RejectReason::kStale);
  CHECK(slices == state.FindService(kService)->m_slices);
  CHECK(state.is_era_settled());
}

// Guards against two owners after a restore from a copy of before the first
// assignment: the state that is left names no holder.
TEST(EraRecords, AnEraIsNotSettledWithoutHoldersEither) {
  ControlState restored;
  Apply(restored, EraRecord{kEra});
  CHECK_FALSE(restored.is_era_settled());
}

TEST(EraRecords, OnlyTheCurrentEraIsSettledAndOnce) {
  ControlState state = StateOfTwo();
  Apply(state, EraRecord{kEra});
  CHECK_FALSE(Apply(state, EraSettledRecord{1}).m_applied);
  CHECK(Apply(state, EraSettledRecord{kEra}).m_applied);
  CHECK_FALSE(Apply(state, EraSettledRecord{kEra}).m_applied);
}

// Guards against a state of lost records: a checkpoint that was appended before
// the log was restored arrived after, and processes started from it.
TEST(EraRecords, ACheckpointOfLostRecordsIsNotOneOfTheLog) {
  ControlState copy = StateOfTwo();
  std::vector<LogEntry> log;
  for (Offset i = 0; i < copy.next(); ++i) {
    log.push_back({i, AppendId{i + 1}, UnreadableRecord{}});
  }
  CHECK(IsStateOfLog(copy, log));
  ControlState lost = copy;
  lost.Apply({lost.next(), AppendId{900}, DrainRecord{kA}});
  log.push_back({copy.next(), AppendId{901}, UnreadableRecord{}});
  log.push_back({copy.next() + 1, AppendId{902}, UnreadableRecord{}});
  CHECK(IsStateOfLog(copy, log));
  CHECK_FALSE(IsStateOfLog(lost, log));
}

TEST_GROUP(EraOwnership){};

TEST(EraOwnership, OnlySlicesThatWereReadyStayReadyUntilTheEraIsSettled) {
  Ownership ownership(kA);
  ownership.OnRecordApplied(
      At(0), {}, ServiceOf({OwnedBy(kA, 5), OwnedBy(kB, 5)}), Duration::zero());
  const Service restored = ServiceOf({OwnedBy(kA, 5), OwnedBy(kA, 4)});
  ownership.OnRestored(At(1), &restored, true);
  ownership.set_may_have_unknown_holders(true);
  CHECK(ownership.StatusOf(At(1), 0) == SliceStatus::kReady);
  CHECK(ownership.StatusOf(At(1), 1) == SliceStatus::kWaiting);
  ownership.set_may_have_unknown_holders(false);
  CHECK(ownership.StatusOf(At(2), 1) == SliceStatus::kReady);
}

TEST(EraOwnership, WithoutALeaseNoSliceStaysReady) {
  Ownership ownership(kA);
  const Service service = ServiceOf({OwnedBy(kA, 5)});
  ownership.OnRecordApplied(At(0), {}, service, Duration::zero());
  ownership.OnRestored(At(1), &service, false);
  ownership.set_may_have_unknown_holders(true);
  CHECK(ownership.StatusOf(At(1), 0) == SliceStatus::kWaiting);
}

// Guards against a fence below another member's: A had a slice at 5, then
// another member at 30, then A again at 60, and the copy knows only the first.
TEST(EraOwnership, TheFenceOfASliceThatStaysReadyNeverGoesBack) {
  Ownership ownership(kA);
  ownership.OnRecordApplied(At(0), {}, ServiceOf({OwnedBy(kA, 60)}),
                            Duration::zero());
  Service restored = ServiceOf({OwnedBy(kA, 5)});
  ownership.OnRestored(At(1), &restored, true);
  CHECK(ownership.EpochOf(0) == 60);
  ownership.OnRecordApplied(At(2), {}, restored, Duration::zero());
  CHECK(ownership.EpochOf(0) == 60);
  restored.m_slices[0].m_epoch = MakePosition(kEra, 6);
  ownership.OnRecordApplied(At(3), {}, restored, Duration::zero());
  CHECK(ownership.EpochOf(0) == MakePosition(kEra, 6));
}

TEST(EraOwnership, AReleaseOfAnEarlierEraDoesNotCount) {
  Ownership ownership(kA);
  Slice slice = OwnedBy(kA, MakePosition(kEra, 5));
  slice.m_previous_holders.push_back({kB, MakePosition(kEra, 5)});
  ownership.OnRecordApplied(At(0), {}, ServiceOf({slice}), Duration::zero());
  Release release{kB, MakePosition(kEra - 1, 900), {{}}};
  ownership.OnRelease(release);
  CHECK(ownership.StatusOf(At(0), 0) == SliceStatus::kWaiting);
  release.m_folded = MakePosition(kEra, 5);
  ownership.OnRelease(release);
  CHECK(ownership.StatusOf(At(0), 0) == SliceStatus::kReady);
}

TEST(EraOwnership, AVoteThatTheLogHasLostIsCastAgainAndNoPledgeFollows) {
  const ControlState state = StateOfTwo();
  LeaseWatcher watcher{LeaseTiming()};
  CHECK(watcher.DueVotes(At(0), kB, state).empty());
  LONGS_EQUAL(1, watcher.DueVotes(At(3001), kB, state).size());
  CHECK(watcher.DueVotes(At(3100), kB, state).empty());
  watcher.RepeatVotes();
  LONGS_EQUAL(1, watcher.DueVotes(At(3200), kB, state).size());
  CHECK(watcher.DueVotes(At(3300), kB, state).empty());
  CHECK_FALSE(watcher.OnHeartbeat(At(3300), kA, 1));
}

TEST_GROUP(EraNode){};

TEST(EraNode, AMemberThatTheLogStillKnowsKeepsItsIdAndLease) {
  RoutedNode node("catalogue");
  StartAndJoin(node);
  CHECK(node.node().HasLease(node.At().m_time));
  node.node().OnRestored(node.At(), kEra, node.node().state(), SinkOf(node));
  CHECK(node.ActionsOf<IdentityLost>().empty());
  CHECK(node.node().self().m_id == MemberId{77});
  CHECK(node.node().HasLease(node.At().m_time));
}

TEST(EraNode, AMemberThatTheLogDoesNotKnowRejoinsUnderANewId) {
  RoutedNode node("catalogue");
  StartAndJoin(node);
  node.node().OnRestored(node.At(), kEra, ControlState(), SinkOf(node));
  LONGS_EQUAL(1, node.ActionsOf<IdentityLost>().size());
  node.node().OnNewIdentity(node.At(), MemberId{78}, SinkOf(node));
  const auto appends = node.ActionsOf<AppendRecord>();
  LONGS_EQUAL(1, appends.size());
  const auto* join = std::get_if<JoinRecord>(&appends[0].m_record);
  CHECK(join != nullptr);
  CHECK(join->m_info.m_id == MemberId{78});
  LONGS_EQUAL(kEra, appends[0].m_era);
}

TEST(EraNode, AMemberOfAnOlderEraIsToldButNotAcknowledged) {
  RoutedNode node("catalogue");
  StartAndJoin(node);
  node.node().OnRestored(node.At(), kEra, node.node().state(), SinkOf(node));
  node.ClearActions();
  node.Deliver(Heartbeat{.m_member = MemberId{5},
                         .m_generation = 1,
                         .m_next = MakePosition(kEra - 1, 900)});
  const auto sent = node.ActionsOf<SendDatagram>();
  LONGS_EQUAL(1, sent.size());
  const auto& ack = std::get<HeartbeatAck>(sent[0].m_datagram);
  LONGS_EQUAL(0, ack.m_generation);
  LONGS_EQUAL(0, ack.m_proposed);
  LONGS_EQUAL(kEra, EraOf(ack.m_next));
}

TEST(EraNode, AMemberThatHearsOfALaterEraAsksToReload) {
  RoutedNode node("catalogue");
  StartAndJoin(node);
  node.Deliver(HeartbeatAck{.m_watcher = MemberId{5},
                            .m_member = MemberId{77},
                            .m_next = MakePosition(kEra, 0)});
  LONGS_EQUAL(1, node.ActionsOf<ReloadLog>().size());
}

// Guards against two owners: a member that hears of a later era but cannot read
// the log would give pledges by lost records. And against a member that never
// gives them again, because a peer named an era that the log does not have.
TEST(EraNode, AMemberThatCannotReadALaterErasLogGivesNoPledges) {
  RoutedNode node("catalogue");
  StartAndJoin(node);
  const auto acknowledges = [&] {
    node.ClearActions();
    node.Deliver(Heartbeat{.m_member = MemberId{5},
                           .m_generation = 1,
                           .m_next = MakePosition(kEra, 0)});
    return !node.ActionsOf<SendDatagram>().empty();
  };
  CHECK(acknowledges());
  node.Sleep(std::chrono::seconds(2));
  CHECK_FALSE(acknowledges());
  node.node().OnRestored(node.At(), node.node().log_era(), node.node().state(),
                         SinkOf(node));
  CHECK(acknowledges());
}

// Guards against two owners: a process that had started after the restore began
// the era as one without earlier holders, which was settled at once.
TEST(EraNode, AProcessThatStartsInALaterEraBeginsItAsOneAfterARestore) {
  RoutedNode node("catalogue");
  node.node().OnStart(node.At(), kEra, ControlState(), SinkOf(node));
  node.node().OnLogHealth(node.At(), true);
  node.node().OnCaughtUp(node.At(), SinkOf(node));
  node.node().OnRouting(node.At(), RoutedNode::Table(1), SinkOf(node));
  std::ignore = node.Report();
  node.Settle();
  const ControlState& state = node.node().state();
  LONGS_EQUAL(kEra, state.era());
  CHECK_FALSE(state.is_era_settled());
}

TEST(EraNode, RecordsOfAnotherEraAreNotApplied) {
  RoutedNode node("catalogue");
  StartAndJoin(node);
  node.node().OnRestored(node.At(), kEra, node.node().state(), SinkOf(node));
  node.ClearActions();
  const Offset next = node.node().state().next();
  const std::vector<LogEntry> entries{
      {next, AppendId{9'000'000}, DrainRecord{MemberId{5}}}};
  node.node().OnPeerMessage(node.At(), Records{kEra - 1, entries},
                            SinkOf(node));
  CHECK(node.node().state().next() == next);
  CHECK(node.ActionsOf<ReloadLog>().empty());
  node.node().OnPeerMessage(node.At(), Records{kEra + 1, entries},
                            SinkOf(node));
  CHECK(node.node().state().next() == next);
  LONGS_EQUAL(1, node.ActionsOf<ReloadLog>().size());
  node.node().OnPeerMessage(node.At(), Records{kEra, entries}, SinkOf(node));
  CHECK(node.node().state().next() == next + 1);
}

}  // namespace figlug::core
