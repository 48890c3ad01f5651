#ifndef FIGLUG_CORE_ROUTING_H_
#define FIGLUG_CORE_ROUTING_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "figlug/core/profile.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief One service that a route sends to, and its share.
struct Backend {
  std::string m_service;
  /// Share in relation to the route's other backends, at least 1.
  std::uint32_t m_weight = 1;
};

/// \brief Traffic of one host and path prefix, and what it is owed.
struct Route {
  std::string m_name;
  std::string m_host;
  /// Begins and ends with a slash.
  std::string m_prefix;
  Profile m_profile;
  /// Longest time until the final answer.
  Duration m_timeout{};
  /// Time within which an answer is worth most.
  Duration m_target_latency{};
  /// 0 is served first.
  std::uint32_t m_priority = 0;
  std::vector<Backend> m_backends;
};

/// \brief What operators say of a service and its targets.
struct ServicePolicy {
  std::string m_name;
  /// Whether requests are divided by key among sole owners.
  bool m_keyed = false;
  /// Connections that a target accepts.
  std::uint32_t m_max_connections = 0;
  /// Requests a second that a cold target bears; 0 for no bound.
  double m_cold_rate = 0;
  /// Time for which a target is cold after its start.
  Duration m_cold_time{};
};

/// \brief A whole configuration of the operators.
struct RoutingConfig {
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<ServicePolicy> m_services;
};

/// \brief A configuration that cannot be used.
struct RoutingError {
  /// Route or service that is wrong.
  std::string m_name;
  std::string m_problem;
};

/// \brief A configuration ready for look-up.
///
/// \code
/// auto table = RoutingTable::Make(std::move(routing));
/// auto route = (*table)->FindRoute("shop.example", "/stock/7");
/// \endcode
class RoutingTable {
 public:
  /// \brief Checks a configuration and indexes it.
  [[nodiscard]] static tl::expected<std::shared_ptr<const RoutingTable>,
                                    RoutingError>
  Make(RoutingConfig routing);

  [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }
  /// \brief The route of a host with the longest prefix of a path.
  /// \returns nullptr when no route matches.
  [[nodiscard]] std::shared_ptr<const Route> FindRoute(
      std::string_view host,
      std::string_view path) const;
  /// \returns nullptr for an unknown service.
  [[nodiscard]] const ServicePolicy* FindService(std::string_view name) const;
  [[nodiscard]] std::size_t route_count() const noexcept {
    return m_route_count;
  }

 private:
  RoutingTable() = default;

  std::uint64_t m_version = 0;
  std::size_t m_route_count = 0;
  /// Routes of each host, longest prefix first.
  std::map<std::string, std::vector<std::shared_ptr<const Route>>, std::less<>>
      m_hosts;
  std::map<std::string, ServicePolicy, std::less<>> m_services;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_ROUTING_H_
