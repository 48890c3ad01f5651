#include "figlug/core/routing.h"

#include <algorithm>
#include <utility>

namespace figlug::core {
namespace {

/// Share of the target latency that a request waits while its key moves to
/// another owner; after that the caller does better to retry.
constexpr double kOwnershipChangeWaitRatio = 0.6;
/// Half of the platform's retry budget of 20%; the rest is left for bursts.
constexpr std::uint32_t kRetryPercent = 10;

tl::unexpected<RoutingError> MakeError(std::string name, std::string problem) {
  return tl::unexpected(RoutingError{std::move(name), std::move(problem)});
}

bool IsValidPrefix(std::string_view text) {
  return !text.empty() && text.front() == '/' && text.back() == '/';
}

}  // namespace

tl::expected<std::shared_ptr<const RoutingTable>, RoutingError>
RoutingTable::Make(RoutingConfig routing) {
  auto table = std::shared_ptr<RoutingTable>(new RoutingTable());
  table->m_version = routing.m_version;
  table->m_client_limits = routing.m_client_limits;
  table->m_route_count = routing.m_routes.size();
  for (ServicePolicy& service : routing.m_services) {
    std::string name = service.m_name;
    table->m_services.insert_or_assign(std::move(name), std::move(service));
  }
  for (Route& route : routing.m_routes) {
    route.m_profile.m_deadline = route.m_timeout;
    route.m_profile.m_queue_wait = std::chrono::duration_cast<Duration>(
        kOwnershipChangeWaitRatio * route.m_target_latency);
    route.m_profile.m_retry_percent = kRetryPercent;
    route.m_profile.m_hedge_percent = 0;
    if (!IsValidPrefix(route.m_prefix)) {
      return MakeError(route.m_name,
                       "prefix does not begin and end with a slash");
    }
    if (route.m_backends.empty()) {
      return MakeError(route.m_name, "no backends defined");
    }
    for (const Backend& backend : route.m_backends) {
      if (!table->m_services.contains(backend.m_service)) {
        return MakeError(route.m_name, "unknown service " + backend.m_service);
      }
    }
    std::string host = route.m_host;
    table->m_hosts[std::move(host)].push_back(
        std::make_shared<const Route>(std::move(route)));
  }
  auto tenants = TenantTable::Make(std::move(routing.m_tenants));
  if (!tenants) {
    return MakeError(tenants.error().m_tenant, tenants.error().m_problem);
  }
  table->m_tenants = std::move(*tenants);
  for (auto& [host, routes] : table->m_hosts) {
    std::ranges::stable_sort(routes, [](const auto& a, const auto& b) {
      return a->m_prefix.size() > b->m_prefix.size();
    });
  }
  return table;
}

std::shared_ptr<const Route> RoutingTable::FindRoute(
    std::string_view host,
    std::string_view path) const {
  const auto routes = m_hosts.find(host);
  if (routes == m_hosts.end()) {
    return nullptr;
  }
  const auto it = std::ranges::find_if(routes->second, [&](const auto& route) {
    return path.starts_with(route->m_prefix);
  });
  return it == routes->second.end() ? nullptr : *it;
}

const ServicePolicy* RoutingTable::FindService(std::string_view name) const {
  const auto it = m_services.find(name);
  return it == m_services.end() ? nullptr : &it->second;
}

}  // namespace figlug::core
