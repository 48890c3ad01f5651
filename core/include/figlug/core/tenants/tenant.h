#ifndef FIGLUG_CORE_TENANTS_TENANT_H_
#define FIGLUG_CORE_TENANTS_TENANT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <tl/expected.hpp>

namespace figlug::core {

/// \brief Hash of a tenant's name; names the tenant between processes.
enum class TenantId : std::uint64_t {};

[[nodiscard]] TenantId TenantIdOf(std::string_view name) noexcept;

/// \brief A customer of the operators, with its credentials and its quota.
struct Tenant {
  std::string m_name;
  TenantId m_id{0};
  /// Each identifies the tenant. They must not be written to logs.
  std::vector<std::string> m_credentials;
  /// 0 is the highest; unset to use the route's.
  std::optional<std::uint32_t> m_priority;
  /// Requests per second over all processes; 0 for no limit.
  double m_rate = 0;
  /// Requests beyond the rate after a pause.
  double m_burst = 0;
  /// Regions that its requests may be served in; empty allows every region.
  std::vector<std::string> m_home_regions;

  [[nodiscard]] bool has_quota() const noexcept { return m_rate > 0; }

  bool operator==(const Tenant&) const = default;
};

/// \brief A published tenant with its version; the first version is 1.
struct VersionedTenant {
  Tenant m_tenant;
  std::uint64_t m_version = 0;

  bool operator==(const VersionedTenant&) const = default;
};

/// \brief Why a list of tenants is rejected. Holds no credential.
struct TenantError {
  std::string m_tenant;
  std::string m_problem;
};

/// \brief The tenants of a configuration, indexed by credential and id.
///
/// \code
/// auto table = TenantTable::Make(std::move(tenants));
/// if (const Tenant* tenant = table->FindByCredential(credential)) ...
/// \endcode
class TenantTable {
 public:
  /// \brief A table without tenants: requests need no credential.
  TenantTable() = default;
  /// \returns An error for an empty or repeated name or credential, and for a
  /// rate or burst that is negative or not finite.
  [[nodiscard]] static tl::expected<TenantTable, TenantError> Make(
      std::vector<Tenant> tenants);

  [[nodiscard]] bool empty() const noexcept { return m_tenants.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return m_tenants.size(); }
  /// \returns nullptr for an unknown credential.
  [[nodiscard]] const Tenant* FindByCredential(
      std::string_view credential) const noexcept;
  /// \returns nullptr for an unknown tenant.
  [[nodiscard]] const Tenant* Find(TenantId id) const noexcept;
  [[nodiscard]] const std::vector<Tenant>& tenants() const noexcept {
    return m_tenants;
  }

 private:
  struct CredentialEntry {
    std::uint32_t m_tenant = 0;
    std::uint32_t m_credential = 0;
  };

  std::vector<Tenant> m_tenants;
  std::unordered_map<std::uint64_t, CredentialEntry> m_by_credential;
  std::unordered_map<TenantId, std::uint32_t> m_by_id;
};

/// \brief Whether a tenant's requests may be served in a region.
[[nodiscard]] bool IsHomeRegion(const Tenant& tenant,
                                std::string_view region) noexcept;

}  // namespace figlug::core

#endif  // FIGLUG_CORE_TENANTS_TENANT_H_
