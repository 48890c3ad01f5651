// Slopes of the control state: bytes and time by members, for docs/CAPACITY.md.

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

constexpr std::size_t kServices = 6;

core::MemberInfo MakeInfo(std::size_t i, std::uint64_t id) {
  return {core::MemberId(id),
          "service" + std::to_string(i % kServices),
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

/// State with members that all hold their share.
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
  const auto joined = state.members();
  for (const auto& [id, member] : joined) {
    std::vector<core::SliceIndex> all(core::kDefaultSlicesPerService);
    for (core::SliceIndex i = 0; i < all.size(); ++i) {
      all[i] = i;
    }
    apply(core::ReleaseRecord{id, state.next(), all});
  }
  return state;
}

void Measure(std::size_t members) {
  std::mt19937_64 random(7);
  const core::ControlState state = MakeState(members, random);
  const std::string checkpoint = wire::EncodeRecord(
      core::AppendId{1},
      core::CheckpointRecord{
          state.next(), std::make_shared<const core::ControlState>(state)});

  core::ControlState losing = state;
  const auto start_loss = std::chrono::steady_clock::now();
  const std::size_t losses = std::min<std::size_t>(members / 8, 56);
  std::size_t moved = 0;
  for (std::size_t i = 0; i < losses; ++i) {
    const core::MemberId id = losing.members().begin()->first;
    const core::ControlState& view = losing;
    for (const auto& [name, service] : view.services()) {
      for (const core::Slice& slice : service.m_slices) {
        moved += slice.m_owner == id ? 1 : 0;
      }
    }
    losing.Apply(
        {losing.next(), core::AppendId(random()), core::ForceDownRecord{id}});
  }
  const double loss_us = MicrosSince(start_loss);

  std::size_t changed = 0;
  for (const auto& [name, service] : state.services()) {
    const core::Service* after = losing.FindService(name);
    for (std::size_t i = 0; i < service.m_slices.size(); ++i) {
      changed += service.m_slices[i].m_owner != after->m_slices[i].m_owner;
    }
  }

  const auto start_join = std::chrono::steady_clock::now();
  core::ControlState joining = state;
  const double copy_us = MicrosSince(start_join);
  const core::MemberInfo info = MakeInfo(0, random() | 1);
  const auto start_fold = std::chrono::steady_clock::now();
  joining.Apply(
      {joining.next(), core::AppendId(random()), core::JoinRecord{info, {}}});
  joining.Apply({joining.next(), core::AppendId(random()),
                 core::WeightRecord{info.m_id, core::kMaxWeight}});
  const double join_us = MicrosSince(start_fold);

  std::printf(
      "%zu,%zu,%.1f,%.1f,%.1f,%.3f\n", members, checkpoint.size(), copy_us,
      join_us, losses == 0 ? 0 : loss_us / static_cast<double>(losses),
      moved == 0 ? 0
                 : static_cast<double>(changed) / static_cast<double>(moved));
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
    Measure(members);
  }
  return 0;
}
