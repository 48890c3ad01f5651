#ifndef FIGLUG_CORE_MESSAGES_H_
#define FIGLUG_CORE_MESSAGES_H_

#include <string>
#include <variant>
#include <vector>

#include "figlug/core/ids.h"
#include "figlug/core/record.h"
#include "figlug/core/request_id_filter.h"
#include "figlug/core/tenants/quota_messages.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief A member's heartbeat to one of its watchers.
struct Heartbeat {
  MemberId m_member = kNoMember;
  Generation m_generation = 0;
  /// Generation proposed but not confirmed; 0 for none.
  Generation m_proposed = 0;
  /// The member's own clock.
  Time m_sent_at{};
  /// Era of the log as the member reads it, and the first offset that the
  /// member has not applied.
  Position m_next = 0;
  /// First position of the operators' topic that the member has not read.
  Position m_operators_next = 0;
  /// Version of the configuration in force at the member; 0 for none.
  std::uint64_t m_configuration = 0;
};

/// \brief A watcher's confirmation of a heartbeat: it will not vote against the
/// member for a limited time.
struct HeartbeatAck {
  MemberId m_watcher = kNoMember;
  MemberId m_member = kNoMember;
  Generation m_generation = 0;
  Generation m_proposed = 0;
  /// Send time of the acknowledged heartbeat.
  Time m_sent_at{};
  /// Whether the watcher's own watchers receive its heartbeats; only then does
  /// the acknowledgement count towards the member's lease.
  bool m_is_pledge = false;
  /// The same of the watcher as in Heartbeat.
  Position m_next = 0;
  Position m_operators_next = 0;
  std::uint64_t m_configuration = 0;
  /// Time since the watcher's configuration was known to be the newest;
  /// negative where that is not known or not needed.
  Duration m_configuration_age{-1};
  /// Time since the watcher was known to have read all of the log below m_next;
  /// negative where that is not known.
  Duration m_log_age{-1};
};

/// \brief Asks whether a member is alive.
struct LivenessProbe {
  MemberId m_from = kNoMember;
  MemberId m_to = kNoMember;
};

/// \brief The answer to a LivenessProbe.
struct LivenessReply {
  MemberId m_member = kNoMember;
};

/// \brief Tells the other members of a failure domain that a member has read
/// the operators' topic.
struct ReadReport {
  MemberId m_reader = kNoMember;
  /// First position of the operators' topic that the reader had not forwarded
  /// before this read.
  Position m_operators_next = 0;
  /// Version of the configuration in force at the reader; 0 for none.
  std::uint64_t m_configuration = 0;
};

using Datagram = std::variant<Heartbeat,
                              HeartbeatAck,
                              ReadReport,
                              TokenRequest,
                              TokenGrant,
                              LedgerQuery,
                              LedgerRelease,
                              LivenessProbe,
                              LivenessReply>;

/// \brief Asks a previous owner whether it has released slices.
struct ReleaseQuery {
  MemberId m_from = kNoMember;
  std::vector<SliceIndex> m_slices;
};

/// \brief One slice that a previous owner has released.
struct ReleasedSlice {
  SliceIndex m_slice = 0;
  /// Position of the loss of a holder that m_ids accounts for.
  Position m_lost_at = 0;
  SliceRequestIds m_ids;
  /// Handover token of the previous holder's target; empty for none.
  std::string m_handover;
  /// Whether the previous holder knows that nobody held the slice beside it, by
  /// records that the log has lost either.
  bool m_was_exclusive = false;
};

/// \brief A previous owner's confirmation that it no longer serves slices.
struct Release {
  MemberId m_from = kNoMember;
  /// Position of the last record applied when the slices were released.
  Position m_folded = 0;
  std::vector<ReleasedSlice> m_slices;
};

/// \brief Asks a peer for records that cannot be read from the log now.
struct RecordsQuery {
  MemberId m_from = kNoMember;
  Position m_next = 0;
};

/// \brief Records that a peer has read, in order.
struct Records {
  /// Era of the log that they were read in.
  Era m_era = 0;
  std::vector<LogEntry> m_entries;
};

/// \brief Asks a peer for the operators' latest update.
struct OperatorUpdateQuery {
  MemberId m_from = kNoMember;
};

/// \brief The operators' configuration and exclusions, as a peer has read them.
struct OperatorUpdate {
  /// First position of the operators' topic that this does not include.
  Position m_next = 0;
  /// Version of the configuration; 0 for none.
  std::uint64_t m_version = 0;
  /// Newest configuration, encoded by the front end; empty for none.
  std::string m_configuration;
  std::vector<std::string> m_excluded_domains;
};

using PeerMessage = std::variant<ReleaseQuery,
                                 Release,
                                 RecordsQuery,
                                 Records,
                                 OperatorUpdateQuery,
                                 OperatorUpdate>;

}  // namespace figlug::core

#endif  // FIGLUG_CORE_MESSAGES_H_
