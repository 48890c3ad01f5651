#ifndef FIGLUG_CORE_NODE_H_
#define FIGLUG_CORE_NODE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "figlug/core/action.h"
#include "figlug/core/control_state.h"
#include "figlug/core/freshness.h"
#include "figlug/core/gate.h"
#include "figlug/core/holds.h"
#include "figlug/core/ingress.h"
#include "figlug/core/lease_holder.h"
#include "figlug/core/lease_watcher.h"
#include "figlug/core/membership/peer_prober.h"
#include "figlug/core/membership/suspicions.h"
#include "figlug/core/messages.h"
#include "figlug/core/node_settings.h"
#include "figlug/core/ownership.h"
#include "figlug/core/reader_choice.h"
#include "figlug/core/routing.h"
#include "figlug/core/target_report.h"
#include "figlug/core/tenants/tenant_quotas.h"

namespace figlug::core {

/// \brief Both clocks of a process at one moment.
struct Now {
  Time m_time{};
  WallTime m_wall{};
};

/// \brief The decision logic of one process: takes typed events and emits typed
/// actions.
///
/// Deterministic: the same settings, events and times give the same actions.
///
/// \code
/// node.OnCall(now, call, head, [&](Action&& action) { Perform(action); });
/// \endcode
class Node {
 public:
  Node(NodeSettings settings, Now now);

