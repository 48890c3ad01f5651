#ifndef FIGLUG_SETTINGS_TENANT_FILE_H_
#define FIGLUG_SETTINGS_TENANT_FILE_H_

#include <string_view>

#include <tl/expected.hpp>

#include "figlug/core/tenants/tenant.h"
#include "figlug/settings/settings_error.h"

namespace figlug::settings {

/// \brief Parses and validates a tenant from the `[tenant]` section of an INI
/// file. Errors do not repeat credentials.
/// \param file File name shown in errors.
/// \code
/// auto tenant = ParseTenant("school.ini", text);
/// \endcode
[[nodiscard]] tl::expected<core::Tenant, SettingsError> ParseTenant(
    std::string_view file,
    std::string_view text);

}  // namespace figlug::settings

#endif  // FIGLUG_SETTINGS_TENANT_FILE_H_
