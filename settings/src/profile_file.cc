#include "figlug/settings/profile_file.h"

#include "figlug/settings/ini_document.h"
#include "figlug/settings/section_reader.h"

namespace figlug::settings {
namespace {

constexpr Range kAnyCount{0, 4'294'967'295};
constexpr Range kAnyMilliseconds{0, 3'600'000};
constexpr std::string_view kSection = "profile";

}  // namespace

// core::ValidateProfile checks the ranges, so that they are defined only once.
// The reader checks the syntax.
tl::expected<core::Profile, SettingsError> ParseProfile(std::string_view file,
                                                        std::string_view text) {
  const auto document = ParseIni(file, text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  core::Profile profile;
  SectionReader reader(*document);
  reader.Require(kSection, "name")
      .Text(kSection, "name", profile.m_name)
      .List(kSection, "home_regions", profile.m_home_regions)
      .Bool(kSection, "keyed", profile.m_keyed)
      .Bool(kSection, "repeatable", profile.m_repeatable)
      .Bool(kSection, "public", profile.m_is_public)
      .Count(kSection, "max_attempts", kAnyCount, profile.m_max_attempts)
      .Count(kSection, "retry_percent", kAnyCount, profile.m_retry_percent)
      .Count(kSection, "hedge_percent", kAnyCount, profile.m_hedge_percent)
      .Count(kSection, "queue_length", kAnyCount, profile.m_queue_length)
      .Count(kSection, "cold_limit", kAnyCount, profile.m_cold_limit)
      .Count(kSection, "max_limit", kAnyCount, profile.m_max_limit)
      .Milliseconds(kSection, "deadline_ms", kAnyMilliseconds,
                    profile.m_deadline)
      .Milliseconds(kSection, "queue_wait_ms", kAnyMilliseconds,
                    profile.m_queue_wait)
      .Milliseconds(kSection, "warm_up_ms", kAnyMilliseconds, profile.m_warm_up)
      .Milliseconds(kSection, "takeover_wait_ms", kAnyMilliseconds,
                    profile.m_takeover_wait)
      .RejectUnknown();
  if (const auto valid = core::ValidateProfile(profile); !valid) {
    reader.Fail(kSection, valid.error().m_key,
                "is invalid (accepted: " + valid.error().m_accepted + ")");
  }
  if (reader.error()) {
    return tl::unexpected(*reader.error());
  }
  return profile;
}

}  // namespace figlug::settings
