#include "figlug/core/tenants/tenant.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace figlug::core {
namespace {

std::uint64_t Hash(std::string_view text) noexcept {
  return XXH3_64bits(text.data(), text.size());
}

// Takes the same time wherever two texts of one length differ, so that response
// times do not show how much of a guessed credential is right.
bool IsEqualInConstantTime(std::string_view a, std::string_view b) noexcept {
  if (a.size() != b.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |=
        static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
  }
  return difference == 0;
}

/// Requests per second beyond which amounts are taken for errors.
constexpr double kMaxAmount = 1e9;

bool IsValidAmount(double amount) noexcept {
  return std::isfinite(amount) && amount >= 0 && amount <= kMaxAmount;
}

// Names are sent to targets in a header.
bool IsValidName(std::string_view name) noexcept {
  return !name.empty() && std::ranges::all_of(name, [](char c) {
    return c > ' ' && c < '\x7f';
  });
}

tl::unexpected<TenantError> MakeError(const Tenant& tenant,
                                      std::string problem) {
  return tl::unexpected(TenantError{tenant.m_name, std::move(problem)});
}

}  // namespace

TenantId TenantIdOf(std::string_view name) noexcept {
  return TenantId(Hash(name));
}

tl::expected<TenantTable, TenantError> TenantTable::Make(
    std::vector<Tenant> tenants) {
  TenantTable table;
  table.m_tenants = std::move(tenants);
  for (std::uint32_t i = 0; i < table.m_tenants.size(); ++i) {
    Tenant& tenant = table.m_tenants[i];
    if (!IsValidName(tenant.m_name)) {
      return MakeError(tenant, "name is empty or not printable ASCII");
    }
    if (!IsValidAmount(tenant.m_rate) || !IsValidAmount(tenant.m_burst)) {
      return MakeError(tenant, "rate or burst is negative or too large");
    }
    tenant.m_id = TenantIdOf(tenant.m_name);
    if (!table.m_by_id.emplace(tenant.m_id, i).second) {
      return MakeError(tenant, "another tenant has the same name or id");
    }
    for (std::uint32_t j = 0; j < tenant.m_credentials.size(); ++j) {
      const std::string& credential = tenant.m_credentials[j];
      if (credential.empty()) {
        return MakeError(tenant, "empty credential");
      }
      const auto [it, is_new] = table.m_by_credential.emplace(
          Hash(credential), CredentialEntry{i, j});
      if (!is_new && it->second.m_tenant != i) {
        return MakeError(tenant,
                         "has a credential of tenant " +
                             table.m_tenants[it->second.m_tenant].m_name);
      }
    }
  }
  return table;
}

const Tenant* TenantTable::FindByCredential(
    std::string_view credential) const noexcept {
  const auto it = m_by_credential.find(Hash(credential));
  if (it == m_by_credential.end()) {
    return nullptr;
  }
  const Tenant& tenant = m_tenants[it->second.m_tenant];
  return IsEqualInConstantTime(tenant.m_credentials[it->second.m_credential],
                               credential)
             ? &tenant
             : nullptr;
}

const Tenant* TenantTable::Find(TenantId id) const noexcept {
  const auto it = m_by_id.find(id);
  return it == m_by_id.end() ? nullptr : &m_tenants[it->second];
}

bool IsHomeRegion(const Tenant& tenant, std::string_view region) noexcept {
  return tenant.m_home_regions.empty() ||
         std::ranges::find(tenant.m_home_regions, region) !=
             tenant.m_home_regions.end();
}

}  // namespace figlug::core
