#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

#include "commands.h"
#include "figlug/runtime/logging.h"
#include "figlug/settings/address.h"

namespace {

constexpr const char* kHelp =
    "Operates figlug through the platform's log. Commands: "
    "publish FILE (a profile); domain out|in NAME; target out|in NAME; "
    "status; explain SERVICE [KEY]; force-down MEMBER; "
    "tenant publish FILE|remove NAME|show NAME|list. "
    "Exit codes: 0 done, 1 refused, 2 bad input, 3 log unreachable or outcome "
    "unknown.";

// An invalid command line throws, so that main returns kExitBadInput for it but
// not for --help.
int ParseAndRun(int argc, char** argv) {
  TCLAP::CmdLine command(kHelp, ' ', "0.1");
  command.setExceptionHandling(false);
  TCLAP::ValueArg<std::string> log("l", "log", "Address of the log service",
                                   true, "", "IP:PORT", command);
  TCLAP::ValueArg<std::uint64_t> expect(
      "e", "expect", "Expected current version; defaults to the version read",
      false, 0, "VERSION", command);
  TCLAP::ValueArg<std::string> region("r", "region",
                                      "Region of the caller, for explain",
                                      false, "", "NAME", command);
  TCLAP::ValueArg<std::string> tenant("t", "tenant",
                                      "Tenant of the caller, for explain",
                                      false, "", "NAME", command);
  TCLAP::SwitchArg is_json("j", "json", "Print JSON", command);
  TCLAP::SwitchArg force("f", "force", "Proceed despite a warning", command);
  TCLAP::UnlabeledMultiArg<std::string> args(
      "command", "Command and its arguments", true, "COMMAND", command);
  command.parse(argc, argv);
  figlug::runtime::SetUpLogging("error");

  const auto endpoint = figlug::settings::ParseAddress(log.getValue());
  if (!endpoint) {
    std::cerr
        << "figlugctl: '" << log.getValue()
        << "' is not an address; expected an IPv4 address and a port, such as "
           "127.0.0.1:7000\n";
    return figlug::ctl::kExitBadInput;
  }
  std::signal(SIGPIPE, SIG_IGN);
  figlug::ctl::Request request;
  request.m_log_address = *endpoint;
  request.m_args = args.getValue();
  request.m_region = region.getValue();
  request.m_tenant = tenant.getValue();
  request.m_is_json = is_json.getValue();
  request.m_is_forced = force.getValue();
  if (expect.isSet()) {
    request.m_expected_version = expect.getValue();
  }
  return figlug::ctl::RunCommand(request);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return ParseAndRun(argc, argv);
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "figlugctl: " << error.argId() << ": " << error.error()
              << '\n';
    return figlug::ctl::kExitBadInput;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  }
}
