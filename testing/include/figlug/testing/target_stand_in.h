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

/// \brief How a target stand-in behaves.
struct TargetOptions {
  std::string m_name;
  std::string m_region;
  /// Requests it works on at once; more wait.
  std::uint32_t m_slots = 9;
  core::Duration m_service_time = std::chrono::milliseconds(2);
  /// Time after the start in which it bears one request at once.
  core::Duration m_cold_time = core::Duration::zero();
  /// Whether it refuses requests under an older fence.
  bool m_checks_fence = true;
  /// File with a line for each run; empty for none.
  std::string m_record_file;
};

/// \brief A target that records what it runs.
///
/// `POST /control?service_us=N` changes its speed; `slots=N` its slots;
/// `shed=1` makes it refuse. `/echo` answers with the body, `/bytes?n=N` with
/// that many bytes, `/status?code=N` with a status; all take a slot.
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
