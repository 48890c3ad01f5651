#ifndef FIGLUG_TESTING_FAULT_PROXY_H_
#define FIGLUG_TESTING_FAULT_PROXY_H_

#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "figlug/core/endpoint.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/runtime/runtime_error.h"

namespace figlug::testing {

/// \brief Forwards TCP and UDP traffic and injects faults on request.
///
/// Control interface:
/// - `POST /rule?from=IP&to=LINK&NAME=VALUE` sets a fault for traffic from one
///   address over a link; `*` matches any. Faults: `cut` (0 or 1), `delay_us`,
///   and for datagrams `loss` and `copies` (probabilities in permille).
/// - `POST /reset?to=LINK` closes all connections that pass a link.
/// - `POST /silence?from=IP&to=LINK` makes all open connections from an address
///   over a link carry nothing any more, without an error; `*` matches any.
/// - `GET /bytes` returns the bytes that each address has sent over each link.
class FaultProxy {
 public:
  explicit FaultProxy(runtime::EventLoop& loop);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  [[nodiscard]] tl::expected<void, runtime::RuntimeError> ListenControl(
      const core::Endpoint& endpoint);
  /// \brief Adds a link, which forwards traffic from one address to another.
  [[nodiscard]] tl::expected<void, runtime::RuntimeError> AddLink(
      const std::string& name,
      const core::Endpoint& listen,
      const core::Endpoint& forward);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace figlug::testing

#endif  // FIGLUG_TESTING_FAULT_PROXY_H_
