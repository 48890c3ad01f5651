#ifndef FIGLUG_CORE_BALANCER_H_
#define FIGLUG_CORE_BALANCER_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <variant>

#include "figlug/core/ids.h"

namespace figlug::core {

/// \brief Source of random numbers; always seeded by the caller.
using Random = std::mt19937_64;

/// \brief What is known of a target that may be chosen.
struct TargetCandidate {
  MemberId m_member = kNoMember;
  /// Attempts of this ingress at the target now.
  std::uint32_t m_outstanding = 0;
  /// Smoothed latency, microseconds; 0 when unknown.
  double m_latency_us = 0;
  /// Expected time to the answer beyond an undisturbed one, microseconds.
  double m_expected_answer_us = 0;
};

/// \brief A rule that picks one of several targets.
template <class T>
concept Balancer = requires(T balancer,
                            std::span<const TargetCandidate> candidates,
                            Random& random) {
  { balancer.Pick(candidates, random) } -> std::same_as<std::size_t>;
};

/// \brief The better of two random targets, by outstanding work and latency.
struct TwoChoices {
  [[nodiscard]] std::size_t Pick(std::span<const TargetCandidate> candidates,
                                 Random& random);
};

/// \brief Any target, with equal chance.
struct RandomChoice {
  [[nodiscard]] std::size_t Pick(std::span<const TargetCandidate> candidates,
                                 Random& random);
};

/// \brief One target after the other.
struct RoundRobin {
  std::size_t m_last = 0;

  [[nodiscard]] std::size_t Pick(std::span<const TargetCandidate> candidates,
                                 Random& random);
};

/// \brief The target with the fewest outstanding attempts.
struct LeastOutstanding {
  [[nodiscard]] std::size_t Pick(std::span<const TargetCandidate> candidates,
                                 Random& random);
};

/// \brief The target with the least expected wait; any of equals.
struct LeastWait {
  [[nodiscard]] std::size_t Pick(std::span<const TargetCandidate> candidates,
                                 Random& random);
};

/// \brief The least expected wait of a few random targets, where many ingresses
/// choose by the same late word on the targets' load.
struct SampledWait {
  [[nodiscard]] std::size_t Pick(std::span<const TargetCandidate> candidates,
                                 Random& random);
};

static_assert(Balancer<LeastWait>);
static_assert(Balancer<SampledWait>);
static_assert(Balancer<TwoChoices>);
static_assert(Balancer<RandomChoice>);
static_assert(Balancer<RoundRobin>);
static_assert(Balancer<LeastOutstanding>);

/// \brief The balancer that settings name.
using AnyBalancer = std::variant<TwoChoices,
                                 RandomChoice,
                                 RoundRobin,
                                 LeastOutstanding,
                                 LeastWait,
                                 SampledWait>;

/// \brief Picks by whichever balancer is set.
/// \param candidates At least one.
[[nodiscard]] std::size_t Pick(AnyBalancer& balancer,
                               std::span<const TargetCandidate> candidates,
                               Random& random);

}  // namespace figlug::core

#endif  // FIGLUG_CORE_BALANCER_H_
