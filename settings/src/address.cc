#include "figlug/settings/address.h"

#include <arpa/inet.h>

#include <charconv>
#include <string>

namespace figlug::settings {

std::optional<core::Endpoint> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  core::Endpoint endpoint{std::string(text.substr(0, colon)), 0};
  in_addr number{};
  if (inet_pton(AF_INET, endpoint.m_host.c_str(), &number) != 1) {
    return std::nullopt;
  }
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), endpoint.m_port);
  if (error != std::errc() || end != port.data() + port.size() ||
      endpoint.m_port == 0) {
    return std::nullopt;
  }
  return endpoint;
}

}  // namespace figlug::settings
