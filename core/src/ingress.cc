#include "figlug/core/ingress.h"

#include <algorithm>

#include "figlug/core/link/send_window.h"

namespace figlug::core {
namespace {

constexpr Duration kInitialBackoff = std::chrono::milliseconds(5);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(80);
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(5);
constexpr std::uint32_t kMinHedgeSamples = 20;
constexpr double kHedgeQuantile = 0.95;
constexpr double kLatencySmoothingFactor = 0.2;
/// Round-trip time to another failure domain of the same region, microseconds.
constexpr double kCrossDomainRoundTripUs = 2'000;
/// Round-trip time to the other region, microseconds.
constexpr double kCrossRegionRoundTripUs = 16'000;
/// Minimum gain from the other region as a share of the target latency; traffic
/// between regions is billed by volume.
constexpr double kMinCrossRegionGainRatio = 0.2;
/// Share of the target latency above which an expected answer from the own
/// region is treated as likely to be late.
constexpr double kLateAnswerRatio = 0.8;
/// Minimum gain from the other region when the target latency is unknown,
/// microseconds.
constexpr double kMinCrossRegionGainUs = 300'000;
/// Share of the remaining time that a request may wait in a gate's queue.
constexpr double kMaxQueueWaitRatio = 0.6;
/// Gates that may reject one call because no slot is free. When that many are
/// full, trying the rest would only add load to them and to the links.
constexpr std::uint32_t kMaxFullGates = 3;
/// The same limit for calls to the other region, whose link is billed by
/// volume.
constexpr std::uint32_t kMaxFullGatesCrossRegion = 1;
/// Retry-After for callers that were rejected because no slot was free.
constexpr Duration kOverloadRetryAfter = std::chrono::milliseconds(300);
/// Retry-After for callers whose keys are moving or whose configuration is not
/// loaded yet.
constexpr Duration kUnsettledRetryAfter = std::chrono::milliseconds(500);

/// Ranks of the routes within one priority of tenants.
constexpr std::uint32_t kRanksPerPriority = 256;

// Reasons that clear once ownership has settled.
bool IsOwnershipUnsettled(Reason reason) {
  return reason == Reason::kNotOwner || reason == Reason::kNoLease ||
         reason == Reason::kStopping || reason == Reason::kExcluded ||
         reason == Reason::kPeerUnreachable || reason == Reason::kNoTarget ||
         reason == Reason::kTargetMisdirected ||
         reason == Reason::kStaleConfiguration ||
         reason == Reason::kQuotaUnknown;
}

bool IsFinal(Reason reason) {
  return reason == Reason::kDeadline || reason == Reason::kWrongRegion ||
         reason == Reason::kCancelled;
}

// Whether an attempt that has ended reached a target, or may have reached one.
bool HasArrived(Outcome outcome, Reason reason) {
  return outcome != Outcome::kNotRun || reason == Reason::kTargetShed ||
         reason == Reason::kTargetMisdirected;
}

double MinExpectedAnswer(const std::vector<TargetCandidate>& candidates) {
  return std::ranges::min_element(candidates, {},
                                  &TargetCandidate::m_expected_answer_us)
      ->m_expected_answer_us;
}

// With a target latency, uses the other region when the own region would answer
// late and the gain is large enough; without one, only when the gain is large.
bool ShouldCrossRegion(const std::vector<TargetCandidate>& local,
                       const std::vector<TargetCandidate>& remote,
                       const std::shared_ptr<const Route>& route) {
  if (local.empty() || remote.empty()) {
    return local.empty();
  }
  const double local_us = MinExpectedAnswer(local);
  const double gain_us =
      local_us - MinExpectedAnswer(remote) - kCrossRegionRoundTripUs;
  if (route == nullptr) {
    return gain_us > kMinCrossRegionGainUs;
  }
  const auto target_us = static_cast<double>(route->m_target_latency.count());
  return local_us > kLateAnswerRatio * target_us &&
         gain_us > kMinCrossRegionGainRatio * target_us;
}

// A tenant's priority goes before the route's. Where no tenants are configured,
// the route's is the rank itself.
std::uint32_t RankOf(const Route& route,
                     std::optional<std::uint32_t> tenant_priority,
                     const IngressView& view) {
  if (view.m_tenants == nullptr) {
    return route.m_priority;
  }
  const std::uint32_t route_rank =
      std::min(route.m_priority, kRanksPerPriority - 1);
  const std::uint32_t priority = tenant_priority.value_or(route.m_priority);
  return std::min(priority, kRanksPerPriority) * kRanksPerPriority + route_rank;
}

WorkClass ClassOf(const Route& route) {
  return {route.m_priority, route.m_target_latency};
}

bool IsDomainExcluded(const IngressView& view, const MemberInfo& info) {
  return view.m_excluded_domains != nullptr &&
         view.m_excluded_domains->contains(info.m_domain);
}

}  // namespace

// Keyless requests that may run only once are assigned to slices by request id.
SliceIndex Ingress::SliceOfCall(const Profile& profile,
                                const CallHead& head,
                                const RequestId& id) {
  return SliceOf(profile.m_keyed ? head.m_key : ToString(id));
}

const Profile& Ingress::ProfileOf(const Call& call, const IngressView& view) {
  return call.m_route != nullptr
             ? call.m_route->m_profile
             : view.m_state.ProfileOf(call.m_head.m_service);
}

void Ingress::OnCall(Time now,
                     WallTime wall,
                     CallId id,
                     const CallHead& head,
                     const IngressView& view,
                     Actions& out) {
  // The head may have been screened before a pause of this process.
  const Reason reason = now >= view.m_stop.m_no_calls_from
                            ? Reason::kStopping
                            : Screen(now, head, view);
  if (reason != Reason::kNone) {
    out.emplace_back(FinishCall{id, Outcome::kNotRun, reason, AttemptId{0},
                                JitteredRetryAfter(reason)});
    return;
  }
  Call& call = m_calls[id];
  call.m_head = head;
  if (view.m_is_routed) {
    StartRoutedCall(now, call, view);
    TryNext(now, id, call, view, out);
    return;
  }
  const Profile& profile = view.m_state.ProfileOf(head.m_service);
  if (const Tenant* tenant = TenantOf(head, view)) {
    call.m_tenant_regions = tenant->m_home_regions;
  }
  call.m_is_sliced = IsSliced(profile);
  call.m_request_id =
      head.m_caller_id.value_or(MakeRequestId(wall, m_random(), m_random()));
  call.m_slice = SliceOfCall(profile, head, call.m_request_id);
  call.m_started = now - head.m_waited;
  call.m_deadline =
      std::min(call.m_started + head.m_deadline.value_or(profile.m_deadline),
               view.m_stop.m_ends_at);
  ServiceState& service = m_services[head.m_service];
  service.m_retry_budget.Deposit(profile.m_retry_percent);
  service.m_hedge_budget.Deposit(profile.m_hedge_percent);
  TryNext(now, id, call, view, out);
}

void Ingress::StartRoutedCall(Time now, Call& call, const IngressView& view) {
  call.m_route =
      view.m_routing->FindRoute(call.m_head.m_host, call.m_head.m_path);
  const auto& route = *call.m_route;
  call.m_head.m_service = ChooseBackend(route);
  const ServicePolicy* policy =
      view.m_routing->FindService(call.m_head.m_service);
  call.m_is_sliced = policy != nullptr && policy->m_keyed;
  call.m_started = now - call.m_head.m_waited;
  const Duration wanted =
      call.m_head.m_deadline.value_or(route.m_profile.m_deadline);
  call.m_deadline = std::min(call.m_started + std::min(wanted, route.m_timeout),
                             view.m_stop.m_ends_at);
  if (const Tenant* tenant = TenantOf(call.m_head, view)) {
    call.m_tenant_regions = tenant->m_home_regions;
    call.m_tenant_priority = tenant->m_priority;
  }
  ServiceState& service = m_services[call.m_head.m_service];
  service.m_retry_budget.Deposit(route.m_profile.m_retry_percent);
  service.m_hedge_budget.Deposit(route.m_profile.m_hedge_percent);
}

// Smooth weighted round robin, which keeps the shares over short sequences of
// calls as well.
const std::string& Ingress::ChooseBackend(const Route& route) {
  const std::vector<Backend>& backends = route.m_backends;
  if (backends.size() == 1) {
    return backends.front().m_service;
  }
  std::vector<std::int64_t>& current_weights =
      m_backend_current_weights[route.m_name];
  current_weights.resize(backends.size());
  std::int64_t total = 0;
  for (std::size_t i = 0; i < backends.size(); ++i) {
    current_weights[i] += backends[i].m_weight;
    total += backends[i].m_weight;
  }
  const auto best = std::ranges::max_element(current_weights);
  *best -= total;
  return backends[static_cast<std::size_t>(best - current_weights.begin())]
      .m_service;
}

void Ingress::TryNext(Time now,
                      CallId id,
                      Call& call,
                      const IngressView& view,
                      Actions& out) {
  call.m_retry_at = kNever;
  if (now >= view.m_stop.m_no_attempts_from) {
    Finish(id, call.m_may_have_run ? Outcome::kUnknown : Outcome::kNotRun,
           Reason::kStopping, AttemptId{0}, out);
    return;
  }
  if (call.m_route != nullptr && call.m_is_sliced) {
    const Service* service = view.m_state.FindService(call.m_head.m_service);
    const std::size_t slices =
        service == nullptr ? 0 : service->m_slices.size();
    call.m_slice = slices == 0 ? 0
                               : SliceOfNumber(call.m_head.m_key_number,
                                               static_cast<SliceIndex>(slices));
  }
  const Member* member = Choose(now, call, view);
  if (member == nullptr && !call.m_tried_members.empty()) {
    call.m_tried_members.clear();
    member = Choose(now, call, view);
  }
  if (member == nullptr) {
    call.m_last_reason = Reason::kNoTarget;
    HandleNotRun(now, id, call, Reason::kNoTarget, view, out);
    return;
  }
  Send(now, id, call, *member, view, out);
  const Profile& profile = ProfileOf(call, view);
  if (profile.m_repeatable && !call.m_is_sliced &&
      profile.m_hedge_percent > 0 && call.m_attempts == 1) {
    LatencyWindow& seen = m_services[call.m_head.m_service].m_latencies;
    if (seen.count(now) >= kMinHedgeSamples) {
      call.m_hedge_at =
          now + std::max(kMinHedgeDelay, seen.Quantile(now, kHedgeQuantile));
    }
  }
  SetTimer(id, call);
}

const Member* Ingress::Choose(Time now,
                              const Call& call,
                              const IngressView& view) {
  if (!call.m_is_sliced) {
    return ChooseByLoad(now, call, view);
  }
  if (call.m_route != nullptr) {
    return ChooseHolder(call, view);
  }
  const Service* service = view.m_state.FindService(call.m_head.m_service);
  if (service == nullptr || service->m_slices.empty()) {
    return nullptr;
  }
  const Member* owner =
      view.m_state.FindMember(service->m_slices[call.m_slice].m_owner);
  return owner == nullptr || call.m_tenant_regions.empty() ||
                 MayEnterRegion(call, view, owner->m_info.m_region)
             ? owner
             : nullptr;
}

// Where targets pull their holds, a previous holder serves a slice until its
// target has heard of the move, so it is tried before the owner.
const Member* Ingress::ChooseHolder(const Call& call,
                                    const IngressView& view) const {
  const Service* service = view.m_state.FindService(call.m_head.m_service);
  if (service == nullptr || call.m_slice >= service->m_slices.size()) {
    return nullptr;
  }
  const Slice& slice = service->m_slices[call.m_slice];
  const auto untried = [&](MemberId id) -> const Member* {
    const Member* member = std::ranges::count(call.m_tried_members, id) == 0
                               ? view.m_state.FindMember(id)
                               : nullptr;
    // Where a tenant has homes, they bind for its keys, too.
    const bool may_enter =
        member != nullptr &&
        (call.m_tenant_regions.empty() ||
         MayEnterRegion(call, view, member->m_info.m_region));
    return may_enter ? member : nullptr;
  };
  const ServicePolicy* policy =
      view.m_routing->FindService(call.m_head.m_service);
  const bool is_pushed =
      policy != nullptr && policy->m_hold_delivery == HoldDelivery::kPushed;
  if (is_pushed) {
    return untried(slice.m_owner);
  }
  for (const PreviousHolder& prior : slice.m_previous_holders) {
    if (const Member* member = untried(prior.m_member)) {
      return member;
    }
  }
  return untried(slice.m_owner);
}

// Uses the other region only when the own region has no candidates left or is
// much slower, because the link between regions is billed by volume.
const Member* Ingress::ChooseByLoad(Time now,
                                    const Call& call,
                                    const IngressView& view) {
  std::vector<TargetCandidate> local;
  std::vector<TargetCandidate> remote;
  const bool has_large_answer =
      call.m_route != nullptr &&
      m_services[call.m_head.m_service].m_answer_sizes.ExpectedLarge(
          ClassOf(*call.m_route)) > 0;
  for (const auto& [id, member] : view.m_state.members()) {
    const TargetView& target = m_targets[id];
    if (member.m_info.m_service != call.m_head.m_service ||
        !view.m_state.IsEligible(member) || now < target.m_ejected_until ||
        IsDomainExcluded(view, member.m_info) ||
        !MayEnterRegion(call, view, member.m_info.m_region) ||
        std::ranges::count(call.m_tried_members, id) > 0) {
      continue;
    }
    const bool is_local = member.m_info.m_region == view.m_self.m_region;
    const std::optional<Duration> service_time =
        call.m_route == nullptr ? std::nullopt
                                : m_speeds.Expected(now, call.m_head.m_service,
                                                    ClassOf(*call.m_route), id);
    const double wait = ExpectedAnswerTime(target, member.m_info.m_slots, now,
                                           service_time, has_large_answer) +
                        (member.m_info.m_domain == view.m_self.m_domain
                             ? 0
                             : kCrossDomainRoundTripUs);
    (is_local ? local : remote)
        .push_back({id, target.m_outstanding, target.m_latency_us, wait});
  }
  const bool is_cross_region = ShouldCrossRegion(local, remote, call.m_route);
  const std::vector<TargetCandidate>& candidates =
      is_cross_region ? remote : local;
  if (candidates.empty()) {
    return nullptr;
  }
  const std::size_t picked = Pick(m_balancer, candidates, m_random);
  return view.m_state.FindMember(candidates[picked].m_member);
}

void Ingress::Send(Time now,
                   CallId id,
                   Call& call,
                   const Member& member,
                   const IngressView& view,
                   Actions& out) {
  const AttemptId attempt{++m_last_attempt};
  const MemberId to = member.m_info.m_id;
  m_attempts[attempt] = {id, to, member.m_info.m_peer, now};
  TargetView& target = m_targets[to];
  RouteBasis basis{view.m_routing == nullptr ? 0 : view.m_routing->version(),
                   view.m_state.next(), target.m_outstanding, target.m_load};
  if (target.m_load_reported_at != Time::min()) {
    basis.m_load_age = now - target.m_load_reported_at;
  }
  ++target.m_outstanding;
  ++call.m_attempts;
  call.m_is_cross_region = member.m_info.m_region != view.m_self.m_region;
  call.m_open_attempts.push_back(attempt);
  call.m_tried_members.push_back(to);
  out.emplace_back(SendAttempt{id, attempt, to, member.m_info.m_peer,
                               MakeAttemptHead(now, call, view), basis});
}

AttemptHead Ingress::MakeAttemptHead(Time now,
                                     const Call& call,
                                     const IngressView& view) const {
  AttemptHead head{.m_service = call.m_head.m_service,
                   .m_slice = call.m_slice,
                   .m_request_id = call.m_request_id,
                   .m_has_caller_id = call.m_head.m_caller_id.has_value(),
                   .m_time_left = call.m_deadline - now};
  if (call.m_route != nullptr) {
    head.m_priority = RankOf(*call.m_route, call.m_tenant_priority, view);
    head.m_max_queue_wait = MaxQueueWait(now, call);
    head.m_target_latency = call.m_route->m_target_latency;
    head.m_target_latency_left =
        call.m_started + call.m_route->m_target_latency - now;
  }
  return head;
}

// A request that waits longer would be answered too late to be useful.
Duration Ingress::MaxQueueWait(Time now, const Call& call) const {
  const auto left = static_cast<double>((call.m_deadline - now).count());
  return std::max(
      Duration(1),
      Duration(static_cast<Duration::rep>(left * kMaxQueueWaitRatio)));
}

// Adds jitter, because callers that retry at the same moment would be rejected
// again.
Duration Ingress::JitteredRetryAfter(Reason reason) {
  const Duration base =
      IsOwnershipUnsettled(reason) || reason == Reason::kNoRouting
          ? kUnsettledRetryAfter
          : kOverloadRetryAfter;
  return base + Duration(static_cast<Duration::rep>(
                    m_random() % static_cast<std::uint64_t>(base.count())));
}

void Ingress::OnGateLoad(Time now,
                         AttemptId attempt,
                         const GateLoad& load,
                         std::optional<std::size_t> answer_bytes) {
  const auto it = m_attempts.find(attempt);
  if (it == m_attempts.end() || load.m_slots == 0) {
    return;
  }
  UpdateLoad(m_targets[it->second.m_member], now, load,
             answer_bytes.value_or(0) > kFragmentBytes);
  if (const auto call = m_calls.find(it->second.m_call);
      call != m_calls.end() && call->second.m_route != nullptr) {
    m_speeds.Observe(now, call->second.m_head.m_service,
                     ClassOf(*call->second.m_route), it->second.m_member,
                     load.m_own_service_time);
    if (answer_bytes) {
      m_services[call->second.m_head.m_service].m_answer_sizes.Observe(
          ClassOf(*call->second.m_route), *answer_bytes);
    }
  }
}

std::optional<MemberUtilization> Ingress::UtilizationOf(Time now,
                                                        MemberId member) const {
  const auto it = m_targets.find(member);
  if (it == m_targets.end() || !IsLoadFresh(it->second, now)) {
    return std::nullopt;
  }
  const GateLoad& load = it->second.m_load;
  const auto open = static_cast<double>(load.m_running + load.m_queued);
  return MemberUtilization{member, open / load.m_slots, load.m_service_time};
}

void Ingress::OnAttemptEnd(Time now,
                           AttemptId id,
                           Outcome outcome,
                           Reason reason,
                           const IngressView& view,
                           Actions& out) {
  const auto it = m_attempts.find(id);
  if (it == m_attempts.end()) {
    return;
  }
  const Attempt attempt = it->second;
  m_attempts.erase(it);
  Call& call = m_calls.at(attempt.m_call);
  std::erase(call.m_open_attempts, id);
  call.m_delivered_attempts += HasArrived(outcome, reason) ? 1 : 0;
  RecordOutcome(now, attempt, call, outcome, reason);
  switch (outcome) {
    case Outcome::kAnswered:
      HandleAnswered(now, attempt.m_call, call, id, reason, view, out);
      return;
    case Outcome::kNotRun:
      HandleNotRun(now, attempt.m_call, call, reason, view, out);
      return;
    case Outcome::kUnknown:
      HandleUnknown(now, attempt.m_call, call, reason, view, out);
      return;
  }
}

// Passes a target's error response on, unless another target can be tried. The
// response is kept in case no other target answers.
void Ingress::HandleAnswered(Time now,
                             CallId id,
                             Call& call,
                             AttemptId attempt,
                             Reason reason,
                             const IngressView& view,
                             Actions& out) {
  const bool may_repeat = reason == Reason::kTargetError &&
                          call.m_route != nullptr && !call.m_is_sliced &&
                          call.m_route->m_profile.m_repeatable;
  if (may_repeat && !call.m_open_attempts.empty()) {
    call.m_fallback_answer = attempt;
    SendBeside(now, id, call, RetryCost::kToken, view, out);
    return;
  }
  if (may_repeat &&
      call.m_delivered_attempts < call.m_route->m_profile.m_max_attempts &&
      Choose(now, call, view) != nullptr &&
      m_services[call.m_head.m_service].m_retry_budget.Withdraw()) {
    call.m_fallback_answer = attempt;
    TryNext(now, id, call, view, out);
    return;
  }
  Finish(id, Outcome::kAnswered, Reason::kNone, attempt, out);
}

void Ingress::OnMemberRemoved(Time now,
                              MemberId member,
                              const IngressView& view,
                              Actions& out) {
  std::vector<AttemptId> lost;
  for (const auto& [id, attempt] : m_attempts) {
    // A process that is not in the control state may still answer; the loss of
    // its connection ends its attempts.
    if (attempt.m_member == member && !view.m_is_routed) {
      lost.push_back(id);
    }
  }
  std::ranges::sort(lost);
  for (AttemptId id : lost) {
    OnAttemptEnd(now, id, Outcome::kUnknown, Reason::kPeerLost, view, out);
  }
  m_speeds.Remove(member);
  const auto target = m_targets.find(member);
  if (target != m_targets.end() &&
      (!view.m_is_routed || target->second.m_outstanding == 0)) {
    m_targets.erase(target);
  }
}

void Ingress::RecordOutcome(Time now,
                            const Attempt& attempt,
                            const Call& call,
                            Outcome outcome,
                            Reason reason) {
  TargetView& target = m_targets[attempt.m_member];
  target.m_outstanding -= target.m_outstanding > 0 ? 1 : 0;
  const bool is_failure =
      reason == Reason::kTargetShed || reason == Reason::kTargetFailed ||
      reason == Reason::kTargetUnreachable ||
      reason == Reason::kPeerUnreachable || reason == Reason::kPeerLost;
  CountAttempt(target, is_failure);
  if (outcome == Outcome::kAnswered) {
    const Duration latency = now - attempt.m_sent_at;
    const auto us = static_cast<double>(latency.count());
    target.m_latency_us =
        target.m_latency_us == 0
            ? us
            : target.m_latency_us +
                  kLatencySmoothingFactor * (us - target.m_latency_us);
    target.m_consecutive_failures = 0;
    m_services[call.m_head.m_service].m_latencies.Add(now, latency);
    return;
  }
  if (reason == Reason::kCancelled || reason == Reason::kDuplicate ||
      (call.m_route != nullptr && !is_failure)) {
    return;
  }
  RecordFailure(now, target);
}

void Ingress::HandleNotRun(Time now,
                           CallId id,
                           Call& call,
                           Reason reason,
                           const IngressView& view,
                           Actions& out) {
  call.m_last_reason = reason;
  if (!call.m_open_attempts.empty()) {
    // An attempt that only a gate rejected leaves its retry to the next one.
    const RetryCost cost = HasArrived(Outcome::kNotRun, reason)
                               ? RetryCost::kToken
                               : RetryCost::kNone;
    if (!IsFinal(reason) && CountFullGate(call, reason)) {
      SendBeside(now, id, call, cost, view, out);
    }
    return;
  }
  if (call.m_route != nullptr) {
    HandleRoutedNotRun(now, id, call, reason, view, out);
    return;
  }
  const Profile& profile = view.m_state.ProfileOf(call.m_head.m_service);
  const bool may_wait =
      now < call.m_started + profile.m_queue_wait && now < call.m_deadline;
  if (!IsFinal(reason) && may_wait) {
    if (IsOwnershipUnsettled(reason)) {
      ScheduleRetry(now, id, call);
      return;
    }
    if (call.m_attempts < profile.m_max_attempts &&
        m_services[call.m_head.m_service].m_retry_budget.Withdraw()) {
      ScheduleRetry(now, id, call);
      return;
    }
  }
  const Outcome outcome =
      call.m_may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  Finish(id, outcome, reason, AttemptId{0}, out);
}

bool Ingress::CountFullGate(Call& call, Reason reason) {
  call.m_full_gates += reason == Reason::kOverloaded ? 1 : 0;
  return call.m_full_gates <
         (call.m_is_cross_region ? kMaxFullGatesCrossRegion : kMaxFullGates);
}

// A request that a gate rejected has not reached a target, so another may be
// tried at once. A request that a target rejected counts as delivered.
void Ingress::HandleRoutedNotRun(Time now,
                                 CallId id,
                                 Call& call,
                                 Reason reason,
                                 const IngressView& view,
                                 Actions& out) {
  const Profile& profile = call.m_route->m_profile;
  if (!IsFinal(reason) && now < call.m_deadline) {
    const bool is_searching = CountFullGate(call, reason);
    const bool is_arrival = HasArrived(Outcome::kNotRun, reason);
    const bool may_arrive =
        !is_arrival ||
        (call.m_delivered_attempts < profile.m_max_attempts &&
         m_services[call.m_head.m_service].m_retry_budget.Withdraw());
    if (may_arrive && is_searching && reason != Reason::kNoTarget &&
        Choose(now, call, view) != nullptr) {
      TryNext(now, id, call, view, out);
      return;
    }
    // A key has one owner, which may have a free slot shortly.
    if (is_arrival && may_arrive && call.m_is_sliced) {
      ScheduleRetry(now, id, call);
      return;
    }
    const bool may_wait = now < call.m_started + profile.m_queue_wait;
    if (may_arrive && may_wait && IsOwnershipUnsettled(reason)) {
      ScheduleRetry(now, id, call);
      return;
    }
  }
  Finish(id, call.m_may_have_run ? Outcome::kUnknown : Outcome::kNotRun, reason,
         AttemptId{0}, out);
}

void Ingress::HandleUnknown(Time now,
                            CallId id,
                            Call& call,
                            Reason reason,
                            const IngressView& view,
                            Actions& out) {
  call.m_may_have_run = true;
  call.m_last_reason = reason;
  if (!call.m_open_attempts.empty()) {
    SendBeside(now, id, call, RetryCost::kToken, view, out);
    return;
  }
  const Profile& profile = ProfileOf(call, view);
  if (call.m_route != nullptr) {
    if (profile.m_repeatable && now < call.m_deadline &&
        call.m_delivered_attempts < profile.m_max_attempts &&
        Choose(now, call, view) != nullptr &&
        m_services[call.m_head.m_service].m_retry_budget.Withdraw()) {
      TryNext(now, id, call, view, out);
      return;
    }
    Finish(id, Outcome::kUnknown, reason, AttemptId{0}, out);
    return;
  }
  const bool is_moving = reason == Reason::kPeerLost &&
                         now < call.m_started + profile.m_queue_wait;
  if (profile.m_repeatable && is_moving && now < call.m_deadline) {
    ScheduleRetry(now, id, call);
    return;
  }
  if (profile.m_repeatable && now < call.m_deadline &&
      call.m_attempts < profile.m_max_attempts &&
      m_services[call.m_head.m_service].m_retry_budget.Withdraw()) {
    ScheduleRetry(now, id, call);
    return;
  }
  Finish(id, Outcome::kUnknown, reason, AttemptId{0}, out);
}

void Ingress::ScheduleRetry(Time now, CallId id, Call& call) {
  call.m_backoff = call.m_backoff == Duration::zero()
                       ? kInitialBackoff
                       : std::min(2 * call.m_backoff, kMaxBackoff);
  call.m_retry_at = now + call.m_backoff;
  SetTimer(id, call);
}

void Ingress::Hedge(Time now,
                    CallId id,
                    Call& call,
                    const IngressView& view,
                    Actions& out) {
  call.m_hedge_at = kNever;
  if (now >= view.m_stop.m_no_attempts_from) {
    return;
  }
  const Member* member = ChooseByLoad(now, call, view);
  if (member == nullptr || member->m_info.m_region != view.m_self.m_region ||
      !m_services[call.m_head.m_service].m_hedge_budget.Withdraw()) {
    return;
  }
  Send(now, id, call, *member, view, out);
}

void Ingress::OnCallerDisconnected(CallId id, Actions& out) {
  if (m_calls.contains(id)) {
    Finish(id, Outcome::kUnknown, Reason::kCancelled, AttemptId{0}, out);
  }
}

// Cancels the attempts that are still open when a call ends.
void Ingress::Finish(CallId id,
                     Outcome outcome,
                     Reason reason,
                     AttemptId answered,
                     Actions& out) {
  const auto it = m_calls.find(id);
  Call& call = it->second;
  if (outcome != Outcome::kAnswered && reason != Reason::kCancelled &&
      call.m_fallback_answer) {
    outcome = Outcome::kAnswered;
    reason = Reason::kNone;
    answered = *call.m_fallback_answer;
  }
  m_timers.erase({call.m_timer, id});
  for (AttemptId open : call.m_open_attempts) {
    const auto attempt = m_attempts.find(open);
    const MemberId to = attempt->second.m_member;
    if (const auto target = m_targets.find(to);
        target != m_targets.end() && target->second.m_outstanding > 0) {
      --target->second.m_outstanding;
    }
    out.emplace_back(CancelAttempt{open, std::move(attempt->second.m_to)});
    m_attempts.erase(attempt);
  }
  m_calls.erase(it);
  const Duration advice = outcome == Outcome::kNotRun
                              ? JitteredRetryAfter(reason)
                              : Duration::zero();
  out.emplace_back(FinishCall{id, outcome, reason, answered, advice});
}

void Ingress::EndCallsBy(Time end) {
  for (auto& [id, call] : m_calls) {
    call.m_deadline = std::min(call.m_deadline, end);
    SetTimer(id, call);
  }
}

void Ingress::OnTimer(Time now, const IngressView& view, Actions& out) {
  while (!m_timers.empty() && m_timers.begin()->first <= now) {
    const CallId id = m_timers.begin()->second;
    m_timers.erase(m_timers.begin());
    Call& call = m_calls.at(id);
    call.m_timer = kNever;
    if (now >= call.m_deadline) {
      const bool may_have_run =
          call.m_may_have_run || !call.m_open_attempts.empty();
      Finish(id, may_have_run ? Outcome::kUnknown : Outcome::kNotRun,
             Reason::kDeadline, AttemptId{0}, out);
    } else if (now >= call.m_retry_at) {
      TryNext(now, id, call, view, out);
    } else {
      if (now >= call.m_hedge_at) {
        Hedge(now, id, call, view, out);
      }
      SetTimer(id, call);
    }
  }
}

void Ingress::SetTimer(CallId id, Call& call) {
  m_timers.erase({call.m_timer, id});
  call.m_timer = std::min({call.m_deadline, call.m_retry_at, call.m_hedge_at});
  m_timers.insert({call.m_timer, id});
}

Time Ingress::NextDeadline() const noexcept {
  return m_timers.empty() ? kNever : m_timers.begin()->first;
}

}  // namespace figlug::core
