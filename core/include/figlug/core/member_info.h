#ifndef FIGLUG_CORE_MEMBER_INFO_H_
#define FIGLUG_CORE_MEMBER_INFO_H_

#include <string>

#include "figlug/core/endpoint.h"
#include "figlug/core/ids.h"

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

  bool operator==(const MemberInfo&) const = default;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_MEMBER_INFO_H_
