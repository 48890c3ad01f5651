#ifndef FIGLUG_RUNTIME_PROGRAM_H_
#define FIGLUG_RUNTIME_PROGRAM_H_

#include <tclap/CmdLine.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include <tl/expected.hpp>

#include "figlug/runtime/logging.h"

namespace figlug::runtime {

inline constexpr int kExitFailure = 1;
inline constexpr int kExitBadSettings = 2;

/// \brief Program name and defaults for command line parsing and its messages.
struct ProgramInfo {
  std::string m_name;
  std::string m_description;
  /// Settings file used if the command line names none. If empty, the option is
  /// required.
  std::string m_default_settings;
};

/// \brief Reads and checks a settings file.
/// \param parse Called with the file's name and text.
/// \returns The settings, or a one-line error message.
template <class Parse>
auto LoadSettings(const std::string& file, Parse parse)
    -> tl::expected<typename decltype(parse(file, file))::value_type,
                    std::string> {
  std::ifstream in(file);
  if (!in) {
    return tl::unexpected("cannot read " + file);
  }
  std::ostringstream text;
  text << in.rdbuf();
  auto settings = parse(file, text.str());
  if (!settings) {
    return tl::unexpected(ToString(settings.error()));
  }
  return std::move(*settings);
}

/// \brief Applies reloaded settings and logs the result. Only the log level can
/// change while a process runs.
/// \param level The log level of the reloaded settings, or the error message.
void ApplyReload(const tl::expected<std::string, std::string>& level);

/// \brief Makes the process return the memory of large bodies once they are
/// freed.
void LimitFragmentation();

/// \brief Parses the command line, loads the settings file and runs a program.
/// \param run Called with the settings and a function that reloads them; the
/// process exits with its result.
/// \returns The exit code, if the program ends without calling `run`.
template <class Parse, class Run>
int RunProgram(const ProgramInfo& info,
               int argc,
               char** argv,
               Parse parse,
               Run run) {
  try {
    TCLAP::CmdLine command(info.m_description, ' ', "0.1");
    command.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> file("s", "settings", "INI file of settings",
                                      info.m_default_settings.empty(),
                                      info.m_default_settings, "FILE", command);
    TCLAP::SwitchArg check("c", "check-settings",
                           "Check the settings and exit with 0 or 2", command);
    command.parse(argc, argv);
    const std::string path = file.getValue();
    const auto settings = LoadSettings(path, parse);
    if (!settings) {
      std::cerr << info.m_name << ": " << settings.error() << '\n';
      return kExitBadSettings;
    }
    if (check.getValue()) {
      std::cout << "settings are valid\n";
      return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    LimitFragmentation();
    ExitProcess(run(*settings, [&] { return LoadSettings(path, parse); }));
  } catch (const TCLAP::ArgException& error) {
    std::cerr << info.m_name << ": " << error.argId() << ": " << error.error()
              << '\n';
    return kExitBadSettings;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  }
}

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_PROGRAM_H_
