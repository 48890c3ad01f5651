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
constexpr core::Duration kLeastFault = milliseconds(200);
constexpr core::Duration kMostFault = milliseconds(3500);
/// Time between two looks at the targets' records.
constexpr core::Duration kJudgePeriod = seconds(2);
/// Time for a planned stop, the default of the settings, and some more.
constexpr core::Duration kStopLimit = seconds(25);
/// Time in which everything has to serve again once all faults are over.
constexpr core::Duration kRecovery = seconds(60);

constexpr std::array kFaults = {
    std::pair(SoakFault::kKillNode, "kill node"),
    std::pair(SoakFault::kFreezeNode, "freeze node"),
    std::pair(SoakFault::kStopNode, "stop node"),
    std::pair(SoakFault::kKillTarget, "kill target"),
    std::pair(SoakFault::kSlowTarget, "slow target"),
    std::pair(SoakFault::kCutPair, "cut pair"),
    std::pair(SoakFault::kCutInbound, "cut to node"),
    std::pair(SoakFault::kCutOutbound, "cut from node"),
    std::pair(SoakFault::kSlowLink, "delay and loss to node"),
    std::pair(SoakFault::kResetConnections, "reset connections to node"),
    std::pair(SoakFault::kCutFromLog, "cut from log"),
    std::pair(SoakFault::kLogDown, "log down"),
    std::pair(SoakFault::kLogSlow, "log slow"),
    std::pair(SoakFault::kLogLosesReplies, "log loses replies"),
};

bool IsProcessFault(SoakFault fault) {
  return fault == SoakFault::kKillNode || fault == SoakFault::kFreezeNode ||
         fault == SoakFault::kStopNode || fault == SoakFault::kKillTarget ||
         fault == SoakFault::kSlowTarget;
}

// Two signals to one process at a time would only hide each other.
bool Clashes(const SoakStep& a, const SoakStep& b) {
  return IsProcessFault(a.m_fault) && IsProcessFault(b.m_fault) &&
         a.m_node == b.m_node && a.m_begin < b.m_end && b.m_begin < a.m_end;
}

std::string Link(const char* kind, std::size_t node) {
  return kind + std::to_string(node);
}

LoadOptions MakeLoad(const Cluster& cluster, const SoakOptions& options) {
  LoadOptions load{.m_service = "orders",
                   .m_ingresses = {},
                   .m_rate = options.m_rate,
                   .m_keys = kKeys,
                   .m_timeout = seconds(3),
                   .m_seed = options.m_seed};
  for (std::size_t node = 0; node < options.m_nodes; ++node) {
    load.m_ingresses.push_back(cluster.HttpOf(node));
  }
  return load;
}

}  // namespace

std::vector<SoakStep> PlanSoak(const SoakOptions& options) {
  std::mt19937_64 random(options.m_seed);
  const auto below = [&](std::uint64_t bound) { return random() % bound; };
  const auto span = [&](core::Duration least, core::Duration most) {
    return least + core::Duration(static_cast<core::Duration::rep>(below(
                       static_cast<std::uint64_t>((most - least).count()))));
  };
  std::vector<SoakStep> steps;
  while (steps.size() < options.m_faults) {
    SoakStep step{.m_fault = kFaults[below(kFaults.size())].first,
                  .m_node = below(options.m_nodes)};
    step.m_other =
        (step.m_node + 1 + below(options.m_nodes - 1)) % options.m_nodes;
    step.m_begin = span({}, options.m_span);
    step.m_end = step.m_begin + span(kLeastFault, kMostFault);
    if (std::ranges::none_of(steps, [&](const SoakStep& other) {
          return Clashes(step, other);
        })) {
      steps.push_back(step);
    }
  }
  std::ranges::sort(steps, {}, &SoakStep::m_begin);
  return steps;
}

std::string Describe(const SoakStep& step) {
  const auto* name = std::ranges::find(
      kFaults, step.m_fault, [](const auto& known) { return known.first; });
  const auto in_ms = [](core::Duration time) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(time).count());
  };
  return in_ms(step.m_begin) + " to " + in_ms(step.m_end) +
         " ms: " + name->second + " " + std::to_string(step.m_node) +
         (step.m_fault == SoakFault::kCutPair
              ? " and " + std::to_string(step.m_other)
              : "");
}

// The targets check no fence, so that figlug alone keeps a key with one owner.
Soak::Soak(const SoakOptions& options)
    : m_options(options),
      m_steps(PlanSoak(options)),
      m_cluster(BuiltPrograms(),
                SpreadNodes(options.m_nodes, "orders", {"--no-fence"})),
      m_load(m_cluster.loop(), MakeLoad(m_cluster, options)) {}

std::vector<Soak::Change> Soak::Changes() const {
  std::vector<Change> changes;
  for (std::size_t i = 0; i < m_steps.size(); ++i) {
    changes.push_back({m_steps[i].m_begin, i, true});
    changes.push_back({m_steps[i].m_end, i, false});
  }
  std::ranges::sort(changes, {}, &Change::m_at);
  return changes;
}

