#include "figlug/core/balancer.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace figlug::core {
namespace {

/// Two samples already avoid the longest queues; a third finds fast targets
/// among slow ones.
constexpr std::size_t kSamples = 3;

std::size_t RandomIndex(std::span<const Choice> choices, Random& random) {
  return random() % choices.size();
}

// A target without a known latency counts as fast, so that it is tried.
double Cost(const Choice& choice) {
  return (choice.m_outstanding + 1.0) * (choice.m_latency + 1.0);
}

// A random start makes equals share the work.
template <class Value>
std::size_t LeastBy(std::span<const Choice> choices,
                    Random& random,
                    Value Choice::*value) {
  const std::size_t start = RandomIndex(choices, random);
  std::size_t best = start;
  for (std::size_t i = 1; i < choices.size(); ++i) {
    const std::size_t index = (start + i) % choices.size();
    if (choices[index].*value < choices[best].*value) {
      best = index;
    }
  }
  return best;
}

}  // namespace

std::size_t TwoChoices::Pick(std::span<const Choice> choices, Random& random) {
  const std::size_t first = RandomIndex(choices, random);
  if (choices.size() == 1) {
    return first;
  }
  const std::size_t step = 1 + random() % (choices.size() - 1);
  const std::size_t second = (first + step) % choices.size();
  return Cost(choices[second]) < Cost(choices[first]) ? second : first;
}

std::size_t RandomChoice::Pick(std::span<const Choice> choices,
                               Random& random) {
  return RandomIndex(choices, random);
}

std::size_t RoundRobin::Pick(std::span<const Choice> choices, Random&) {
  return ++m_last % choices.size();
}

std::size_t LeastOutstanding::Pick(std::span<const Choice> choices,
                                   Random& random) {
  return LeastBy(choices, random, &Choice::m_outstanding);
}

std::size_t LeastWait::Pick(std::span<const Choice> choices, Random& random) {
  return LeastBy(choices, random, &Choice::m_wait);
}

// With all targets to choose from, every ingress would send to the one that was
// idle last, until its load is told again.
std::size_t SampledWait::Pick(std::span<const Choice> choices, Random& random) {
  std::vector<std::size_t> order(choices.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  const std::size_t samples = std::min(kSamples, choices.size());
  for (std::size_t i = 0; i < samples; ++i) {
    std::swap(order[i], order[i + random() % (order.size() - i)]);
  }
  order.resize(samples);
  return *std::ranges::min_element(
      order, {}, [&](std::size_t index) { return choices[index].m_wait; });
}

std::size_t Pick(AnyBalancer& balancer,
                 std::span<const Choice> choices,
                 Random& random) {
  return std::visit(
      [&](Balancer auto& chosen) { return chosen.Pick(choices, random); },
      balancer);
}

}  // namespace figlug::core
