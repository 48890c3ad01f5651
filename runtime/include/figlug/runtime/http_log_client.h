#ifndef FIGLUG_RUNTIME_HTTP_LOG_CLIENT_H_
#define FIGLUG_RUNTIME_HTTP_LOG_CLIENT_H_

#include <cstdint>

#include "figlug/core/endpoint.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/runtime/http_client.h"
#include "figlug/runtime/log_service.h"

namespace figlug::runtime {

/// \brief Client of a log service that speaks the HTTP protocol of
/// docs/PROTOCOL.md.
class HttpLogClient {
 public:
  HttpLogClient(EventLoop& loop, const core::Endpoint& to);

  void Append(core::AppendId id, const core::Record& record, core::Era era);
  void Read(core::Offset from, core::Duration wait, PageHandler on_page);

 private:
  HttpClient m_reads;
  HttpClient m_appends;
  /// Newest era that a page has named.
  core::Era m_era = 0;
};

static_assert(LogService<HttpLogClient>);

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_HTTP_LOG_CLIENT_H_
