#include "figlug/runtime/program.h"

#include <log4cplus/loggingmacros.h>
#include <malloc.h>

namespace figlug::runtime {
namespace {

/// Blocks from this size on are returned to the system when they are freed.
constexpr int kLargeBlockBytes = 128 << 10;

}  // namespace

// By default glibc raises this threshold to the size of each large block that
// is freed, so that bodies of several MiB end up fragmenting the heap.
void LimitFragmentation() {
  if (mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes) == 0) {
    LOG4CPLUS_WARN(ProcessLogger(),
                   "cannot set the size from which memory is mapped");
  }
}

void ApplyReload(const tl::expected<std::string, std::string>& level) {
  if (!level) {
    LOG4CPLUS_ERROR(ProcessLogger(),
                    "settings reload rejected: " << level.error());
    return;
  }
  SetLogLevel(*level);
  LOG4CPLUS_INFO(ProcessLogger(),
                 "settings reloaded; log level "
                     << *level
                     << "; other settings take effect at the next start");
}

}  // namespace figlug::runtime
