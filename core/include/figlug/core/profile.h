#ifndef FIGLUG_CORE_PROFILE_H_
#define FIGLUG_CORE_PROFILE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "figlug/core/time.h"

namespace figlug::core {

/// \brief Service levels of a class of traffic, published by operators.
struct Profile {
  std::string m_name;
  /// Regions the traffic may be served in; empty allows every region.
  std::vector<std::string> m_home_regions;
  /// Whether requests are partitioned by key, each key having one owner.
  bool m_keyed = true;
  /// Whether a request may be executed more than once.
  bool m_repeatable = false;
  /// Whether requests need no credential where tenants are published.
  bool m_is_public = false;
  /// Total attempts of a repeatable request, 1 to 5.
  std::uint32_t m_max_attempts = 3;
  /// Retries allowed per 100 requests, 0 to 100.
  std::uint32_t m_retry_percent = 10;
  /// Hedges allowed per 100 requests, 0 to 20; 0 turns hedging off.
  std::uint32_t m_hedge_percent = 5;
  /// Default deadline of a request, 1 ms to 10 min.
  Duration m_deadline = std::chrono::seconds(5);
  /// Maximum wait for an owner or a free slot, 0 to 60 s.
  Duration m_queue_wait = std::chrono::milliseconds(1000);
  /// Maximum requests in a gate's queue, 0 to 100,000.
  std::uint32_t m_queue_length = 256;
  /// Time in which a new target reaches its full share of slices, 0 to 1 h.
  Duration m_warm_up = std::chrono::seconds(0);
  /// Concurrent requests at a cold target, 1 to 1,000.
  std::uint32_t m_cold_limit = 2;
  /// Concurrent requests at a warm target, m_cold_limit to 10,000.
  std::uint32_t m_max_limit = 64;
  /// Wait before a new owner serves after its predecessor was lost, 0 to 60 s.
  Duration m_takeover_wait = std::chrono::seconds(0);

  bool operator==(const Profile&) const = default;
};

/// \brief A profile value outside its accepted range.
struct ProfileError {
  std::string m_key;
  std::string m_accepted;
};

/// \brief Checks every value of a profile against its range.
/// \param profile Values as published.
/// \returns Nothing, or the first key out of range and its accepted range.
/// \code
/// if (auto ok = ValidateProfile(profile); !ok)
///   Report(ok.error().m_key);
/// \endcode
[[nodiscard]] tl::expected<void, ProfileError> ValidateProfile(
    const Profile& profile);

/// \brief Reports whether each request is sent to the one owner of its slice.
///
/// Keyless requests that may run only once are assigned to slices by request
/// id, so that all copies of a request reach the same owner.
[[nodiscard]] bool IsSliced(const Profile& profile) noexcept;

/// \brief Reports whether traffic of a profile may be served in a region.
[[nodiscard]] bool IsHomeRegion(const Profile& profile,
                                std::string_view region) noexcept;

}  // namespace figlug::core

#endif  // FIGLUG_CORE_PROFILE_H_
