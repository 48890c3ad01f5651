#ifndef FIGLUG_RUNTIME_LOG_PREFIX_H_
#define FIGLUG_RUNTIME_LOG_PREFIX_H_

#include <string_view>

#include <log4cplus/logger.h>

namespace figlug::runtime {

/// \brief Loggers whose names are the fixed prefixes of the log lines.
[[nodiscard]] log4cplus::Logger& MemberLog();
[[nodiscard]] log4cplus::Logger& RecordLog();
[[nodiscard]] log4cplus::Logger& CallLog();
[[nodiscard]] log4cplus::Logger& ProcessLog();

/// \brief Sends log lines of a level and above to standard error.
/// \param level debug, info, warn or error.
void SetUpLogging(std::string_view level);

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_LOG_PREFIX_H_
