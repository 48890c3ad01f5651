#ifndef FIGLUG_REVIEW_COMMON_2_TESTS_KEY_WATCH_H_
#define FIGLUG_REVIEW_COMMON_2_TESTS_KEY_WATCH_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "review/common-2/tests/harness.h"

namespace figlug::review {

/// \brief "Two endpoints that are up hold the same keys for over half a second"
/// (OWNER).
inline constexpr core::Duration kMaxShared = milliseconds(500);

/// \brief Watches which keys of a service are held by two endpoints, and for
/// how long.
class KeyWatch {
 public:
  KeyWatch(Record& record, std::string service)
      : m_record(record), m_service(std::move(service)) {}

  /// \brief To be called every few milliseconds.
  void Check(core::Time now, const std::vector<Machine>& machines) {
    std::array<std::uint8_t, kSamples> holders{};
    for (const Machine& machine : machines) {
      if (!machine.m_target || machine.m_service != m_service) {
        continue;
      }
      for (const core::KeyRange& range : machine.m_target->held_ranges()) {
        for (std::uint32_t i = (range.m_first + kKeyStep - 1) / kKeyStep;
             i <= range.m_last / kKeyStep; ++i) {
          ++holders[i];
        }
      }
    }
    std::uint32_t shared = 0;
    for (std::size_t i = 0; i < kSamples; ++i) {
      if (holders[i] < 2) {
        m_since[i] = core::Time::max();
        continue;
      }
      shared += kKeyStep;
      m_since[i] = std::min(m_since[i], now);
      m_longest = std::max(m_longest, now - m_since[i]);
    }
    if ((shared > 0) != (m_last_shared > 0)) {
      m_record.Say(shared > 0 ? "about " + std::to_string(shared) +
                                    " keys are held by two endpoints"
                              : "no key is held by two endpoints");
    }
    m_last_shared = shared;
  }
  [[nodiscard]] core::Duration longest() const { return m_longest; }

 private:
  static constexpr std::uint32_t kKeys = 65536;
  /// One key in each of the slices that the project divides the keys into.
  static constexpr std::uint32_t kKeyStep = 8;
  static constexpr std::size_t kSamples = kKeys / kKeyStep;

  Record& m_record;
  std::string m_service;
  std::vector<core::Time> m_since =
      std::vector<core::Time>(kSamples, core::Time::max());
  core::Duration m_longest{};
  std::uint32_t m_last_shared = 0;
};

/// \brief Says whether OWNER held and returns the exit code.
inline int JudgeOwner(Record& record, const KeyWatch& watch) {
  const auto longest =
      std::chrono::duration_cast<milliseconds>(watch.longest()).count();
  record.Say("longest time for which two endpoints held a key: " +
             std::to_string(longest) + " ms");
  const bool is_broken = watch.longest() > kMaxShared;
  record.Say(is_broken ? "OWNER is broken" : "OWNER held");
  return is_broken ? kBroken : kHeld;
}

}  // namespace figlug::review

#endif  // FIGLUG_REVIEW_COMMON_2_TESTS_KEY_WATCH_H_
