#include <memory>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

#include "figlug/core/control_state.h"
#include "figlug/wire/checkpoint_parts.h"
#include "figlug/wire/frame.h"
#include "figlug/wire/log_codec.h"

namespace figlug::wire {
namespace {

constexpr std::uint64_t kSeed = 5;
constexpr int kRounds = 3000;
/// Stated in docs/PROTOCOL.md.
constexpr std::size_t kMaxDatagramBytes = 64;
constexpr core::Era kLargeEra = 1000;
constexpr core::Offset kLargeOffset = 100'000'000;
constexpr std::size_t kManyHolders = 400;

core::ControlState SampleState() {
  core::ControlState state;
  const auto apply = [&](core::Record record) {
    state.Apply(
        {state.next(), core::AppendId{state.next() + 1}, std::move(record)});
  };
  core::Profile profile{.m_name = "orders", .m_home_regions = {"r1", "r2"}};
  apply(core::ProfileRecord{profile, 0});
  for (std::uint64_t id : {3, 5, 9}) {
    core::MemberInfo info{
        core::MemberId(id), "orders",       "orders", "t", "r1", "d1",
        {"10.0.0.1", 1},    {"10.0.0.1", 2}};
    apply(core::JoinRecord{info, {core::MemberId{3}, core::MemberId{5}}});
    apply(core::WeightRecord{core::MemberId(id), 8});
  }
  apply(core::VoteRecord{core::MemberId{3}, core::MemberId{9}, 1, false});
  apply(core::VoteRecord{core::MemberId{5}, core::MemberId{9}, 1, false});
  apply(core::ExclusionRecord{core::ExclusionKind::kTarget, "x", true, 0});
  return state;
}

std::string SampleFrame() {
  AttemptFrame frame;
  frame.m_attempt = core::AttemptId{4};
  frame.m_head = {"orders", 3, {1, 2}, true, std::chrono::seconds(1)};
  frame.m_request = {"POST", "/a?b", {{"X", "y"}}, "body"};
  return EncodeFrameHead(frame).substr(kFramePrefixBytes);
}

/// Overwrites up to 7 random bytes and truncates one in four messages.
std::string Corrupt(std::string bytes, std::mt19937_64& random) {
  for (std::uint64_t i = random() % 8; i > 0 && !bytes.empty(); --i) {
    bytes[random() % bytes.size()] = static_cast<char>(random());
  }
  if (random() % 4 == 0) {
    bytes.resize(random() % (bytes.size() + 1));
  }
  return bytes;
}

}  // namespace

TEST_GROUP(Codec){};

TEST(Codec, CheckpointRoundTrips) {
  const auto state = std::make_shared<const core::ControlState>(SampleState());
  const auto entry = ParseRecord(
      7, EncodeRecord(core::AppendId{8},
                      core::CheckpointRecord{state->next(), state}));
  const auto* record = std::get_if<core::CheckpointRecord>(&entry.m_record);
  CHECK(record != nullptr);
  CHECK(*record->m_state == *state);
  LONGS_EQUAL(state->next(), record->m_next);
}

TEST(Codec, ACheckpointKeepsItsEraAndWhetherItIsSettled) {
  core::ControlState state = SampleState();
  for (core::Record record :
       {core::Record(core::EraRecord{kLargeEra}),
        core::Record(core::EraSettledRecord{kLargeEra})}) {
    state.Apply(
        {state.next(), core::AppendId{state.next() + 1}, std::move(record)});
    const auto shared = std::make_shared<const core::ControlState>(state);
    const auto entry = ParseRecord(
        7, EncodeRecord(core::AppendId{8},
                        core::CheckpointRecord{state.next(), shared}));
    const auto* read = std::get_if<core::CheckpointRecord>(&entry.m_record);
    CHECK(read != nullptr);
    CHECK(*read->m_state == state);
    LONGS_EQUAL(kLargeEra, read->m_state->era());
    CHECK(read->m_state->is_era_settled() == state.is_era_settled());
  }
  CHECK(state.is_era_settled());
}

TEST(Codec, ACheckpointKeepsDepartedTargets) {
  core::ControlState state;
  core::MemberInfo info{.m_id = core::MemberId{8}, .m_target = "t"};
  info.m_target_start_ms = 5;
  state.Apply({0, core::AppendId{1}, core::JoinRecord{info, {}}});
  state.Apply({1, core::AppendId{2}, core::DepartureRecord{info.m_id}});
  const auto shared = std::make_shared<const core::ControlState>(state);
  const auto entry = ParseRecord(
      2, EncodeRecord(core::AppendId{3}, core::CheckpointRecord{2, shared}));
  const auto* read = std::get_if<core::CheckpointRecord>(&entry.m_record);
  CHECK(read != nullptr && *read->m_state == state);
  CHECK(read->m_state->HasDeparted(info));
}

// Guards against tenants that a process which starts from a checkpoint does not
// know: all their requests would be rejected.
TEST(Codec, ACheckpointKeepsPublishedTenants) {
  core::ControlState state;
  core::Tenant tenant{.m_name = "school",
                      .m_credentials = {"k1", "k2"},
                      .m_priority = 3,
                      .m_rate = 2.5,
                      .m_burst = 7,
                      .m_home_regions = {"north"}};
  tenant.m_id = core::TenantIdOf(tenant.m_name);
  const auto publish = ParseRecord(
      0, EncodeRecord(core::AppendId{1}, core::TenantRecord{tenant}));
  CHECK(state.Apply(publish).m_applied);
  const auto shared = std::make_shared<const core::ControlState>(state);
  const auto entry = ParseRecord(
      1, EncodeRecord(core::AppendId{2}, core::CheckpointRecord{1, shared}));
  const auto* read = std::get_if<core::CheckpointRecord>(&entry.m_record);
  CHECK(read != nullptr && *read->m_state == state);
  const core::Tenant* found =
      read->m_state->tenant_table().FindByCredential("k2");
  CHECK(found != nullptr && *found == tenant);
}

TEST(Codec, EveryDatagramStaysWithinItsBoundWithLargeNumbers) {
  const core::MemberId id{0x8877665544332211};
  const core::Position position = core::MakePosition(kLargeEra, kLargeOffset);
  const core::Time sent_at{std::chrono::hours(24 * 365)};
  const core::Heartbeat heartbeat{id,       kLargeEra, kLargeEra + 1, sent_at,
                                  position, position,  kLargeOffset};
  const core::HeartbeatAck ack{id,
                               id,
                               kLargeEra,
                               kLargeEra + 1,
                               sent_at,
                               true,
                               position,
                               position,
                               kLargeOffset,
                               std::chrono::hours(1),
                               std::chrono::seconds(59)};
  const core::ReadReport report{id, position, kLargeOffset};
  const core::TenantId tenant{0x8877665544332211};
  const core::TokenRequest token_request{
      id, tenant, kLargeEra, kLargeEra, sent_at, {"203.113.197.254", 65535}};
  const core::TokenGrant token_grant{tenant, kLargeEra, sent_at,
                                     std::chrono::hours(1), true};
  const core::LedgerQuery query{id, id, kLargeEra, position};
  const core::LedgerRelease release{id, kLargeEra, position};
  const core::LivenessProbe probe{id, id};
  const core::LivenessReply reply{id};
  for (const core::Datagram& datagram :
       {core::Datagram(heartbeat), core::Datagram(ack), core::Datagram(report),
        core::Datagram(token_request), core::Datagram(token_grant),
        core::Datagram(query), core::Datagram(release), core::Datagram(probe),
        core::Datagram(reply)}) {
    const std::string bytes = EncodeDatagram(datagram);
    CHECK(bytes.size() <= kMaxDatagramBytes);
    const auto read = ParseDatagram(bytes);
    CHECK(read.has_value());
    LONGS_EQUAL(datagram.index(), read->index());
  }
}

// An age that seems lower than it is would let a member rely on the log for too
// long.
TEST(Codec, TheAgeOfALogIsRoundedUp) {
  const auto read_back = [](core::Duration age) {
    core::HeartbeatAck ack;
    ack.m_log_age = age;
    const auto read = ParseDatagram(EncodeDatagram(ack));
    return std::get<core::HeartbeatAck>(*read).m_log_age;
  };
  CHECK(read_back(core::Duration(-1)) < core::Duration::zero());
  CHECK(read_back(std::chrono::hours(24 * 365)) < core::Duration::zero());
  CHECK(read_back(std::chrono::milliseconds(7)) ==
        std::chrono::milliseconds(7));
  CHECK(read_back(core::Duration(0)) >= core::Duration(0));
  const core::Duration age = std::chrono::microseconds(1'234'567);
  CHECK(read_back(age) >= age);
  CHECK(read_back(age) <= age + std::chrono::milliseconds(1));
}

// Guards against a suspected member that a process which starts from a
// checkpoint takes for one that has answered.
TEST(Codec, ACheckpointKeepsSuspicionsAndLogLeases) {
  core::ControlState state;
  const core::MemberInfo info{.m_id = core::MemberId{8},
                              .m_target = "t",
                              .m_log_lease = std::chrono::seconds(12)};
  const auto apply = [&](core::Record record) {
    const auto entry = ParseRecord(
        state.next(),
        EncodeRecord(core::AppendId{state.next() + 1}, std::move(record)));
    return state.Apply(entry).m_applied;
  };
  CHECK(apply(core::JoinRecord{info, {}}));
  CHECK(apply(core::SuspicionRecord{info.m_id}));
  const auto shared = std::make_shared<const core::ControlState>(state);
  const auto entry = ParseRecord(
      2, EncodeRecord(core::AppendId{3}, core::CheckpointRecord{2, shared}));
  const auto* read = std::get_if<core::CheckpointRecord>(&entry.m_record);
  CHECK(read != nullptr && *read->m_state == state);
  const core::Position at =
      read->m_state->FindMember(info.m_id)->m_suspected_at;
  CHECK(at == state.FindMember(info.m_id)->m_suspected_at && at != 0);
  CHECK(apply(core::RefutationRecord{info.m_id, at}));
  CHECK_FALSE(apply(core::RemovalRecord{info.m_id, at}));
  CHECK(state.FindMember(info.m_id) != nullptr);
}

// Guards against an answer with a status such as 000 that another process
// passes on.
TEST(Codec, AReplyWithAStatusOutOfRangeIsNoAnswer) {
  for (const std::uint16_t status : {0, 99, 199, 600, 999}) {
    ReplyFrame reply{.m_outcome = core::Outcome::kAnswered};
    reply.m_response.m_status = status;
    const auto read =
        ParseFrame(EncodeFrameHead(Frame(reply)).substr(kFramePrefixBytes), "");
    CHECK(read.has_value());
    const auto& frame = std::get<ReplyFrame>(*read);
    CHECK(frame.m_outcome == core::Outcome::kUnknown);
    CHECK(frame.m_reason == core::Reason::kTargetFailed);
  }
}

TEST(Codec, AReplyKeepsTheLoadOfItsGate) {
  ReplyFrame reply{.m_outcome = core::Outcome::kAnswered};
  reply.m_response.m_status = 200;
  reply.m_load = {.m_running = 3,
                  .m_queued = 4,
                  .m_slots = 6,
                  .m_service_time = std::chrono::milliseconds(20),
                  .m_own_service_time = std::chrono::milliseconds(30),
                  .m_link_wait = std::chrono::milliseconds(400)};
  const auto read =
      ParseFrame(EncodeFrameHead(Frame(reply)).substr(kFramePrefixBytes), "");
  CHECK(read.has_value());
  const core::GateLoad& load = std::get<ReplyFrame>(*read).m_load;
  LONGS_EQUAL(3, load.m_running);
  LONGS_EQUAL(4, load.m_queued);
  LONGS_EQUAL(6, load.m_slots);
  CHECK(load.m_service_time == reply.m_load.m_service_time);
  CHECK(load.m_own_service_time == reply.m_load.m_own_service_time);
  CHECK(load.m_link_wait == reply.m_load.m_link_wait);
}

TEST(Codec, AttemptRoundTrips) {
  const auto frame = ParseFrame(SampleFrame(), "body");
  CHECK(frame.has_value());
  const auto& attempt = std::get<AttemptFrame>(*frame);
  LONGS_EQUAL(3, attempt.m_head.m_slice);
  CHECK(attempt.m_head.m_has_caller_id);
  STRCMP_EQUAL("/a?b", attempt.m_request.m_path.c_str());
  STRCMP_EQUAL("body", attempt.m_request.m_body.c_str());
}

// Guards against handover tokens that end at their first zero byte when they
// are sent or recorded.
TEST(Codec, TextsKeepZeroBytes) {
  using namespace std::string_literals;
  const std::string text = "\0a\0b"s;
  const core::Release release{core::MemberId{3}, 9, {{1, 8, {}, text, true}}};
  const auto frame = ParseFrame(
      EncodeFrameHead(core::PeerMessage(release)).substr(kFramePrefixBytes),
      "");
  CHECK(frame.has_value());
  const auto& read =
      std::get<core::Release>(std::get<core::PeerMessage>(*frame));
  CHECK(read.m_slices.front().m_handover == text);
  const auto entry = ParseRecord(
      1,
      EncodeRecord(core::AppendId{1}, core::ExclusionRecord{.m_name = text}));
  CHECK(std::get<core::ExclusionRecord>(entry.m_record).m_name == text);
}

TEST(Codec, ReleaseKeepsItsRequestIds) {
  core::Release release{core::MemberId{3}, 44, {}};
  release.m_slices.push_back(
      {9, 2, {core::WallTime(std::chrono::milliseconds(5)), {{1, 2}, {3, 4}}}});
  const auto head = EncodeFrameHead(core::PeerMessage(release));
  const auto frame = ParseFrame(head.substr(kFramePrefixBytes), "");
  CHECK(frame.has_value());
  const auto& decoded =
      std::get<core::Release>(std::get<core::PeerMessage>(*frame));
  LONGS_EQUAL(44, decoded.m_folded);
  CHECK(decoded.m_slices[0].m_ids == release.m_slices[0].m_ids);
}

TEST(Codec, UnreadableRecordKeepsItsOffset) {
  const auto entry = ParseRecord(12, "no record");
  LONGS_EQUAL(12, entry.m_offset);
  CHECK(std::holds_alternative<core::UnreadableRecord>(entry.m_record));
}

// Guards against a record of a few KiB that takes all memory: it repeats one
// slice, which has many previous holders, thousands of times.
TEST(Codec, ACheckpointWithTooManySlicesIsUnreadable) {
  core::Slice slice;
  slice.m_previous_holders.resize(kManyHolders, {core::MemberId{1}, 1});
  core::ControlState::Snapshot snapshot;
  snapshot.m_services["orders"].m_slices.resize(core::kMaxSlicesPerService,
                                                slice);
  const std::string record = EncodeRecord(
      core::AppendId{8},
      core::CheckpointRecord{
          9, std::make_shared<const core::ControlState>(
                 core::ControlState::FromSnapshot(std::move(snapshot)))});
  CHECK(record.size() < 32 * kManyHolders);
  CHECK(std::holds_alternative<core::UnreadableRecord>(
      ParseRecord(0, record).m_record));
}

// Guards against a page of 56 bytes that takes 160 MB: its list claims four
// million entries of no bytes each.
TEST(Codec, AListIsNotLongerThanItsMessage) {
  constexpr std::uint64_t words[] = {0x6'0000'0000, 0x1'0003'0000'0000, 0, 0, 0,
                                     0x7'0000'0001, 0x100'0000};
  const auto page =
      ParseLogPage({reinterpret_cast<const char*>(words), sizeof(words)});
  CHECK_FALSE(page.has_value());
}

// Guards against sums of a time from a message and the present time that exceed
// the range of the clock.
TEST(Codec, TimesOutOfRangeAreBounded) {
  for (const core::Duration span :
       {core::Duration::max(), core::Duration::min()}) {
    AttemptFrame frame;
    frame.m_head.m_time_left = span;
    frame.m_head.m_max_queue_wait = span;
    frame.m_head.m_target_latency = span;
    frame.m_head.m_target_latency_left = span;
    const auto parsed =
        ParseFrame(EncodeFrameHead(frame).substr(kFramePrefixBytes), "");
    CHECK(parsed.has_value());
    const core::AttemptHead& head = std::get<AttemptFrame>(*parsed).m_head;
    for (const core::Duration read :
         {head.m_time_left, head.m_max_queue_wait, head.m_target_latency,
          head.m_target_latency_left}) {
      CHECK(read <= std::chrono::hours(24));
      CHECK(read >= -std::chrono::hours(24));
    }
  }
}

TEST(Codec, RejectsFrameLengthsOutOfRange) {
  CHECK(!ParseFramePrefix(std::string(8, '\xff')));
  CHECK(!ParseFramePrefix(std::string(8, '\0')));
}

TEST(Codec, DecodersSurviveCorruptedBytes) {
  std::mt19937_64 random(kSeed);
  const auto state = std::make_shared<const core::ControlState>(SampleState());
  const std::string checkpoint = EncodeRecord(
      core::AppendId{8}, core::CheckpointRecord{state->next(), state});
  const std::string frame = SampleFrame();
  const std::string datagram = EncodeDatagram(core::Heartbeat{});
  const std::string page = EncodeLogPage({1, 9, {{1, "x"}, {2, "y"}}});
  int rejected = 0;
  for (int i = 0; i < kRounds; ++i) {
    rejected += ParseFrame(Corrupt(frame, random), "b") ? 0 : 1;
    rejected += ParseDatagram(Corrupt(datagram, random)) ? 0 : 1;
    rejected += ParseLogPage(Corrupt(page, random)) ? 0 : 1;
    core::ControlState state_after;
    state_after.Apply(ParseRecord(0, Corrupt(checkpoint, random)));
    state_after.Apply(ParseRecord(1, Corrupt(frame, random)));
  }
  CHECK(rejected > 0);
}

TEST(Codec, ACheckpointInPartsIsCompleteOrAbsent) {
  constexpr std::size_t part_bytes = kPartHeaderBytes + 10;
  const std::string bytes(25, 'b');
  const auto parts = SplitCheckpoint(core::AppendId{7}, bytes, part_bytes);
  LONGS_EQUAL(3, parts.size());
  std::vector<std::string_view> views(parts.begin(), parts.end());
  CHECK(JoinCheckpoint(views) == bytes);
  const auto longer =
      SplitCheckpoint(core::AppendId{6}, std::string(35, 'a'), part_bytes);
  views.push_back(longer[3]);
  CHECK(JoinCheckpoint(views) == bytes);
  views[1] = longer[1];
  CHECK_FALSE(JoinCheckpoint(views).has_value());
  views.resize(1);
  CHECK_FALSE(JoinCheckpoint(views).has_value());
  CHECK_FALSE(JoinCheckpoint({}).has_value());
  const std::vector<std::string_view> odd = {"FGC1", "x"};
  CHECK_FALSE(JoinCheckpoint(odd).has_value());
  CHECK(SplitCheckpoint(core::AppendId{1}, std::string(5000, 'c'),
                        kPartHeaderBytes + 1)
            .empty());
}

}  // namespace figlug::wire
