#ifndef FIGLUG_TESTS_PROGRAMS_H_
#define FIGLUG_TESTS_PROGRAMS_H_

#include <string>
#include <vector>

#include "figlug/testing/cluster.h"

namespace figlug::testing {

/// \brief Paths of the executables of this build.
[[nodiscard]] Programs BuiltPrograms();

/// \brief Options of nodes of one service, spread over two regions and four
/// failure domains.
[[nodiscard]] std::vector<NodeOptions> SpreadNodes(
    std::size_t count,
    const std::string& service = "orders",
    const std::vector<std::string>& target_arguments = {});

}  // namespace figlug::testing

#endif  // FIGLUG_TESTS_PROGRAMS_H_
