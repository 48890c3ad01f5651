#ifndef FIGLUG_SETTINGS_PROFILE_FILE_H_
#define FIGLUG_SETTINGS_PROFILE_FILE_H_

#include <string_view>

#include <tl/expected.hpp>

#include "figlug/core/profile.h"
#include "figlug/settings/settings_error.h"

namespace figlug::settings {

/// \brief Parses and validates a profile from the `[profile]` section of an INI
/// file.
/// \param file File name shown in errors.
/// \code
/// auto profile = ParseProfile("orders.ini", text);
/// \endcode
[[nodiscard]] tl::expected<core::Profile, SettingsError> ParseProfile(
    std::string_view file,
    std::string_view text);

}  // namespace figlug::settings

#endif  // FIGLUG_SETTINGS_PROFILE_FILE_H_
