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

// A decision's message is itself a JSON object, so its fields are appended to
// those of the line.
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

// A non-blocking write of a short line to a pipe is atomic, so no partial lines
// are written.
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

// Skips the log library's shutdown because it waits for the library's threads,
// which kept stopped processes on the users' platform alive until they were
// killed. Those threads are never used, and lines are written without
// buffering, so nothing is lost.
void ExitProcess(int exit_code) {
#ifdef __SANITIZE_ADDRESS__
  std::exit(exit_code);  // Runs the leak check at exit.
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
