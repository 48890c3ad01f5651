#include "commands.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>

#include <nlohmann/json.hpp>

#include "figlug/core/ingress.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/runtime/http_client.h"
#include "figlug/runtime/operator_session.h"
#include "figlug/runtime/status_report.h"
#include "figlug/settings/profile_file.h"
#include "output.h"
#include "tenant_commands.h"

namespace figlug::ctl {
namespace {

using nlohmann::json;
using runtime::OperatorSession;

constexpr core::Duration kStatusTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxStatusBytes = 16U << 20;
constexpr std::uint16_t kOk = 200;
constexpr int kHexBase = 16;

std::uint64_t VersionOf(const core::ControlState& state,
                        const std::string& profile) {
  const core::VersionedProfile* found = state.FindProfile(profile);
  return found == nullptr ? 0 : found->m_version;
}

int Publish(const Request& request, OperatorSession& session) {
  const std::string& file = request.m_args[1];
  std::ifstream in(file);
  if (!in) {
    return Fail(request, kExitBadInput, "cannot read " + file);
  }
  std::ostringstream text;
  text << in.rdbuf();
  const auto profile = settings::ParseProfile(file, text.str());
  if (!profile) {
    return Fail(request, kExitBadInput, ToString(profile.error()));
  }
  const std::string& name = profile->m_name;
  const std::uint64_t expected =
      request.m_expected_version.value_or(VersionOf(session.state(), name));
  const auto done = session.Commit(core::ProfileRecord{*profile, expected});
  const std::uint64_t version = VersionOf(session.state(), name);
  const std::string current =
      "profile " + name + " is at version " + std::to_string(version);
  if (!done) {
    return Fail(request, done.error(), current);
  }
  Print(request, {{"profile", name}, {"version", version}}, current);
  return kExitDone;
}

// Returns the services that have eligible members now and would have none after
// the change.
std::vector<std::string> ServicesWithoutTargets(
    const core::ControlState& state,
    const core::ExclusionRecord& change) {
  std::vector<std::string> unserved;
  for (const auto& [name, service] : state.services()) {
    bool is_served = false;
    bool stays_served = false;
    for (const auto& [id, member] : state.members()) {
      if (member.m_info.m_service != name || !state.IsEligible(member)) {
        continue;
      }
      is_served = true;
      const std::string& affected =
          change.m_kind == core::ExclusionKind::kDomain
              ? member.m_info.m_domain
              : member.m_info.m_target;
      stays_served |= affected != change.m_name;
    }
    if (is_served && !stays_served) {
      unserved.push_back(name);
    }
  }
  return unserved;
}

bool IsKnown(const core::ControlState& state,
             const core::ExclusionRecord& change) {
  const bool is_domain = change.m_kind == core::ExclusionKind::kDomain;
  for (const auto& [id, member] : state.members()) {
    const core::MemberInfo& info = member.m_info;
    if ((is_domain ? info.m_domain : info.m_target) == change.m_name) {
      return true;
    }
  }
  return state.exclusions().contains({change.m_kind, change.m_name});
}

int SetExclusion(const Request& request, OperatorSession& session) {
  core::ExclusionRecord change;
  change.m_kind = request.m_args[0] == "domain" ? core::ExclusionKind::kDomain
                                                : core::ExclusionKind::kTarget;
  change.m_out = request.m_args[1] == "out";
  change.m_name = request.m_args[2];
  change.m_expected_version =
      request.m_expected_version.value_or(session.state().exclusions_version());
  if (!request.m_is_forced && !IsKnown(session.state(), change)) {
    return Fail(request, kExitBadInput,
                "no member has " + request.m_args[0] + " " + change.m_name +
                    "; use --force to proceed anyway");
  }
  const auto unserved = ServicesWithoutTargets(session.state(), change);
  if (change.m_out && !unserved.empty() && !request.m_is_forced) {
    return Fail(
        request, kExitRefused,
        "service " + unserved.front() +
            " would have no target left; use --force to proceed anyway");
  }
  const auto done = session.Commit(change);
  const std::uint64_t version = session.state().exclusions_version();
  const std::string current =
      "exclusions are at version " + std::to_string(version);
  if (!done) {
    return Fail(request, done.error(), current);
  }
  Print(request,
        {{request.m_args[0], change.m_name},
         {"out", change.m_out},
         {"version", version}},
        request.m_args[0] + " " + change.m_name + " is " + request.m_args[1] +
            "; " + current);
  return kExitDone;
}

int ForceDown(const Request& request, OperatorSession& session) {
  const std::string& text = request.m_args[1];
  std::uint64_t raw = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, raw, kHexBase);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return Fail(request, kExitBadInput,
                "'" + text + "' is not a member id; run 'status' to list them");
  }
  if (!request.m_is_forced) {
    return Fail(request, kExitBadInput,
                "force-down asserts that the VM of the member is off; repeat "
                "with --force to confirm");
  }
  const auto done = session.Commit(core::ForceDownRecord{core::MemberId(raw)});
  if (!done) {
    return Fail(request, done.error(), "run 'status' to list the members");
  }
  Print(request, {{"member", text}, {"down", true}},
        "member " + text + " is down");
  return kExitDone;
}

