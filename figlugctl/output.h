#ifndef FIGLUG_FIGLUGCTL_OUTPUT_H_
#define FIGLUG_FIGLUGCTL_OUTPUT_H_

#include <string>

#include <nlohmann/json.hpp>

#include "commands.h"
#include "figlug/runtime/operator_session.h"

namespace figlug::ctl {

/// \brief Prints a result as JSON or as text, as requested.
void Print(const Request& request,
           const nlohmann::json& value,
           const std::string& text);
/// \brief Prints a problem.
/// \returns `code`.
[[nodiscard]] int Fail(const Request& request,
                       int code,
                       const std::string& problem);
/// \brief Prints why a change was not made.
/// \param current The version in force.
/// \returns One of ExitCode.
[[nodiscard]] int Fail(const Request& request,
                       runtime::OperatorError error,
                       const std::string& current);

}  // namespace figlug::ctl

#endif  // FIGLUG_FIGLUGCTL_OUTPUT_H_
