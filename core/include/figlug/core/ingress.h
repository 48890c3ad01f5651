#ifndef FIGLUG_CORE_INGRESS_H_
#define FIGLUG_CORE_INGRESS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "figlug/core/action.h"
#include "figlug/core/admission/answer_sizes.h"
#include "figlug/core/balance/target_speeds.h"
#include "figlug/core/balancer.h"
#include "figlug/core/control_state.h"
#include "figlug/core/ids.h"
#include "figlug/core/latency_window.h"
#include "figlug/core/outcome.h"
#include "figlug/core/routing.h"
#include "figlug/core/slice_balance.h"
#include "figlug/core/target_view.h"
#include "figlug/core/time.h"
#include "figlug/core/token_budget.h"

namespace figlug::core {

/// \brief The parts of a caller's request that routing depends on.
struct CallHead {
  std::string m_service;
  /// Empty where the service has no keys.
  std::string m_key;
  std::optional<RequestId> m_caller_id;
  /// Time that the caller waits for an answer; defaults to the profile's
  /// deadline.
  std::optional<Duration> m_deadline;
  /// Host and path that select a route when operators configure routes.
  std::string m_host;
  std::string m_path;
  /// Key of a service with numeric keys; less than kKeySpaceSize.
  std::uint32_t m_key_number = 0;
  /// Identifies the tenant where tenants are configured. Must not be logged.
  std::string m_credential;
  /// Time that the call has waited for a token of its tenant's quota.
  Duration m_waited{};
};

/// \brief Retry-After sent to callers while no configuration is loaded.
inline constexpr Duration kNoRoutingRetryAfter = std::chrono::milliseconds(500);

/// \brief Times of a graceful stop of this process; kNever while it goes on.
struct StopTimes {
  /// From here on, no call is accepted.
  Time m_no_calls_from = kNever;
  /// From here on, no attempt is sent: it might not end in time.
  Time m_no_attempts_from = kNever;
  /// By then, every call must have been answered.
  Time m_ends_at = kNever;
};

/// \brief State outside the ingress that its decisions depend on.
struct IngressView {
  const ControlState& m_state;
  const MemberInfo& m_self;
  /// Whether operators configure routes; if not, callers name services.
  bool m_is_routed = false;
  /// nullptr while no configuration is loaded.
  const RoutingTable* m_routing = nullptr;
  /// Failure domains that operators have taken out of service, in addition to
  /// those in the control state.
  const std::set<std::string, std::less<>>* m_excluded_domains = nullptr;
  /// Whether this process is shutting down and accepts no new calls.
  bool m_refuses_new_calls = false;
  StopTimes m_stop;
  /// nullptr where no tenants are configured.
  const TenantTable* m_tenants = nullptr;
  /// Time from which on a revoked credential might not be known as such.
  Time m_credentials_valid_until = kNever;
};

/// \brief Whether tenants are configured, and which one a call is of.
struct Tenancy {
  bool m_is_configured = false;
  /// Empty for a call without a known credential.
  std::string m_tenant;
};

/// \brief The tenant that a request's credential belongs to.
/// \returns nullptr for an unknown credential, or where no tenants are
/// configured.
[[nodiscard]] const Tenant* TenantOf(const CallHead& head,
                                     const IngressView& view);

/// \brief Where a request would be routed, and why.
struct RouteExplanation {
  std::string m_profile;
  std::uint64_t m_profile_version = 0;
  std::optional<SliceIndex> m_slice;
  Position m_epoch = 0;
  Reason m_reason = Reason::kNone;
  std::vector<MemberId> m_members;
};

/// \brief Routes, retries and hedges the calls that enter at one process.
///
/// \code
/// ingress.OnCall(now, wall, call, head, view, actions);
/// ingress.OnAttemptEnd(now, attempt, Outcome::kAnswered, Reason::kNone, view,
///                      actions);
/// \endcode
class Ingress {
 public:
  Ingress(AnyBalancer balancer, std::uint64_t seed)
      : m_balancer(balancer), m_random(seed) {}

