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

/// \brief An inclusive range of integers.
struct Range {
  std::int64_t m_min = 0;
  std::int64_t m_max = 0;
};

/// \brief Converts the entries of an INI document to typed values and keeps the
/// first error.
///
/// If a key is absent, the output keeps its value; Require() makes that an
/// error.
///
/// \code
/// SectionReader reader(document);
/// reader.Require("node", "region").Text("node", "region", settings.m_region);
/// reader.Milliseconds("lease", "lease_ms", {100, 60000}, lease_duration);
/// reader.RejectUnknown();
/// \endcode
class SectionReader {
 public:
  explicit SectionReader(const IniDocument& document) : m_document(document) {}

  /// \brief Reports an error if the key is absent or its value is empty.
  SectionReader& Require(std::string_view section, std::string_view key);
  SectionReader& Text(std::string_view section,
                      std::string_view key,
                      std::string& out);
  /// \brief Reads a comma-separated list; empty items are dropped.
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
  /// \brief Exempts a section from RejectUnknown().
  void Skip(std::string_view section);
  /// \brief Reports an error if any key has not been read.
  SectionReader& RejectUnknown();
  /// \brief Reports an error that the caller has found in a value. Only the
  /// first error is kept.
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
