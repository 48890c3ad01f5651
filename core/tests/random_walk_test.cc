#include <cstdlib>
#include <string>

#include <CppUTest/TestHarness.h>

#include "simulation.h"

namespace figlug::core {
namespace {

constexpr std::uint64_t kFirstSeed = 1;
constexpr std::size_t kNodes = 7;
constexpr Duration kFaultyTime = std::chrono::seconds(20);
constexpr Duration kSettlingTime = std::chrono::seconds(30);

constexpr std::uint64_t kWalks = 40;

/// The fixed set of walks, unless others are asked for by hand.
std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

std::string Walk(std::uint64_t seed, SimulationFaults faults) {
  Simulation simulation(seed, kNodes, faults);
  simulation.Run(kFaultyTime);
  if (simulation.violation().empty()) {
    simulation.HealAndRun(kSettlingTime);
    simulation.CheckSettled();
  }
  return simulation.violation().empty()
             ? ""
             : "seed " + std::to_string(seed) + ": " + simulation.violation();
}

}  // namespace

TEST_GROUP(RandomWalk){};

TEST(RandomWalk, InvariantsHoldUnderAnyMixOfFaults) {
  std::string broken;
  const std::uint64_t first = FromEnvironment("FIGLUG_FIRST_SEED", kFirstSeed);
  const std::uint64_t walks = FromEnvironment("FIGLUG_WALKS", kWalks);
  for (std::uint64_t i = 0; i < walks; ++i) {
    const std::string what = Walk(first + i, {});
    broken += what.empty() ? "" : what + "\n";
  }
  STRCMP_EQUAL("", broken.c_str());
}

// A release that was asked for again came without the ids of what had run: the
// former owner had forgotten them with its own record of the release.
TEST(RandomWalk, Seed1027AsksTwiceForARelease) {
  STRCMP_EQUAL("", Walk(1027, {}).c_str());
}

TEST(RandomWalk, WalkReachesExecutionsRemovalsAndOwnerChanges) {
  Simulation simulation(kFirstSeed, kNodes, {});
  simulation.Run(kFaultyTime);
  CHECK(simulation.executions() > 100);
  CHECK(simulation.removals() > 0);
  CHECK(simulation.owner_changes() > 16);
}

}  // namespace figlug::core
