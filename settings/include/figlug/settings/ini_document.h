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
  std::size_t m_line = 0;
  /// Column of the value.
  std::size_t m_column = 0;
};

/// \brief All entries of an INI text, in order.
struct IniDocument {
  std::string m_file;
  std::vector<IniEntry> m_entries;
};

/// \brief Reads INI text; a key may stand once in its section.
/// \param file Name for errors.
/// \code
/// auto document = ParseIni("node.ini", text);
/// \endcode
[[nodiscard]] tl::expected<IniDocument, SettingsError> ParseIni(
    std::string_view file,
    std::string_view text);

}  // namespace figlug::settings

#endif  // FIGLUG_SETTINGS_INI_DOCUMENT_H_
