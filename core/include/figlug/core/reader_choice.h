#ifndef FIGLUG_CORE_READER_CHOICE_H_
#define FIGLUG_CORE_READER_CHOICE_H_

#include <map>
#include <span>

#include "figlug/core/ids.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Chooses which members of a failure domain read the store for the
/// others.
///
/// The first member reports each completed read to the others. A later member
/// reads as well when no member before it has reported for a while, so that a
/// reader which the store does not answer is replaced.
///
/// \code
/// choice.OnReport(now, report.m_reader);
/// if (choice.IsReader(now, members_before_self)) Read();
/// \endcode
class ReaderChoice {
 public:
  /// \brief Another member has completed a read.
  void OnReport(Time now, MemberId reader);
  /// \brief Whether a member reads at `now`.
  /// \param predecessors Members of its domain that come before it.
  [[nodiscard]] bool IsReader(Time now,
                              std::span<const MemberId> predecessors) const;

 private:
  /// Time of the last report, by member.
  std::map<MemberId, Time> m_reports;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_READER_CHOICE_H_
