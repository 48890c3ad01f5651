#include "programs.h"

namespace figlug::testing {

Programs BuiltPrograms() {
  return {FIGLUGD, FIGLUGCTL, LOG_STAND_IN, TARGET_STAND_IN, FAULT_PROXY};
}

std::vector<NodeOptions> SpreadNodes(
    std::size_t count,
    const std::string& service,
    const std::vector<std::string>& target_arguments) {
  std::vector<NodeOptions> nodes;
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t domain = i % 4;
    nodes.push_back({.m_region = domain < 2 ? "r1" : "r2",
                     .m_domain = "d" + std::to_string(domain + 1),
                     .m_service = service,
                     .m_profile = service,
                     .m_target_arguments = target_arguments,
                     .m_settings = ""});
  }
  return nodes;
}

}  // namespace figlug::testing
