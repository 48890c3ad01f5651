#include "figlug/wire/http_message.h"

#include <strings.h>

#include <algorithm>

namespace figlug::wire {

const std::string* FindHeader(const Headers& headers,
                              std::string_view name) noexcept {
  const auto it = std::ranges::find_if(headers, [&](const Header& header) {
    return header.m_name.size() == name.size() &&
           strncasecmp(header.m_name.data(), name.data(), name.size()) == 0;
  });
  return it == headers.end() ? nullptr : &it->m_value;
}

}  // namespace figlug::wire
