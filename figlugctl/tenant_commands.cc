#include "tenant_commands.h"

#include <fstream>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

#include "figlug/settings/tenant_file.h"
#include "output.h"

namespace figlug::ctl {
namespace {

using nlohmann::json;
using runtime::OperatorSession;

std::uint64_t VersionOf(const OperatorSession& session,
                        const std::string& tenant) {
  const auto& tenants = session.state().tenants();
  const auto it = tenants.find(tenant);
  return it == tenants.end() ? 0 : it->second.m_version;
}

json Describe(const core::VersionedTenant& entry) {
  const core::Tenant& tenant = entry.m_tenant;
  json description = {{"name", tenant.m_name},
                      {"version", entry.m_version},
                      {"credentials", tenant.m_credentials.size()},
                      {"rate_per_second", tenant.m_rate},
                      {"burst", tenant.m_burst},
                      {"home_regions", tenant.m_home_regions}};
  if (tenant.m_priority) {
    description["priority"] = *tenant.m_priority;
  }
  return description;
}

std::string ToLine(const json& tenant) {
  return "tenant " + tenant["name"].get<std::string>() + " version " +
         tenant["version"].dump() + ", " + tenant["credentials"].dump() +
         " credentials, " + tenant["rate_per_second"].dump() +
         " requests/s, burst " + tenant["burst"].dump();
}

int Commit(const Request& request,
           OperatorSession& session,
           core::TenantRecord record) {
  const std::string name = record.m_tenant.m_name;
  record.m_expected_version =
      request.m_expected_version.value_or(VersionOf(session, name));
  const auto done = session.Commit(std::move(record));
  const std::uint64_t version = VersionOf(session, name);
  const std::string current =
      "tenant " + name +
      (version == 0 ? " is not published"
                    : " is at version " + std::to_string(version));
  if (!done) {
    return Fail(request, done.error(), current);
  }
  Print(request, {{"tenant", name}, {"version", version}}, current);
  return kExitDone;
}

int Publish(const Request& request, OperatorSession& session) {
  const std::string& file = request.m_args[2];
  std::ifstream in(file);
  if (!in) {
    return Fail(request, kExitBadInput, "cannot read " + file);
  }
  std::ostringstream text;
  text << in.rdbuf();
  auto tenant = settings::ParseTenant(file, text.str());
  if (!tenant) {
    return Fail(request, kExitBadInput, ToString(tenant.error()));
  }
  return Commit(request, session, {.m_tenant = std::move(*tenant)});
}

int Show(const Request& request, OperatorSession& session) {
  const std::string& name = request.m_args[2];
  const auto& tenants = session.state().tenants();
  const auto it = tenants.find(name);
  if (it == tenants.end()) {
    return Fail(request, kExitBadInput, "no tenant is named " + name);
  }
  const json description = Describe(it->second);
  Print(request, description, ToLine(description));
  return kExitDone;
}

int List(const Request& request, OperatorSession& session) {
  json report = json::array();
  std::string text = std::to_string(session.state().tenants().size()) +
                     " tenants are published";
  for (const auto& [name, tenant] : session.state().tenants()) {
    report.push_back(Describe(tenant));
    text += "\n" + ToLine(report.back());
  }
  Print(request, report, text);
  return kExitDone;
}

}  // namespace

bool IsTenantCommand(const std::vector<std::string>& args) {
  if (args.size() < 2 || args[0] != "tenant") {
    return false;
  }
  const std::string& verb = args[1];
  return (verb == "list" && args.size() == 2) ||
         ((verb == "publish" || verb == "remove" || verb == "show") &&
          args.size() == 3);
}

int RunTenantCommand(const Request& request, OperatorSession& session) {
  const std::string& verb = request.m_args[1];
  if (verb == "publish") {
    return Publish(request, session);
  }
  if (verb == "remove") {
    core::TenantRecord record{.m_is_removed = true};
    record.m_tenant.m_name = request.m_args[2];
    return Commit(request, session, std::move(record));
  }
  return verb == "show" ? Show(request, session) : List(request, session);
}

}  // namespace figlug::ctl
