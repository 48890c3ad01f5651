#include "figlug/testing/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

namespace figlug::testing {
namespace {

constexpr int kSignalExitCodeBase = 128;
constexpr int kExecFailedExitCode = 127;

int ToExitCode(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status)
                           : kSignalExitCodeBase + WTERMSIG(status);
}

}  // namespace

Process::Process(const std::vector<std::string>& arguments,
                 const std::string& output) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  m_pid = fork();
  if (m_pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    execv(argv[0], argv.data());
    _exit(kExecFailedExitCode);
  }
}

Process::~Process() {
  Kill();
}

void Process::Signal(int signal) const {
  if (!m_exit_code && m_pid > 0) {
    kill(m_pid, signal);
  }
}

std::optional<int> Process::Poll() {
  int status = 0;
  if (!m_exit_code && waitpid(m_pid, &status, WNOHANG) == m_pid) {
    m_exit_code = ToExitCode(status);
  }
  return m_exit_code;
}

void Process::Kill() {
  if (m_exit_code || m_pid <= 0) {
    return;
  }
  Signal(SIGKILL);
  int status = 0;
  waitpid(m_pid, &status, 0);
  m_exit_code = ToExitCode(status);
}

}  // namespace figlug::testing
