#ifndef FIGLUG_CORE_BALANCE_LEARNED_LIMIT_H_
#define FIGLUG_CORE_BALANCE_LEARNED_LIMIT_H_

#include <concepts>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

#include "figlug/core/admission.h"
#include "figlug/core/time.h"

namespace figlug::core {

/// \brief How much work a target takes well in parallel.
///
/// - OnAnswer observes an answer; `running` is the work that ran beside it,
/// this
///   one included.
/// - Limit returns the concurrency to use.
template <class T>
concept CapacityEstimator = requires(T& estimator,
                                     const T& known,
                                     Time now,
                                     WorkClass work,
                                     Duration taken,
                                     std::uint32_t count) {
  estimator.OnAnswer(now, work, taken, count, count);
  { known.Limit(now, count) } -> std::same_as<std::uint32_t>;
};

/// \brief The slots that the target names, as they are.
class ReportedLimit {
 public:
  void OnAnswer(Time,
                WorkClass,
                Duration,
                std::uint32_t,
                std::uint32_t) noexcept {}
  [[nodiscard]] std::uint32_t Limit(Time, std::uint32_t slots) const noexcept {
    return slots;
  }
};

/// \brief Follows the concurrency beyond which a target gains no throughput.
///
/// While the target is kept busy, the limit is lowered and raised a little by
/// turns. The service times seen at each of the three concurrencies tell
/// whether the limit goes up or down. A target that is not kept busy keeps its
/// limit.
///
/// \code
/// limit.OnAnswer(now, ClassOf(head), taken, running, slots);
/// if (running < limit.Limit(now, slots)) Dispatch();
/// \endcode
class LearnedLimit {
 public:
  void OnAnswer(Time now,
                WorkClass work,
                Duration taken,
                std::uint32_t running,
                std::uint32_t slots);
  [[nodiscard]] std::uint32_t Limit(Time now, std::uint32_t slots) const;
  /// \brief The limit without the turns.
  [[nodiscard]] std::uint32_t Base(std::uint32_t slots) const noexcept;

 private:
  /// Observations at one concurrency; they fade with time.
  struct Level {
    double m_weight = 0;
    /// Sum of service times as multiples of the class's mean.
    double m_sum = 0;
    Time m_updated_at{};
  };
  [[nodiscard]] static double Fade(Time now, const Level& level) noexcept;
  /// Work done per time at a concurrency; 0 where too little is known.
  [[nodiscard]] double Throughput(Time now, std::uint32_t running) const;
  [[nodiscard]] static std::uint32_t StepOf(std::uint32_t base) noexcept;
  void Review(Time now, std::uint32_t slots);

  /// Mean service time of each class, microseconds.
  std::map<WorkClass, double> m_class_means_us;
  /// By concurrency, from 1.
  std::vector<Level> m_levels;
  /// How far the limit lies below the target's slots.
  std::uint32_t m_below = 0;
  Time m_next_review{};
};

static_assert(CapacityEstimator<ReportedLimit>);
static_assert(CapacityEstimator<LearnedLimit>);

using AnyLimit = std::variant<ReportedLimit, LearnedLimit>;

}  // namespace figlug::core

#endif  // FIGLUG_CORE_BALANCE_LEARNED_LIMIT_H_