  /// \brief Starts from a checkpoint, or from the empty state of a new log.
  /// \param era Era of the log that the state was read in.
  template <ActionSink Sink>
  void OnStart(Now now, Era era, ControlState state, Sink&& sink) {
    HandleStart(now, era, std::move(state));
    Deliver(sink);
  }
  /// \brief The log has been restored from an older copy: continues from the
  /// state that the log has now.
  /// \param era Era of the log that the state was read in; the state is ignored
  /// unless it is later than the one known.
  template <ActionSink Sink>
  void OnRestored(Now now, Era era, ControlState state, Sink&& sink) {
    HandleRestored(now, era, std::move(state));
    Deliver(sink);
  }
  /// \brief The state has caught up with the log, so this member may join.
  template <ActionSink Sink>
  void OnCaughtUp(Now now, Sink&& sink) {
    HandleCaughtUp(now);
    Deliver(sink);
  }
  /// \brief Reports whether the target accepts connections.
  template <ActionSink Sink>
  void OnTargetHealth(Now now, bool is_up, Sink&& sink) {
    HandleTargetHealth(now, is_up);
    Deliver(sink);
  }
  /// \brief Handles a target's heartbeat and returns the key ranges it may
  /// hold.
  template <ActionSink Sink>
  [[nodiscard]] HoldGrant OnTargetReport(Now now,
                                         const TargetReport& report,
                                         Sink&& sink) {
    HoldGrant grant = HandleTargetReport(now, report);
    Deliver(sink);
    return grant;
  }
  /// \brief No connection for GrantKeys is left.
  void OnTargetDisconnected() {
    m_holds.Visit([](auto& holds) { holds.OnDisconnected(); });
  }
  /// \brief A GrantKeys or ReleaseKeys has ended.
  template <ActionSink Sink>
  void OnHoldResult(Now now,
                    HoldCallId call,
                    const HoldAnswer& answer,
                    Sink&& sink) {
    HandleHoldResult(now, call, answer);
    Deliver(sink);
  }
  /// \brief The target has announced that it is shutting down.
  template <ActionSink Sink>
  void OnTargetLeave(Now now, const TargetLeave& leave, Sink&& sink) {
    HandleTargetLeave(now, leave);
    Deliver(sink);
  }
  /// \brief Applies the operators' routes; an older version has no effect.
  /// \returns Whether the routes are now in force.
  template <ActionSink Sink>
  bool OnRouting(Now now,
                 std::shared_ptr<const RoutingTable> routing,
                 Sink&& sink) {
    const bool is_new = HandleRouting(now, std::move(routing));
    Deliver(sink);
    return is_new;
  }
  /// \brief Sets the failure domains that operators have excluded.
  template <ActionSink Sink>
  void OnExcludedDomains(Now now,
                         std::set<std::string, std::less<>> domains,
                         Sink&& sink) {
    HandleExcludedDomains(now, std::move(domains));
    Deliver(sink);
  }
  /// \brief The configuration in force was the newest when a read was sent that
  /// has returned all records.
  void OnConfigurationConfirmed(Time read_sent_at) noexcept {
    m_freshness.Confirm(read_sent_at);
  }
  /// \brief Stores the operators' latest update, for peers that do not read the
  /// operators' topic themselves.
  template <ActionSink Sink>
  void OnOperatorUpdate(Now now, OperatorUpdate update, Sink&& sink) {
    m_operator_update = std::move(update);
    ForwardToDomain(now, m_operator_update);
    Deliver(sink);
  }
  /// \brief A read of the operators' topic has completed; called before its
  /// records are applied.
  template <ActionSink Sink>
  void OnOperatorsRead(Now now, Sink&& sink) {
    ReportRead(now);
    Deliver(sink);
  }
  /// \brief A gate has reported its load with the reply to an attempt.
  /// \param answer_bytes Size of the body of a target's answer; unset for any
  /// other reply.
  void OnGateLoad(Now now,
                  AttemptId attempt,
                  const GateLoad& load,
                  std::optional<std::size_t> answer_bytes = std::nullopt) {
    m_ingress.OnGateLoad(now.m_time, attempt, load, answer_bytes);
  }
  /// \brief Applies records from the log. Records that are already applied, or
  /// that follow a gap, are skipped.
  template <ActionSink Sink>
  void OnRecords(Now now, std::span<const LogEntry> entries, Sink&& sink) {
    HandleRecords(now, entries);
    ForwardRecords(now, entries);
    Deliver(sink);
  }
  /// \brief A read of the log has returned all records; called after they are
  /// applied.
  /// \param read_sent_at When the read was sent, by this process's clock.
  void OnLogConfirmed(Time read_sent_at);
  /// \brief Reports whether the log service answers.
  void OnLogHealth(Now now, bool is_healthy);
  /// \brief Reports the oldest record that the log still keeps. A new process
  /// needs a checkpoint whose base is not older than that record.
  void OnLogBounds(Now now, Offset first);
  /// \brief The log no longer has the next record: discards all state.
  template <ActionSink Sink>
  void OnLogGap(Now now, Sink&& sink) {
    HandleLogGap(now);
    Deliver(sink);
  }
  /// \brief Continues under a new id after IdentityLost.
  template <ActionSink Sink>
  void OnNewIdentity(Now now, MemberId id, Sink&& sink) {
    HandleNewIdentity(now, id);
    Deliver(sink);
  }
  template <ActionSink Sink>
  void OnDatagram(Now now, const Datagram& datagram, Sink&& sink) {
    HandleDatagram(now, datagram);
    Deliver(sink);
  }
  template <ActionSink Sink>
  void OnPeerMessage(Now now, const PeerMessage& message, Sink&& sink) {
    HandlePeerMessage(now, message);
    Deliver(sink);
  }
  /// \brief What waits for the link of this process's VM, which counts from
  /// the next event on.
  void OnLinkLoad(const LinkLoad& load) noexcept { m_link_load = load; }
  /// \brief An attempt from an ingress, which may be this process.
  template <ActionSink Sink>
  void OnAttempt(Now now,
                 WorkId work,
                 const AttemptHead& head,
                 AttemptOrigin from,
                 Sink&& sink) {
    m_gate.Admit(now.m_time, work, head, from, ViewForGate(now), m_actions);
    Deliver(sink);
  }
  template <ActionSink Sink>
  void OnWorkCancelled(Now now, WorkId work, Sink&& sink) {
    m_gate.Cancel(now.m_time, work, ViewForGate(now), m_actions);
    Deliver(sink);
  }
  template <ActionSink Sink>
  void OnTargetResult(Now now,
                      WorkId work,
                      const TargetResult& result,
                      Sink&& sink) {
    if (result.m_notice) {
      HandleTargetNotice(now, *result.m_notice);
    }
    m_gate.OnTargetResult(now.m_time, work, result, ViewForGate(now),
                          m_actions);
    Deliver(sink);
  }
  template <ActionSink Sink>
  void OnCall(Now now, CallId call, const CallHead& head, Sink&& sink) {
    HandleCall(now, call, head);
    Deliver(sink);
  }
  template <ActionSink Sink>
  void OnCallerDisconnected(Now, CallId call, Sink&& sink) {
    HandleCallerDisconnected(call);
    Deliver(sink);
  }
  /// \brief An attempt ended: its gate reported it, or its connection was lost.
  template <ActionSink Sink>
  void OnAttemptEnd(Now now,
                    AttemptId attempt,
                    Outcome outcome,
                    Reason reason,
                    Sink&& sink) {
    m_ingress.OnAttemptEnd(now.m_time, attempt, outcome, reason,
                           ViewForIngress(), m_actions);
    Deliver(sink);
  }
  /// \brief The connection of an open attempt has been silent.
  template <ActionSink Sink>
  void OnAttemptSilent(Now now, AttemptId attempt, Sink&& sink) {
    m_ingress.OnAttemptSilent(now.m_time, attempt, ViewForIngress(), m_actions);
    Deliver(sink);
  }
  /// \brief Why a report cannot be of the target beside this process; empty if
  /// it can. Such a report has no effect.
  [[nodiscard]] std::string_view ForeignReportReason(
      Now now,
      const TargetReport& report) const;
  /// \brief Begins a graceful stop; ReadyToStop ends it.
  template <ActionSink Sink>
  void OnStop(Now now, Sink&& sink) {
    HandleStop(now);
    Deliver(sink);
  }
  template <ActionSink Sink>
  void OnTimer(Now now, Sink&& sink) {
    HandleTimer(now);
    Deliver(sink);
  }
  /// \brief Earliest time at which OnTimer has work to do.
  [[nodiscard]] Time NextDeadline() const noexcept;

