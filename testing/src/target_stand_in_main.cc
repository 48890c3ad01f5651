#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

#include "figlug/settings/address.h"
#include "figlug/testing/target_stand_in.h"

int main(int argc, char** argv) {
  using Number = TCLAP::ValueArg<std::uint32_t>;
  using Text = TCLAP::ValueArg<std::string>;
  TCLAP::CmdLine command(
      "Target that records the requests it executes, for tests", ' ', "0.1");
  Text listen("l", "listen", "Address to listen on", true, "", "IP:PORT",
              command);
  Text name("n", "name", "Name of the target", true, "", "NAME", command);
  Text region("r", "region", "Region of the target", false, "", "NAME",
              command);
  Text records("o", "records", "File for execution events, one per line", false,
               "", "FILE", command);
  Number slots("s", "slots", "Requests that run concurrently", false, 9, "N",
               command);
  Number service_us("t", "service-us",
                    "Service time of a request, microseconds", false, 2000, "N",
                    command);
  Number cold_ms("c", "cold-ms", "Length of the cold start, milliseconds",
                 false, 0, "N", command);
  TCLAP::SwitchArg no_fence("f", "no-fence", "Accept requests with any fence",
                            command);
  command.parse(argc, argv);

  const auto endpoint = figlug::settings::ParseAddress(listen.getValue());
  if (!endpoint) {
    std::cerr << "target_stand_in: invalid address " << listen.getValue()
              << '\n';
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  figlug::runtime::EventLoop loop(
      figlug::runtime::TimerPrecision::kMicroseconds);
  figlug::testing::TargetStandIn target(
      loop, {.m_name = name.getValue(),
             .m_region = region.getValue(),
             .m_slots = slots.getValue(),
             .m_service_time = figlug::core::Duration(service_us.getValue()),
             .m_cold_time = std::chrono::milliseconds(cold_ms.getValue()),
             .m_checks_fence = !no_fence.getValue(),
             .m_event_file = records.getValue()});
  if (const auto bound = target.Listen(*endpoint); !bound) {
    std::cerr << "target_stand_in: " << ToString(bound.error()) << '\n';
    return 1;
  }
  figlug::runtime::SignalHandler on_term(loop, SIGTERM, [&] { loop.Stop(); });
  loop.Run();
  return 0;
}
