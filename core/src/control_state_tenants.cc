// The part of ControlState that holds published tenants.

#include <utility>

#include "figlug/core/control_state.h"

namespace figlug::core {

bool ControlState::IndexTenants(const PublishedTenants& tenants) {
  std::vector<Tenant> list;
  list.reserve(tenants.size());
  for (const auto& [name, published] : tenants) {
    list.push_back(published.m_tenant);
  }
  auto table = TenantTable::Make(std::move(list));
  if (!table) {
    return false;
  }
  m_tenant_index.m_table = std::move(*table);
  return true;
}

// A tenant without credentials is rejected: nobody could use it, and it would
// close its services to everybody else.
ApplyResult ControlState::ApplyRecord(Offset, const TenantRecord& record) {
  const std::string& name = record.m_tenant.m_name;
  const auto it = m_tenants.find(name);
  const std::uint64_t version =
      it == m_tenants.end() ? 0 : it->second.m_version;
  if (version != record.m_expected_version) {
    return {.m_applied = false, .m_reason = RejectReason::kStale};
  }
  PublishedTenants next = m_tenants;
  if (record.m_is_removed) {
    next.erase(name);
  } else {
    next[name] = {record.m_tenant, version + 1};
  }
  const bool is_usable =
      record.m_is_removed || !record.m_tenant.m_credentials.empty();
  if (!is_usable || !IndexTenants(next)) {
    return {.m_applied = false, .m_reason = RejectReason::kInvalid};
  }
  m_tenants = std::move(next);
  return {.m_applied = true};
}

}  // namespace figlug::core
