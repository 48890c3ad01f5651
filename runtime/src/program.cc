#include "figlug/runtime/program.h"

#include <log4cplus/loggingmacros.h>

namespace figlug::runtime {

void ApplyReload(const tl::expected<std::string, std::string>& level) {
  if (!level) {
    LOG4CPLUS_ERROR(ProcessLogger(),
                    "settings are not taken over: " << level.error());
    return;
  }
  SetLogLevel(*level);
  LOG4CPLUS_INFO(ProcessLogger(),
                 "reloaded; log level "
                     << *level << ", all else is read at the next start");
}

}  // namespace figlug::runtime
