#ifndef FIGLUG_SETTINGS_SETTINGS_ERROR_H_
#define FIGLUG_SETTINGS_SETTINGS_ERROR_H_

#include <cstddef>
#include <string>

namespace figlug::settings {

/// \brief An error in a settings file, with its position.
struct SettingsError {
  std::string m_file;
  /// From 1; 0 if the key is missing.
  std::size_t m_line = 0;
  /// From 1; 0 if the key is missing.
  std::size_t m_column = 0;
  std::string m_section;
  std::string m_key;
  /// What is wrong, and which values are accepted.
  std::string m_problem;
};

/// \brief Formats an error as one line: file, line, column, section, key and
/// problem.
[[nodiscard]] std::string ToString(const SettingsError& error);

}  // namespace figlug::settings

#endif  // FIGLUG_SETTINGS_SETTINGS_ERROR_H_