  /// \brief Reason to refuse a call on its head alone, or kNone.
  /// \brief The tenant that a call's credential belongs to.
  [[nodiscard]] Tenancy TenancyOf(const CallHead& head) const;
  /// \brief Slots that the target names; 0 while it names none.
  [[nodiscard]] std::uint32_t target_slots() const noexcept {
    return m_target.m_capacity.m_slots;
  }
  [[nodiscard]] const TenantQuotas& quotas() const noexcept { return m_quotas; }
  /// \brief Time since the configuration was known to be the newest.
  [[nodiscard]] std::optional<Duration> ConfigurationAge(Time now) const {
    return m_freshness.Age(now);
  }
  [[nodiscard]] Reason Screen(Time now, const CallHead& head) const {
    return Ingress::Screen(now, head, ViewForIngress());
  }
  [[nodiscard]] RouteExplanation Explain(Time now, const CallHead& head) const {
    return Ingress::Explain(now, head, ViewForIngress());
  }
  [[nodiscard]] const ControlState& state() const noexcept { return m_state; }
  /// \brief Era of the log that the state was read in.
  [[nodiscard]] Era log_era() const noexcept { return m_log_era; }
  [[nodiscard]] const MemberInfo& self() const noexcept {
    return m_settings.m_self;
  }
  [[nodiscard]] const Gate& gate() const noexcept { return m_gate; }
  [[nodiscard]] const Ingress& ingress() const noexcept { return m_ingress; }
  [[nodiscard]] const Ownership& ownership() const noexcept {
    return m_ownership;
  }
  [[nodiscard]] bool HasLease(Time now) const noexcept {
    return m_lease.IsValid(now) && HasLogLease(now);
  }
  /// \brief Time since this member was known to have read all of the log; unset
  /// before the first time.
  [[nodiscard]] std::optional<Duration> LogAge(Time now) const {
    return m_log_freshness.Age(now);
  }
  /// \brief Time to wait before the store is read again. One member of each
  /// failure domain reads continuously and forwards to the others.
  [[nodiscard]] Duration ReadDelay(Time now) const;
  /// \brief The same for the log of records, where this member also waits to
  /// read back its own appends.
  [[nodiscard]] Duration LogReadDelay(Time now) const;
  /// \brief Whether this process may be sent callers' requests.
  [[nodiscard]] bool IsReady() const noexcept {
    return m_caught_up && !m_stopping_since &&
           (!m_settings.m_is_routed || m_routing != nullptr);
  }
  [[nodiscard]] const RoutingTable* routing() const noexcept {
    return m_routing.get();
  }
  /// \brief Whether this member is in the control state and may take work.
  [[nodiscard]] bool IsServing(Time now) const;
  /// \brief Whether this process admits work for a slice at `now`.
  [[nodiscard]] bool Admits(Time now, SliceIndex slice) const;
  [[nodiscard]] std::size_t pending_appends() const noexcept {
    return m_appends.size();
  }

