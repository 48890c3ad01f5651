#ifndef FIGLUG_TESTS_SOAK_H_
#define FIGLUG_TESTS_SOAK_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "figlug/testing/cluster.h"
#include "figlug/testing/load.h"

namespace figlug::testing {

/// \brief Options of one soak run.
struct SoakOptions {
  std::uint64_t m_seed = 1;
  std::size_t m_nodes = 8;
  /// Number of faults in total; they may overlap.
  std::size_t m_faults = 12;
  /// Time span, from the start of the load, in which faults begin.
  core::Duration m_span = std::chrono::seconds(10);
  /// Whether restores of the log and silent connections are drawn too. Without
  /// them, a seed draws what it drew before these kinds were added.
  bool m_restores_log = false;
  /// Requests per second.
  double m_rate = 150;
};

/// \brief Kinds of faults, all injected from outside the processes.
enum class FaultKind : std::uint8_t {
  kKillNode,
  kFreezeNode,
  kStopNode,
  kKillTarget,
  kSlowTarget,
  kCutPair,
  kCutInbound,
  kCutOutbound,
  kSlowLink,
  kResetConnections,
  kCutFromLog,
  kLogDown,
  kLogSlow,
  kLogLosesReplies,
  /// A copy is taken at the begin, and the log returns to it at the end.
  kLogRestored,
  kSilentConnections,
};

/// \brief One scheduled fault; times count from the start of the load.
struct ScheduledFault {
  FaultKind m_kind{};
  std::size_t m_node = 0;
  /// Second node of kCutPair; unused by other kinds.
  std::size_t m_other = 0;
  core::Duration m_begin{};
  core::Duration m_end{};
};

/// \brief Generates the fault schedule of a seed, ordered by begin time.
[[nodiscard]] std::vector<ScheduledFault> PlanFaults(
    const SoakOptions& options);
[[nodiscard]] std::string Describe(const ScheduledFault& fault);

/// \brief Runs real processes under load and overlapping faults, and checks
/// that no key has two owners, callers get correct outcomes and the cluster
/// recovers.
///
/// \code
/// Soak soak(SoakOptions{.m_seed = 7});
/// const std::string violation = soak.Run();
/// \endcode
class Soak {
 public:
  explicit Soak(const SoakOptions& options);

  /// \returns A description of the first violation, or "".
  [[nodiscard]] std::string Run();
  /// \brief Folder with the output of the processes.
  [[nodiscard]] const std::string& folder() const { return m_cluster.folder(); }

 private:
  struct Change {
    core::Duration m_at{};
    std::size_t m_fault_index = 0;
    bool m_is_begin = false;
  };

  [[nodiscard]] std::vector<Change> Changes() const;
  void BeginFault(const ScheduledFault& fault);
  void EndFault(const ScheduledFault& fault);
  void RestartStoppedNode(std::size_t node);
  void RestoreLog(bool is_repeated);
  void ClearNetworkAndLogFaults();
  void LoseAllNodes();
  [[nodiscard]] std::string CheckInvariants() const;
  [[nodiscard]] bool ServesAllKeys();

  SoakOptions m_options;
  std::vector<ScheduledFault> m_schedule;
  Cluster m_cluster;
  Load m_load;
};

}  // namespace figlug::testing

#endif  // FIGLUG_TESTS_SOAK_H_
