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
  /// The change was refused: another came first, or it is not accepted.
  kExitRefused = 1,
  kExitBadInput = 2,
  /// The log did not answer; for a change, it may take effect later.
  kExitUnknown = 3,
};

/// \brief What the command line asks for.
struct Request {
  core::Endpoint m_log;
  std::vector<std::string> m_words;
  std::optional<std::uint64_t> m_expected_version;
  std::string m_region;
  bool m_is_json = false;
  bool m_is_forced = false;
};

/// \brief Carries out a request and prints its result.
/// \returns One of ExitCode.
[[nodiscard]] int RunCommand(const Request& request);

}  // namespace figlug::ctl

#endif  // FIGLUG_FIGLUGCTL_COMMANDS_H_
