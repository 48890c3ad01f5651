#ifndef FIGLUG_CORE_NODE_SETTINGS_H_
#define FIGLUG_CORE_NODE_SETTINGS_H_

#include <cstdint>

#include "figlug/core/balancer.h"
#include "figlug/core/lease_timing.h"
#include "figlug/core/member_info.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief What a node is told at its start.
struct NodeSettings {
  /// Announced values; the id is taken from here too.
  MemberInfo m_self;
  LeaseTiming m_timing;
  AnyBalancer m_balancer = TwoChoices{};
  /// Seed of every random choice of this node.
  std::uint64_t m_seed = 1;
  /// Longest time between two checkpoints.
  Duration m_checkpoint_period = std::chrono::minutes(10);
  /// Records after which a checkpoint is due, at least 1.
  std::uint32_t m_checkpoint_records = 512;
  /// Longest graceful stop.
  Duration m_stop_limit = std::chrono::seconds(20);
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_NODE_SETTINGS_H_
