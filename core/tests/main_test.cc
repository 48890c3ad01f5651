#include <csignal>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

// AddressSanitizer finds leaks; CppUTest would count what libraries keep.
int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
