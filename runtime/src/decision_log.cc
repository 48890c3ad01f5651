#include "figlug/runtime/decision_log.h"

#include <algorithm>

#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

#include "figlug/runtime/logging.h"

namespace figlug::runtime {
namespace {

constexpr double kMicrosPerSecond = 1e6;

}  // namespace

bool DecisionLog::is_verbose() {
  return DecisionLogger().isEnabledFor(log4cplus::DEBUG_LOG_LEVEL);
}

bool DecisionLog::TakeToken(core::Time now, TokenBucket& bucket) const {
  const double rate = m_lines_per_second;
  const double refill =
      bucket.m_refilled_at == core::Time{}
          ? rate
          : rate * static_cast<double>((now - bucket.m_refilled_at).count()) /
                kMicrosPerSecond;
  bucket.m_refilled_at = now;
  bucket.m_tokens = std::min(rate, bucket.m_tokens + refill);
  if (bucket.m_tokens < 1) {
    return false;
  }
  bucket.m_tokens -= 1;
  return true;
}

void DecisionLog::Write(core::Time now,
                        std::string_view event,
                        nlohmann::json fields) {
  auto it = m_buckets.find(event);
  if (it == m_buckets.end()) {
    it = m_buckets.emplace(std::string(event), TokenBucket{}).first;
  }
  TokenBucket& bucket = it->second;
  if (!TakeToken(now, bucket)) {
    ++bucket.m_omitted;
    ++m_omitted;
    return;
  }
  fields["event"] = event;
  if (bucket.m_omitted > 0) {
    fields["omitted"] = bucket.m_omitted;
    bucket.m_omitted = 0;
  }
  LOG4CPLUS_INFO(
      DecisionLogger(),
      fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace figlug::runtime
