#ifndef FIGLUG_CORE_FWD_H_
#define FIGLUG_CORE_FWD_H_

#include <cstdint>

/// \file
/// \brief Forward declarations and overview of the core package.

/// \brief The router's decision logic, without input, output or clock.
namespace figlug::core {

// Identities: ids.h
enum class MemberId : std::uint64_t;
enum class CallId : std::uint64_t;
enum class AttemptId : std::uint64_t;
enum class WorkId : std::uint64_t;
enum class HoldCallId : std::uint64_t;
enum class AppendId : std::uint64_t;

// Records of the log and the control state built from them.
struct Endpoint;     // endpoint.h
struct MemberInfo;   // member_info.h
struct Profile;      // profile.h
struct LogEntry;     // record.h
struct Member;       // control_state.h
struct Slice;        // control_state.h
struct Service;      // control_state.h
class ControlState;  // control_state.h

// Leases.
struct LeaseTiming;  // lease_timing.h
class LeaseHolder;   // lease_holder.h
class LeaseWatcher;  // lease_watcher.h
class ReaderChoice;  // reader_choice.h

// Connections between processes.
class ConnectionLiveness;  // connection_liveness.h

// Admission beside one target.
class ConcurrencyLimit;  // concurrency_limit.h
class RequestIdFilter;   // request_id_filter.h
class Gate;              // gate.h

// Keys that the target holds.
class PulledHolds;  // pulled_holds.h
class PushedHolds;  // pushed_holds.h
class AnyHolds;     // holds.h

// Routing of callers' requests.
class LatencyWindow;  // latency_window.h
class TokenBudget;    // token_budget.h
class Ingress;        // ingress.h

// One process: the entry point of the core.
class Node;  // node.h

}  // namespace figlug::core

#endif  // FIGLUG_CORE_FWD_H_
