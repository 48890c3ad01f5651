#ifndef FIGLUG_CORE_NODE_SETTINGS_H_
#define FIGLUG_CORE_NODE_SETTINGS_H_

#include <cstdint>

#include "figlug/core/balancer.h"
#include "figlug/core/hold_call.h"
#include "figlug/core/lease_timing.h"
#include "figlug/core/member_info.h"
#include "figlug/core/tenants/quota_plan.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Settings of a node, fixed at its start.
struct NodeSettings {
  /// Announced to the other members; includes this member's id.
  MemberInfo m_self;
  LeaseTiming m_timing;
  AnyBalancer m_balancer = TwoChoices{};
  /// Seed of every random choice of this node.
  std::uint64_t m_seed = 1;
  /// Longest time between two checkpoints.
  Duration m_checkpoint_period = std::chrono::minutes(10);
  /// Number of records after which a checkpoint is due, at least 1.
  std::uint32_t m_checkpoint_records = 512;
  /// Max duration of a graceful stop.
  Duration m_stop_limit = std::chrono::seconds(20);
  /// Min duration of a graceful stop: callers need time to switch to other
  /// processes.
  Duration m_min_stop_time{};
  /// Time for which a stopping process still accepts new calls. It is bounded
  /// so that all calls can be answered before the process exits.
  Duration m_stop_admission_time = Duration::max() / 2;
  /// Whether operators configure routes; otherwise callers name services.
  bool m_is_routed = false;
  /// Time without a report after which a target counts as down; zero where
  /// targets do not report.
  Duration m_target_report_timeout{};
  /// How targets learn which keys they hold, unless the operators' settings of
  /// the service say.
  HoldDelivery m_hold_delivery = HoldDelivery::kPulled;
  /// Max hold that a target accepts.
  Duration m_max_hold = std::chrono::seconds(10);
  /// Number of slices of a service whose targets hold keys by grants, at most
  /// kMaxSlicesPerService.
  SliceIndex m_granted_slices = 256;
  /// Time limit within which a draining target still gets work for keys that it
  /// holds.
  Duration m_drain_time_limit = std::chrono::seconds(2);
  /// Age at which the configuration is too old to accept credentials by; zero
  /// for no limit.
  Duration m_max_credential_age{};
  QuotaTerms m_quota_terms;
  /// Whether gates and ingresses find out how much work each target takes well,
  /// instead of going by the slots that it names.
  bool m_learns_capacity = false;
};

/// Part of a time limit after which no more work is dispatched, so that the
/// last request arrives within the limit.
inline constexpr double kWorkTimeRatio = 0.6;

/// \brief Part of a time limit within which work may still be dispatched.
[[nodiscard]] inline Duration WorkTimeWithin(Duration bound) {
  return std::chrono::duration_cast<Duration>(kWorkTimeRatio * bound);
}

}  // namespace figlug::core

#endif  // FIGLUG_CORE_NODE_SETTINGS_H_
