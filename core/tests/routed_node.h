#ifndef FIGLUG_CORE_TESTS_ROUTED_NODE_H_
#define FIGLUG_CORE_TESTS_ROUTED_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "figlug/core/node.h"

namespace figlug::core {

/// \brief Test fixture: one node with the operators' routing, a simulated log
/// and a simulated clock.
///
/// The service `catalogue` is keyed; `orders` and `archive` are not.
class RoutedNode {
 public:
  static constexpr std::int64_t kTargetBornMs = 1000;

  /// \param service Service of the target beside the node.
  explicit RoutedNode(std::string service,
                      std::string domain = "d1",
                      HoldDelivery delivery = HoldDelivery::kPulled,
                      MemberId id = MemberId{77})
      : m_settings(
            MakeSettings(std::move(service), std::move(domain), delivery, id)),
        m_node(m_settings, At()) {}

  /// \param change Changes the node's settings before it starts.
  RoutedNode(std::string service,
             const std::function<void(NodeSettings&)>& change)
      : m_settings([&] {
          NodeSettings settings = MakeSettings(
              std::move(service), "d1", HoldDelivery::kPulled, MemberId{77});
          change(settings);
          return settings;
        }()),
        m_node(m_settings, At()) {}

  [[nodiscard]] static std::shared_ptr<const RoutingTable> Table(
      std::uint64_t version) {
    RoutingConfig routing{.m_version = version};
    routing.m_services = {
        {.m_name = "catalogue", .m_keyed = true, .m_cold_rate = 10},
        {.m_name = "orders", .m_cold_rate = 10},
        {.m_name = "archive"}};
    routing.m_routes = {
        MakeRoute("browse", "/browse/", {{"catalogue", 1}}),
        MakeRoute("order", "/order/", {{"orders", 1}}),
        MakeRoute("archive", "/archive/", {{"archive", 1}}),
        MakeRoute("split", "/split/", {{"orders", 90}, {"archive", 10}}),
        MakeRoute("long", "/long/", {{"orders", 1}})};
    routing.m_routes.back().m_timeout = std::chrono::seconds(20);
    routing.m_routes[1].m_profile.m_repeatable = false;
    return *RoutingTable::Make(std::move(routing));
  }

