// Measures how the checkpoint size of the control state and the time to update
// it grow with the number of members. docs/CAPACITY.md uses the results.

#include <chrono>
#include <cstdio>
#include <random>
#include <string>

#include "figlug/core/control_state.h"
#include "figlug/core/watcher_choice.h"
#include "figlug/wire/frame.h"
#include "figlug/wire/log_codec.h"

namespace {

using namespace figlug;

constexpr std::size_t kServiceCount = 6;

core::MemberInfo MakeInfo(std::size_t i, std::uint64_t id) {
  return {core::MemberId(id),
          "service" + std::to_string(i % kServiceCount),
          "profile",
          "target" + std::to_string(i),
          i % 4 < 2 ? "r1" : "r2",
          "d" + std::to_string(i % 4),
          {"10.0.0.1", 7200},
          {"10.0.0.1", 7100}};
}

double MicrosSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - start)
      .count();
}

/// Returns a control state in which every member owns its share of the slices.
core::ControlState MakeState(std::size_t members, std::mt19937_64& random) {
  core::ControlState state;
  const auto apply = [&](core::Record record) {
    state.Apply({state.next(), core::AppendId(random()), std::move(record)});
  };
  for (std::size_t i = 0; i < members; ++i) {
    const core::MemberInfo info = MakeInfo(i, random() | 1);
    apply(core::JoinRecord{info, core::ChooseWatchers(info, state, {})});
    apply(core::WeightRecord{info.m_id, core::kMaxWeight});
  }
  const auto joined_members = state.members();
  for (const auto& [id, member] : joined_members) {
    std::vector<core::SliceIndex> slices(core::kDefaultSlicesPerService);
    for (core::SliceIndex i = 0; i < slices.size(); ++i) {
      slices[i] = i;
    }
    apply(core::ReleaseRecord{id, state.next(), slices});
  }
  return state;
}

/// Prints one CSV row: the size of the checkpoint, the time to copy the state,
/// to apply a join and to apply a loss (mean of all losses), and the slices
/// that changed owner over the slices that each lost member owned when it was
/// lost. A slice that moved twice counts once above and twice below, so that
/// the ratio can be less than 1.
void MeasureState(std::size_t members) {
  std::mt19937_64 random(7);
  const core::ControlState state = MakeState(members, random);
  const std::string checkpoint = wire::EncodeRecord(
      core::AppendId{1},
      core::CheckpointRecord{
          state.next(), std::make_shared<const core::ControlState>(state)});

  core::ControlState state_after_losses = state;
  const auto loss_start = std::chrono::steady_clock::now();
  const std::size_t loss_count = std::min<std::size_t>(members / 8, 56);
  std::size_t lost_slices = 0;
  for (std::size_t i = 0; i < loss_count; ++i) {
    const core::MemberId id = state_after_losses.members().begin()->first;
    const core::ControlState& view = state_after_losses;
    for (const auto& [name, service] : view.services()) {
      for (const core::Slice& slice : service.m_slices) {
        lost_slices += slice.m_owner == id ? 1 : 0;
      }
    }
    state_after_losses.Apply({state_after_losses.next(),
                              core::AppendId(random()),
                              core::ForceDownRecord{id}});
  }
  const double loss_us = MicrosSince(loss_start);

  std::size_t reassigned_slices = 0;
  for (const auto& [name, service] : state.services()) {
    const core::Service* after = state_after_losses.FindService(name);
    for (std::size_t i = 0; i < service.m_slices.size(); ++i) {
      reassigned_slices +=
          service.m_slices[i].m_owner != after->m_slices[i].m_owner;
    }
  }

  const auto copy_start = std::chrono::steady_clock::now();
  core::ControlState state_after_join = state;
  const double copy_us = MicrosSince(copy_start);
  const core::MemberInfo info = MakeInfo(0, random() | 1);
  const auto join_start = std::chrono::steady_clock::now();
  state_after_join.Apply({state_after_join.next(), core::AppendId(random()),
                          core::JoinRecord{info, {}}});
  state_after_join.Apply({state_after_join.next(), core::AppendId(random()),
                          core::WeightRecord{info.m_id, core::kMaxWeight}});
  const double join_us = MicrosSince(join_start);

  std::printf("%zu,%zu,%.1f,%.1f,%.1f,%.3f\n", members, checkpoint.size(),
              copy_us, join_us,
              loss_count == 0 ? 0 : loss_us / static_cast<double>(loss_count),
              lost_slices == 0 ? 0
                               : static_cast<double>(reassigned_slices) /
                                     static_cast<double>(lost_slices));
}

}  // namespace

int main() {
  const std::size_t heartbeat =
      wire::EncodeDatagram(core::Heartbeat{core::MemberId(1), 1, 0, {}, 1})
          .size();
  const std::size_t ack =
      wire::EncodeDatagram(
          core::HeartbeatAck{
              core::MemberId(1), core::MemberId(2), 1, 0, {}, true, 1})
          .size();
  std::printf("heartbeat bytes %zu, acknowledgement bytes %zu\n", heartbeat,
              ack);
  std::printf(
      "members,checkpoint_bytes,copy_us,join_us,loss_us,churn_over_minimum\n");
  for (std::size_t members : {25, 50, 100, 200, 450, 900}) {
    MeasureState(members);
  }
  return 0;
}
