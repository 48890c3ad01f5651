#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>
#include <sstream>

#include "figlug/settings/address.h"
#include "figlug/testing/fault_proxy.h"

int main(int argc, char** argv) {
  using figlug::settings::ParseAddress;
  TCLAP::CmdLine command(
      "Forwards TCP and UDP traffic and injects faults, for tests", ' ', "0.1");
  TCLAP::ValueArg<std::string> control("c", "control",
                                       "Address of the control interface", true,
                                       "", "IP:PORT", command);
  TCLAP::MultiArg<std::string> links(
      "k", "link", "Link: name, listen address, forward address", true,
      "NAME,IP:PORT,IP:PORT", command);
  command.parse(argc, argv);

  std::signal(SIGPIPE, SIG_IGN);
  figlug::runtime::EventLoop loop(
      figlug::runtime::TimerPrecision::kMicroseconds);
  figlug::testing::FaultProxy proxy(loop);
  for (const std::string& link : links.getValue()) {
    std::istringstream in(link);
    std::string name;
    std::string listen;
    std::string forward;
    std::getline(in, name, ',');
    std::getline(in, listen, ',');
    std::getline(in, forward);
    const auto from = ParseAddress(listen);
    const auto to = ParseAddress(forward);
    if (!from || !to) {
      std::cerr << "fault_proxy: invalid link " << link << '\n';
      return 2;
    }
    if (const auto added = proxy.AddLink(name, *from, *to); !added) {
      std::cerr << "fault_proxy: " << ToString(added.error()) << '\n';
      return 1;
    }
  }
  const auto endpoint = ParseAddress(control.getValue());
  if (!endpoint || !proxy.ListenControl(*endpoint)) {
    std::cerr << "fault_proxy: cannot listen on " << control.getValue() << '\n';
    return 1;
  }
  figlug::runtime::SignalHandler on_term(loop, SIGTERM, [&] { loop.Stop(); });
  loop.Run();
  return 0;
}
