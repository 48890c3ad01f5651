#include "figlug/settings/tenant_file.h"

#include <utility>

#include "figlug/settings/ini_document.h"
#include "figlug/settings/section_reader.h"

namespace figlug::settings {
namespace {

constexpr Range kPriorities{0, 255};
/// Stands for a tenant without a priority of its own.
constexpr std::uint32_t kNoPriority = kPriorities.m_max + 1;
constexpr Range kRates{0, 10'000'000};
constexpr std::string_view kSection = "tenant";

}  // namespace

tl::expected<core::Tenant, SettingsError> ParseTenant(std::string_view file,
                                                      std::string_view text) {
  const auto document = ParseIni(file, text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  core::Tenant tenant;
  SectionReader reader(*document);
  std::uint32_t priority = kNoPriority;
  std::uint32_t rate = 0;
  std::uint32_t burst = 0;
  reader.Require(kSection, "name")
      .Text(kSection, "name", tenant.m_name)
      .Require(kSection, "credentials")
      .List(kSection, "credentials", tenant.m_credentials)
      .Count(kSection, "priority", kPriorities, priority)
      .Count(kSection, "rate_per_second", kRates, rate)
      .Count(kSection, "burst", kRates, burst)
      .List(kSection, "home_regions", tenant.m_home_regions)
      .RejectUnknown();
  if (reader.error()) {
    return tl::unexpected(*reader.error());
  }
  tenant.m_id = core::TenantIdOf(tenant.m_name);
  tenant.m_rate = rate;
  tenant.m_burst = burst;
  if (priority != kNoPriority) {
    tenant.m_priority = priority;
  }
  return tenant;
}

}  // namespace figlug::settings
