// The part of Node that tracks its target, the operators' routes and the
// balance of slices.

#include <algorithm>
#include <utility>

#include "figlug/core/node.h"

namespace figlug::core {
namespace {

/// Members take turns before they append an exclusion by operators to the log.
constexpr Duration kExclusionTurnInterval = std::chrono::milliseconds(150);
constexpr std::size_t kMaxExclusionTurns = 6;
/// Read pause of members that get records forwarded by their domain's reader.
/// Watchers notify a member that is behind within one heartbeat, so this is a
/// last resort.
constexpr Duration kForwardedReadPause = std::chrono::seconds(15);
/// Time within which the domain's reader usually forwards this member's own
/// append, even when the append had to be retried once.
constexpr Duration kAppendReadBackTimeout = std::chrono::milliseconds(1200);
/// A member reads the log itself once this part of its log lease has passed
/// since it last knew all of the log.
constexpr int kMaxLogAgeParts = 2;
constexpr Duration kUpdateQueryInterval = std::chrono::milliseconds(300);
/// Weight of one sample in the smoothed utilization; samples are 50 ms apart.
constexpr double kUtilizationSmoothingRatio = 0.05;
/// Time for a move to show its effect before the next one; a target learns of a
/// move from the reply to its next report.
constexpr Duration kBalanceInterval = std::chrono::milliseconds(1200);
constexpr std::size_t kMaxBalanceSamples = 4;
/// Max ranges of slices per member. The reply to a target's report has room for
/// about 110 rows, and some are reserved for taking over another member's.
constexpr std::size_t kMaxSliceRanges = 100;
/// Max requests that a gate queues when each request has its own max queue
/// wait.
constexpr std::uint32_t kGateQueueLength = 1024;

/// A target's clock and this process's may differ by less than this.
constexpr std::chrono::hours kMaxStartLead{24};
/// Requests per second that a target gets at least, whatever limit it names.
constexpr double kMinRateLimit = 0.25;

}  // namespace

// An outdated report, from an earlier incarnation or delivered out of order,
// says nothing about the target's current state.
bool Node::IsStale(const TargetReport& report) const {
  if (report.m_start_ms != m_target.m_start_ms) {
    return report.m_start_ms < m_target.m_start_ms;
  }
  return report.m_target != m_target.m_id ||
         report.m_sequence <= m_target.m_sequence;
}

// Another writer's report may name any service. A start far in the future would
// make every later report of the real target count as outdated.
std::string_view Node::ForeignReportReason(Now now,
                                           const TargetReport& report) const {
  if (report.m_service != m_settings.m_self.m_service) {
    return "service is not that of this target";
  }
  if (report.m_start_ms >
      (now.m_wall + kMaxStartLead).time_since_epoch().count()) {
    return "start of the target lies in the future";
  }
  // Read as a report of no keys, it would free those that the target holds.
  if (IsKeyed() && m_holds.delivery() == HoldDelivery::kPulled &&
      !report.m_lists_keys) {
    return "keys that the target holds are not listed";
  }
  return {};
}

HoldGrant Node::HandleTargetReport(Now now, const TargetReport& report) {
  if (!ForeignReportReason(now, report).empty() || IsStale(report)) {
    return {};
  }
  if (report.m_start_ms != m_target.m_start_ms) {
    StartIncarnation(now, report);
  }
  m_target.m_sequence = report.m_sequence;
  m_target.m_seen_at = now.m_time;
  m_target.m_capacity.m_slots = report.m_slots;
  m_target.m_capacity.m_cold_until = now.m_time + report.m_cold_time_left;
  // Until the routes are known, keys cannot be mapped to slices.
  if (IsKeyed()) {
    m_holds.Visit([&](auto& holds) {
      holds.OnReport(now.m_time, report, m_settings.m_granted_slices);
    });
  }
  if (report.m_is_draining && !m_target.m_draining_since) {
    m_target.m_draining_since = now.m_time;
    m_target_up = false;
    ReportStateChange(
        {StateChangeKind::kTargetDraining, m_settings.m_self.m_id});
    StartDrain(now);
  }
  if (!m_target.m_draining_since) {
    HandleTargetHealth(now, true);
  }
  PublishReleases(now);
  HoldGrant grant = GrantHolds(now);
  ReviewHolds(now);
  m_gate.Refresh(now.m_time, ViewForGate(now), m_actions);
  return grant;
}

// The target was replaced. The member that was announced for the previous
// incarnation, and the slices it owned, end with that incarnation.
void Node::StartIncarnation(Now now, const TargetReport& report) {
  const bool is_first = m_target.m_start_ms == 0;
  m_target = {.m_id = report.m_target,
              .m_start_ms = report.m_start_ms,
              .m_capacity = m_target.m_capacity};
  m_target.m_capacity.m_rate_limit = 0;
  MemberInfo& self = m_settings.m_self;
  self.m_target = report.m_target;
  self.m_target_start_ms = report.m_start_ms;
  self.m_slots = report.m_slots;
  if (is_first) {
    return;
  }
  m_holds.Visit([](auto& holds) { holds.OnTargetEnded(); });
  m_gate.OnTargetLost();
  m_target_up = false;
  ReportStateChange({StateChangeKind::kTargetReplaced, m_settings.m_self.m_id});
  if (m_joined) {
    ForgetIdentity();
    m_actions.emplace_back(IdentityLost{});
  }
  m_next_review = now.m_time;
}

// A target may start again under the id of an incarnation whose notice arrives
// late.
void Node::HandleTargetLeave(Now now, const TargetLeave& leave) {
  const bool is_former =
      leave.m_start_ms.value_or(m_target.m_start_ms) != m_target.m_start_ms;
  if (leave.m_target != m_target.m_id || is_former ||
      m_target.m_draining_since) {
    return;
  }
  m_target.m_draining_since = now.m_time;
  m_target_up = false;
  ReportStateChange({StateChangeKind::kTargetDraining, m_settings.m_self.m_id});
  StartDrain(now);
}

// An answer may come from an earlier incarnation of the target. A target that
// takes nothing still gets a request now and then: only an answer shows that it
// has lifted its limit.
void Node::HandleTargetNotice(Now now, const TargetNotice& notice) {
  if (notice.m_target != m_target.m_id) {
    return;
  }
  if (notice.m_is_leaving) {
    HandleTargetLeave(now, {.m_target = notice.m_target});
  }
  const double limit =
      notice.m_rate_limit ? std::max(*notice.m_rate_limit, kMinRateLimit) : 0;
  if (std::exchange(m_target.m_capacity.m_rate_limit, limit) != limit) {
    ReportStateChange({.m_change = limit > 0
                                       ? StateChangeKind::kTargetLimited
                                       : StateChangeKind::kTargetUnlimited,
                       .m_member = m_settings.m_self.m_id,
                       .m_count = static_cast<std::uint64_t>(limit)});
  }
}

void Node::StartDrain(Now now) {
  const Member* self = FindSelf();
  if (self == nullptr) {
    return;
  }
  const MemberId id = m_settings.m_self.m_id;
  if (m_target.m_draining_since && !m_state.HasDeparted(self->m_info)) {
    Append(now, DepartureRecord{id});
  } else if (!self->m_draining) {
    Append(now, DrainRecord{id});
  }
}

bool Node::MayChangeHolds() const {
  return m_settings.m_is_routed && FindSelf() != nullptr && !m_leaving &&
         IsKeyed();
}

HoldContext Node::ContextForHolds(Now now) const {
  return {.m_ownership = m_ownership,
          .m_slices = m_settings.m_granted_slices,
          .m_lease_left = HoldableTime(now.m_time),
          .m_target = m_target.m_id,
          .m_running = m_gate.running_by_slice()};
}

void Node::ReviewHolds(Now now) {
  if (MayChangeHolds()) {
    m_holds.Visit([&](auto& holds) {
      holds.Review(now.m_time, ContextForHolds(now), m_actions);
    });
  }
}

void Node::HandleHoldResult(Now now,
                            HoldCallId call,
                            const HoldAnswer& answer) {
  const std::optional<HoldEvent> event = m_holds.Visit(
      [&](auto& holds) { return holds.OnResult(now.m_time, call, answer); });
  if (event && event->m_result == HoldResult::kDone) {
    m_gate.OnReleased(event->m_first, event->m_last);
  } else if (event) {
    RaiseFence(now, *event);
  }
  ReviewHolds(now);
  PublishReleases(now);
  m_gate.Refresh(now.m_time, ViewForGate(now), m_actions);
}

// Another process has used a higher fence, so this one is behind the log. Once
// it has read its own record, it is no longer; slices that it does not own any
// more stay where they are, the others get a fence above the one refused.
void Node::RaiseFence(Now now, const HoldEvent& refused) {
  MoveRecord record{m_settings.m_self.m_id,
                    m_settings.m_self.m_id,
                    m_state.position() - 1,
                    {}};
  for (SliceIndex i = refused.m_first; i <= refused.m_last; ++i) {
    if (m_ownership.IsOwner(i)) {
      record.m_slices.push_back(i);
    }
  }
  if (FindSelf() != nullptr && !record.m_slices.empty()) {
    Append(now, std::move(record));
  }
}

HoldGrant Node::GrantHolds(Now now) {
  if (!MayChangeHolds()) {
    return {};
  }
  HoldGrant grant = m_holds.Visit([&](auto& holds) {
    return holds.Grant(now.m_time, ContextForHolds(now));
  });
  std::uint64_t keys = 0;
  for (const GrantedRange& range : grant.m_ranges) {
    keys += range.m_keys.m_last - range.m_keys.m_first + 1;
  }
  if (std::exchange(m_granted_keys, keys) != keys) {
    ReportStateChange({.m_change = StateChangeKind::kHoldsChanged,
                       .m_member = m_settings.m_self.m_id,
                       .m_count = keys});
  }
  return grant;
}

void Node::ReviewTarget(Now now) {
  if (m_settings.m_target_report_timeout == Duration::zero() || !m_target_up) {
    return;
  }
  if (now.m_time > m_target.m_seen_at + m_settings.m_target_report_timeout) {
    HandleTargetHealth(now, false);
  }
}

bool Node::HandleRouting(Now now, std::shared_ptr<const RoutingTable> routing) {
  if (m_routing != nullptr && routing->version() <= m_routing->version()) {
    return false;
  }
  m_routing = std::move(routing);
  m_gate_profile = {.m_name = m_settings.m_self.m_service,
                    .m_keyed = IsKeyed(),
                    .m_repeatable = true,
                    .m_queue_length = kGateQueueLength};
  const ServicePolicy* policy =
      m_routing->FindService(m_settings.m_self.m_service);
  m_target.m_capacity.m_cold_rate = policy == nullptr ? 0 : policy->m_cold_rate;
  if (policy != nullptr) {
    ChooseHoldDelivery(
        now, policy->m_hold_delivery.value_or(m_settings.m_hold_delivery));
  }
  JoinIfReady(now);
  RefreshTenants(now);
  m_gate.Refresh(now.m_time, ViewForGate(now), m_actions);
  return true;
}

// Where the operators change how a service's targets learn their keys, nothing
// is known of what the target holds by the former way.
void Node::ChooseHoldDelivery(Now now, HoldDelivery delivery) {
  if (m_holds.delivery() != delivery) {
    m_holds = AnyHolds(delivery, now.m_time, m_settings.m_max_hold,
                       m_settings.m_timing.m_lease_duration);
  }
}

// A member that is not in the control state reads for itself.
bool Node::IsReader(Time now) const {
  const Member* self = FindSelf();
  if (!m_settings.m_is_routed || self == nullptr || self->m_draining) {
    return true;
  }
  std::vector<MemberId> predecessors;
  for (const auto& [id, member] : m_state.members()) {
    if (id < m_settings.m_self.m_id && !member.m_draining &&
        member.m_info.m_domain == m_settings.m_self.m_domain) {
      predecessors.push_back(id);
    }
  }
  return m_reader_choice.IsReader(now, predecessors);
}

void Node::ReviewReader(Now now) {
  const bool is_reader = m_settings.m_is_routed && IsReader(now.m_time);
  if (std::exchange(m_was_reader, is_reader) != is_reader) {
    ReportStateChange({is_reader ? StateChangeKind::kReaderStarted
                                 : StateChangeKind::kReaderStopped,
                       m_settings.m_self.m_id});
  }
}

Duration Node::ReadDelay(Time now) const {
  return IsReader(now) || !m_caught_up ? Duration::zero() : kForwardedReadPause;
}

// A member with pending appends waits for the domain's reader to forward them
// before it reads itself, because each read of the store is charged for. One
// that its watchers do not keep informed reads for itself.
Duration Node::LogReadDelay(Time now) const {
  const Duration max_age = m_settings.m_self.m_log_lease / kMaxLogAgeParts;
  if (max_age > Duration::zero() && LogAge(now).value_or(max_age) >= max_age) {
    return Duration::zero();
  }
  return m_appends.empty() ? ReadDelay(now)
                           : std::min(ReadDelay(now), kAppendReadBackTimeout);
}

template <class Function>
void Node::ForEachDomainPeer(Function&& function) const {
  for (const auto& [id, member] : m_state.members()) {
    if (id != m_settings.m_self.m_id &&
        member.m_info.m_domain == m_settings.m_self.m_domain) {
      function(member);
    }
  }
}

// The report names the position before this read: what the read returns is
// forwarded as an update, and a report that arrived before the update would
// make every member ask for it again.
void Node::ReportRead(Now now) {
  if (!m_settings.m_is_routed || FindSelf() == nullptr ||
      !IsReader(now.m_time)) {
    return;
  }
  const ReadReport report{m_settings.m_self.m_id, m_operator_update.m_next,
                          ConfigurationVersion()};
  ForEachDomainPeer([&](const Member& member) {
    m_actions.emplace_back(SendDatagram{member.m_info.m_peer, report});
  });
}

void Node::On(Now now, const ReadReport& report) {
  m_reader_choice.OnReport(now.m_time, report.m_reader);
  RequestOperatorUpdate(now, report.m_reader, report.m_operators_next,
                        report.m_configuration);
}

void Node::ForwardRecords(Now now, std::span<const LogEntry> entries) {
  if (m_settings.m_is_routed && !entries.empty()) {
    ForwardToDomain(now, Records{m_log_era, {entries.begin(), entries.end()}});
  }
}

void Node::ForwardToDomain(Now now, const PeerMessage& message) {
  if (FindSelf() == nullptr || !IsReader(now.m_time)) {
    return;
  }
  ForEachDomainPeer([&](const Member& member) {
    m_actions.emplace_back(SendPeerMessage{member.m_info.m_peer, message});
  });
}

// A store that has been restored may have an older configuration than a peer,
// at a newer position.
bool Node::IsNewer(Position next, std::uint64_t configuration) const {
  return next > m_operator_update.m_next ||
         configuration > ConfigurationVersion();
}

std::uint64_t Node::ConfigurationVersion() const {
  return m_routing == nullptr ? 0 : m_routing->version();
}

// A process whose reads the store rejects, or whose read has missed a record,
// is behind its peers and asks one of them.
void Node::RequestOperatorUpdate(Now now,
                                 MemberId peer,
                                 Position peer_next,
                                 std::uint64_t peer_configuration) {
  const Member* member = m_state.FindMember(peer);
  if (!IsNewer(peer_next, peer_configuration) || member == nullptr ||
      now.m_time < m_next_update_query) {
    return;
  }
  m_next_update_query = now.m_time + kUpdateQueryInterval;
  m_actions.emplace_back(SendPeerMessage{
      member->m_info.m_peer, OperatorUpdateQuery{m_settings.m_self.m_id}});
}

void Node::On(Now, const OperatorUpdateQuery& query) {
  if (const Member* member = m_state.FindMember(query.m_from)) {
    m_actions.emplace_back(
        SendPeerMessage{member->m_info.m_peer, m_operator_update});
  }
}

void Node::On(Now, const OperatorUpdate& update) {
  if (IsNewer(update.m_next, update.m_version)) {
    m_actions.emplace_back(ApplyOperatorUpdate{update});
  }
}

// The targets of a domain that returns to service may have become cold. They
// count as cold until their next report.
void Node::HandleExcludedDomains(Now now,
                                 std::set<std::string, std::less<>> domains) {
  const bool is_out = domains.contains(m_settings.m_self.m_domain);
  if (is_out && !m_own_domain_excluded_since) {
    m_own_domain_excluded_since = now.m_time;
  } else if (!is_out && m_own_domain_excluded_since) {
    m_own_domain_excluded_since.reset();
    m_target.m_capacity.m_cold_until =
        std::max(m_target.m_capacity.m_cold_until,
                 now.m_time + m_settings.m_target_report_timeout);
  }
  m_excluded_domains = std::move(domains);
  ReportStateChange({.m_change = StateChangeKind::kDomainsExcluded,
                     .m_count = m_excluded_domains.size()});
  m_exclusions_differ_since = now.m_time;
  m_next_review = now.m_time;
}

// Slices move only through records. Any member may append the record; the
// others usually see it before their turn and do not append it again.
void Node::ReviewExclusions(Now now) {
  if (!m_settings.m_is_routed || FindSelf() == nullptr || !m_log_healthy ||
      m_exclusions_differ_since == kNever) {
    return;
  }
  const auto turn = std::min(RankOfSelf(), kMaxExclusionTurns);
  if (now.m_time < m_exclusions_differ_since + turn * kExclusionTurnInterval) {
    return;
  }
  m_exclusions_differ_since = kNever;
  const auto record = [&](const std::string& domain, bool is_out) {
    Append(now, ExclusionRecord{ExclusionKind::kDomain, domain, is_out,
                                m_state.exclusions_version()});
    m_exclusions_differ_since = now.m_time + kExclusionTurnInterval * 2;
  };
  for (const std::string& domain : m_excluded_domains) {
    if (!m_state.exclusions().contains({ExclusionKind::kDomain, domain})) {
      record(domain, true);
      return;
    }
  }
  for (const auto& [kind, name] : m_state.exclusions()) {
    if (kind == ExclusionKind::kDomain && !m_excluded_domains.contains(name)) {
      record(name, false);
      return;
    }
  }
}

// An owner with high utilization moves slices to the least loaded other member.
// The others' load is known from their replies to this process's calls.
void Node::ReviewBalance(Now now) {
  const Member* self = FindSelf();
  const std::uint32_t slots = m_gate.Load(ViewForGate(now)).m_slots;
  if (!m_settings.m_is_routed || self == nullptr || slots == 0 || !IsKeyed()) {
    return;
  }
  const auto open =
      static_cast<double>(m_gate.running() + m_gate.queued()) / slots;
  m_utilization += kUtilizationSmoothingRatio * (open - m_utilization);
  const Service* service = m_state.FindService(m_settings.m_self.m_service);
  if (m_utilization < kHighUtilization || now.m_time < m_next_balance ||
      !m_log_healthy || self->m_draining || service == nullptr ||
      m_ownership.has_pending_releases() || !IsEraSettled() ||
      CountSliceRanges(*service, self->m_info.m_id) > kMaxSliceRanges) {
    return;
  }
  std::map<SliceIndex, double> work = m_gate.RecentWork(now.m_time);
  std::erase_if(work, [&](const auto& entry) {
    return !m_ownership.IsOwner(entry.first);
  });
  const MemberUtilization own{m_settings.m_self.m_id, m_utilization,
                              m_gate.Load(ViewForGate(now)).m_service_time};
  SliceMove move = ChooseSliceMove(own, work, SampleOthers(now));
  if (move.m_slices.empty() ||
      CountSliceRanges(*service, move.m_to) + move.m_slices.size() >
          kMaxSliceRanges) {
    return;
  }
  m_next_balance = now.m_time + kBalanceInterval;
  Append(now, MoveRecord{m_settings.m_self.m_id, move.m_to,
                         m_state.position() - 1, std::move(move.m_slices)});
}

// Each owner considers only a random sample of the others; otherwise all
// overloaded owners would move slices to the same least loaded member.
std::vector<MemberUtilization> Node::SampleOthers(Now now) {
  std::vector<MemberUtilization> others;
  for (const auto& [id, member] : m_state.members()) {
    const auto use = m_ingress.UtilizationOf(now.m_time, id);
    if (id != m_settings.m_self.m_id &&
        member.m_info.m_service == m_settings.m_self.m_service &&
        m_state.IsEligible(member) && use) {
      others.push_back(*use);
    }
  }
  std::ranges::shuffle(others, m_random);
  others.resize(std::min(others.size(), kMaxBalanceSamples));
  return others;
}

bool Node::IsKeyed() const {
  const ServicePolicy* policy =
      m_routing == nullptr
          ? nullptr
          : m_routing->FindService(m_settings.m_self.m_service);
  return policy != nullptr && policy->m_keyed;
}

bool Node::MayBeInUse(Now now, SliceIndex slice) const {
  return m_gate.IsBusy(now.m_time, slice) ||
         (m_settings.m_is_routed && m_holds.MayHold(now.m_time, slice));
}

// Keys that the target still holds are served for part of the time limit, while
// their slices move; other work is refused at once.
Reason Node::RoutedClosedReason(Time now) const {
  const auto has_passed = [&](const std::optional<Time>& since,
                              Duration bound) {
    return since && (!IsKeyed() || now >= *since + WorkTimeWithin(bound));
  };
  if (has_passed(m_target.m_draining_since, m_settings.m_drain_time_limit)) {
    return Reason::kStopping;
  }
  if (has_passed(m_own_domain_excluded_since, m_settings.m_drain_time_limit)) {
    return Reason::kExcluded;
  }
  if (m_stop_reported ||
      (m_stopping_since &&
       now >= *m_stopping_since + WorkTimeWithin(m_settings.m_stop_limit))) {
    return Reason::kStopping;
  }
  const bool is_known = m_target_up || m_target.m_draining_since;
  return is_known ? Reason::kNone : Reason::kNoTarget;
}

std::size_t Node::RankOfSelf() const {
  const auto& members = m_state.members();
  return static_cast<std::size_t>(
      std::distance(members.begin(), members.find(m_settings.m_self.m_id)));
}

}  // namespace figlug::core
