#include "figlug/runtime/status_report.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>

namespace figlug::runtime {
namespace {

using nlohmann::json;

std::string ToText(const core::Endpoint& endpoint) {
  return endpoint.m_host + ":" + std::to_string(endpoint.m_port);
}

std::size_t CountOwned(const core::ControlState& state,
                       const core::Member& member) {
  const core::Service* service = state.FindService(member.m_info.m_service);
  if (service == nullptr) {
    return 0;
  }
  return static_cast<std::size_t>(std::ranges::count(
      service->m_slices, member.m_info.m_id, &core::Slice::m_owner));
}

json DescribeMember(const core::ControlState& state,
                    const core::Member& member) {
  const core::MemberInfo& info = member.m_info;
  json watchers = json::array();
  for (core::MemberId watcher : member.m_watchers) {
    watchers.push_back(ToString(watcher));
  }
  return {
      {"id", ToString(info.m_id)},
      {"service", info.m_service},
      {"profile", info.m_profile},
      {"target", info.m_target},
      {"region", info.m_region},
      {"domain", info.m_domain},
      {"peer", ToText(info.m_peer)},
      {"http", ToText(info.m_http)},
      {"generation", member.m_generation},
      {"watchers", watchers},
      {"weight", member.m_weight},
      {"draining", member.m_draining},
      {"excluded", state.IsExcluded(info)},
      {"suspected", member.m_suspected_at != 0},
      {"slices", CountOwned(state, member)},
  };
}

json DescribeService(const core::Service& service) {
  std::size_t unowned = 0;
  std::size_t moving = 0;
  for (const core::Slice& slice : service.m_slices) {
    unowned += slice.m_owner == core::kNoMember ? 1 : 0;
    moving += slice.m_previous_holders.empty() ? 0 : 1;
  }
  return {{"profile", service.m_profile},
          {"slices", service.m_slices.size()},
          {"unowned", unowned},
          {"moving", moving}};
}

}  // namespace

std::string ToString(core::MemberId id) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016" PRIx64,
                static_cast<std::uint64_t>(id));
  return text;
}

json DescribeState(const core::ControlState& state) {
  json out = {{"next_offset", state.next()},
              {"exclusions_version", state.exclusions_version()},
              {"members", json::array()},
              {"services", json::object()},
              {"profiles", json::object()},
              {"exclusions", json::array()}};
  for (const auto& [id, member] : state.members()) {
    out["members"].push_back(DescribeMember(state, member));
  }
  for (const auto& [name, service] : state.services()) {
    out["services"][name] = DescribeService(service);
  }
  for (const auto& [name, profile] : state.profiles()) {
    out["profiles"][name] = profile.m_version;
  }
  for (const auto& [kind, name] : state.exclusions()) {
    const bool is_domain = kind == core::ExclusionKind::kDomain;
    out["exclusions"].push_back(
        {{"kind", is_domain ? "domain" : "target"}, {"name", name}});
  }
  return out;
}

json DescribeNode(const core::Node& node, core::Time now) {
  json out = DescribeState(node.state());
  out["self"] = ToString(node.self().m_id);
  out["target"] = node.self().m_target;
  out["serving"] = node.IsServing(now);
  out["lease"] = node.HasLease(now);
  if (const auto age = node.LogAge(now)) {
    out["log_age_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(*age).count();
  }
  out["limit"] = node.gate().limit();
  out["running"] = node.gate().running();
  out["queued"] = node.gate().queued();
  out["open_calls"] = node.ingress().open_calls();
  out["owned_slices"] = node.ownership().owned_count();
  return out;
}

json DescribeRoute(const core::ControlState& state,
                   const core::RouteExplanation& explanation) {
  json out = {{"profile", explanation.m_profile},
              {"profile_version", explanation.m_profile_version},
              {"reason", core::ToString(explanation.m_reason)},
              {"targets", json::array()}};
  if (explanation.m_slice) {
    out["slice"] = *explanation.m_slice;
    out["epoch"] = explanation.m_epoch;
  }
  for (core::MemberId id : explanation.m_members) {
    if (const core::Member* member = state.FindMember(id)) {
      out["targets"].push_back({{"target", member->m_info.m_target},
                                {"region", member->m_info.m_region},
                                {"domain", member->m_info.m_domain},
                                {"member", ToString(id)}});
    }
  }
  return out;
}

}  // namespace figlug::runtime
