#ifndef FIGLUG_SETTINGS_FWD_H_
#define FIGLUG_SETTINGS_FWD_H_

/// \file
/// \brief Forward declarations of the settings library.

/// \brief Parses INI files into validated structs.
namespace figlug::settings {

struct SettingsError;   // settings_error.h
struct IniEntry;        // ini_document.h
struct IniDocument;     // ini_document.h
class SectionReader;    // section_reader.h
struct DaemonSettings;  // daemon_settings.h

}  // namespace figlug::settings

#endif  // FIGLUG_SETTINGS_FWD_H_
