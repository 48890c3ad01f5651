// All machines lose power for good and others come at new addresses. RECOVER: a
// quarter of the requests sent later than 15 s after that has to be served.

#include "review/common-2/tests/harness.h"
#include "review/common-2/tests/traffic.h"

namespace figlug::review {
namespace {

constexpr core::Duration kServing = seconds(10);
constexpr core::Duration kOff = seconds(2);
/// The bound `recovery`.
constexpr core::Duration kRecovery = seconds(15);
constexpr core::Duration kMeasured = seconds(40);

int Play(const std::string& folder, Record& record) {
  Deployment deployment(folder, record, 300);
  for (int i = 0; i < 2; ++i) {
    deployment.AddMachine("waw-a", "pl-central", "menu");
    deployment.AddMachine("krk-a", "pl-south", "menu");
    deployment.AddMachine("waw-b", "pl-central", "menu");
    deployment.AddMachine("krk-b", "pl-south", "menu");
  }
  deployment.store().Put(
      "config",
      MakeConfiguration(1, {{"menu", "/menu/", "safe", "menu", "2000ms"}},
                        {{"menu", true}}));
  Traffic traffic(deployment, record, "/menu/1", "");
  deployment.AddStep([&] { traffic.Step(); });
  const auto power_on = [&] {
    for (Machine& machine : deployment.machines()) {
      deployment.StartProcess(machine);
      deployment.StartTarget(machine, true);
    }
  };

  record.Say("all machines start");
  power_on();
  // The deployments give the machines 8 s before traffic starts.
  deployment.RunFor(seconds(8));
  Count before;
  traffic.Start(before);
  deployment.RunFor(kServing);
  traffic.Stop();
  deployment.RunFor(seconds(5));
  record.Say("before: " + ToText(before));
  if (!before.IsQuarterServed()) {
    return kCannotRun;
  }

  if (IsTroubled()) {
    record.Say("all machines lose power for good");
    std::size_t number = 100;
    for (Machine& machine : deployment.machines()) {
      machine.m_process->Kill();
      machine.m_target.reset();
      machine.m_client.reset();
      machine.m_host = Deployment::HostOf(++number);
      machine.m_name += "-new";
    }
  }
  deployment.RunFor(kOff);
  if (IsTroubled()) {
    record.Say("new machines start at other addresses");
    power_on();
  }
  Count recovering;
  traffic.Start(recovering);
  deployment.RunFor(kRecovery + seconds(1));
  Count after;
  traffic.Start(after);
  deployment.RunFor(kMeasured);
  traffic.Stop();
  deployment.RunFor(seconds(5));
  record.Say("within `recovery`: " + ToText(recovering));
  record.Say("later than `recovery`: " + ToText(after));
  const bool is_broken = !after.IsQuarterServed();
  record.Say(is_broken ? "RECOVER is broken" : "RECOVER held");
  return is_broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace figlug::review

int main(int argc, char** argv) {
  if (argc != 3) {
    return figlug::review::kCannotRun;
  }
  figlug::review::Record record(argv[2]);
  try {
    return figlug::review::Play(argv[1], record);
  } catch (const std::exception& error) {
    record.Say(std::string("cannot run: ") + error.what());
    return figlug::review::kCannotRun;
  }
}