  /// \brief Checks a call by its head alone, before its body is read.
  /// \returns The reason to reject it, or kNone.
  [[nodiscard]] static Reason Screen(Time now,
                                     const CallHead& head,
                                     const IngressView& view);
  void OnCall(Time now,
              WallTime wall,
              CallId call,
              const CallHead& head,
              const IngressView& view,
              Actions& out);
  void OnAttemptEnd(Time now,
                    AttemptId attempt,
                    Outcome outcome,
                    Reason reason,
                    const IngressView& view,
                    Actions& out);
  /// \brief The connection of an open attempt has been silent, and its gate
  /// may be standing still. Sends another beside it if the call may be repeated
  /// and a target is left; the first answer ends the call.
  void OnAttemptSilent(Time now,
                       AttemptId attempt,
                       const IngressView& view,
                       Actions& out);
  /// \brief Handles the removal of a member; its open attempts end without an
  /// answer.
  void OnMemberRemoved(Time now,
                       MemberId member,
                       const IngressView& view,
                       Actions& out);
  /// \brief Records the load that a gate reported with a reply.
  /// \param answer_bytes Size of the body of a target's answer; unset for any
  /// other reply.
  void OnGateLoad(Time now,
                  AttemptId attempt,
                  const GateLoad& load,
                  std::optional<std::size_t> answer_bytes);
  /// \brief Cancels a call whose caller has closed its connection.
  void OnCallerDisconnected(CallId call, Actions& out);
  /// \brief Lets no open call last longer than until `end`.
  void EndCallsBy(Time end);
  void OnTimer(Time now, const IngressView& view, Actions& out);
  [[nodiscard]] Time NextDeadline() const noexcept;
  /// \brief A target's utilization as its gate reported it.
  /// \returns Nothing without a recent report.
  [[nodiscard]] std::optional<MemberUtilization> UtilizationOf(
      Time now,
      MemberId member) const;
  [[nodiscard]] std::size_t open_calls() const noexcept {
    return m_calls.size();
  }

  /// \brief Explains where a request would be routed.
  [[nodiscard]] static RouteExplanation Explain(Time now,
                                                const CallHead& head,
                                                const IngressView& view);
  /// \brief When a caller that got "not run" may retry.
  [[nodiscard]] Duration JitteredRetryAfter(Reason reason);

 private:
  struct Attempt {
    CallId m_call{0};
    MemberId m_member = kNoMember;
    /// Where the attempt was sent: the member may be removed, or rejoin under
    /// another id, while its process still has the attempt.
    Endpoint m_to;
    Time m_sent_at{};
    /// Its connection has been silent since it was sent.
    bool m_is_silent = false;
  };
  /// What an attempt beside others takes from the retry budget.
  enum class RetryCost : std::uint8_t { kNone, kToken };
  struct Call {
    CallHead m_head;
    /// Set only when operators configure routes.
    std::shared_ptr<const Route> m_route;
    /// The tenant's home regions and priority when the call began.
    std::vector<std::string> m_tenant_regions;
    std::optional<std::uint32_t> m_tenant_priority;
    bool m_is_sliced = false;
    RequestId m_request_id;
    SliceIndex m_slice = 0;
    Time m_started{};
    Time m_deadline{};
    Time m_retry_at = kNever;
    Time m_hedge_at = kNever;
    Time m_timer = kNever;
    Duration m_backoff{};
    std::uint32_t m_attempts = 0;
    /// Attempts that reached a target or may have reached one.
    std::uint32_t m_delivered_attempts = 0;
    /// Gates that rejected the call because no slot was free.
    std::uint32_t m_full_gates = 0;
    /// Whether the last attempt went to the other region.
    bool m_is_cross_region = false;
    /// A target's error response, returned if no other target answers.
    std::optional<AttemptId> m_fallback_answer;
    bool m_may_have_run = false;
    Reason m_last_reason = Reason::kNone;
    std::vector<AttemptId> m_open_attempts;
    std::vector<MemberId> m_tried_members;
  };
  struct ServiceState {
    TokenBudget m_retry_budget;
    TokenBudget m_hedge_budget;
    LatencyWindow m_latencies{std::chrono::seconds(2)};
    AnswerSizes m_answer_sizes;
  };

