#ifndef FIGLUG_CORE_BALANCE_TARGET_SPEEDS_H_
#define FIGLUG_CORE_BALANCE_TARGET_SPEEDS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "figlug/core/admission.h"
#include "figlug/core/ids.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief How long work takes at each target, relative to the others of its
/// service, as one ingress has seen it.
///
/// Each class of work is compared with itself alone, so that a target that gets
/// longer work does not look slow.
///
/// \code
/// speeds.Observe(now, service, work, member, service_time);
/// auto expected = speeds.Expected(now, service, work, member);
/// \endcode
class TargetSpeeds {
 public:
  void Observe(Time now,
               std::string_view service,
               WorkClass work,
               MemberId member,
               Duration taken);
  /// \returns Nothing for a class that has not been observed.
  [[nodiscard]] std::optional<Duration> Expected(Time now,
                                                 std::string_view service,
                                                 WorkClass work,
                                                 MemberId member) const;
  /// \brief Service time at a target over that of the average target; 1 where
  /// it is not known.
  [[nodiscard]] double RatioOf(Time now, MemberId member) const;
  void Remove(MemberId member) { m_ratios.erase(member); }

 private:
  struct Ratio {
    double m_log_mean = 0;
    double m_weight = 0;
    Time m_updated_at{};
  };
  [[nodiscard]] static double Fade(Time now, const Ratio& ratio) noexcept;

  /// Mean of the logarithm of the service time, by service and class.
  std::map<std::string, std::map<WorkClass, double>, std::less<>> m_means;
  std::unordered_map<MemberId, Ratio> m_ratios;
};

}  // namespace figlug::core

#endif  // FIGLUG_CORE_BALANCE_TARGET_SPEEDS_H_
