#ifndef FIGLUG_SETTINGS_INI_DOCUMENT_H_
#define FIGLUG_SETTINGS_INI_DOCUMENT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "figlug/settings/settings_error.h"

namespace figlug::settings {

/// \brief One `key = value` line.
struct IniEntry {
  std::string m_section;
  std::string m_key;
  std::string m_value;
  /// From 1.
  std::size_t m_line = 0;
  /// Column of the value, from 1.
  std::size_t m_column = 0;
};

/// \brief All entries of an INI file, in file order.
struct IniDocument {
  std::string m_file;
  std::vector<IniEntry> m_entries;
};

/// \brief Parses INI text. A key that occurs twice in a section is an error.
/// \param file File name shown in errors.
/// \code
/// auto document = ParseIni("node.ini", text);
/// \endcode
[[nodiscard]] tl::expected<IniDocument, SettingsError> ParseIni(
    std::string_view file,
    std::string_view text);

}  // namespace figlug::settings

#endif  // FIGLUG_SETTINGS_INI_DOCUMENT_H_