 private:
  struct PendingAppend {
    Record m_record;
    Time m_next_try{};
    Duration m_backoff{};
  };
  struct ProgressMark {
    Time m_time{};
    Position m_next = 0;
  };

  template <class Sink>
  void Deliver(Sink& sink) {
    Actions batch;
    batch.swap(m_actions);
    for (Action& action : batch) {
      sink(std::move(action));
    }
  }

  void HandleStart(Now now, Era era, ControlState state);
  void HandleRestored(Now now, Era era, ControlState state);
  void HandleCaughtUp(Now now);
  void HandleTargetHealth(Now now, bool is_up);
  [[nodiscard]] HoldGrant HandleTargetReport(Now now,
                                             const TargetReport& report);
  void HandleTargetLeave(Now now, const TargetLeave& leave);
  void HandleTargetNotice(Now now, const TargetNotice& notice);
  [[nodiscard]] bool HandleRouting(Now now,
                                   std::shared_ptr<const RoutingTable> routing);
  void HandleExcludedDomains(Now now,
                             std::set<std::string, std::less<>> domains);
  [[nodiscard]] bool IsStale(const TargetReport& report) const;
  void StartIncarnation(Now now, const TargetReport& report);
  void StartDrain(Now now);
  [[nodiscard]] HoldGrant GrantHolds(Now now);
  [[nodiscard]] HoldContext ContextForHolds(Now now) const;
  [[nodiscard]] bool MayChangeHolds() const;
  void ChooseHoldDelivery(Now now, HoldDelivery delivery);
  void ReviewHolds(Now now);
  void HandleHoldResult(Now now, HoldCallId call, const HoldAnswer& answer);
  void RaiseFence(Now now, const HoldEvent& refused);
  void ReviewTarget(Now now);
  void ReviewExclusions(Now now);
  void ReviewBalance(Now now);
  [[nodiscard]] std::vector<MemberUtilization> SampleOthers(Now now);
  [[nodiscard]] bool IsKeyed() const;
  [[nodiscard]] bool MayBeInUse(Now now, SliceIndex slice) const;
  [[nodiscard]] Reason RoutedClosedReason(Time now) const;
  [[nodiscard]] std::size_t RankOfSelf() const;
  void JoinIfReady(Now now);
  void HandleRecords(Now now, std::span<const LogEntry> entries);
  void HandleLogGap(Now now);
  void HandleNewIdentity(Now now, MemberId id);
  void HandleDatagram(Now now, const Datagram& datagram);
  void HandlePeerMessage(Now now, const PeerMessage& message);
  void HandleStop(Now now);
  void HandleTimer(Now now);
  void Review(Now now);

