// The part of Node that follows the target beside it and the operators' routes.

#include <algorithm>
#include <utility>

#include "figlug/core/node.h"

namespace figlug::core {
namespace {

/// Members wait in turn before they record what operators have taken out.
constexpr Duration kExclusionTurn = std::chrono::milliseconds(150);
constexpr std::size_t kMostExclusionTurns = 6;
/// Share of a bound after which work stops, so that the last request arrives
/// within the bound.
constexpr double kBoundShare = 0.6;
/// Pause of those that are handed the records by a neighbour. Watchers tell a
/// member that is behind within a heartbeat, so this is a last resort.
constexpr Duration kReadPause = std::chrono::seconds(15);
/// Time in which a neighbour usually hands an own append back, also when the
/// append had to be repeated once.
constexpr Duration kReadBackPause = std::chrono::milliseconds(1200);
constexpr Duration kNewsQueryPeriod = std::chrono::milliseconds(300);
/// Share of one sample in the smoothed use; samples are 50 ms apart.
constexpr double kUseWeight = 0.05;
/// Time in which a move shows its effect before the next; a target hears of it
/// with its next report.
constexpr Duration kBalancePeriod = std::chrono::milliseconds(1200);
constexpr std::size_t kBalanceSamples = 4;
/// Ranges of slices that a member may have: an answer to its target has room
/// for some 130 rows, and a target that takes over a neighbour's needs some,
/// too.
constexpr std::size_t kMostRuns = 100;
/// Requests that a gate may queue where each request has its own patience.
constexpr std::uint32_t kGateQueueLength = 1024;

Duration ShareOf(Duration bound) {
  return std::chrono::duration_cast<Duration>(kBoundShare * bound);
}

}  // namespace

// A late report of an earlier incarnation, or one that another has overtaken,
// says nothing about the target as it is now.
bool Node::IsStale(const TargetReport& report) const {
  if (report.m_born_ms != m_target.m_born_ms) {
    return report.m_born_ms < m_target.m_born_ms;
  }
  return report.m_target != m_target.m_id ||
         report.m_sequence <= m_target.m_sequence;
}

HoldGrant Node::HandleTargetReport(Now now, const TargetReport& report) {
  if (IsStale(report)) {
    return {};
  }
  if (report.m_born_ms != m_target.m_born_ms) {
    StartIncarnation(now, report);
  }
  m_target.m_sequence = report.m_sequence;
  m_target.m_seen_at = now.m_time;
  m_target.m_capacity.m_slots = report.m_slots;
  m_target.m_capacity.m_cold_until = now.m_time + report.m_cold_time_left;
  // Until the routes are known, nothing tells which slices the keys are in.
  if (IsKeyed()) {
    m_holds.OnReport(now.m_time, report, m_settings.m_granted_slices);
  }
  if (report.m_is_draining && !m_target.m_draining_since) {
    m_target.m_draining_since = now.m_time;
    m_target_up = false;
    Note({Belief::kTargetDraining, m_settings.m_self.m_id});
    StartDrain(now);
  }
  if (!m_target.m_draining_since) {
    HandleTargetHealth(now, true);
  }
  GiveReleases(now);
  HoldGrant grant = GrantHolds(now);
  m_gate.Refresh(now.m_time, ViewForGate(now), m_actions);
  return grant;
}

// The target beside this process is another one now: what the member of the
// former one had has ended with it.
void Node::StartIncarnation(Now now, const TargetReport& report) {
  const bool is_first = m_target.m_born_ms == 0;
  m_target = {.m_id = report.m_target,
              .m_born_ms = report.m_born_ms,
              .m_capacity = m_target.m_capacity};
  MemberInfo& self = m_settings.m_self;
  self.m_target = report.m_target;
  self.m_target_born_ms = report.m_born_ms;
  self.m_slots = report.m_slots;
  if (is_first) {
    return;
  }
  m_holds.OnTargetEnded();
  m_gate.OnTargetGone();
  m_target_up = false;
  Note({Belief::kTargetReplaced, m_settings.m_self.m_id});
  if (m_joined) {
    ForgetIdentity();
    m_actions.emplace_back(IdentityLost{});
  }
  m_next_review = now.m_time;
}

void Node::HandleTargetLeave(Now now, std::string_view target) {
  if (target != m_target.m_id || m_target.m_draining_since) {
    return;
  }
  m_target.m_draining_since = now.m_time;
  m_target_up = false;
  Note({Belief::kTargetDraining, m_settings.m_self.m_id});
  StartDrain(now);
}

void Node::StartDrain(Now now) {
  const Member* self = FindSelf();
  if (self != nullptr && !self->m_draining) {
    Append(now, DrainRecord{m_settings.m_self.m_id});
  }
}

HoldGrant Node::GrantHolds(Now now) {
  if (FindSelf() == nullptr || m_leaving || !IsKeyed()) {
    return {};
  }
  HoldGrant grant =
      m_holds.Grant(now.m_time, m_ownership, m_settings.m_granted_slices,
                    m_lease.RemainingTime(now.m_time, m_settings.m_most_hold));
  std::uint64_t keys = 0;
  for (const GrantedRange& range : grant.m_ranges) {
    keys += range.m_keys.m_last - range.m_keys.m_first + 1;
  }
  if (std::exchange(m_granted_keys, keys) != keys) {
    Note({.m_belief = Belief::kHoldsChanged,
          .m_member = m_settings.m_self.m_id,
          .m_count = keys});
  }
  return grant;
}

void Node::ReviewTarget(Now now) {
  if (m_settings.m_target_silence == Duration::zero() || !m_target_up) {
    return;
  }
  if (now.m_time > m_target.m_seen_at + m_settings.m_target_silence) {
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
  JoinIfReady(now);
  m_gate.Refresh(now.m_time, ViewForGate(now), m_actions);
  return true;
}

// The first member of a failure domain reads for its neighbours. One that is
// not on record reads for itself.
bool Node::IsReader() const {
  const Member* self = FindSelf();
  if (!m_settings.m_is_routed || self == nullptr) {
    return true;
  }
  const auto first =
      std::ranges::find_if(m_state.members(), [&](const auto& entry) {
        return entry.second.m_info.m_domain == m_settings.m_self.m_domain &&
               !entry.second.m_draining;
      });
  return self->m_draining || first == m_state.members().end() ||
         first->first == m_settings.m_self.m_id;
}

Duration Node::ReadPause() const {
  return IsReader() || !m_caught_up ? Duration::zero() : kReadPause;
}

// Whoever has appended waits to see it, but leaves the first chance to the
// reader of its domain: each read of the store is paid for.
Duration Node::LogReadPause() const {
  return m_appends.empty() ? ReadPause()
                           : std::min(ReadPause(), kReadBackPause);
}

void Node::HandOnRecords(std::span<const LogEntry> entries) {
  if (m_settings.m_is_routed && !entries.empty() && FindSelf() != nullptr &&
      IsReader()) {
    HandOn(Records{{entries.begin(), entries.end()}});
  }
}

void Node::HandOn(const PeerMessage& message) {
  if (FindSelf() == nullptr || !IsReader()) {
    return;
  }
  for (const auto& [id, member] : m_state.members()) {
    if (id != m_settings.m_self.m_id &&
        member.m_info.m_domain == m_settings.m_self.m_domain) {
      m_actions.emplace_back(SendPeerMessage{member.m_info.m_peer, message});
    }
  }
}

// A process that the store turns away, or whose read has missed a record, is
// behind its peers.
void Node::AskForNews(Now now, MemberId peer, Offset peer_next) {
  const Member* member = m_state.FindMember(peer);
  if (peer_next <= m_news.m_next || member == nullptr ||
      now.m_time < m_next_news_query) {
    return;
  }
  m_next_news_query = now.m_time + kNewsQueryPeriod;
  m_actions.emplace_back(SendPeerMessage{
      member->m_info.m_peer, OperatorNewsQuery{m_settings.m_self.m_id}});
}

void Node::On(Now, const OperatorNewsQuery& query) {
  if (const Member* member = m_state.FindMember(query.m_from)) {
    m_actions.emplace_back(SendPeerMessage{member->m_info.m_peer, m_news});
  }
}

void Node::On(Now, const OperatorNews& news) {
  if (news.m_next > m_news.m_next) {
    m_actions.emplace_back(AdoptOperatorNews{news});
  }
}

// A domain comes back with targets that may have turned cold meanwhile. Their
// next report tells; until then they count as cold.
void Node::HandleDomainsOut(Now now,
                            std::set<std::string, std::less<>> domains) {
  const bool is_out = domains.contains(m_settings.m_self.m_domain);
  if (is_out && !m_own_domain_out_since) {
    m_own_domain_out_since = now.m_time;
  } else if (!is_out && m_own_domain_out_since) {
    m_own_domain_out_since.reset();
    m_target.m_capacity.m_cold_until =
        std::max(m_target.m_capacity.m_cold_until,
                 now.m_time + m_settings.m_target_silence);
  }
  m_domains_out = std::move(domains);
  Note({.m_belief = Belief::kDomainsOut, .m_count = m_domains_out.size()});
  m_exclusions_differ_since = now.m_time;
  m_next_review = now.m_time;
}

// Slices move by record only. Any member may write it; the others see it in
// time and need not.
void Node::ReviewExclusions(Now now) {
  if (!m_settings.m_is_routed || FindSelf() == nullptr || !m_log_healthy ||
      m_exclusions_differ_since == kNever) {
    return;
  }
  const auto turn = std::min(RankOfSelf(), kMostExclusionTurns);
  if (now.m_time < m_exclusions_differ_since + turn * kExclusionTurn) {
    return;
  }
  m_exclusions_differ_since = kNever;
  const auto record = [&](const std::string& domain, bool is_out) {
    Append(now, ExclusionRecord{ExclusionKind::kDomain, domain, is_out,
                                m_state.exclusions_version()});
    m_exclusions_differ_since = now.m_time + kExclusionTurn * 2;
  };
  for (const std::string& domain : m_domains_out) {
    if (!m_state.exclusions().contains({ExclusionKind::kDomain, domain})) {
      record(domain, true);
      return;
    }
  }
  for (const auto& [kind, name] : m_state.exclusions()) {
    if (kind == ExclusionKind::kDomain && !m_domains_out.contains(name)) {
      record(name, false);
      return;
    }
  }
}

// An owner with more work than it can do at once gives slices to the least busy
// other. The others' load is known from their replies to this process's calls.
void Node::ReviewBalance(Now now) {
  const Member* self = FindSelf();
  const std::uint32_t slots = m_target.m_capacity.m_slots;
  if (!m_settings.m_is_routed || self == nullptr || slots == 0 || !IsKeyed()) {
    return;
  }
  const auto open =
      static_cast<double>(m_gate.running() + m_gate.queued()) / slots;
  m_use += kUseWeight * (open - m_use);
  const Service* service = m_state.FindService(m_settings.m_self.m_service);
  if (m_use < kHighUse || now.m_time < m_next_balance || !m_log_healthy ||
      self->m_draining || service == nullptr || m_ownership.owes_any() ||
      CountRuns(*service, self->m_info.m_id) > kMostRuns) {
    return;
  }
  std::map<SliceIndex, double> work = m_gate.RecentWork(now.m_time);
  std::erase_if(work, [&](const auto& entry) {
    return !m_ownership.IsOwner(entry.first);
  });
  const MemberUse own{m_settings.m_self.m_id, m_use,
                      m_gate.Load(ViewForGate(now)).m_service};
  SliceMove move = ChooseSliceMove(own, work, SampleOthers(now));
  if (move.m_slices.empty() ||
      CountRuns(*service, move.m_to) + move.m_slices.size() > kMostRuns) {
    return;
  }
  m_next_balance = now.m_time + kBalancePeriod;
  Append(now, MoveRecord{m_settings.m_self.m_id, move.m_to, m_state.next() - 1,
                         std::move(move.m_slices)});
}

// Several owners with too much work would all give to the least busy member, so
// each looks at a few only.
std::vector<MemberUse> Node::SampleOthers(Now now) {
  std::vector<MemberUse> others;
  for (const auto& [id, member] : m_state.members()) {
    const auto use = m_ingress.UseOf(now.m_time, id);
    if (id != m_settings.m_self.m_id &&
        member.m_info.m_service == m_settings.m_self.m_service &&
        m_state.IsEligible(member) && use) {
      others.push_back(*use);
    }
  }
  std::ranges::shuffle(others, m_random);
  others.resize(std::min(others.size(), kBalanceSamples));
  return others;
}

bool Node::IsKeyed() const {
  const ServicePolicy* policy =
      m_routing == nullptr
          ? nullptr
          : m_routing->FindService(m_settings.m_self.m_service);
  return policy != nullptr && policy->m_keyed;
}

bool Node::MayBeBusy(Now now, SliceIndex slice) const {
  return m_gate.IsBusy(now.m_time, slice) ||
         (m_settings.m_is_routed && m_holds.MayHold(now.m_time, slice));
}

// Keys that the target still holds are served for a part of the bound, while
// their slices move; other work ends at once.
Reason Node::RoutedClosedReason(Time now) const {
  const auto has_passed = [&](const std::optional<Time>& since,
                              Duration bound) {
    return since && (!IsKeyed() || now >= *since + ShareOf(bound));
  };
  if (has_passed(m_target.m_draining_since, m_settings.m_drain_bound)) {
    return Reason::kStopping;
  }
  if (has_passed(m_own_domain_out_since, m_settings.m_drain_bound)) {
    return Reason::kExcluded;
  }
  if (m_stopping_since &&
      now >= *m_stopping_since + ShareOf(m_settings.m_stop_limit)) {
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