  [[nodiscard]] static SliceIndex SliceOfCall(const Profile& profile,
                                              const CallHead& head,
                                              const RequestId& id);
  [[nodiscard]] static const Profile& ProfileOf(const Call& call,
                                                const IngressView& view);
  void TryNext(Time now,
               CallId id,
               Call& call,
               const IngressView& view,
               Actions& out);
  [[nodiscard]] const Member* Choose(Time now,
                                     const Call& call,
                                     const IngressView& view);
  [[nodiscard]] const Member* ChooseByLoad(Time now,
                                           const Call& call,
                                           const IngressView& view);
  void Send(Time now,
            CallId id,
            Call& call,
            const Member& member,
            const IngressView& view,
            Actions& out);
  /// \brief Sends an attempt beside the open ones if all of them are silent.
  void SendBeside(Time now,
                  CallId id,
                  Call& call,
                  RetryCost cost,
                  const IngressView& view,
                  Actions& out);
  /// \brief Whether one more attempt keeps to the limit of attempts that reach
  /// a target.
  [[nodiscard]] static bool MayArriveAgain(const Call& call,
                                           const Profile& profile);
  /// \brief Takes a retry from the service's budget.
  /// \returns Whether the call may be sent again.
  [[nodiscard]] bool WithdrawRetry(Time now,
                                   const Call& call,
                                   const Profile& profile);
  /// \brief Counts a gate that is full.
  /// \returns Whether others may be asked.
  static bool CountFullGate(Call& call, Reason reason);
  void RecordOutcome(Time now,
                     const Attempt& attempt,
                     const Call& call,
                     Outcome outcome,
                     Reason reason);
  void HandleNotRun(Time now,
                    CallId id,
                    Call& call,
                    Reason reason,
                    const IngressView& view,
                    Actions& out);
  void HandleUnknown(Time now,
                     CallId id,
                     Call& call,
                     Reason reason,
                     const IngressView& view,
                     Actions& out);
  void HandleAnswered(Time now,
                      CallId id,
                      Call& call,
                      AttemptId attempt,
                      Reason reason,
                      const IngressView& view,
                      Actions& out);
  void HandleRoutedNotRun(Time now,
                          CallId id,
                          Call& call,
                          Reason reason,
                          const IngressView& view,
                          Actions& out);
  void ScheduleRetry(Time now, CallId id, Call& call);
  void StartRoutedCall(Time now, Call& call, const IngressView& view);
  /// \brief Whether the body of a call may be sent to a region.
  [[nodiscard]] static bool MayEnterRegion(const Call& call,
                                           const IngressView& view,
                                           std::string_view region);
  [[nodiscard]] const std::string& ChooseBackend(const Route& route);
  [[nodiscard]] const Member* ChooseHolder(const Call& call,
                                           const IngressView& view) const;
  [[nodiscard]] AttemptHead MakeAttemptHead(Time now,
                                            const Call& call,
                                            const IngressView& view) const;
  [[nodiscard]] Duration MaxQueueWait(Time now, const Call& call) const;
  void Hedge(Time now,
             CallId id,
             Call& call,
             const IngressView& view,
             Actions& out);
  void Finish(CallId id,
              Outcome outcome,
              Reason reason,
              AttemptId answered,
              Actions& out);
  void SetTimer(CallId id, Call& call);

  AnyBalancer m_balancer;
  Random m_random;
  std::uint64_t m_last_attempt = 0;
  std::unordered_map<CallId, Call> m_calls;
  std::unordered_map<AttemptId, Attempt> m_attempts;
  std::set<std::pair<Time, CallId>> m_timers;
  std::unordered_map<MemberId, TargetView> m_targets;
  std::map<std::string, ServiceState, std::less<>> m_services;
  /// Learned only where gates report the service time of single requests.
  TargetSpeeds m_speeds;
  /// Current weights of smooth weighted round robin for each route's
  /// backends, by route name.
  std::map<std::string, std::vector<std::int64_t>, std::less<>>
      m_backend_current_weights;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_INGRESS_H_