  void On(Now now, const Heartbeat& heartbeat);
  void On(Now now, const HeartbeatAck& ack);
  void On(Now now, const ReleaseQuery& query);
  void On(Now now, const Release& release);
  void On(Now now, const RecordsQuery& query);
  void On(Now now, const Records& records);
  void On(Now now, const OperatorUpdateQuery& query);
  void On(Now now, const OperatorUpdate& update);
  void On(Now now, const ReadReport& report);
  void On(Now now, const TokenRequest& ask);
  void On(Now now, const TokenGrant& grant);
  void On(Now now, const LedgerQuery& query);
  void On(Now now, const LedgerRelease& release);
  void On(Now now, const LivenessProbe& probe);
  void On(Now now, const LivenessReply& reply);
  void HandleCall(Now now, CallId call, const CallHead& head);
  void HandleCallerDisconnected(CallId call);
  /// \brief Tenants that callers are identified by; nullptr for none.
  [[nodiscard]] const TenantTable* Tenants() const noexcept;
  /// \brief Time from which on a revoked credential might not be known as such.
  [[nodiscard]] Time CredentialsValidUntil() const noexcept;
  /// \brief The tenant whose quota a call uses; nullptr for none.
  [[nodiscard]] const Tenant* QuotaTenantOf(Now now,
                                            const CallHead& head) const;
  [[nodiscard]] QuotaView ViewForQuotas(Now now) const;
  /// \brief The control state or the tenants may have changed.
  void RefreshTenants(Now now);
  void ReviewTenants(Now now);
  void CarryOut(Now now, std::span<const QuotaDecision> decisions);
  /// \brief Whether the log has been known recently enough to rely on it.
  [[nodiscard]] bool HasLogLease(Time now) const noexcept;
  /// \brief Time for which no other member can take over what this one holds.
  [[nodiscard]] Duration HoldableTime(Time now) const;
  /// \brief A watcher has told how recently it read the log.
  void ConfirmLogByPeer(const HeartbeatAck& ack);
  /// \brief Records have been applied that a watcher may have known before.
  void ConfirmPendingLog();
  [[nodiscard]] bool IsSuspected() const noexcept;
  void ReviewSuspicions(Now now);
  [[nodiscard]] bool IsReader(Time now) const;
  void ReviewReader(Now now);
  void ReportRead(Now now);
  void ForwardRecords(Now now, std::span<const LogEntry> entries);
  void ForwardToDomain(Now now, const PeerMessage& message);
  template <class Function>
  void ForEachDomainPeer(Function&& function) const;
  /// \param peer_next Position up to which the peer knows the operators' topic.
  /// \param peer_configuration Version of the configuration in force there.
  void RequestOperatorUpdate(Now now,
                             MemberId peer,
                             Position peer_next,
                             std::uint64_t peer_configuration);
  [[nodiscard]] bool IsNewer(Position next, std::uint64_t configuration) const;
  [[nodiscard]] std::uint64_t ConfigurationVersion() const;
  /// \brief Position of the next record to be read.
  [[nodiscard]] Position ReadPosition() const;
  void RequestReload(Now now, Position peer_next);
  [[nodiscard]] bool IsOutdated(Now now) const;
  [[nodiscard]] bool IsEraBegun() const;
  [[nodiscard]] bool IsEraSettled() const;
  void ReviewEra(Now now);
  /// \brief Removes the members that this process was before.
  void RemoveFormerIds(Now now);

  void ReportStateChange(StateChanged change);
  void ApplyEntry(Now now, const LogEntry& entry);
  void RecordProgress(Now now);
  void AfterApply(Now now);
  void ForgetIdentity();
  void Append(Now now, Record record);
  void RetryAppends(Now now);
  void SendHeartbeats(Now now);
  void ReviewWatchers(Now now);
  void ProposeWatchers(Now now, std::span<const MemberId> watchers);
  void CastVotes(Now now);
  void RequestReleases(Now now);
  void PublishReleases(Now now);
  void SendRelease(Now now, MemberId to, std::span<const SliceIndex> slices);
  void ReviewLease(Now now);
  /// \brief Acknowledgements or a confirmed watcher set may have made the lease
  /// valid.
  void OnLeaseExtended(Now now);
  void StepWeight(Now now);
  void WriteCheckpoint(Now now);
  void ReviewDrain(Now now);
  void ReviewStop(Now now);
  [[nodiscard]] bool IsBehind(Now now, Position next) const;
  [[nodiscard]] const Member* FindSelf() const noexcept;
  [[nodiscard]] Reason ClosedReason(Time now) const;
  [[nodiscard]] GateView ViewForGate(Now now);
  [[nodiscard]] IngressView ViewForIngress() const;

