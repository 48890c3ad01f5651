#include "figlug/settings/daemon_settings.h"

#include <array>
#include <utility>

#include "figlug/settings/ini_document.h"
#include "figlug/settings/section_reader.h"

namespace figlug::settings {
namespace {

void ReadNode(SectionReader& reader, DaemonSettings& out) {
  core::MemberInfo& self = out.m_node.m_self;
  reader.Require("node", "region").Text("node", "region", self.m_region);
  reader.Require("node", "domain").Text("node", "domain", self.m_domain);
  reader.Require("node", "http").Address("node", "http", out.m_http_listen);
  reader.Require("node", "peer").Address("node", "peer", out.m_peer_listen);
  self.m_http = out.m_http_listen;
  self.m_peer = out.m_peer_listen;
  reader.Address("node", "announce_http", self.m_http);
  reader.Address("node", "announce_peer", self.m_peer);
  reader.Milliseconds("node", "stop_limit_ms", {100, 600'000},
                      out.m_node.m_stop_limit);
}

void ReadTarget(SectionReader& reader, DaemonSettings& out) {
  core::MemberInfo& self = out.m_node.m_self;
  reader.Require("target", "name").Text("target", "name", self.m_target);
  reader.Require("target", "service").Text("target", "service", self.m_service);
  reader.Require("target", "profile").Text("target", "profile", self.m_profile);
  reader.Require("target", "address")
      .Address("target", "address", out.m_target);
  reader.Count("target", "connections", {1, 10'000}, out.m_target_connections);
  reader.Milliseconds("target", "most_idle_ms", {1, 600'000},
                      out.m_target_idle_timeout);
}

void ReadLease(SectionReader& reader, core::LeaseTiming& timing) {
  reader.Milliseconds("lease", "heartbeat_ms", {10, 10'000},
                      timing.m_heartbeat_interval);
  reader.Milliseconds("lease", "lease_ms", {50, 60'000},
                      timing.m_lease_duration);
  reader.Milliseconds("lease", "pledge_ms", {50, 120'000},
                      timing.m_pledge_duration);
  reader.Milliseconds("lease", "watcher_silence_ms", {100, 120'000},
                      timing.m_watcher_silence_timeout);
  reader.Milliseconds("lease", "stale_reader_ms", {500, 120'000},
                      timing.m_stale_reader_timeout);
  if (timing.m_lease_duration < 2 * timing.m_heartbeat_interval) {
    reader.Fail("lease", "lease_ms",
                "is invalid (accepted: at least twice heartbeat_ms)");
  }
  if (timing.m_pledge_duration * 20 < timing.m_lease_duration * 21) {
    reader.Fail("lease", "pledge_ms",
                "is invalid (accepted: at least 1.05 times lease_ms)");
  }
}

// A log lease that is no longer than a lease would end before a vote could
// matter.
void ReadLogLease(SectionReader& reader, core::NodeSettings& node) {
  core::Duration& log_lease = node.m_self.m_log_lease;
  reader.Milliseconds("lease", "log_lease_ms", {0, 3'600'000}, log_lease);
  if (log_lease != core::Duration::zero() &&
      log_lease < 2 * node.m_timing.m_lease_duration) {
    reader.Fail("lease", "log_lease_ms",
                "is invalid (accepted: 0, or at least twice lease_ms)");
  }
}

void ReadPolicy(SectionReader& reader, core::AnyBalancer& out) {
  static const std::array<std::pair<std::string_view, core::AnyBalancer>, 6>
      balancers = {{{"two-choices", core::TwoChoices{}},
                    {"random", core::RandomChoice{}},
                    {"round-robin", core::RoundRobin{}},
                    {"least-outstanding", core::LeastOutstanding{}},
                    {"least-wait", core::LeastWait{}},
                    {"sampled-wait", core::SampledWait{}}}};
  std::string name = "two-choices";
  reader.Text("policy", "balancer", name);
  for (const auto& [known, balancer] : balancers) {
    if (known == name) {
      out = balancer;
      return;
    }
  }
  reader.Fail("policy", "balancer",
              "'" + name +
                  "' is invalid (accepted: two-choices, random, round-robin, "
                  "least-outstanding, least-wait or sampled-wait)");
}

void ReadCapacity(SectionReader& reader, bool& learns_capacity) {
  std::string capacity = "reported";
  reader.Text("policy", "capacity", capacity);
  learns_capacity = capacity == "learned";
  if (!learns_capacity && capacity != "reported") {
    reader.Fail(
        "policy", "capacity",
        "'" + capacity + "' is invalid (accepted: reported or learned)");
  }
}

void ReadLog(SectionReader& reader, DaemonSettings& out) {
  reader.Require("log", "address").Address("log", "address", out.m_log);
  reader.Milliseconds("log", "checkpoint_period_ms", {1'000, 86'400'000},
                      out.m_node.m_checkpoint_period);
  reader.Count("log", "checkpoint_records", {16, 1'000'000},
               out.m_node.m_checkpoint_records);
}

void ReadLimits(SectionReader& reader, DaemonSettings& out) {
  reader.Count("limits", "body_kib", {1, 65'536}, out.m_body_limit_kib);
  reader.Count("limits", "buffer_kib", {1'024, 4'194'304},
               out.m_buffer_limit_kib);
  reader.Milliseconds("limits", "header_timeout_ms", {100, 3'600'000},
                      out.m_client_limits.m_header_timeout);
  reader.Milliseconds("limits", "idle_timeout_ms", {100, 86'400'000},
                      out.m_client_limits.m_idle_timeout);
}

void ReadOutput(SectionReader& reader, DaemonSettings& out) {
  reader.Text("output", "trace_file", out.m_trace_file);
  reader.Count("output", "log_lines_per_second", {1, 100'000},
               out.m_log_lines_per_second);
  reader.Text("output", "log_level", out.m_log_level);
  for (std::string_view level : {"debug", "info", "warn", "error"}) {
    if (out.m_log_level == level) {
      return;
    }
  }
  reader.Fail("output", "log_level",
              "'" + out.m_log_level +
                  "' is invalid (accepted: debug, info, warn or error)");
}

}  // namespace

tl::expected<DaemonSettings, SettingsError> ParseDaemonSettings(
    std::string_view file,
    std::string_view text,
    std::span<const std::string_view> other_sections) {
  const auto document = ParseIni(file, text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  DaemonSettings settings;
  SectionReader reader(*document);
  ReadNode(reader, settings);
  ReadTarget(reader, settings);
  ReadLog(reader, settings);
  ReadLease(reader, settings.m_node.m_timing);
  ReadLogLease(reader, settings.m_node);
  ReadPolicy(reader, settings.m_node.m_balancer);
  ReadCapacity(reader, settings.m_node.m_learns_capacity);
  ReadLimits(reader, settings);
  ReadOutput(reader, settings);
  for (std::string_view section : other_sections) {
    reader.Skip(section);
  }
  reader.RejectUnknown();
  if (reader.error()) {
    return tl::unexpected(*reader.error());
  }
  return settings;
}

}  // namespace figlug::settings