  /// \brief Starts the node, applies the records and sets the routing.
  void Start(const std::vector<LogEntry>& log = {}) {
    m_log = log;
    m_node.OnStart(At(), 0, ControlState(), Sink());
    m_node.OnLogHealth(At(), true);
    m_node.OnRecords(At(), m_log, Sink());
    m_node.OnCaughtUp(At(), Sink());
    m_node.OnRouting(At(), Table(1), Sink());
  }
  /// \brief Advances the clock by 1.5 s, in which a joined member gets its
  /// slices; less than the time after which a silent target counts as lost.
  void Settle() {
    for (int i = 0; i < 150; ++i) {
      Advance(std::chrono::milliseconds(10));
    }
  }
  /// \brief Advances the clock, runs the timer, and adds what the node appends
  /// to the log.
  void Advance(Duration span) {
    m_time += span;
    m_node.OnTimer(At(), Sink());
    ApplyAppends();
  }
  [[nodiscard]] Time now() const { return At().m_time; }
  /// \brief Advances the clock without running the timer or changing the log.
  void Sleep(Duration span) { m_time += span; }
  /// \brief Appends a record to the log and delivers it to the node.
  void Record(Record record) {
    m_log.push_back(
        {m_log.size(), AppendId{1'000'000 + m_log.size()}, std::move(record)});
    m_node.OnRecords(At(), std::vector<LogEntry>{m_log.back()}, Sink());
  }
  /// \brief Delivers a heartbeat report of the target.
  HoldGrant Report(std::vector<KeyRange> held = {},
                   bool is_draining = false,
                   Duration cold_time_left = {},
                   std::int64_t born_ms = kTargetBornMs) {
    return m_node.OnTargetReport(
        At(), MakeReport(held, is_draining, cold_time_left, born_ms), Sink());
  }
  [[nodiscard]] TargetReport MakeReport(std::vector<KeyRange> held,
                                        bool is_draining,
                                        Duration cold_time_left,
                                        std::int64_t born_ms) {
    return {.m_target = "t" + std::to_string(born_ms),
            .m_service = m_settings.m_self.m_service,
            .m_start_ms = born_ms,
            .m_sequence = ++m_sequence,
            .m_slots = 2,
            .m_is_draining = is_draining,
            .m_cold_time_left = cold_time_left,
            .m_held = std::move(held)};
  }
  /// \brief Delivers the target's answer to a call that grants or releases
  /// keys.
  void EndHoldCall(HoldCallId call,
                   HoldResult result,
                   std::string handover = "") {
    m_node.OnHoldResult(At(), call, {result, std::move(handover)}, Sink());
  }
  /// \brief The time of day jumps; the steady clock goes on.
  void StepClock(std::chrono::milliseconds step) { m_wall += step; }
  /// \brief Delivers an attempt that another process sends to this gate.
  WorkId Attempt(std::string service,
                 SliceIndex slice = 0,
                 std::uint32_t priority = 0,
                 Duration max_wait = std::chrono::milliseconds(500)) {
    return Attempt({.m_service = std::move(service),
                    .m_slice = slice,
                    .m_time_left = std::chrono::seconds(1),
                    .m_priority = priority,
                    .m_max_queue_wait = max_wait});
  }
  WorkId Attempt(const AttemptHead& head) {
    const WorkId work{++m_last_work};
    m_node.OnAttempt(At(), work, head, AttemptOrigin::kPeer, Sink());
    return work;
  }
  /// \brief Delivers an attempt of this node's own ingress.
  WorkId OwnAttempt(const AttemptHead& head) {
    const WorkId work{++m_last_work};
    m_node.OnAttempt(At(), work, head, AttemptOrigin::kOwnIngress, Sink());
    return work;
  }
  /// \brief The ingress no longer waits for the result of work.
  void Withdraw(WorkId work) { m_node.OnWorkCancelled(At(), work, Sink()); }
  /// \brief Delivers a gate's result for an attempt of this node.
  void EndAttempt(AttemptId attempt, Outcome outcome, Reason reason) {
    m_node.OnAttemptEnd(At(), attempt, outcome, reason, Sink());
  }
  /// \brief The connection of an attempt of this node has been silent.
  void Silence(AttemptId attempt) {
    m_node.OnAttemptSilent(At(), attempt, Sink());
  }
  /// \brief Delivers a datagram from another member.
  void Deliver(const Datagram& datagram) {
    m_node.OnDatagram(At(), datagram, Sink());
  }
  [[nodiscard]] Duration ReadDelay() const {
    return m_node.ReadDelay(At().m_time);
  }
  [[nodiscard]] Duration LogReadDelay() const {
    return m_node.LogReadDelay(At().m_time);
  }
  void Answer(WorkId work) { Finish(work, {}); }
  void Answer(WorkId work, TargetNotice notice) {
    TargetResult result;
    result.m_notice = std::move(notice);
    Finish(work, result);
  }
  void Finish(WorkId work, const TargetResult& result) {
    m_node.OnTargetResult(At(), work, result, Sink());
  }
  CallId Call(std::string path, std::uint32_t key = 0) {
    const CallId call{++m_last_call};
    CallHead head{.m_host = "shop.example"};
    head.m_path = std::move(path);
    head.m_key_number = key;
    m_node.OnCall(At(), call, head, Sink());
    return call;
  }

