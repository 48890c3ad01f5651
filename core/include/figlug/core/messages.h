#ifndef FIGLUG_CORE_MESSAGES_H_
#define FIGLUG_CORE_MESSAGES_H_

#include <string>
#include <variant>
#include <vector>

#include "figlug/core/ids.h"
#include "figlug/core/record.h"
#include "figlug/core/request_id_filter.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief A member's sign of life to one of its watchers.
struct Heartbeat {
  MemberId m_member = kNoMember;
  Generation m_generation = 0;
  /// Generation proposed but not confirmed; 0 for none.
  Generation m_proposed = 0;
  /// The member's own clock.
  Time m_sent_at{};
  /// First offset the member has not folded.
  Offset m_next = 0;
  /// First offset of the operators' topic that the member does not know.
  Offset m_operators_next = 0;
};

/// \brief A watcher's word that it does not vote for a while.
struct HeartbeatAck {
  MemberId m_watcher = kNoMember;
  MemberId m_member = kNoMember;
  Generation m_generation = 0;
  Generation m_proposed = 0;
  /// Send time of the acknowledged heartbeat.
  Time m_sent_at{};
  /// Whether the watcher's own watchers hear it: only then does the word hold
  /// up a lease.
  bool m_is_pledge = false;
  /// First offset the watcher has not folded.
  Offset m_next = 0;
  /// First offset of the operators' topic that the watcher does not know.
  Offset m_operators_next = 0;
};

using Datagram = std::variant<Heartbeat, HeartbeatAck>;

/// \brief Asks a former owner whether it has let go of slices.
struct ReleaseQuery {
  MemberId m_from = kNoMember;
  std::vector<SliceIndex> m_slices;
};

/// \brief One slice that a former owner has let go of.
struct ReleasedSlice {
  SliceIndex m_slice = 0;
  /// Loss of a holder that m_ids accounts for.
  Offset m_lost_at = 0;
  SliceRequestIds m_ids;
  /// Token of the former holder's target; empty for none.
  std::string m_handover;
};

/// \brief A former owner's word that it no longer serves slices.
struct Release {
  MemberId m_from = kNoMember;
  /// Last offset folded when the slices were let go.
  Offset m_folded = 0;
  std::vector<ReleasedSlice> m_slices;
};

/// \brief Asks a peer for records that the log does not hand out now.
struct RecordsQuery {
  MemberId m_from = kNoMember;
  Offset m_next = 0;
};

/// \brief Records as a peer has read them, in order.
struct Records {
  std::vector<LogEntry> m_entries;
};

/// \brief Asks a peer for what operators have written.
struct OperatorNewsQuery {
  MemberId m_from = kNoMember;
};

/// \brief What operators have written, as a peer has read it.
struct OperatorNews {
  /// Place in the operators' topic up to which this is known.
  Offset m_next = 0;
  /// Newest configuration as operators wrote it; empty for none.
  std::string m_configuration;
  std::vector<std::string> m_domains_out;
};

using PeerMessage = std::variant<ReleaseQuery,
                                 Release,
                                 RecordsQuery,
                                 Records,
                                 OperatorNewsQuery,
                                 OperatorNews>;

}  // namespace figlug::core

#endif  // FIGLUG_CORE_MESSAGES_H_