std::string Soak::Run() {
  m_cluster.StartAll();
  if (!m_cluster.WaitReady()) {
    return "the nodes were not ready at the start";
  }
  m_load.Start();
  core::Duration now{};
  core::Duration next_judge = kJudgePeriod;
  for (const Change& change : Changes()) {
    m_cluster.RunFor(change.m_at - now);
    now = change.m_at;
    const SoakStep& step = m_steps[change.m_step];
    change.m_is_begin ? Begin(step) : End(step);
    if (now >= next_judge) {
      next_judge = now + kJudgePeriod;
      if (std::string found = Judge(); !found.empty()) {
        return found;
      }
    }
  }
  Heal();
  if (!m_cluster.WaitReady(kRecovery)) {
    return "not all nodes were ready again after the faults";
  }
  if (!m_cluster.WaitUntil([&] { return ServesAllKeys(); }, kRecovery)) {
    return "not all keys were served again after the faults";
  }
  m_load.Stop();
  if (!m_cluster.WaitUntil([&] { return m_load.open() == 0; })) {
    return "requests were left without an end";
  }
  return Judge();
}

void Soak::Begin(const SoakStep& step) {
  const std::size_t node = step.m_node;
  switch (step.m_fault) {
    case SoakFault::kKillNode:
      m_cluster.KillNode(node);
      break;
    case SoakFault::kFreezeNode:
      m_cluster.NodeProcess(node).Signal(SIGSTOP);
      break;
    case SoakFault::kStopNode:
      m_cluster.NodeProcess(node).Signal(SIGTERM);
      break;
    case SoakFault::kKillTarget:
      m_cluster.KillTarget(node);
      break;
    case SoakFault::kSlowTarget:
      m_cluster.SetTarget(node, "service_us=400000");
      break;
    case SoakFault::kCutPair:
      m_cluster.SetCut(node, step.m_other, true);
      break;
    case SoakFault::kCutInbound:
      m_cluster.SetRule("*", Link("node-", node), "cut=1");
      break;
    case SoakFault::kCutOutbound:
      m_cluster.SetRule(m_cluster.HostOf(node), "*", "cut=1");
      break;
    case SoakFault::kSlowLink:
      m_cluster.SetRule("*", Link("node-", node), "delay_us=80000&loss=200");
      break;
    case SoakFault::kResetConnections:
      m_cluster.ResetConnections(Link("node-", node));
      break;
    case SoakFault::kCutFromLog:
      m_cluster.SetRule("*", Link("log-", node), "cut=1");
      break;
    case SoakFault::kLogDown:
      m_cluster.SetLog("down=1");
      break;
    case SoakFault::kLogSlow:
      m_cluster.SetLog("slow_ms=400");
      break;
    case SoakFault::kLogLosesReplies:
      m_cluster.SetLog("lose_replies=5");
      break;
  }
}

void Soak::End(const SoakStep& step) {
  const std::size_t node = step.m_node;
  switch (step.m_fault) {
    case SoakFault::kKillNode:
      m_cluster.StartNode(node);
      break;
    case SoakFault::kFreezeNode:
      m_cluster.NodeProcess(node).Signal(SIGCONT);
      break;
    case SoakFault::kStopNode:
      StartAgain(node);
      break;
    case SoakFault::kKillTarget:
      m_cluster.StartTarget(node);
      break;
    case SoakFault::kSlowTarget:
      m_cluster.SetTarget(node, "service_us=1000");
      break;
    case SoakFault::kCutPair:
      m_cluster.SetCut(node, step.m_other, false);
      break;
    case SoakFault::kCutInbound:
      m_cluster.SetRule("*", Link("node-", node), "cut=0");
      break;
    case SoakFault::kCutOutbound:
      m_cluster.SetRule(m_cluster.HostOf(node), "*", "cut=0");
      break;
    case SoakFault::kSlowLink:
      m_cluster.SetRule("*", Link("node-", node), "delay_us=0&loss=0");
      break;
    case SoakFault::kCutFromLog:
      m_cluster.SetRule("*", Link("log-", node), "cut=0");
      break;
    case SoakFault::kLogDown:
      m_cluster.SetLog("down=0");
      break;
    case SoakFault::kLogSlow:
      m_cluster.SetLog("slow_ms=0");
      break;
    case SoakFault::kLogLosesReplies:
      m_cluster.SetLog("lose_replies=0");
      break;
    case SoakFault::kResetConnections:
      break;
  }
}

// A stop that other faults hold up ends with a kill, as a platform would do.
void Soak::StartAgain(std::size_t node) {
  static_cast<void>(m_cluster.WaitUntil(
      [&] { return m_cluster.NodeProcess(node).Poll().has_value(); },
      kStopLimit));
  m_cluster.KillNode(node);
  m_cluster.StartNode(node);
}

void Soak::Heal() {
  for (const SoakStep& step : m_steps) {
    if (!IsProcessFault(step.m_fault)) {
      End(step);
    }
  }
}

std::string Soak::Judge() const {
  const std::vector<RunEvent> runs = m_cluster.Runs();
  const std::string owners = FindTwoOwners(runs);
  return owners.empty() ? FindUntruth(runs, m_load.results()) : owners;
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
