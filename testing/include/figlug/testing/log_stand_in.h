#ifndef FIGLUG_TESTING_LOG_STAND_IN_H_
#define FIGLUG_TESTING_LOG_STAND_IN_H_

#include <cstdint>
#include <memory>

#include <tl/expected.hpp>

#include "figlug/core/endpoint.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/runtime/runtime_error.h"

namespace figlug::testing {

/// \brief The platform's log service in memory, with faults on demand.
///
/// Faults are set with `POST /control?NAME=VALUE`: `down` (0 or 1), `slow_ms`,
/// `lose_replies` (appends that take effect without an answer) and `retain`
/// (records kept).
class LogStandIn {
 public:
  explicit LogStandIn(runtime::EventLoop& loop);
  ~LogStandIn();
  LogStandIn(const LogStandIn&) = delete;
  LogStandIn& operator=(const LogStandIn&) = delete;

  [[nodiscard]] tl::expected<void, runtime::RuntimeError> Listen(
      const core::Endpoint& endpoint);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace figlug::testing

#endif  // FIGLUG_TESTING_LOG_STAND_IN_H_
