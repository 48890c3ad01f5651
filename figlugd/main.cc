#include <log4cplus/loggingmacros.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include "figlug/runtime/daemon.h"
#include "figlug/runtime/figlug_dialect.h"
#include "figlug/runtime/http_log_client.h"
#include "figlug/runtime/log_prefix.h"
#include "figlug/settings/daemon_settings.h"

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitBadSettings = 2;

std::uint64_t RandomSeed() {
  std::random_device device;
  return std::uint64_t{device()} << 32 | device();
}

int Run(const figlug::settings::DaemonSettings& settings) {
  using figlug::runtime::FiglugDialect;
  using figlug::runtime::HttpLogClient;
  figlug::runtime::SetUpLogging(settings.m_log_level);
  figlug::runtime::EventLoop loop;
  HttpLogClient log(loop, settings.m_log);
  figlug::runtime::Daemon<HttpLogClient, FiglugDialect> daemon(
      loop, settings, log, FiglugDialect{}, RandomSeed());
  if (const auto started = daemon.Start(); !started) {
    LOG4CPLUS_ERROR(figlug::runtime::ProcessLog(), ToString(started.error()));
    return kExitFailure;
  }
  const auto stop = [&] { daemon.Stop(); };
  figlug::runtime::SignalHandler on_term(loop, SIGTERM, stop);
  figlug::runtime::SignalHandler on_interrupt(loop, SIGINT, stop);
  loop.Run();
  return 0;
}

int RunCommandLine(int argc, char** argv) {
  TCLAP::CmdLine command("Routes requests to the sole owner of their key", ' ',
                         "0.1");
  command.setExceptionHandling(false);
  TCLAP::ValueArg<std::string> file("s", "settings", "INI file of settings",
                                    true, "", "FILE", command);
  TCLAP::SwitchArg check("c", "check-settings",
                         "Check the settings and exit with 0 or 2", command);
  command.parse(argc, argv);

  std::ifstream in(file.getValue());
  if (!in) {
    std::cerr << "figlugd: cannot read " << file.getValue() << '\n';
    return kExitBadSettings;
  }
  std::ostringstream text;
  text << in.rdbuf();
  const auto settings =
      figlug::settings::ParseDaemonSettings(file.getValue(), text.str());
  if (!settings) {
    std::cerr << "figlugd: " << ToString(settings.error()) << '\n';
    return kExitBadSettings;
  }
  if (check.getValue()) {
    std::cout << "settings are valid\n";
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  figlug::runtime::EndProcess(Run(*settings));
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return RunCommandLine(argc, argv);
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "figlugd: " << error.argId() << ": " << error.error() << '\n';
    return kExitBadSettings;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  }
}
