#include "figlug/core/profile.h"

#include <algorithm>
#include <initializer_list>

namespace figlug::core {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

struct CountRange {
  const char* m_key;
  std::uint32_t m_value;
  std::uint32_t m_min;
  std::uint32_t m_max;
};

struct DurationRange {
  const char* m_key;
  Duration m_value;
  Duration m_min;
  Duration m_max;
};

std::string Describe(const CountRange& range) {
  return std::to_string(range.m_min) + " to " + std::to_string(range.m_max);
}

std::string Describe(const DurationRange& range) {
  const auto ms = [](Duration d) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(d).count());
  };
  return ms(range.m_min) + " to " + ms(range.m_max) + " ms";
}

template <class Range>
tl::expected<void, ProfileError> CheckRanges(
    std::initializer_list<Range> ranges) {
  for (const Range& range : ranges) {
    if (range.m_value < range.m_min || range.m_value > range.m_max) {
      return tl::unexpected(ProfileError{range.m_key, Describe(range)});
    }
  }
  return {};
}

}  // namespace

tl::expected<void, ProfileError> ValidateProfile(const Profile& profile) {
  if (profile.m_name.empty()) {
    return tl::unexpected(ProfileError{"name", "a non-empty profile name"});
  }
  auto counts = CheckRanges<CountRange>({
      {"max_attempts", profile.m_max_attempts, 1, 5},
      {"retry_percent", profile.m_retry_percent, 0, 100},
      {"hedge_percent", profile.m_hedge_percent, 0, 20},
      {"queue_length", profile.m_queue_length, 0, 100'000},
      {"cold_limit", profile.m_cold_limit, 1, 1'000},
      {"max_limit", profile.m_max_limit, profile.m_cold_limit, 10'000},
  });
  if (!counts) {
    return counts;
  }
  return CheckRanges<DurationRange>({
      {"deadline_ms", profile.m_deadline, milliseconds(1), minutes(10)},
      {"queue_wait_ms", profile.m_queue_wait, seconds(0), seconds(60)},
      {"warm_up_ms", profile.m_warm_up, seconds(0), hours(1)},
      {"takeover_wait_ms", profile.m_takeover_wait, seconds(0), seconds(60)},
  });
}

bool IsSliced(const Profile& profile) noexcept {
  return profile.m_keyed || !profile.m_repeatable;
}

bool IsHomeRegion(const Profile& profile, std::string_view region) noexcept {
  return profile.m_home_regions.empty() ||
         std::ranges::find(profile.m_home_regions, region) !=
             profile.m_home_regions.end();
}

}  // namespace figlug::core
