#ifndef FIGLUG_RUNTIME_IMPL_TIMEVAL_H_
#define FIGLUG_RUNTIME_IMPL_TIMEVAL_H_

#include <sys/time.h>

#include "figlug/core/time.h"

namespace figlug::runtime::impl {

/// \brief Converts a duration to a timeval.
inline timeval ToTimeval(core::Duration duration) {
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(duration);
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(duration - seconds);
  return {seconds.count(), micros.count()};
}

}  // namespace figlug::runtime::impl

#endif  // FIGLUG_RUNTIME_IMPL_TIMEVAL_H_
