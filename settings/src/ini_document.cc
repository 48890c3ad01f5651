#include "figlug/settings/ini_document.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <optional>

namespace figlug::settings {
namespace {

// inih does not pass line numbers to its handler, so ReadLine counts them.
struct ParseState {
  std::string_view m_rest;
  std::string m_line_text;
  std::size_t m_line = 0;
  IniDocument m_document;
  std::optional<SettingsError> m_error;
};

char* ReadLine(char* buffer, int size, void* stream) {
  auto& state = *static_cast<ParseState*>(stream);
  if (state.m_rest.empty()) {
    return nullptr;
  }
  const std::size_t newline = state.m_rest.find('\n');
  const std::size_t length =
      newline == std::string_view::npos ? state.m_rest.size() : newline + 1;
  const std::size_t taken =
      std::min(length, static_cast<std::size_t>(size) - 1);
  std::memcpy(buffer, state.m_rest.data(), taken);
  buffer[taken] = '\0';
  ++state.m_line;
  state.m_line_text = std::string(buffer, taken);
  if (taken < length && !state.m_error) {
    state.m_error =
        SettingsError{.m_file = state.m_document.m_file,
                      .m_line = state.m_line,
                      .m_column = taken + 1,
                      .m_section = {},
                      .m_key = {},
                      .m_problem = "line is longer than " +
                                   std::to_string(taken) + " characters"};
  }
  state.m_rest.remove_prefix(length);
  return buffer;
}

std::size_t ColumnOf(const std::string& line, const char* value) {
  const std::size_t equals = line.find_first_of("=:");
  const std::size_t found =
      equals == std::string::npos ? equals : line.find(value, equals + 1);
  return found == std::string::npos ? 1 : found + 1;
}

int OnEntry(void* user,
            const char* section,
            const char* key,
            const char* value) {
  auto& state = *static_cast<ParseState*>(user);
  const std::size_t column = ColumnOf(state.m_line_text, value);
  auto& entries = state.m_document.m_entries;
  const bool is_repeated =
      std::ranges::any_of(entries, [&](const IniEntry& entry) {
        return entry.m_section == section && entry.m_key == key;
      });
  if (is_repeated && !state.m_error) {
    state.m_error = SettingsError{state.m_document.m_file,
                                  state.m_line,
                                  column,
                                  section,
                                  key,
                                  "is set more than once in this section"};
  }
  entries.push_back({section, key, value, state.m_line, column});
  return 1;
}

}  // namespace

tl::expected<IniDocument, SettingsError> ParseIni(std::string_view file,
                                                  std::string_view text) {
  ParseState state{.m_rest = text,
                   .m_line_text = {},
                   .m_line = 0,
                   .m_document = {std::string(file), {}},
                   .m_error = {}};
  const int bad_line = ini_parse_stream(&ReadLine, &state, &OnEntry, &state);
  if (state.m_error) {
    return tl::unexpected(std::move(*state.m_error));
  }
  if (bad_line != 0) {
    return tl::unexpected(SettingsError{
        std::string(file), static_cast<std::size_t>(std::max(bad_line, 0)), 1,
        "", "", "is not a section, `key = value` or comment"});
  }
  return std::move(state.m_document);
}

}  // namespace figlug::settings
