#include <log4cplus/loggingmacros.h>
#include <csignal>
#include <random>

#include "figlug/runtime/daemon.h"
#include "figlug/runtime/figlug_dialect.h"
#include "figlug/runtime/http_log_client.h"
#include "figlug/runtime/logging.h"
#include "figlug/runtime/program.h"
#include "figlug/settings/daemon_settings.h"

namespace {

std::uint64_t RandomSeed() {
  std::random_device device;
  return std::uint64_t{device()} << 32 | device();
}

template <class Reload>
int Run(const figlug::settings::DaemonSettings& settings, Reload reload) {
  using figlug::runtime::FiglugDialect;
  using figlug::runtime::HttpLogClient;
  figlug::runtime::SetUpLogging(settings.m_log_level);
  figlug::runtime::EventLoop loop;
  HttpLogClient log(loop, settings.m_log);
  figlug::runtime::Daemon<HttpLogClient, FiglugDialect> daemon(
      loop, settings, log, FiglugDialect{}, RandomSeed());
  if (const auto started = daemon.Start(); !started) {
    LOG4CPLUS_ERROR(figlug::runtime::ProcessLogger(),
                    ToString(started.error()));
    return figlug::runtime::kExitFailure;
  }
  const auto stop = [&] { daemon.Stop(); };
  figlug::runtime::SignalHandler on_term(loop, SIGTERM, stop);
  figlug::runtime::SignalHandler on_interrupt(loop, SIGINT, stop);
  figlug::runtime::SignalHandler on_hangup(loop, SIGHUP, [&] {
    figlug::runtime::ApplyReload(
        reload().map([](const auto& next) { return next.m_log_level; }));
  });
  loop.Run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  return figlug::runtime::RunProgram(
      {"figlugd", "Routes requests to the sole owner of their key", ""}, argc,
      argv,
      [](std::string_view file, std::string_view text) {
        return figlug::settings::ParseDaemonSettings(file, text);
      },
      [](const auto& settings, auto reload) { return Run(settings, reload); });
}
