#include "figlug/settings/section_reader.h"

#include <algorithm>
#include <charconv>

#include "figlug/settings/address.h"

namespace figlug::settings {
namespace {

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

}  // namespace

const IniEntry* SectionReader::Find(std::string_view section,
                                    std::string_view key) {
  const auto it =
      std::ranges::find_if(m_document.m_entries, [&](const IniEntry& entry) {
        return entry.m_section == section && entry.m_key == key;
      });
  if (it == m_document.m_entries.end()) {
    return nullptr;
  }
  m_read_entries.insert(&*it);
  return &*it;
}

void SectionReader::Fail(std::string_view section,
                         std::string_view key,
                         std::string problem) {
  if (m_error) {
    return;
  }
  const IniEntry* entry = Find(section, key);
  m_error = SettingsError{m_document.m_file,
                          entry == nullptr ? 0 : entry->m_line,
                          entry == nullptr ? 0 : entry->m_column,
                          std::string(section),
                          std::string(key),
                          std::move(problem)};
}

SectionReader& SectionReader::Require(std::string_view section,
                                      std::string_view key) {
  const IniEntry* entry = Find(section, key);
  if (entry == nullptr || entry->m_value.empty()) {
    Fail(section, key, "is missing; a value is required");
  }
  return *this;
}

SectionReader& SectionReader::Text(std::string_view section,
                                   std::string_view key,
                                   std::string& out) {
  if (const IniEntry* entry = Find(section, key)) {
    out = entry->m_value;
  }
  return *this;
}

SectionReader& SectionReader::List(std::string_view section,
                                   std::string_view key,
                                   std::vector<std::string>& out) {
  const IniEntry* entry = Find(section, key);
  if (entry == nullptr) {
    return *this;
  }
  out.clear();
  std::string_view rest = entry->m_value;
  while (!rest.empty()) {
    const std::size_t comma = std::min(rest.find(','), rest.size());
    const std::string_view item = Trim(rest.substr(0, comma));
    if (!item.empty()) {
      out.emplace_back(item);
    }
    rest.remove_prefix(std::min(comma + 1, rest.size()));
  }
  return *this;
}

SectionReader& SectionReader::Bool(std::string_view section,
                                   std::string_view key,
                                   bool& out) {
  const IniEntry* entry = Find(section, key);
  if (entry == nullptr) {
    return *this;
  }
  if (entry->m_value != "true" && entry->m_value != "false") {
    Fail(section, key,
         "'" + entry->m_value + "' is invalid (accepted: true or false)");
    return *this;
  }
  out = entry->m_value == "true";
  return *this;
}

std::optional<std::int64_t> SectionReader::ReadInteger(std::string_view section,
                                                       std::string_view key,
                                                       Range range,
                                                       std::string_view unit) {
  const IniEntry* entry = Find(section, key);
  if (entry == nullptr) {
    return std::nullopt;
  }
  std::int64_t value = 0;
  const char* end = entry->m_value.data() + entry->m_value.size();
  const auto parsed = std::from_chars(entry->m_value.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < range.m_min ||
      value > range.m_max) {
    Fail(section, key,
         "'" + entry->m_value + "' is invalid (accepted: an integer from " +
             std::to_string(range.m_min) + " to " +
             std::to_string(range.m_max) + std::string(unit) + ")");
    return std::nullopt;
  }
  return value;
}

SectionReader& SectionReader::Count(std::string_view section,
                                    std::string_view key,
                                    Range range,
                                    std::uint32_t& out) {
  if (const auto value = ReadInteger(section, key, range, "")) {
    out = static_cast<std::uint32_t>(*value);
  }
  return *this;
}

SectionReader& SectionReader::Milliseconds(std::string_view section,
                                           std::string_view key,
                                           Range range,
                                           core::Duration& out) {
  if (const auto value = ReadInteger(section, key, range, " ms")) {
    out = std::chrono::milliseconds(*value);
  }
  return *this;
}

SectionReader& SectionReader::Address(std::string_view section,
                                      std::string_view key,
                                      core::Endpoint& out) {
  const IniEntry* entry = Find(section, key);
  if (entry == nullptr) {
    return *this;
  }
  if (const auto endpoint = ParseAddress(entry->m_value)) {
    out = *endpoint;
  } else {
    Fail(section, key,
         "'" + entry->m_value +
             "' is invalid (accepted: an IPv4 address and a port from 1 to "
             "65535, for example 127.0.0.1:8080)");
  }
  return *this;
}

void SectionReader::Skip(std::string_view section) {
  for (const IniEntry& entry : m_document.m_entries) {
    if (entry.m_section == section) {
      m_read_entries.insert(&entry);
    }
  }
}

SectionReader& SectionReader::RejectUnknown() {
  for (const IniEntry& entry : m_document.m_entries) {
    if (!m_read_entries.contains(&entry)) {
      Fail(entry.m_section, entry.m_key, "is not a known key of this section");
    }
  }
  return *this;
}

}  // namespace figlug::settings
