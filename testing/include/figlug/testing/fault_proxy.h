#ifndef FIGLUG_TESTING_FAULT_PROXY_H_
#define FIGLUG_TESTING_FAULT_PROXY_H_

#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "figlug/core/endpoint.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/runtime/runtime_error.h"

namespace figlug::testing {

/// \brief Forwards TCP and UDP, with faults on demand.
///
/// `POST /rule?from=IP&to=LINK&NAME=VALUE` sets a fault on what one address
/// sends over a link; `*` stands for all. Faults: `cut` (0 or 1), `delay_us`,
/// and for datagrams `loss` and `copies` (permille). `GET /bytes` tells what
/// each address has sent over each link.
class FaultProxy {
 public:
  explicit FaultProxy(runtime::EventLoop& loop);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  [[nodiscard]] tl::expected<void, runtime::RuntimeError> ListenControl(
      const core::Endpoint& endpoint);
  /// \brief Opens a link: what comes in at one address goes out to another.
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
