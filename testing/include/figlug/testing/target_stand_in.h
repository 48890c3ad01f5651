#ifndef FIGLUG_TESTING_TARGET_STAND_IN_H_
#define FIGLUG_TESTING_TARGET_STAND_IN_H_

#include <cstdint>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "figlug/core/endpoint.h"
#include "figlug/core/time.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/runtime/runtime_error.h"

namespace figlug::testing {

/// \brief Options of a target stand-in.
struct TargetOptions {
  std::string m_name;
  std::string m_region;
  /// Requests that run concurrently; others are queued.
  std::uint32_t m_slots = 9;
  core::Duration m_service_time = std::chrono::milliseconds(2);
  /// Length of the cold start, during which only one request runs at a time.
  core::Duration m_cold_time = core::Duration::zero();
  /// Whether requests with an outdated fence are rejected.
  bool m_checks_fence = true;
  /// File to which execution events are appended, one JSON object per line;
  /// empty for none.
  std::string m_event_file;
};

/// \brief A target for tests that records the requests it executes.
///
/// `POST /control` changes its behaviour: `service_us=N` sets the service time,
/// `slots=N` the number of slots, and `shed=1` rejects all requests. `/echo`
/// responds with the request's body, `/bytes?n=N` with N bytes, and
/// `/status?code=N` with that status; each of them occupies a slot.
class TargetStandIn {
 public:
  TargetStandIn(runtime::EventLoop& loop, TargetOptions options);
  ~TargetStandIn();
  TargetStandIn(const TargetStandIn&) = delete;
  TargetStandIn& operator=(const TargetStandIn&) = delete;

  [[nodiscard]] tl::expected<void, runtime::RuntimeError> Listen(
      const core::Endpoint& endpoint);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace figlug::testing

#endif  // FIGLUG_TESTING_TARGET_STAND_IN_H_
