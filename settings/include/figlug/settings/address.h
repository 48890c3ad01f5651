#ifndef FIGLUG_SETTINGS_ADDRESS_H_
#define FIGLUG_SETTINGS_ADDRESS_H_

#include <optional>
#include <string_view>

#include "figlug/core/endpoint.h"

namespace figlug::settings {

/// \brief Parses `IP:PORT`: an IPv4 address and a port from 1 to 65535.
/// \returns std::nullopt if the text is anything else; host names are not
/// resolved.
/// \code
/// auto endpoint = ParseAddress("127.0.0.1:8080");
/// \endcode
[[nodiscard]] std::optional<core::Endpoint> ParseAddress(std::string_view text);

}  // namespace figlug::settings

#endif  // FIGLUG_SETTINGS_ADDRESS_H_
