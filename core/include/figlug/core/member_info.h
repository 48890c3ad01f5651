#ifndef FIGLUG_CORE_MEMBER_INFO_H_
#define FIGLUG_CORE_MEMBER_INFO_H_

#include <cstdint>
#include <string>

#include "figlug/core/endpoint.h"
#include "figlug/core/ids.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief What a member announces about itself and its target.
struct MemberInfo {
  MemberId m_id = kNoMember;
  std::string m_service;
  std::string m_profile;
  std::string m_target;
  std::string m_region;
  std::string m_domain;
  Endpoint m_peer;
  Endpoint m_http;
  /// Start of the target's current incarnation, Unix ms; 0 where targets do not
  /// report it.
  std::int64_t m_target_start_ms = 0;
  /// Max concurrent requests of the target; 0 when unknown.
  std::uint32_t m_slots = 0;
  /// Slices of the service's key space; 0 for a service without keys.
  SliceIndex m_slice_count = kDefaultSlicesPerService;
  /// Time after which the member stops, if it has not known the log to hold no
  /// unanswered suspicion of it; zero if it goes on.
  Duration m_log_lease{};

  bool operator==(const MemberInfo&) const = default;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_MEMBER_INFO_H_
