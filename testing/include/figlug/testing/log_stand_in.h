#ifndef FIGLUG_TESTING_LOG_STAND_IN_H_
#define FIGLUG_TESTING_LOG_STAND_IN_H_

#include <cstdint>
#include <memory>

#include <tl/expected.hpp>

#include "figlug/core/endpoint.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/runtime/runtime_error.h"

namespace figlug::testing {

/// \brief In-memory stand-in for the platform's log service that injects
/// faults.
///
/// `POST /control?NAME=VALUE` sets `down` (0 or 1), `slow_ms` (delay of reads),
/// `lose_replies` (number of appends that take effect but are answered with an
/// error) and `retain` (number of newest records kept). `copy=1` takes a copy
/// of the records; `restore=1` returns to the newest copy and begins an era,
/// which loses the records appended since and assigns their offsets again.
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
