#ifndef FIGLUG_TESTS_FUZZ_MUTATOR_H_
#define FIGLUG_TESTS_FUZZ_MUTATOR_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace figlug::testing {

/// \brief Makes new inputs from those of a corpus; the same ones for each seed.
class Mutator {
 public:
  /// \param corpus Not empty.
  Mutator(std::vector<std::string> corpus, std::uint64_t seed);

  [[nodiscard]] std::string Next();

 private:
  void Mutate(std::string& input);
  /// \brief A place in the input, often the beginning of a line, or its end.
  std::size_t PlaceIn(std::string_view input);
  /// \brief A line of the input with its line break.
  std::string LineOf(std::string_view input);
  /// \brief A byte, or bytes that matter to many decoders.
  std::string Token();
  const std::string& AnyEntry();
  std::uint64_t Below(std::uint64_t limit);

  std::vector<std::string> m_corpus;
  std::mt19937_64 m_random;
};

}  // namespace figlug::testing

#endif  // FIGLUG_TESTS_FUZZ_MUTATOR_H_
