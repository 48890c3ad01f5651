#ifndef FIGLUG_RUNTIME_LOGGING_H_
#define FIGLUG_RUNTIME_LOGGING_H_

#include <cstdint>
#include <string_view>

#include <log4cplus/logger.h>

namespace figlug::runtime {

/// \brief Loggers whose names are the fixed parts of the log lines.
[[nodiscard]] log4cplus::Logger& MemberLogger();
[[nodiscard]] log4cplus::Logger& RecordLogger();
[[nodiscard]] log4cplus::Logger& CallLogger();
[[nodiscard]] log4cplus::Logger& ProcessLogger();
/// \brief Takes JSON objects as messages.
[[nodiscard]] log4cplus::Logger& DecisionLogger();

/// \brief Sends log lines of a level and above to standard output, one JSON
/// object a line. A line that would block is lost and counted.
/// \param level debug, info, warn or error.
void SetUpLogging(std::string_view level);
/// \brief Changes which lines are written from now on.
/// \param level debug, info, warn or error.
void SetLogLevel(std::string_view level);
/// \brief Ends a process whose sockets are closed, without the log library's
/// own end.
[[noreturn]] void ExitProcess(int exit_code);
/// \brief Lines lost since the start because nobody read them.
[[nodiscard]] std::uint64_t LostLogLines() noexcept;

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_LOGGING_H_
