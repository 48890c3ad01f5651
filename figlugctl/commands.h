#ifndef FIGLUG_FIGLUGCTL_COMMANDS_H_
#define FIGLUG_FIGLUGCTL_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "figlug/core/endpoint.h"

namespace figlug::ctl {

/// \brief Exit codes of figlugctl.
enum ExitCode : int {
  kExitDone = 0,
  /// The command was refused, for example because of a conflicting change, or
  /// explain found that the call would be refused.
  kExitRefused = 1,
  kExitBadInput = 2,
  /// The log did not respond, or did not confirm a change, which may still take
  /// effect.
  kExitUnknown = 3,
};

/// \brief The parsed command line.
struct Request {
  core::Endpoint m_log_address;
  std::vector<std::string> m_args;
  std::optional<std::uint64_t> m_expected_version;
  std::string m_region;
  /// Tenant that explain answers for; empty for a caller without credential.
  std::string m_tenant;
  bool m_is_json = false;
  bool m_is_forced = false;
};

/// \brief Runs a command and prints its result.
/// \returns One of ExitCode.
[[nodiscard]] int RunCommand(const Request& request);

}  // namespace figlug::ctl

#endif  // FIGLUG_FIGLUGCTL_COMMANDS_H_
