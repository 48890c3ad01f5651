#include <csignal>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

// Leaks are left to AddressSanitizer: CppUTest's own detector also reports
// memory that libraries keep until exit.
int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
