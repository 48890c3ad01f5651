#ifndef FIGLUG_FIGLUGCTL_TENANT_COMMANDS_H_
#define FIGLUG_FIGLUGCTL_TENANT_COMMANDS_H_

#include <string>
#include <vector>

#include "commands.h"
#include "figlug/runtime/operator_session.h"

namespace figlug::ctl {

/// \brief Whether the arguments are a command on tenants.
[[nodiscard]] bool IsTenantCommand(const std::vector<std::string>& args);
/// \brief Publishes, removes or lists tenants. Prints no credential.
/// \returns One of ExitCode.
[[nodiscard]] int RunTenantCommand(const Request& request,
                                   runtime::OperatorSession& session);

}  // namespace figlug::ctl

#endif  // FIGLUG_FIGLUGCTL_TENANT_COMMANDS_H_
