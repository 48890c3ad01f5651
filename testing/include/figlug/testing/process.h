#ifndef FIGLUG_TESTING_PROCESS_H_
#define FIGLUG_TESTING_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace figlug::testing {

/// \brief A child process; killed when the object is destroyed.
class Process {
 public:
  /// \param arguments Path of the program, then its arguments.
  /// \param output File that standard output and error are appended to.
  Process(const std::vector<std::string>& arguments, const std::string& output);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  /// \brief Exit code if the process has ended, 128 + N if signal N ended it.
  [[nodiscard]] std::optional<int> Poll();
  /// \brief Kills the process and waits until it has ended.
  void Kill();
  [[nodiscard]] pid_t pid() const noexcept { return m_pid; }

 private:
  pid_t m_pid = -1;
  std::optional<int> m_exit_code;
};

}  // namespace figlug::testing

#endif  // FIGLUG_TESTING_PROCESS_H_
