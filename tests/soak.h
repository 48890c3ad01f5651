#ifndef FIGLUG_TESTS_SOAK_H_
#define FIGLUG_TESTS_SOAK_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "figlug/testing/cluster.h"
#include "figlug/testing/load.h"

namespace figlug::testing {

/// \brief What one run of the soak does.
struct SoakOptions {
  std::uint64_t m_seed = 1;
  std::size_t m_nodes = 8;
  /// Faults in all; they overlap.
  std::size_t m_faults = 12;
  /// Time in which faults begin.
  core::Duration m_span = std::chrono::seconds(10);
  /// Requests a second.
  double m_rate = 150;
};

/// \brief Kinds of faults, all from outside the processes.
enum class SoakFault : std::uint8_t {
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
};

/// \brief One fault from its begin to its end, counted from the run's start.
struct SoakStep {
  SoakFault m_fault{};
  std::size_t m_node = 0;
  std::size_t m_other = 0;
  core::Duration m_begin{};
  core::Duration m_end{};
};

/// \brief The faults of a seed, in order of their begin.
[[nodiscard]] std::vector<SoakStep> PlanSoak(const SoakOptions& options);
[[nodiscard]] std::string Describe(const SoakStep& step);

/// \brief Real processes under load and overlapping faults.
///
/// \code
/// Soak soak(SoakOptions{.m_seed = 7});
/// if (const std::string found = soak.Run(); !found.empty()) Report(found);
/// \endcode
class Soak {
 public:
  explicit Soak(const SoakOptions& options);

  /// \returns The first promise that was broken, or "".
  [[nodiscard]] std::string Run();
  /// \brief Folder with the processes' output.
  [[nodiscard]] const std::string& folder() const { return m_cluster.folder(); }

 private:
  struct Change {
    core::Duration m_at{};
    std::size_t m_step = 0;
    bool m_is_begin = false;
  };

  [[nodiscard]] std::vector<Change> Changes() const;
  void Begin(const SoakStep& step);
  void End(const SoakStep& step);
  void StartAgain(std::size_t node);
  void Heal();
  [[nodiscard]] std::string Judge() const;
  [[nodiscard]] bool ServesAllKeys();

  SoakOptions m_options;
  std::vector<SoakStep> m_steps;
  Cluster m_cluster;
  Load m_load;
};

}  // namespace figlug::testing

#endif  // FIGLUG_TESTS_SOAK_H_