  /// \brief Actions of one type since the last ClearActions().
  template <class Action>
  [[nodiscard]] std::vector<Action> ActionsOf() const {
    std::vector<Action> found;
    for (const core::Action& action : m_actions) {
      if (const auto* typed = std::get_if<Action>(&action)) {
        found.push_back(*typed);
      }
    }
    return found;
  }
  void ClearActions() { m_actions.clear(); }
  void AddAction(Action&& action) { m_actions.push_back(std::move(action)); }
  [[nodiscard]] bool IsDispatched(WorkId work) const {
    for (const DispatchWork& dispatch : ActionsOf<DispatchWork>()) {
      if (dispatch.m_work == work) {
        return true;
      }
    }
    return false;
  }
  [[nodiscard]] std::optional<FinishAttempt> ResultOf(WorkId work) const {
    for (const FinishAttempt& end : ActionsOf<FinishAttempt>()) {
      if (end.m_work == work) {
        return end;
      }
    }
    return std::nullopt;
  }
  template <class Typed>
  [[nodiscard]] bool HasAppended() const {
    for (const LogEntry& entry : m_log) {
      if (std::holds_alternative<Typed>(entry.m_record)) {
        return true;
      }
    }
    return false;
  }

  [[nodiscard]] Now At() const { return {m_time, m_wall}; }
  [[nodiscard]] Node& node() { return m_node; }
  [[nodiscard]] const std::vector<LogEntry>& log() const { return m_log; }
  [[nodiscard]] static MemberInfo OtherMember(std::uint64_t id,
                                              std::string service) {
    return {.m_id = MemberId{id},
            .m_service = std::move(service),
            .m_target = "other" + std::to_string(id),
            .m_region = "r1",
            .m_domain = "d2",
            .m_peer = {"10.0.0." + std::to_string(id), 1},
            .m_target_start_ms = 1,
            .m_slots = 2,
            .m_slice_count = 256};
  }

 private:
  static Route MakeRoute(std::string name,
                         std::string prefix,
                         std::vector<Backend> backends) {
    Route route{.m_name = std::move(name),
                .m_host = "shop.example",
                .m_prefix = std::move(prefix),
                .m_timeout = std::chrono::seconds(1),
                .m_target_latency = std::chrono::milliseconds(500),
                .m_backends = std::move(backends)};
    route.m_profile.m_repeatable = true;
    route.m_profile.m_max_attempts = 2;
    return route;
  }
  static NodeSettings MakeSettings(std::string service,
                                   std::string domain,
                                   HoldDelivery delivery,
                                   MemberId id) {
    NodeSettings settings;
    settings.m_self.m_id = id;
    // Ids of appends are random, and differ between processes.
    settings.m_seed = static_cast<std::uint64_t>(id) - 76;
    settings.m_self.m_service = std::move(service);
    settings.m_self.m_region = "r1";
    settings.m_self.m_domain = std::move(domain);
    settings.m_self.m_peer = {"10.0.0.77", 1};
    settings.m_is_routed = true;
    settings.m_hold_delivery = delivery;
    settings.m_target_report_timeout = std::chrono::milliseconds(2300);
    settings.m_min_stop_time = std::chrono::milliseconds(2700);
    settings.m_stop_admission_time = std::chrono::seconds(3);
    settings.m_stop_limit = std::chrono::seconds(6);
    return settings;
  }
  [[nodiscard]] std::function<void(Action&&)> Sink() {
    return [this](Action&& action) { m_actions.push_back(std::move(action)); };
  }
  void ApplyAppends() {
    std::vector<LogEntry> fresh;
    for (const AppendRecord& append : ActionsOf<AppendRecord>()) {
      if (m_appended.insert(append.m_id).second) {
        m_log.push_back({m_log.size(), append.m_id, append.m_record});
        fresh.push_back(m_log.back());
      }
    }
    if (!fresh.empty()) {
      m_node.OnRecords(At(), fresh, Sink());
    }
  }

  Time m_time{std::chrono::seconds(100)};
  WallTime m_wall{std::chrono::milliseconds(1'000'000)};
  NodeSettings m_settings;
  Node m_node;
  Actions m_actions;
  std::vector<LogEntry> m_log;
  std::set<AppendId> m_appended;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_last_work = 0;
  std::uint64_t m_last_call = 0;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_TESTS_ROUTED_NODE_H_
