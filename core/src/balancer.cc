#include "figlug/core/balancer.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace figlug::core {
namespace {

/// Two samples are enough to avoid the longest queues; a third finds fast
/// targets among slow ones.
constexpr std::size_t kSampleCount = 3;

std::size_t RandomIndex(std::span<const TargetCandidate> candidates,
                        Random& random) {
  return random() % candidates.size();
}

// A target of unknown latency counts as fast, so that it gets tried.
double Cost(const TargetCandidate& candidate) {
  return (candidate.m_outstanding + 1.0) * (candidate.m_latency_us + 1.0);
}

// Starts at a random candidate, so that equal ones share the load.
template <class Value>
std::size_t MinBy(std::span<const TargetCandidate> candidates,
                  Random& random,
                  Value TargetCandidate::*value) {
  const std::size_t start = RandomIndex(candidates, random);
  std::size_t best = start;
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const std::size_t index = (start + i) % candidates.size();
    if (candidates[index].*value < candidates[best].*value) {
      best = index;
    }
  }
  return best;
}

}  // namespace

std::size_t TwoChoices::Pick(std::span<const TargetCandidate> candidates,
                             Random& random) {
  const std::size_t first = RandomIndex(candidates, random);
  if (candidates.size() == 1) {
    return first;
  }
  const std::size_t step = 1 + random() % (candidates.size() - 1);
  const std::size_t second = (first + step) % candidates.size();
  return Cost(candidates[second]) < Cost(candidates[first]) ? second : first;
}

std::size_t RandomChoice::Pick(std::span<const TargetCandidate> candidates,
                               Random& random) {
  return RandomIndex(candidates, random);
}

std::size_t RoundRobin::Pick(std::span<const TargetCandidate> candidates,
                             Random&) {
  return ++m_last % candidates.size();
}

std::size_t LeastOutstanding::Pick(std::span<const TargetCandidate> candidates,
                                   Random& random) {
  return MinBy(candidates, random, &TargetCandidate::m_outstanding);
}

std::size_t LeastWait::Pick(std::span<const TargetCandidate> candidates,
                            Random& random) {
  return MinBy(candidates, random, &TargetCandidate::m_expected_answer_us);
}

// If all targets were compared, every ingress would send to the one last
// reported as idle until that target's next load report.
std::size_t SampledWait::Pick(std::span<const TargetCandidate> candidates,
                              Random& random) {
  std::vector<std::size_t> order(candidates.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  const std::size_t samples = std::min(kSampleCount, candidates.size());
  for (std::size_t i = 0; i < samples; ++i) {
    std::swap(order[i], order[i + random() % (order.size() - i)]);
  }
  order.resize(samples);
  return *std::ranges::min_element(order, {}, [&](std::size_t index) {
    return candidates[index].m_expected_answer_us;
  });
}

std::size_t Pick(AnyBalancer& balancer,
                 std::span<const TargetCandidate> candidates,
                 Random& random) {
  return std::visit(
      [&](Balancer auto& chosen) { return chosen.Pick(candidates, random); },
      balancer);
}

}  // namespace figlug::core
