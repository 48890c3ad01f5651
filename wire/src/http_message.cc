#include "figlug/wire/http_message.h"

#include <strings.h>

#include <algorithm>

namespace figlug::wire {

namespace {

bool IsNamed(const Header& header, std::string_view name) {
  return header.m_name.size() == name.size() &&
         strncasecmp(header.m_name.data(), name.data(), name.size()) == 0;
}

}  // namespace

const std::string* FindHeader(const Headers& headers,
                              std::string_view name) noexcept {
  const auto it = std::ranges::find_if(
      headers, [&](const Header& header) { return IsNamed(header, name); });
  return it == headers.end() ? nullptr : &it->m_value;
}

std::size_t CountHeaders(const Headers& headers,
                         std::string_view name) noexcept {
  return static_cast<std::size_t>(std::ranges::count_if(
      headers, [&](const Header& header) { return IsNamed(header, name); }));
}

}  // namespace figlug::wire
