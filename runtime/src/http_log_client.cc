#include "figlug/runtime/http_log_client.h"

#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <string>
#include <utility>

#include "figlug/runtime/logging.h"

namespace figlug::runtime {
namespace {

constexpr std::size_t kReadConnections = 1;
constexpr std::size_t kAppendConnections = 2;
constexpr std::size_t kMaxPageBytes = 64U << 20;
constexpr core::Duration kRequestTimeout = std::chrono::seconds(2);
constexpr std::uint16_t kOk = 200;

std::string Number(std::uint64_t value) {
  return std::to_string(value);
}

}  // namespace

HttpLogClient::HttpLogClient(EventLoop& loop, const core::Endpoint& to)
    : m_reads(loop, to, kReadConnections, kMaxPageBytes),
      m_appends(loop, to, kAppendConnections, kMaxPageBytes) {}

// The reply is ignored: the record's effect shows when the log is read and its
// records are applied. A record that was decided from records which the log has
// lost since may no longer hold; its writer decides again.
void HttpLogClient::Append(core::AppendId id,
                           const core::Record& record,
                           core::Era era) {
  if (era < m_era) {
    LOG4CPLUS_INFO(RecordLogger(),
                   "record " << core::NameOf(record)
                             << " is dropped: it was decided in era " << era
                             << ", the log is in era " << m_era);
    return;
  }
  m_appends.Send({"POST",
                  "/v1/records",
                  {{"Content-Type", "application/octet-stream"}},
                  wire::EncodeRecord(id, record)},
                 kRequestTimeout, [](HttpClient::Result&&) {});
}

void HttpLogClient::Read(core::Offset from,
                         core::Duration wait,
                         PageHandler on_page) {
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  const std::string path = "/v1/records?from=" + Number(from) + "&wait_ms=" +
                           Number(static_cast<std::uint64_t>(wait_ms));
  m_reads.Send(
      {"GET", path, {}, ""}, wait + kRequestTimeout,
      [this, on_page = std::move(on_page)](HttpClient::Result&& result) {
        if (!result || result->m_status != kOk) {
          on_page(std::nullopt);
          return;
        }
        auto page = wire::ParseLogPage(result->m_body);
        if (!page) {
          on_page(std::nullopt);
          return;
        }
        m_era = std::max(m_era, page->m_era);
        on_page(std::move(*page));
      });
}

}  // namespace figlug::runtime
