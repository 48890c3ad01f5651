#ifndef FIGLUG_SETTINGS_SECTION_READER_H_
#define FIGLUG_SETTINGS_SECTION_READER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "figlug/core/endpoint.h"
#include "figlug/core/time.h"
#include "figlug/settings/ini_document.h"

namespace figlug::settings {

/// \brief An inclusive range of whole numbers.
struct Range {
  std::int64_t m_min = 0;
  std::int64_t m_max = 0;
};

/// \brief Takes typed values out of a document and keeps the first error.
///
/// A key that is absent leaves the value as it is; Require makes it an error.
///
/// \code
/// SectionReader reader(document);
/// reader.Require("node", "region").Text("node", "region", settings.m_region);
/// reader.Milliseconds("lease", "lease_ms", {100, 60000},
/// timing.m_lease_duration); reader.RejectUnknown(); \endcode
class SectionReader {
 public:
  explicit SectionReader(const IniDocument& document) : m_document(document) {}

  SectionReader& Require(std::string_view section, std::string_view key);
  SectionReader& Text(std::string_view section,
                      std::string_view key,
                      std::string& out);
  SectionReader& List(std::string_view section,
                      std::string_view key,
                      std::vector<std::string>& out);
  SectionReader& Bool(std::string_view section,
                      std::string_view key,
                      bool& out);
  SectionReader& Count(std::string_view section,
                       std::string_view key,
                       Range range,
                       std::uint32_t& out);
  SectionReader& Milliseconds(std::string_view section,
                              std::string_view key,
                              Range range,
                              core::Duration& out);
  SectionReader& Address(std::string_view section,
                         std::string_view key,
                         core::Endpoint& out);
  /// \brief Leaves a section to another reader.
  void Skip(std::string_view section);
  /// \brief Makes each key that was not read an error.
  SectionReader& RejectUnknown();
  /// \brief Notes a problem that a caller has found with a value.
  void Fail(std::string_view section,
            std::string_view key,
            std::string problem);

  [[nodiscard]] const std::optional<SettingsError>& error() const noexcept {
    return m_error;
  }

 private:
  const IniEntry* Find(std::string_view section, std::string_view key);
  std::optional<std::int64_t> ReadInteger(std::string_view section,
                                          std::string_view key,
                                          Range range,
                                          std::string_view unit);

  const IniDocument& m_document;
  std::set<const IniEntry*> m_read_entries;
  std::optional<SettingsError> m_error;
};

}  // namespace figlug::settings

#endif  // FIGLUG_SETTINGS_SECTION_READER_H_
