#ifndef FIGLUG_SETTINGS_SETTINGS_ERROR_H_
#define FIGLUG_SETTINGS_SETTINGS_ERROR_H_

#include <cstddef>
#include <string>

namespace figlug::settings {

/// \brief What is wrong with a settings text, and where.
struct SettingsError {
  std::string m_file;
  /// From 1; 0 when a key is missing.
  std::size_t m_line = 0;
  /// From 1; 0 when a key is missing.
  std::size_t m_column = 0;
  std::string m_section;
  std::string m_key;
  /// What was found wrong, and what is accepted.
  std::string m_problem;
};

/// \brief One line: file, line, column, section, key and problem.
[[nodiscard]] std::string ToString(const SettingsError& error);

}  // namespace figlug::settings

#endif  // FIGLUG_SETTINGS_SETTINGS_ERROR_H_
