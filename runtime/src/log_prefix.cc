#include "figlug/runtime/log_prefix.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>

#include <memory>
#include <string>

namespace figlug::runtime {
namespace {

constexpr const char* kLayout = "%d{%Y-%m-%dT%H:%M:%S.%q} %-5p %c: %m%n";

log4cplus::LogLevel ToLevel(std::string_view level) {
  if (level == "debug") {
    return log4cplus::DEBUG_LOG_LEVEL;
  }
  if (level == "warn") {
    return log4cplus::WARN_LOG_LEVEL;
  }
  return level == "error" ? log4cplus::ERROR_LOG_LEVEL
                          : log4cplus::INFO_LOG_LEVEL;
}

}  // namespace

log4cplus::Logger& MemberLog() {
  static log4cplus::Logger logger = log4cplus::Logger::getInstance("member");
  return logger;
}

log4cplus::Logger& RecordLog() {
  static log4cplus::Logger logger = log4cplus::Logger::getInstance("record");
  return logger;
}

log4cplus::Logger& CallLog() {
  static log4cplus::Logger logger = log4cplus::Logger::getInstance("call");
  return logger;
}

log4cplus::Logger& ProcessLog() {
  static log4cplus::Logger logger = log4cplus::Logger::getInstance("process");
  return logger;
}

void SetUpLogging(std::string_view level) {
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(true, true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(kLayout));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.addAppender(appender);
  root.setLogLevel(ToLevel(level));
}

}  // namespace figlug::runtime