json FetchStatus(runtime::EventLoop& loop, const core::MemberInfo& info) {
  runtime::HttpClient client(loop, info.m_http, 1, kMaxStatusBytes);
  json answer;
  client.Send({"GET", "/figlug/status", {}, ""}, kStatusTimeout,
              [&](runtime::HttpClient::Result&& result) {
                if (result && result->m_status == kOk) {
                  answer = json::parse(result->m_body, nullptr, false);
                }
                loop.Stop();
              });
  loop.Run();
  return answer;
}

int Status(const Request& request,
           OperatorSession& session,
           runtime::EventLoop& loop) {
  json report = runtime::DescribeState(session.state());
  std::ostringstream text;
  text << "log offset " << session.state().next() << ", exclusions version "
       << session.state().exclusions_version() << '\n';
  for (const auto& [name, version] : report["profiles"].items()) {
    text << "profile " << name << " version " << version << '\n';
  }
  std::size_t i = 0;
  for (const auto& [id, member] : session.state().members()) {
    json& entry = report["members"][i++];
    const json own = FetchStatus(loop, member.m_info);
    entry["answers"] = own.is_object();
    entry["in_force"] = own.is_object() ? own["profiles"] : json::object();
    entry["serving"] = own.is_object() && own["serving"].get<bool>();
    text << runtime::ToString(id) << ' ' << member.m_info.m_target << ' '
         << member.m_info.m_service << ' ' << member.m_info.m_region << '/'
         << member.m_info.m_domain << " slices " << entry["slices"]
         << (entry["excluded"].get<bool>() ? " excluded" : "")
         << (member.m_draining ? " draining" : "")
         << (own.is_object()
                 ? (entry["serving"].get<bool>() ? " serving" : " not serving")
                 : " not responding")
         << " profiles " << entry["in_force"].dump() << '\n';
  }
  std::string lines = text.str();
  lines.pop_back();
  Print(request, report, lines);
  return kExitDone;
}

int Explain(const Request& request, OperatorSession& session) {
  core::CallHead head;
  head.m_service = request.m_args[1];
  head.m_key = request.m_args.size() > 2 ? request.m_args[2] : "";
  const auto& tenants = session.state().tenants();
  if (const auto tenant = tenants.find(request.m_tenant);
      tenant != tenants.end()) {
    head.m_credential = tenant->second.m_tenant.m_credentials.front();
  }
  core::MemberInfo self;
  self.m_region = request.m_region;
  core::IngressView view{session.state(), self};
  if (!tenants.empty()) {
    view.m_tenants = &session.state().tenant_table();
  }
  core::RouteExplanation route =
      core::Ingress::Explain(runtime::ReadClocks().m_time, head, view);
  if (request.m_region.empty() &&
      route.m_reason == core::Reason::kWrongRegion) {
    route.m_reason = core::Reason::kNone;
  }
  const json report = runtime::DescribeRoute(session.state(), route);
  std::ostringstream text;
  text << "profile " << route.m_profile << " version "
       << route.m_profile_version;
  if (route.m_slice) {
    text << ", slice " << *route.m_slice << " under epoch " << route.m_epoch;
  }
  for (const json& target : report["targets"]) {
    text << "\ntarget " << target["target"].get<std::string>() << " in "
         << target["region"].get<std::string>() << '/'
         << target["domain"].get<std::string>();
  }
  if (route.m_reason != core::Reason::kNone) {
    text << "\nrefused: " << core::ToString(route.m_reason);
  }
  Print(request, report, text.str());
  return route.m_reason == core::Reason::kNone ? kExitDone : kExitRefused;
}

bool IsExclusionCommand(const std::vector<std::string>& args) {
  return args.size() == 3 && (args[0] == "domain" || args[0] == "target") &&
         (args[1] == "out" || args[1] == "in");
}

int RunSession(const Request& request, runtime::EventLoop& loop) {
  OperatorSession session(loop, request.m_log_address);
  if (const auto loaded = session.Load(); !loaded) {
    return Fail(request, loaded.error(), "");
  }
  const std::string& command = request.m_args[0];
  if (command == "publish") {
    return Publish(request, session);
  }
  if (IsTenantCommand(request.m_args)) {
    return RunTenantCommand(request, session);
  }
  if (command == "force-down") {
    return ForceDown(request, session);
  }
  if (command == "status") {
    return Status(request, session, loop);
  }
  return command == "explain" ? Explain(request, session)
                              : SetExclusion(request, session);
}

}  // namespace

int RunCommand(const Request& request) {
  const std::vector<std::string>& args = request.m_args;
  const std::string command = args.empty() ? "" : args[0];
  const bool is_publish = command == "publish" && args.size() == 2;
  const bool is_force_down = command == "force-down" && args.size() == 2;
  const bool is_status = command == "status" && args.size() == 1;
  const bool is_explain =
      command == "explain" && (args.size() == 2 || args.size() == 3);
  if (!is_publish && !is_force_down && !is_status && !is_explain &&
      !IsExclusionCommand(args) && !IsTenantCommand(args)) {
    return Fail(request, kExitBadInput, "unknown command; see --help");
  }
  // Each deferred callback holds its connection. One that is pending as the
  // loop stops has to run, or the connection is never freed.
  runtime::EventLoop loop;
  const int exit_code = RunSession(request, loop);
  loop.RunPending();
  return exit_code;
}

}  // namespace figlug::ctl
