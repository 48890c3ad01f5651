#ifndef FIGLUG_CORE_ROUTING_H_
#define FIGLUG_CORE_ROUTING_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "figlug/core/client_limits.h"
#include "figlug/core/hold_call.h"
#include "figlug/core/profile.h"
#include "figlug/core/tenants/tenant.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief A service that a route sends requests to, with its weight.
struct Backend {
  std::string m_service;
  /// Weight relative to the route's other backends; at least 1.
  std::uint32_t m_weight = 1;
};

/// \brief Traffic of one host and path prefix, with its service levels.
struct Route {
  std::string m_name;
  std::string m_host;
  /// Begins and ends with a slash.
  std::string m_prefix;
  Profile m_profile;
  /// Longest time until the final answer.
  Duration m_timeout{};
  /// Latency objective: an answer within this time has the highest value.
  Duration m_target_latency{};
  /// 0 is the highest priority.
  std::uint32_t m_priority = 0;
  /// Whether requests need no credential.
  bool m_is_public = false;
  std::vector<Backend> m_backends;
};

/// \brief Operators' settings for a service and its targets.
struct ServicePolicy {
  std::string m_name;
  /// Whether requests are partitioned by key, each key having one owner.
  bool m_keyed = false;
  /// How its targets learn which keys they hold; unset where the operators do
  /// not say.
  std::optional<HoldDelivery> m_hold_delivery;
  /// Connections that a target accepts.
  std::uint32_t m_max_connections = 0;
  /// Capacity of a cold target, requests per second; 0 for no limit.
  double m_cold_rate = 0;
  /// Time for which a target is cold after its start.
  Duration m_cold_time{};
};

/// \brief A complete routing configuration, as published by operators.
struct RoutingConfig {
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::vector<ServicePolicy> m_services;
  std::vector<Tenant> m_tenants;
  ClientLimits m_client_limits;
};

/// \brief Why a routing configuration is rejected.
struct RoutingError {
  /// Name of the invalid route, service or tenant.
  std::string m_name;
  std::string m_problem;
};

/// \brief A validated configuration, indexed for look-up.
///
/// \code
/// auto table = RoutingTable::Make(std::move(routing));
/// auto route = (*table)->FindRoute("shop.example", "/stock/7");
/// \endcode
class RoutingTable {
 public:
  /// \brief Validates a configuration and indexes it.
  [[nodiscard]] static tl::expected<std::shared_ptr<const RoutingTable>,
                                    RoutingError>
  Make(RoutingConfig routing);

  [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }
  /// \brief Finds the host's route with the longest matching path prefix.
  /// \returns nullptr when no route matches.
  [[nodiscard]] std::shared_ptr<const Route> FindRoute(
      std::string_view host,
      std::string_view path) const;
  /// \returns nullptr for an unknown service.
  [[nodiscard]] const ServicePolicy* FindService(std::string_view name) const;
  [[nodiscard]] const TenantTable& tenants() const noexcept {
    return m_tenants;
  }
  [[nodiscard]] const ClientLimits& client_limits() const noexcept {
    return m_client_limits;
  }
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
  TenantTable m_tenants;
  ClientLimits m_client_limits;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_ROUTING_H_
