#include "figlug/runtime/program.h"

#include <log4cplus/loggingmacros.h>

namespace figlug::runtime {

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
