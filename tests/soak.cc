#include "soak.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <utility>

#include "checkers.h"
#include "programs.h"

namespace figlug::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kKeys = 60;
constexpr core::Duration kMinFaultDuration = milliseconds(200);
constexpr core::Duration kMaxFaultDuration = milliseconds(3500);
/// Minimum time between two checks of the targets' records during the faults.
constexpr core::Duration kCheckInterval = seconds(2);
/// The default stop limit of the settings, with a margin.
constexpr core::Duration kStopTimeout = seconds(25);
/// Time in which the cluster has to recover once all faults are over.
constexpr core::Duration kRecoveryTimeout = seconds(60);

constexpr std::array kFaults = {
    std::pair(FaultKind::kKillNode, "kill node"),
    std::pair(FaultKind::kFreezeNode, "freeze node"),
    std::pair(FaultKind::kStopNode, "stop node"),
    std::pair(FaultKind::kKillTarget, "kill target"),
    std::pair(FaultKind::kSlowTarget, "slow target"),
    std::pair(FaultKind::kCutPair, "cut pair"),
    std::pair(FaultKind::kCutInbound, "cut to node"),
    std::pair(FaultKind::kCutOutbound, "cut from node"),
    std::pair(FaultKind::kSlowLink, "delay and loss to node"),
    std::pair(FaultKind::kResetConnections, "reset connections to node"),
    std::pair(FaultKind::kCutFromLog, "cut from log"),
    std::pair(FaultKind::kLogDown, "log down"),
    std::pair(FaultKind::kLogSlow, "log slow"),
    std::pair(FaultKind::kLogLosesReplies, "log loses replies"),
    std::pair(FaultKind::kLogRestored, "log restored from a copy"),
    std::pair(FaultKind::kSilentConnections, "silent connections of node"),
};
/// Number of the last kinds, which are drawn on request only.
constexpr std::size_t kOptionalFaults = 2;
/// Time between two restores in a row.
constexpr core::Duration kRepeatedRestoreDelay = milliseconds(300);
/// Of the seeds with restores, one in this many ends with a loss of all nodes.
constexpr std::uint64_t kSeedsPerFinalLoss = 3;
/// Age of the copy at the restore before or after the loss of all nodes.
constexpr core::Duration kFinalCopyAge = seconds(2);
/// Time after the start of the nodes within which most have not joined.
constexpr core::Duration kStartDelay = milliseconds(300);

bool IsProcessFault(FaultKind kind) {
  return kind == FaultKind::kKillNode || kind == FaultKind::kFreezeNode ||
         kind == FaultKind::kStopNode || kind == FaultKind::kKillTarget ||
         kind == FaultKind::kSlowTarget;
}

// Two faults of one process at a time would mask each other.
bool Conflicts(const ScheduledFault& a, const ScheduledFault& b) {
  return IsProcessFault(a.m_kind) && IsProcessFault(b.m_kind) &&
         a.m_node == b.m_node && a.m_begin < b.m_end && b.m_begin < a.m_end;
}

std::string Link(const char* kind, std::size_t node) {
  return kind + std::to_string(node);
}

LoadOptions MakeLoadOptions(const Cluster& cluster,
                            const SoakOptions& options) {
  LoadOptions load{.m_service = "orders",
                   .m_ingresses = {},
                   .m_rate = options.m_rate,
                   .m_keys = kKeys,
                   .m_timeout = seconds(3),
                   .m_seed = options.m_seed};
  for (std::size_t node = 0; node < options.m_nodes; ++node) {
    load.m_ingresses.push_back(cluster.HttpEndpointOf(node));
  }
  return load;
}

}  // namespace

std::vector<ScheduledFault> PlanFaults(const SoakOptions& options) {
  std::mt19937_64 random(options.m_seed);
  const auto below = [&](std::uint64_t bound) { return random() % bound; };
  const auto span = [&](core::Duration least, core::Duration most) {
    return least + core::Duration(static_cast<core::Duration::rep>(below(
                       static_cast<std::uint64_t>((most - least).count()))));
  };
  std::vector<ScheduledFault> faults;
  const std::size_t kinds =
      kFaults.size() - (options.m_restores_log ? 0 : kOptionalFaults);
  while (faults.size() < options.m_faults) {
    ScheduledFault fault{.m_kind = kFaults[below(kinds)].first,
                         .m_node = below(options.m_nodes)};
    if (options.m_restores_log && faults.empty()) {
      fault.m_kind = FaultKind::kLogRestored;
    }
    fault.m_other =
        (fault.m_node + 1 + below(options.m_nodes - 1)) % options.m_nodes;
    fault.m_begin = span({}, options.m_span);
    fault.m_end = fault.m_begin + span(kMinFaultDuration, kMaxFaultDuration);
    if (std::ranges::none_of(faults, [&](const ScheduledFault& other) {
          return Conflicts(fault, other);
        })) {
      faults.push_back(fault);
    }
  }
  std::ranges::sort(faults, {}, &ScheduledFault::m_begin);
  return faults;
}

