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

namespace figlug::ctl {
namespace {

using nlohmann::json;
using runtime::OperatorError;
using runtime::OperatorSession;

constexpr core::Duration kStatusTimeout = std::chrono::seconds(2);
constexpr std::size_t kMostStatusBytes = 16U << 20;
constexpr std::uint16_t kOk = 200;
constexpr int kHexadecimal = 16;

void Print(const Request& request, const json& value, const std::string& text) {
  if (request.m_is_json) {
    std::cout << value.dump(2) << '\n';
  } else {
    std::cout << text << '\n';
  }
}

int FailWith(const Request& request, int code, const std::string& problem) {
  if (request.m_is_json) {
    std::cout << json{{"error", problem}, {"exit", code}}.dump(2) << '\n';
  }
  std::cerr << "figlugctl: " << problem << '\n';
  return code;
}

int FailWith(const Request& request,
             OperatorError error,
             const std::string& current) {
  switch (error) {
    case OperatorError::kLogUnreachable:
      return FailWith(request, kExitUnknown,
                      "the log does not answer; nothing was changed");
    case OperatorError::kUnknown:
      return FailWith(request, kExitUnknown,
                      "the change was not read back; it may take effect later");
    case OperatorError::kConflict:
      return FailWith(request, kExitRefused,
                      "another change came first; " + current);
    case OperatorError::kRejected:
      return FailWith(request, kExitRefused,
                      "the change is not accepted; " + current);
  }
  return kExitRefused;
}

std::uint64_t VersionOf(const core::ControlState& state,
                        const std::string& profile) {
  const core::VersionedProfile* found = state.FindProfile(profile);
  return found == nullptr ? 0 : found->m_version;
}

int Publish(const Request& request, OperatorSession& session) {
  const std::string& file = request.m_words[1];
  std::ifstream in(file);
  if (!in) {
    return FailWith(request, kExitBadInput, "cannot read " + file);
  }
  std::ostringstream text;
  text << in.rdbuf();
  const auto profile = settings::ParseProfile(file, text.str());
  if (!profile) {
    return FailWith(request, kExitBadInput, ToString(profile.error()));
  }
  const std::string& name = profile->m_name;
  const std::uint64_t expected =
      request.m_expected_version.value_or(VersionOf(session.state(), name));
  const auto done = session.Commit(core::ProfileRecord{*profile, expected});
  const std::uint64_t version = VersionOf(session.state(), name);
  const std::string current =
      "profile " + name + " is at version " + std::to_string(version);
  if (!done) {
    return FailWith(request, done.error(), current);
  }
  Print(request, {{"profile", name}, {"version", version}}, current);
  return kExitDone;
}

// Services that have members now but would have none that may serve.
std::vector<std::string> ServicesLeftWithout(
    const core::ControlState& state,
    const core::ExclusionRecord& change) {
  std::vector<std::string> bare;
  for (const auto& [name, service] : state.services()) {
    bool had_one = false;
    bool keeps_one = false;
    for (const auto& [id, member] : state.members()) {
      if (member.m_info.m_service != name || !state.IsEligible(member)) {
        continue;
      }
      had_one = true;
      const std::string& affected =
          change.m_kind == core::ExclusionKind::kDomain
              ? member.m_info.m_domain
              : member.m_info.m_target;
      keeps_one |= affected != change.m_name;
    }
    if (had_one && !keeps_one) {
      bare.push_back(name);
    }
  }
  return bare;
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

int Exclude(const Request& request, OperatorSession& session) {
  core::ExclusionRecord change;
  change.m_kind = request.m_words[0] == "domain" ? core::ExclusionKind::kDomain
                                                 : core::ExclusionKind::kTarget;
  change.m_out = request.m_words[1] == "out";
  change.m_name = request.m_words[2];
  change.m_expected_version =
      request.m_expected_version.value_or(session.state().exclusions_version());
  if (!request.m_is_forced && !IsKnown(session.state(), change)) {
    return FailWith(request, kExitBadInput,
                    "no member is in " + request.m_words[0] + " " +
                        change.m_name + "; --force takes it all the same");
  }
  const auto bare = ServicesLeftWithout(session.state(), change);
  if (change.m_out && !bare.empty() && !request.m_is_forced) {
    return FailWith(request, kExitRefused,
                    "service " + bare.front() +
                        " would have no target left; --force takes it out "
                        "all the same");
  }
  const auto done = session.Commit(change);
  const std::uint64_t version = session.state().exclusions_version();
  const std::string current =
      "exclusions are at version " + std::to_string(version);
  if (!done) {
    return FailWith(request, done.error(), current);
  }
  Print(request,
        {{request.m_words[0], change.m_name},
         {"out", change.m_out},
         {"version", version}},
        request.m_words[0] + " " + change.m_name + " is " + request.m_words[1] +
            "; " + current);
  return kExitDone;
}

int ForceDown(const Request& request, OperatorSession& session) {
  const std::string& text = request.m_words[1];
  std::uint64_t raw = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, raw, kHexadecimal);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return FailWith(request, kExitBadInput,
                    "'" + text + "' is no member id; status shows them");
  }
  if (!request.m_is_forced) {
    return FailWith(request, kExitBadInput,
                    "force-down says that the VM of the member is off; "
                    "repeat with --force when it is");
  }
  const auto done = session.Commit(core::ForceDownRecord{core::MemberId(raw)});
  if (!done) {
    return FailWith(request, done.error(), "see status for the members");
  }
  Print(request, {{"member", text}, {"down", true}},
        "member " + text + " is down");
  return kExitDone;
}

json AskMember(runtime::EventLoop& loop, const core::MemberInfo& info) {
  runtime::HttpClient client(loop, info.m_http, 1, kMostStatusBytes);
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
    const json own = AskMember(loop, member.m_info);
    entry["answers"] = own.is_object();
    entry["in_force"] = own.is_object() ? own["profiles"] : json::object();
    entry["serving"] = own.is_object() && own["serving"].get<bool>();
    text << runtime::ToString(id) << ' ' << member.m_info.m_target << ' '
         << member.m_info.m_service << ' ' << member.m_info.m_region << '/'
         << member.m_info.m_domain << " slices " << entry["slices"]
         << (entry["excluded"].get<bool>() ? " out" : "")
         << (member.m_draining ? " draining" : "")
         << (own.is_object()
                 ? (entry["serving"].get<bool>() ? " serving" : " not serving")
                 : " no answer")
         << " profiles " << entry["in_force"].dump() << '\n';
  }
  std::string lines = text.str();
  lines.pop_back();
  Print(request, report, lines);
  return kExitDone;
}

