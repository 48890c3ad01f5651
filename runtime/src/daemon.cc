#include "figlug/runtime/impl/daemon.h"

#include "figlug/runtime/figlug_dialect.h"
#include "figlug/runtime/http_log_client.h"

namespace figlug::runtime {

template class Daemon<HttpLogClient, FiglugDialect>;

}  // namespace figlug::runtime