std::string Describe(const ScheduledFault& fault) {
  const auto* name = std::ranges::find(
      kFaults, fault.m_kind, [](const auto& known) { return known.first; });
  const auto in_ms = [](core::Duration time) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(time).count());
  };
  return in_ms(fault.m_begin) + " to " + in_ms(fault.m_end) +
         " ms: " + name->second + " " + std::to_string(fault.m_node) +
         (fault.m_kind == FaultKind::kCutPair
              ? " and " + std::to_string(fault.m_other)
              : "");
}

// The targets accept any fence, so that a second owner of a key would not be
// masked by the targets' own check.
Soak::Soak(const SoakOptions& options)
    : m_options(options),
      m_schedule(PlanFaults(options)),
      m_cluster(BuiltPrograms(),
                SpreadNodes(options.m_nodes, "orders", {"--no-fence"})),
      m_load(m_cluster.loop(), MakeLoadOptions(m_cluster, options)) {}

std::vector<Soak::Change> Soak::Changes() const {
  std::vector<Change> changes;
  for (std::size_t i = 0; i < m_schedule.size(); ++i) {
    changes.push_back({m_schedule[i].m_begin, i, true});
    changes.push_back({m_schedule[i].m_end, i, false});
  }
  std::ranges::sort(changes, {}, &Change::m_at);
  return changes;
}

std::string Soak::Run() {
  m_cluster.StartAll();
  if (!m_cluster.WaitReady()) {
    return "nodes were not ready after startup";
  }
  m_load.Start();
  core::Duration now{};
  core::Duration next_check = kCheckInterval;
  for (const Change& change : Changes()) {
    m_cluster.RunFor(change.m_at - now);
    now = change.m_at;
    const ScheduledFault& fault = m_schedule[change.m_fault_index];
    change.m_is_begin ? BeginFault(fault) : EndFault(fault);
    if (now >= next_check) {
      next_check = now + kCheckInterval;
      if (std::string violation = CheckInvariants(); !violation.empty()) {
        return violation;
      }
    }
  }
  ClearNetworkAndLogFaults();
  if (m_options.m_restores_log && m_options.m_seed % kSeedsPerFinalLoss == 0) {
    LoseAllNodes();
    if (!m_cluster.WaitUntil([&] { return m_cluster.ForceDownLostMembers(); },
                             kRecoveryTimeout)) {
      return "lost members were not removed after the loss of all nodes";
    }
  }
  if (!m_cluster.WaitReady(kRecoveryTimeout)) {
    return "not all nodes became ready again after the faults";
  }
  if (!m_cluster.WaitUntil([&] { return ServesAllKeys(); }, kRecoveryTimeout)) {
    return "not all keys were served again after the faults";
  }
  m_load.Stop();
  if (!m_cluster.WaitUntil([&] { return m_load.open() == 0; })) {
    return "requests were still open after the load stopped";
  }
  return CheckInvariants();
}

void Soak::BeginFault(const ScheduledFault& fault) {
  const std::size_t node = fault.m_node;
  switch (fault.m_kind) {
    case FaultKind::kKillNode:
      m_cluster.KillNode(node);
      break;
    case FaultKind::kFreezeNode:
      m_cluster.NodeProcess(node).Signal(SIGSTOP);
      break;
    case FaultKind::kStopNode:
      m_cluster.NodeProcess(node).Signal(SIGTERM);
      break;
    case FaultKind::kKillTarget:
      m_cluster.KillTarget(node);
      break;
    case FaultKind::kSlowTarget:
      m_cluster.ConfigureTarget(node, "service_us=400000");
      break;
    case FaultKind::kCutPair:
      m_cluster.SetPartition(node, fault.m_other, true);
      break;
    case FaultKind::kCutInbound:
      m_cluster.SetLinkFaults("*", Link("node-", node), "cut=1");
      break;
    case FaultKind::kCutOutbound:
      m_cluster.SetLinkFaults(m_cluster.HostOf(node), "*", "cut=1");
      break;
    case FaultKind::kSlowLink:
      m_cluster.SetLinkFaults("*", Link("node-", node),
                              "delay_us=80000&loss=200");
      break;
    case FaultKind::kResetConnections:
      m_cluster.ResetConnections(Link("node-", node));
      break;
    case FaultKind::kCutFromLog:
      m_cluster.SetLinkFaults("*", Link("log-", node), "cut=1");
      break;
    case FaultKind::kLogDown:
      m_cluster.SetLogFaults("down=1");
      break;
    case FaultKind::kLogSlow:
      m_cluster.SetLogFaults("slow_ms=400");
      break;
    case FaultKind::kLogLosesReplies:
      m_cluster.SetLogFaults("lose_replies=5");
      break;
    case FaultKind::kLogRestored:
      m_cluster.SetLogFaults("copy=1");
      break;
    case FaultKind::kSilentConnections:
      m_cluster.SilenceConnections(m_cluster.HostOf(node), "*");
      m_cluster.SilenceConnections("*", Link("node-", node));
      break;
  }
}

