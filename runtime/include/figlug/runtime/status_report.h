#ifndef FIGLUG_RUNTIME_STATUS_REPORT_H_
#define FIGLUG_RUNTIME_STATUS_REPORT_H_

#include <string>

#include <nlohmann/json.hpp>

#include "figlug/core/node.h"

namespace figlug::runtime {

/// \brief Text form of a member's id: 16 hexadecimal digits.
[[nodiscard]] std::string ToString(core::MemberId id);

/// \brief Members, slices, exclusions and profile versions of a state.
[[nodiscard]] nlohmann::json DescribeState(const core::ControlState& state);

/// \brief What one process reports of itself.
[[nodiscard]] nlohmann::json DescribeNode(const core::Node& node,
                                          core::Time now);

/// \brief Where a request would go, and why.
[[nodiscard]] nlohmann::json DescribeRoute(const core::ControlState& state,
                                           const core::RouteExplanation& why);

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_STATUS_REPORT_H_
