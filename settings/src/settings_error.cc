#include "figlug/settings/settings_error.h"

namespace figlug::settings {

std::string ToString(const SettingsError& error) {
  std::string text = error.m_file;
  if (error.m_line > 0) {
    text += ":" + std::to_string(error.m_line) + ":" +
            std::to_string(error.m_column);
  }
  text += ": ";
  if (!error.m_section.empty()) {
    text += "[" + error.m_section + "] ";
  }
  if (!error.m_key.empty()) {
    text += error.m_key + ": ";
  }
  return text + error.m_problem;
}

}  // namespace figlug::settings
