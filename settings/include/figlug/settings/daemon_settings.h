#ifndef FIGLUG_SETTINGS_DAEMON_SETTINGS_H_
#define FIGLUG_SETTINGS_DAEMON_SETTINGS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "figlug/core/client_limits.h"
#include "figlug/core/endpoint.h"
#include "figlug/core/node_settings.h"
#include "figlug/settings/settings_error.h"

namespace figlug::settings {

/// \brief All settings of one figlugd process.
struct DaemonSettings {
  core::NodeSettings m_node;
  /// Address to listen on for peers. The address announced to peers may
  /// differ, see `announce_peer`.
  core::Endpoint m_peer_listen;
  /// Address to listen on for callers; see also `announce_http`.
  core::Endpoint m_http_listen;
  core::Endpoint m_target;
  /// Address of the log service.
  core::Endpoint m_log;
  /// Maximum number of connections to the target, 1 to 10,000.
  std::uint32_t m_target_connections = 64;
  /// Idle time after which a connection to the target is not reused.
  core::Duration m_target_idle_timeout = std::chrono::seconds(4);
  /// Maximum size of a request or response body, KiB, 1 to 65,536.
  std::uint32_t m_body_limit_kib = 16 * 1024;
  /// Maximum total size of bodies in memory, KiB, 1,024 to 4,194,304.
  std::uint32_t m_buffer_limit_kib = 256 * 1024;
  core::ClientLimits m_client_limits;
  /// File to which trace spans are appended; empty disables tracing.
  std::string m_trace_file;
  std::string m_log_level = "info";
  /// Maximum log lines per second for each kind of decision, 1 to 100,000.
  /// Lines beyond it are only counted.
  std::uint32_t m_log_lines_per_second = 200;
};

/// \brief Parses and validates the settings of figlugd.
/// \param file File name shown in errors.
/// \param other_sections Sections that are not checked here because another
/// parser reads them.
/// \code
/// auto settings = ParseDaemonSettings("node.ini", text);
/// \endcode
[[nodiscard]] tl::expected<DaemonSettings, SettingsError> ParseDaemonSettings(
    std::string_view file,
    std::string_view text,
    std::span<const std::string_view> other_sections = {});

}  // namespace figlug::settings

#endif  // FIGLUG_SETTINGS_DAEMON_SETTINGS_H_
