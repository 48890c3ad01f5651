#ifndef FIGLUG_RUNTIME_RUNTIME_ERROR_H_
#define FIGLUG_RUNTIME_RUNTIME_ERROR_H_

#include <string>

namespace figlug::runtime {

/// \brief A socket or file that cannot be had.
struct RuntimeError {
  /// What was tried, as in "listen on 127.0.0.1:80".
  std::string m_action;
  /// The system's reason.
  std::string m_cause;
};

/// \brief One line: action and cause.
[[nodiscard]] std::string ToString(const RuntimeError& error);

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_RUNTIME_ERROR_H_
