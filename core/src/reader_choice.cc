#include "figlug/core/reader_choice.h"

#include <algorithm>

namespace figlug::core {
namespace {

/// Time without a report after which the next member reads. It exceeds the 0.8
/// s that a reader waits for new records by the response time of a slow store,
/// and is well below the 2 s within which a configuration has to be in force.
constexpr Duration kReportTimeout = std::chrono::milliseconds(1200);
/// Members take turns, so that usually only one replaces a silent reader.
constexpr Duration kTurnInterval = std::chrono::milliseconds(50);
/// Longer than any member waits for a report.
constexpr Duration kReportRetention = std::chrono::minutes(1);

}  // namespace

void ReaderChoice::OnReport(Time now, MemberId reader) {
  std::erase_if(m_reports, [&](const auto& entry) {
    return now > entry.second + kReportRetention;
  });
  m_reports[reader] = now;
}

bool ReaderChoice::IsReader(Time now,
                            std::span<const MemberId> predecessors) const {
  const Duration timeout =
      kReportTimeout + kTurnInterval * std::ssize(predecessors);
  return std::ranges::none_of(predecessors, [&](MemberId member) {
    const auto it = m_reports.find(member);
    return it != m_reports.end() && now < it->second + timeout;
  });
}

}  // namespace figlug::core
