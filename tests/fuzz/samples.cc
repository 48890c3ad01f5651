#include "samples.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <memory>
#include <utility>
#include <variant>

#include "figlug/core/control_state.h"

namespace figlug::testing {
namespace {

using core::MemberId;

/// One empty value of each alternative of a variant.
template <class... Types>
std::vector<std::variant<Types...>> AllOf(const std::variant<Types...>&) {
  return {std::variant<Types...>(Types{})...};
}

}  // namespace

std::vector<core::Record> SampleRecords() {
  std::vector<core::Record> records = AllOf(core::Record());
  const core::MemberInfo info{
      MemberId{3}, "orders", "orders",        "t",
      "r1",        "d1",     {"10.0.0.1", 1}, {"10.0.0.1", 2}};
  std::ranges::move(
      std::vector<core::Record>{
          core::ProfileRecord{{.m_name = "orders", .m_home_regions = {"r1"}}},
          core::JoinRecord{info, {MemberId{3}, MemberId{5}}},
          core::WeightRecord{MemberId{3}, 8},
          core::VoteRecord{MemberId{3}, MemberId{3}, 1, true},
          core::MoveRecord{MemberId{3}, MemberId{5}, 9, {1, 2, 3}},
          core::ExclusionRecord{core::ExclusionKind::kTarget, "x", true}},
      std::back_inserter(records));
  core::ControlState state;
  for (const core::Record& record : records) {
    state.Apply({state.next(), core::AppendId{state.next() + 1}, record});
  }
  records.emplace_back(core::CheckpointRecord{
      state.next(), std::make_shared<const core::ControlState>(state)});
  return records;
}

std::vector<core::Datagram> SampleDatagrams() {
  std::vector<core::Datagram> datagrams = AllOf(core::Datagram());
  datagrams.emplace_back(
      core::Heartbeat{MemberId{3}, 4, 5, core::Time(core::Duration(6)), 7});
  return datagrams;
}

std::vector<wire::Frame> SampleFrames() {
  std::vector<wire::Frame> frames = AllOf(wire::Frame());
  std::ranges::copy(AllOf(core::PeerMessage()), std::back_inserter(frames));
  wire::AttemptFrame attempt{.m_attempt = core::AttemptId{4}};
  attempt.m_head = {"orders", 3, {1, 2}, true, std::chrono::seconds(1)};
  attempt.m_request = {"POST", "/a?b", {{"X", "y"}}, "body"};
  wire::ReplyFrame reply{.m_attempt = core::AttemptId{4}};
  reply.m_response = {503, {{"X", "y"}, {"Z", ""}}, "body"};
  const core::SliceRequestIds ids{core::WallTime{}, {{1, 2}, {3, 4}}};
  core::Records records{.m_era = 2, .m_entries = {}};
  for (core::Record& record : SampleRecords()) {
    records.m_entries.push_back({4, core::AppendId{5}, std::move(record)});
  }
  std::ranges::move(
      std::vector<wire::Frame>{
          attempt, reply,
          core::PeerMessage(core::ReleaseQuery{MemberId{3}, {1, 2, 900}}),
          core::PeerMessage(
              core::Release{MemberId{3}, 9, {{1, 8, ids, "5c0e", true}}}),
          core::PeerMessage(core::OperatorUpdate{5, 7, "{}", {"d1", "d2"}}),
          core::PeerMessage(std::move(records))},
      std::back_inserter(frames));
  return frames;
}

}  // namespace figlug::testing
