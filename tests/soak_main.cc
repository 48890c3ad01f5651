// Runs the fault soak over a range of seeds; prints each broken promise with
// the faults that led to it.

#include <filesystem>
#include <iostream>

#include <tclap/CmdLine.h>

#include "soak.h"

namespace {

using figlug::testing::Describe;
using figlug::testing::PlanSoak;
using figlug::testing::Soak;
using figlug::testing::SoakOptions;

bool RunSeed(const SoakOptions& options) {
  Soak soak(options);
  const std::string found = soak.Run();
  std::cout << "seed " << options.m_seed << ": "
            << (found.empty() ? "all promises kept" : found) << std::endl;
  if (found.empty()) {
    return true;
  }
  const std::string kept = "soak-seed-" + std::to_string(options.m_seed);
  std::error_code error;
  std::filesystem::copy(soak.folder(), kept,
                        std::filesystem::copy_options::recursive, error);
  std::cout << "output of the processes: " << (error ? error.message() : kept)
            << '\n';
  for (const auto& step : PlanSoak(options)) {
    std::cout << "  " << Describe(step) << '\n';
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
  command.parse(argc, argv);
  std::uint64_t failed = 0;
  for (std::uint64_t seed = first.getValue();
       seed < first.getValue() + count.getValue(); ++seed) {
    const SoakOptions options{.m_seed = seed,
                              .m_nodes = nodes.getValue(),
                              .m_faults = faults.getValue()};
    failed += RunSeed(options) ? 0 : 1;
  }
  std::cout << count.getValue() - failed << " passed, " << failed
            << " failed\n";
  return failed == 0 ? 0 : 1;
}
