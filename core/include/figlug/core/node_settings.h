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
  /// Whether the log service drops checkpoints with its oldest records.
  bool m_checkpoint_expires = true;
  /// Longest graceful stop.
  Duration m_stop_limit = std::chrono::seconds(20);
  /// Shortest graceful stop: callers need time to go elsewhere.
  Duration m_min_stop_time{};
  /// Time for which a stopping process still takes new calls, so that all can
  /// be answered before its end.
  Duration m_stop_admission_time = Duration::max() / 2;
  /// Whether operators configure routes; otherwise callers name services.
  bool m_is_routed = false;
  /// Silence after which a target that reports counts as gone; zero where
  /// targets do not report.
  Duration m_target_report_timeout{};
  /// Longest hold that a target accepts.
  Duration m_max_hold = std::chrono::seconds(10);
  /// Slices of a service whose targets hold keys by grants, at most
  /// kMaxSlicesPerService.
  SliceIndex m_granted_slices = 256;
  /// Time that a draining target may still be given work for keys it holds.
  Duration m_drain_time_limit = std::chrono::seconds(2);
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_NODE_SETTINGS_H_
