#ifndef FIGLUG_RUNTIME_STATUS_REPORT_H_
#define FIGLUG_RUNTIME_STATUS_REPORT_H_

#include <string>

#include <nlohmann/json.hpp>

#include "figlug/core/node.h"

namespace figlug::runtime {

/// \brief Formats a member's id as 16 hexadecimal digits.
[[nodiscard]] std::string ToString(core::MemberId id);

/// \brief Describes the members, slices, exclusions and profile versions of a
/// control state.
[[nodiscard]] nlohmann::json DescribeState(const core::ControlState& state);

/// \brief Describes a process: its control state, lease, gate and ingress.
[[nodiscard]] nlohmann::json DescribeNode(const core::Node& node,
                                          core::Time now);

/// \brief Describes where a request would be routed, and why.
[[nodiscard]] nlohmann::json DescribeRoute(
    const core::ControlState& state,
    const core::RouteExplanation& explanation);

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_STATUS_REPORT_H_
