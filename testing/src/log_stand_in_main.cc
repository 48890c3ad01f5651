#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

#include "figlug/settings/address.h"
#include "figlug/testing/log_stand_in.h"

int main(int argc, char** argv) {
  TCLAP::CmdLine command("In-memory log service, for tests", ' ', "0.1");
  TCLAP::ValueArg<std::string> listen("l", "listen", "Address to listen on",
                                      false, "127.0.0.1:7000", "IP:PORT",
                                      command);
  command.parse(argc, argv);
  const auto endpoint = figlug::settings::ParseAddress(listen.getValue());
  if (!endpoint) {
    std::cerr << "log_stand_in: invalid address " << listen.getValue() << '\n';
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  figlug::runtime::EventLoop loop;
  figlug::testing::LogStandIn log(loop);
  if (const auto bound = log.Listen(*endpoint); !bound) {
    std::cerr << "log_stand_in: " << ToString(bound.error()) << '\n';
    return 1;
  }
  figlug::runtime::SignalHandler on_term(loop, SIGTERM, [&] { loop.Stop(); });
  loop.Run();
  return 0;
}
