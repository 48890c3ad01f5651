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

/// \brief Random number generator; the caller always seeds it.
using Random = std::mt19937_64;

/// \brief A target that may be picked, with the load known for it.
struct TargetCandidate {
  MemberId m_member = kNoMember;
  /// Open attempts of this ingress at the target.
  std::uint32_t m_outstanding = 0;
  /// Smoothed latency, microseconds; 0 when unknown.
  double m_latency_us = 0;
  /// Expected time to an answer, microseconds.
  double m_expected_answer_us = 0;
};

/// \brief A policy that picks one of several targets.
template <class T>
concept Balancer = requires(T balancer,
                            std::span<const TargetCandidate> candidates,
                            Random& random) {
  { balancer.Pick(candidates, random) } -> std::same_as<std::size_t>;
};

/// \brief Picks the better of two random targets, by outstanding attempts and
/// latency.
struct TwoChoices {
  [[nodiscard]] std::size_t Pick(std::span<const TargetCandidate> candidates,
                                 Random& random);
};

/// \brief Picks a target uniformly at random.
struct RandomChoice {
  [[nodiscard]] std::size_t Pick(std::span<const TargetCandidate> candidates,
                                 Random& random);
};

/// \brief Picks the targets in turn.
struct RoundRobin {
  std::size_t m_last = 0;

  [[nodiscard]] std::size_t Pick(std::span<const TargetCandidate> candidates,
                                 Random& random);
};

/// \brief Picks the target with the fewest outstanding attempts.
struct LeastOutstanding {
  [[nodiscard]] std::size_t Pick(std::span<const TargetCandidate> candidates,
                                 Random& random);
};

/// \brief Picks the target with the shortest expected time to an answer; ties
/// are broken at random.
struct LeastWait {
  [[nodiscard]] std::size_t Pick(std::span<const TargetCandidate> candidates,
                                 Random& random);
};

/// \brief Picks the target with the shortest expected time to an answer among
/// a few random ones; for use where many ingresses share the same outdated load
/// reports.
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

/// \brief The balancer selected in the settings.
using AnyBalancer = std::variant<TwoChoices,
                                 RandomChoice,
                                 RoundRobin,
                                 LeastOutstanding,
                                 LeastWait,
                                 SampledWait>;

/// \brief Picks a target with the configured balancer.
/// \param candidates At least one.
[[nodiscard]] std::size_t Pick(AnyBalancer& balancer,
                               std::span<const TargetCandidate> candidates,
                               Random& random);

}  // namespace figlug::core

#endif  // FIGLUG_CORE_BALANCER_H_
