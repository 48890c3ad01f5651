// A second machine joins a first one, whose process freezes for 4 s a second
// later. OWNER: two endpoints don't hold the same keys for over half a second.

#include <csignal>

#include "review/common-2/tests/harness.h"
#include "review/common-2/tests/key_watch.h"
#include "review/common-2/tests/traffic.h"

namespace figlug::review {
namespace {

constexpr core::Duration kHeartbeat = milliseconds(1500);
/// Times after a heartbeat of the first endpoint.
constexpr core::Duration kSecondStarts = milliseconds(100);
constexpr core::Duration kFreeze = milliseconds(1200);
constexpr core::Duration kFrozen = seconds(4);

int Play(const std::string& folder, Record& record) {
  Deployment deployment(folder, record, 300);
  deployment.AddMachine("waw-a", "pl-central", "menu");
  deployment.AddMachine("waw-b", "pl-central", "menu");
  Machine& first = deployment.machines()[0];
  Machine& second = deployment.machines()[1];
  deployment.store().Put(
      "config",
      MakeConfiguration(1, {{"menu", "/menu/", "safe", "menu", "2000ms"}},
                        {{"menu", true}}));
  Traffic traffic(deployment, record, "/menu/1", "");
  KeyWatch watch(record, "menu");
  deployment.AddStep([&] { traffic.Step(); });
  deployment.AddStep([&] {
    watch.Check(runtime::ReadClocks().m_time, deployment.machines());
  });

  record.Say("the first machine starts");
  deployment.StartProcess(first);
  deployment.RunFor(milliseconds(500));
  deployment.StartTarget(first, true);
  const core::Time beats = runtime::ReadClocks().m_time;
  if (!deployment.WaitUntil(
          [&] { return first.m_target->held_keys() == core::kKeySpaceSize; },
          seconds(15))) {
    record.Say("its endpoint gets no keys");
    return kCannotRun;
  }
  const auto after_beat = [&](core::Duration offset) {
    const core::Time now = runtime::ReadClocks().m_time;
    deployment.RunFor(kHeartbeat - (now - beats) % kHeartbeat + offset);
  };
  record.Say("a second machine starts");
  deployment.StartProcess(second);
  deployment.RunFor(milliseconds(500));
  after_beat(kSecondStarts);
  record.Say("its endpoint starts");
  deployment.StartTarget(second, true);
  deployment.RunFor(kFreeze - kSecondStarts);
  if (IsTroubled()) {
    record.Say("the process on the first machine freezes");
    first.m_process->Signal(SIGSTOP);
  }
  deployment.RunFor(kFrozen);
  if (IsTroubled()) {
    record.Say("it goes on");
    first.m_process->Signal(SIGCONT);
  }
  Count count;
  traffic.Start(count);
  deployment.RunFor(seconds(12));
  traffic.Stop();
  deployment.RunFor(seconds(5));
  record.Say(ToText(count));
  return JudgeOwner(record, watch);
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
