// Runs the soak test over a range of seeds. Prints each violation with the
// fault schedule of its seed and keeps the output of the processes.

#include <filesystem>
#include <iostream>

#include <tclap/CmdLine.h>

#include "soak.h"

namespace {

using figlug::testing::Describe;
using figlug::testing::PlanFaults;
using figlug::testing::Soak;
using figlug::testing::SoakOptions;

bool RunSeed(const SoakOptions& options) {
  Soak soak(options);
  const std::string violation = soak.Run();
  std::cout << "seed " << options.m_seed << ": "
            << (violation.empty() ? "all invariants held" : violation)
            << std::endl;
  if (violation.empty()) {
    return true;
  }
  const std::string copy_path = "soak-seed-" + std::to_string(options.m_seed);
  std::error_code error;
  std::filesystem::copy(soak.folder(), copy_path,
                        std::filesystem::copy_options::recursive, error);
  std::cout << "output of the processes: "
            << (error ? error.message() : copy_path) << '\n';
  for (const auto& fault : PlanFaults(options)) {
    std::cout << "  " << Describe(fault) << '\n';
  }
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Injects overlapping faults into real processes", ' ',
                         "0.1");
  TCLAP::ValueArg<std::uint64_t> first("f", "first", "First seed", false, 1,
                                       "SEED", command);
  TCLAP::ValueArg<std::uint64_t> count("c", "count", "Seeds to run", false, 1,
                                       "COUNT", command);
  TCLAP::ValueArg<std::size_t> faults("n", "faults", "Faults in each run",
                                      false, 12, "COUNT", command);
  TCLAP::ValueArg<std::size_t> nodes("m", "nodes", "Nodes, 3 to 60", false, 8,
                                     "COUNT", command);
  TCLAP::SwitchArg restores(
      "r", "restores", "Also restore the log and silence connections", command);
  command.parse(argc, argv);
  std::uint64_t failed = 0;
  for (std::uint64_t seed = first.getValue();
       seed < first.getValue() + count.getValue(); ++seed) {
    const SoakOptions options{.m_seed = seed,
                              .m_nodes = nodes.getValue(),
                              .m_faults = faults.getValue(),
                              .m_restores_log = restores.getValue()};
    failed += RunSeed(options) ? 0 : 1;
  }
  std::cout << count.getValue() - failed << " passed, " << failed
            << " failed\n";
  return failed == 0 ? 0 : 1;
}
