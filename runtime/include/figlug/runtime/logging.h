#ifndef FIGLUG_RUNTIME_LOGGING_H_
#define FIGLUG_RUNTIME_LOGGING_H_

#include <cstdint>
#include <string_view>

#include <log4cplus/logger.h>

namespace figlug::runtime {

/// \brief Loggers by topic. Their names are the `part` values of the log lines.
[[nodiscard]] log4cplus::Logger& MemberLogger();
[[nodiscard]] log4cplus::Logger& RecordLogger();
[[nodiscard]] log4cplus::Logger& CallLogger();
[[nodiscard]] log4cplus::Logger& ProcessLogger();
/// \brief Logger whose messages must be JSON objects.
[[nodiscard]] log4cplus::Logger& DecisionLogger();

/// \brief Writes log lines of a level and above to standard output, one JSON
/// object per line. A line whose write would block is dropped and counted.
/// \param level debug, info, warn or error.
void SetUpLogging(std::string_view level);
/// \brief Sets the lowest level that is written.
/// \param level debug, info, warn or error.
void SetLogLevel(std::string_view level);
/// \brief Exits the process without running the log library's shutdown. All
/// sockets must be closed.
[[noreturn]] void ExitProcess(int exit_code);
/// \brief Lines dropped since the start because standard output was not read.
[[nodiscard]] std::uint64_t LostLogLines() noexcept;

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_LOGGING_H_