  /// The target's state as last reported by it.
  struct Target {
    std::string m_id;
    std::int64_t m_start_ms = 0;
    std::uint64_t m_sequence = 0;
    Time m_seen_at{};
    std::optional<Time> m_draining_since;
    TargetCapacity m_capacity;
  };

  NodeSettings m_settings;
  Random m_random;
  ControlState m_state;
  LeaseHolder m_lease;
  LeaseWatcher m_watcher;
  Ownership m_ownership;
  Gate m_gate;
  LinkLoad m_link_load;
  Ingress m_ingress;
  Freshness m_freshness;
  Freshness m_log_freshness;
  /// What a watcher knew of the log beyond this member's position.
  struct PendingConfirmation {
    Position m_next = 0;
    Time m_known_at{};
  };
  std::optional<PendingConfirmation> m_pending_log;
  PeerProber m_prober;
  Suspicions m_suspicions;
  TenantQuotas m_quotas;
  bool m_has_tenants = false;
  Actions m_actions;
  std::shared_ptr<const RoutingTable> m_routing;
  /// Profile that the gate uses for its own service when routes are configured.
  Profile m_gate_profile;
  std::set<std::string, std::less<>> m_excluded_domains;
  std::optional<Time> m_own_domain_excluded_since;
  Time m_exclusions_differ_since = kNever;
  bool m_had_lease = false;
  bool m_was_reader = false;
  ReaderChoice m_reader_choice;
  std::uint64_t m_granted_keys = 0;
  OperatorUpdate m_operator_update;
  Time m_next_update_query{};
  Target m_target;
  AnyHolds m_holds;
  /// Smoothed utilization of the own target: open work per slot.
  double m_utilization = 0;
  Time m_next_balance{};

  std::map<AppendId, PendingAppend> m_appends;
  /// Ids that this process had as a member before the present one.
  std::vector<MemberId> m_former_ids;
  std::deque<LogEntry> m_recent_entries;
  std::deque<ProgressMark> m_progress_marks;
  Era m_log_era = 0;
  /// When the era's last change was seen.
  Time m_era_changed_at{};
  Time m_next_era_append{};
  Time m_next_reload{};
  /// When a peer first named a later era than the one known here.
  std::optional<Time> m_later_era_since;
  bool m_log_healthy = false;
  bool m_caught_up = false;
  bool m_target_up = false;
  bool m_joined = false;
  Time m_joined_at{};
  bool m_identity_lost = false;
  Generation m_generation = 0;
  Time m_next_heartbeat{};
  Time m_next_review{};
  /// Log offset up to which the watcher set was last found suitable.
  Offset m_reviewed_offset = 0;
  Time m_next_watchers = Time::min();
  Duration m_watchers_backoff{};
  Time m_next_release_query{};
  Time m_next_records_query{};
  std::optional<Time> m_behind_since;
  Time m_last_timer{};
  Time m_warm_since{};
  std::optional<Time> m_lease_lost_at;
  std::uint32_t m_requested_weight = 0;
  Offset m_log_first = 0;
  Offset m_checkpointed = 0;
  Time m_checkpointed_at{};
  std::optional<Time> m_stopping_since;
  StopTimes m_stop_times;
  bool m_leaving = false;
  bool m_stop_reported = false;
  /// Whether new calls are refused because the process is about to exit.
  bool m_refuses_new_calls = false;
  Time m_next_release_record{};
  /// Epoch for which each slice's release was sent to the new owner.
  std::map<SliceIndex, Position> m_sent_releases;
  /// Epoch for which each slice's release was appended to the log.
  std::map<SliceIndex, Position> m_logged_releases;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_NODE_H_
