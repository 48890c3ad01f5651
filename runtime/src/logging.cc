#include "figlug/runtime/logging.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/spi/loggingevent.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

namespace figlug::runtime {
namespace {

constexpr const char* kDecisionLoggerName = "decision";

std::atomic<std::uint64_t> lost_lines = 0;

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

// The message of a decision is an object already; its fields follow.
std::string FormatLine(const log4cplus::spi::InternalLoggingEvent& event) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      event.getTimestamp().time_since_epoch())
                      .count();
  const std::string& level =
      log4cplus::getLogLevelManager().toString(event.getLogLevel());
  std::string line = "{\"time_ms\":" + std::to_string(ms) + ",\"level\":\"" +
                     level + "\",\"part\":\"" + event.getLoggerName() + "\",";
  const std::string& message = event.getMessage();
  if (event.getLoggerName() == kDecisionLoggerName) {
    line += message.substr(1);
  } else {
    line += "\"message\":" +
            nlohmann::json(message).dump(
                -1, ' ', false, nlohmann::json::error_handler_t::replace) +
            "}";
  }
  return line + "\n";
}

// A pipe takes a short line whole or not at all, so no half lines remain.
class StandardOutputAppender : public log4cplus::Appender {
 public:
  StandardOutputAppender() = default;
  ~StandardOutputAppender() override { destructorImpl(); }

  void close() override { closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    const std::string line = FormatLine(event);
    pollfd writable{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&writable, 1, 0) != 1 || (writable.revents & POLLOUT) == 0 ||
        write(STDOUT_FILENO, line.data(), line.size()) !=
            static_cast<ssize_t>(line.size())) {
      ++lost_lines;
    }
  }
};

}  // namespace

log4cplus::Logger& MemberLogger() {
  static log4cplus::Logger logger = log4cplus::Logger::getInstance("member");
  return logger;
}

log4cplus::Logger& RecordLogger() {
  static log4cplus::Logger logger = log4cplus::Logger::getInstance("record");
  return logger;
}

log4cplus::Logger& CallLogger() {
  static log4cplus::Logger logger = log4cplus::Logger::getInstance("call");
  return logger;
}

log4cplus::Logger& ProcessLogger() {
  static log4cplus::Logger logger = log4cplus::Logger::getInstance("process");
  return logger;
}

log4cplus::Logger& DecisionLogger() {
  static log4cplus::Logger logger =
      log4cplus::Logger::getInstance(kDecisionLoggerName);
  return logger;
}

// The library's threads are never used and need not end in turn: waiting for
// them kept stopped processes on the users' platform alive until they were
// killed. Lines are written as they come, so nothing is left to be written.
void ExitProcess(int exit_code) {
#ifdef __SANITIZE_ADDRESS__
  std::exit(exit_code);  // Looks for leaks on its way.
#else
  std::_Exit(exit_code);
#endif
}

void SetUpLogging(std::string_view level) {
#ifdef __SANITIZE_ADDRESS__
  static const log4cplus::Initializer library;
#else
  static const auto* const library = new log4cplus::Initializer();
#endif
  static_cast<void>(library);
  fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.addAppender(log4cplus::SharedAppenderPtr(new StandardOutputAppender()));
  SetLogLevel(level);
}

void SetLogLevel(std::string_view level) {
  log4cplus::Logger::getRoot().setLogLevel(ToLevel(level));
}

std::uint64_t LostLogLines() noexcept {
  return lost_lines;
}

}  // namespace figlug::runtime