int Explain(const Request& request, OperatorSession& session) {
  core::CallHead head;
  head.m_service = request.m_words[1];
  head.m_key = request.m_words.size() > 2 ? request.m_words[2] : "";
  core::MemberInfo self;
  self.m_region = request.m_region;
  core::RouteExplanation why =
      core::Ingress::Explain(head, {session.state(), self});
  if (request.m_region.empty() && why.m_reason == core::Reason::kWrongRegion) {
    why.m_reason = core::Reason::kNone;
  }
  const json report = runtime::DescribeRoute(session.state(), why);
  std::ostringstream text;
  text << "profile " << why.m_profile << " version " << why.m_profile_version;
  if (why.m_slice) {
    text << ", slice " << *why.m_slice << " under epoch " << why.m_epoch;
  }
  for (const json& target : report["targets"]) {
    text << "\ntarget " << target["target"].get<std::string>() << " in "
         << target["region"].get<std::string>() << '/'
         << target["domain"].get<std::string>();
  }
  if (why.m_reason != core::Reason::kNone) {
    text << "\nrefused: " << core::ToString(why.m_reason);
  }
  Print(request, report, text.str());
  return why.m_reason == core::Reason::kNone ? kExitDone : kExitRefused;
}

bool IsExclusion(const std::vector<std::string>& words) {
  return words.size() == 3 && (words[0] == "domain" || words[0] == "target") &&
         (words[1] == "out" || words[1] == "in");
}

}  // namespace

int RunCommand(const Request& request) {
  const std::vector<std::string>& words = request.m_words;
  const std::string command = words.empty() ? "" : words[0];
  const bool is_publish = command == "publish" && words.size() == 2;
  const bool is_force_down = command == "force-down" && words.size() == 2;
  const bool is_status = command == "status" && words.size() == 1;
  const bool is_explain =
      command == "explain" && (words.size() == 2 || words.size() == 3);
  if (!is_publish && !is_force_down && !is_status && !is_explain &&
      !IsExclusion(words)) {
    return FailWith(request, kExitBadInput,
                    "unknown command; --help lists the commands");
  }
  runtime::EventLoop loop;
  OperatorSession session(loop, request.m_log);
  if (const auto loaded = session.Load(); !loaded) {
    return FailWith(request, loaded.error(), "");
  }
  if (is_publish) {
    return Publish(request, session);
  }
  if (is_force_down) {
    return ForceDown(request, session);
  }
  if (is_status) {
    return Status(request, session, loop);
  }
  return is_explain ? Explain(request, session) : Exclude(request, session);
}

}  // namespace figlug::ctl
