#ifndef FIGLUG_RUNTIME_RUNTIME_ERROR_H_
#define FIGLUG_RUNTIME_RUNTIME_ERROR_H_

#include <string>

namespace figlug::runtime {

/// \brief A failure to open a socket or file.
struct RuntimeError {
  /// The failed action, such as "listen on 127.0.0.1:80".
  std::string m_action;
  /// The operating system's error message.
  std::string m_cause;
};

/// \brief Formats the action and cause as one line.
[[nodiscard]] std::string ToString(const RuntimeError& error);

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_RUNTIME_ERROR_H_