void Soak::EndFault(const ScheduledFault& fault) {
  const std::size_t node = fault.m_node;
  switch (fault.m_kind) {
    case FaultKind::kKillNode:
      m_cluster.StartNode(node);
      break;
    case FaultKind::kFreezeNode:
      m_cluster.NodeProcess(node).Signal(SIGCONT);
      break;
    case FaultKind::kStopNode:
      RestartStoppedNode(node);
      break;
    case FaultKind::kKillTarget:
      m_cluster.StartTarget(node);
      break;
    case FaultKind::kSlowTarget:
      m_cluster.ConfigureTarget(node, "service_us=1000");
      break;
    case FaultKind::kCutPair:
      m_cluster.SetPartition(node, fault.m_other, false);
      break;
    case FaultKind::kCutInbound:
      m_cluster.SetLinkFaults("*", Link("node-", node), "cut=0");
      break;
    case FaultKind::kCutOutbound:
      m_cluster.SetLinkFaults(m_cluster.HostOf(node), "*", "cut=0");
      break;
    case FaultKind::kSlowLink:
      m_cluster.SetLinkFaults("*", Link("node-", node), "delay_us=0&loss=0");
      break;
    case FaultKind::kCutFromLog:
      m_cluster.SetLinkFaults("*", Link("log-", node), "cut=0");
      break;
    case FaultKind::kLogDown:
      m_cluster.SetLogFaults("down=0");
      break;
    case FaultKind::kLogSlow:
      m_cluster.SetLogFaults("slow_ms=0");
      break;
    case FaultKind::kLogLosesReplies:
      m_cluster.SetLogFaults("lose_replies=0");
      break;
    case FaultKind::kLogRestored:
      RestoreLog(fault.m_other % 2 == 1);
      break;
    case FaultKind::kResetConnections:
    case FaultKind::kSilentConnections:
      break;
  }
}

// Kills a process whose graceful stop is delayed by other faults beyond the
// limit, as a platform would do.
void Soak::RestartStoppedNode(std::size_t node) {
  static_cast<void>(m_cluster.WaitUntil(
      [&] { return m_cluster.NodeProcess(node).Poll().has_value(); },
      kStopTimeout));
  m_cluster.KillNode(node);
  m_cluster.StartNode(node);
}

void Soak::RestoreLog(bool is_repeated) {
  m_cluster.SetLogFaults("restore=1");
  if (is_repeated) {
    m_cluster.RunFor(kRepeatedRestoreDelay);
    m_cluster.SetLogFaults("restore=1");
  }
}

// The log is restored while the nodes start, or before all are lost.
void Soak::LoseAllNodes() {
  const bool is_restored_first = m_options.m_seed % 2 == 0;
  m_cluster.SetLogFaults("copy=1");
  m_cluster.RunFor(kFinalCopyAge);
  if (is_restored_first) {
    RestoreLog(false);
    m_cluster.RunFor(kStartDelay);
  }
  for (std::size_t node = 0; node < m_options.m_nodes; ++node) {
    m_cluster.KillNode(node);
  }
  for (std::size_t node = 0; node < m_options.m_nodes; ++node) {
    m_cluster.StartNode(node);
  }
  if (!is_restored_first) {
    m_cluster.RunFor(kStartDelay);
    RestoreLog(true);
  }
}

void Soak::ClearNetworkAndLogFaults() {
  for (const ScheduledFault& fault : m_schedule) {
    if (!IsProcessFault(fault.m_kind) &&
        fault.m_kind != FaultKind::kLogRestored) {
      EndFault(fault);
    }
  }
}

std::string Soak::CheckInvariants() const {
  const std::vector<ExecutionEvent> events = m_cluster.ExecutionEvents();
  const std::string owners = FindConcurrentOwners(events);
  return owners.empty() ? FindIncorrectOutcome(events, m_load.results())
                        : owners;
}

bool Soak::ServesAllKeys() {
  for (std::uint32_t key = 0; key < kKeys; ++key) {
    const auto answer =
        m_cluster.Get(key % m_options.m_nodes, "key" + std::to_string(key));
    if (!answer || answer->m_status != 200) {
      return false;
    }
  }
  return true;
}

}  // namespace figlug::testing
