#ifndef FIGLUG_CORE_ACTION_H_
#define FIGLUG_CORE_ACTION_H_

#include <concepts>
#include <string>
#include <variant>
#include <vector>

#include "figlug/core/endpoint.h"
#include "figlug/core/hold_call.h"
#include "figlug/core/ids.h"
#include "figlug/core/messages.h"
#include "figlug/core/outcome.h"
#include "figlug/core/record.h"
#include "figlug/core/request_id.h"
#include "figlug/core/state_change.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Send a datagram; it may be lost.
struct SendDatagram {
  Endpoint m_to;
  Datagram m_datagram;
};

/// \brief Send a message over the connection to a member.
struct SendPeerMessage {
  Endpoint m_to;
  PeerMessage m_message;
};

/// \brief Append a record; retry with the same id until it has been read back.
struct AppendRecord {
  AppendId m_id{0};
  Record m_record;
  /// Era of the log that the record was decided in.
  Era m_era = 0;
};

/// \brief The metadata of an attempt that a gate needs for admission.
struct AttemptHead {
  std::string m_service;
  SliceIndex m_slice = 0;
  RequestId m_request_id;
  /// Whether the caller supplied the id, so that duplicates may exist.
  bool m_has_caller_id = false;
  /// Time left to the deadline when the head was sent.
  Duration m_time_left{};
  /// 0 is served first.
  std::uint32_t m_priority = 0;
  /// Zero to use the profile's value.
  Duration m_max_queue_wait{};
  /// Response time after which an answer is worth less; zero where none is
  /// known.
  Duration m_target_latency{};
  /// Time left of m_target_latency; negative when it has passed.
  Duration m_target_latency_left{};
};

/// \brief The load that a gate reports with each reply.
struct GateLoad {
  std::uint32_t m_running = 0;
  std::uint32_t m_queued = 0;
  /// Max concurrent requests; 0 when the gate does not report it.
  std::uint32_t m_slots = 0;
  /// Smoothed time from dispatch to answer.
  Duration m_service_time{};
  /// Time from dispatch to answer of the work replied to; zero where it is not
  /// known or not needed.
  Duration m_own_service_time{};
  /// Time that a large answer to the same ingress would wait for the link of
  /// the gate's VM; zero where it is not known or needs no link.
  Duration m_link_wait{};
};

/// \brief The data that a choice of target was based on.
struct RouteBasis {
  /// Version of the operators' configuration; 0 where none is used.
  std::uint64_t m_configuration = 0;
  /// First offset of the log that was not yet applied.
  Offset m_records = 0;
  /// Open attempts of this process at the target.
  std::uint32_t m_outstanding = 0;
  /// Load that the target's gate last reported.
  GateLoad m_load;
  /// Age of m_load; negative when no load has been reported.
  Duration m_load_age{-1};
};

/// \brief Send a call to the gate of a member, which may be this one.
struct SendAttempt {
  CallId m_call{0};
  AttemptId m_attempt{0};
  MemberId m_member = kNoMember;
  Endpoint m_to;
  AttemptHead m_head;
  RouteBasis m_basis;
};

/// \brief Notify a gate that an attempt's result is no longer needed.
struct CancelAttempt {
  AttemptId m_attempt{0};
  Endpoint m_to;
};

/// \brief Proof to the target that this gate owns the slice.
struct Fence {
  std::string m_service;
  SliceIndex m_slice = 0;
  Position m_epoch = 0;
};

/// \brief Send work to the target now.
struct DispatchWork {
  WorkId m_work{0};
  Fence m_fence;
  Duration m_time_left{};
  /// Target that the work is meant for; empty where targets do not report.
  std::string m_target;
};

/// \brief Stop work at the target.
struct CancelWork {
  WorkId m_work{0};
};

/// \brief Report the end of an attempt to its ingress.
struct FinishAttempt {
  WorkId m_work{0};
  Outcome m_outcome = Outcome::kNotRun;
  Reason m_reason = Reason::kNone;
  GateLoad m_load;
};

/// \brief Answer the caller.
struct FinishCall {
  CallId m_call{0};
  Outcome m_outcome = Outcome::kNotRun;
  Reason m_reason = Reason::kNone;
  /// Attempt whose answer is passed on when the outcome is kAnswered.
  AttemptId m_attempt{0};
  /// Time after which a caller that got "not run" may retry; zero for no
  /// advice.
  Duration m_retry_after{};
};

/// \brief Apply the operators' update that a peer has read.
struct ApplyOperatorUpdate {
  OperatorUpdate m_update;
};

/// \brief The log has been restored from a copy: read the control state again.
struct ReloadLog {};

/// \brief This member was removed: it needs a new id and a new join.
struct IdentityLost {};

/// \brief This process may stop: it has released everything, or its stop limit
/// has passed.
struct ReadyToStop {
  /// End of the wait for responses to be written.
  Time m_write_until{};
};

using Action = std::variant<SendDatagram,
                            SendPeerMessage,
                            AppendRecord,
                            SendAttempt,
                            CancelAttempt,
                            DispatchWork,
                            CancelWork,
                            GrantKeys,
                            ReleaseKeys,
                            FinishAttempt,
                            FinishCall,
                            ApplyOperatorUpdate,
                            StateChanged,
                            ReloadLog,
                            IdentityLost,
                            ReadyToStop>;

using Actions = std::vector<Action>;

/// \brief A callable that carries out actions.
template <class T>
concept ActionSink = std::invocable<T&, Action&&>;

}  // namespace figlug::core

#endif  // FIGLUG_CORE_ACTION_H_
