#ifndef FIGLUG_SETTINGS_DAEMON_SETTINGS_H_
#define FIGLUG_SETTINGS_DAEMON_SETTINGS_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "figlug/core/endpoint.h"
#include "figlug/core/node_settings.h"
#include "figlug/settings/settings_error.h"

namespace figlug::settings {

/// \brief All settings of one figlugd.
struct DaemonSettings {
  core::NodeSettings m_node;
  /// Where peers listen; the member may announce another address.
  core::Endpoint m_peer_listen;
  core::Endpoint m_http_listen;
  core::Endpoint m_target;
  core::Endpoint m_log;
  /// Connections to the target, 1 to 10,000.
  std::uint32_t m_target_connections = 64;
  /// Rest after which a connection to the target is not used again.
  core::Duration m_target_idle_timeout = std::chrono::seconds(4);
  /// Largest body of a request or an answer, KiB, 1 to 65,536.
  std::uint32_t m_body_limit_kib = 16 * 1024;
  /// Bodies held at once, KiB, 1,024 to 4,194,304.
  std::uint32_t m_buffer_limit_kib = 256 * 1024;
  /// File that spans are appended to; empty for none.
  std::string m_trace_file;
  std::string m_log_level = "info";
  /// Lines a second of each kind of decision, 1 to 100,000; more are counted.
  std::uint32_t m_log_lines_per_second = 200;
};

/// \brief Reads the settings of a figlugd.
/// \param file Name for errors.
/// \param other_sections Sections that are read elsewhere.
/// \code
/// auto settings = ParseDaemonSettings("node.ini", text);
/// \endcode
[[nodiscard]] tl::expected<DaemonSettings, SettingsError> ParseDaemonSettings(
    std::string_view file,
    std::string_view text,
    std::span<const std::string_view> other_sections = {});

}  // namespace figlug::settings

#endif  // FIGLUG_SETTINGS_DAEMON_SETTINGS_H_
