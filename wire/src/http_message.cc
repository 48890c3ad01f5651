#include "figlug/wire/http_message.h"

#include <strings.h>

#include <algorithm>

namespace figlug::wire {

namespace {

bool IsTokenCharacter(char c) noexcept {
  constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z') || marks.find(c) != std::string_view::npos;
}

bool IsControl(char c) noexcept {
  return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
}

}  // namespace

bool IsNamed(const Header& header, std::string_view name) noexcept {
  return header.m_name.size() == name.size() &&
         strncasecmp(header.m_name.data(), name.data(), name.size()) == 0;
}

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

bool IsValidField(std::string_view name, std::string_view value) noexcept {
  return !name.empty() && std::ranges::all_of(name, IsTokenCharacter) &&
         std::ranges::none_of(value,
                              [](char c) { return IsControl(c) && c != '\t'; });
}

}  // namespace figlug::wire
