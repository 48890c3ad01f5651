#ifndef FIGLUG_TESTS_FUZZ_FUZZ_H_
#define FIGLUG_TESTS_FUZZ_FUZZ_H_

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <iostream>
#include <iterator>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "corpus.h"
#include "mutator.h"

namespace figlug::testing {

/// \brief What a decoder made of one input.
struct Verdict {
  bool m_is_accepted = false;
  /// The property that does not hold, or empty.
  std::string m_fault;
};

/// \brief Reads bytes from outside and checks the properties that hold for all
/// of them. The verdict depends on nothing but the bytes.
template <class T>
concept Decoder = requires(const T& decoder, std::string_view bytes) {
  { decoder(bytes) } -> std::same_as<Verdict>;
};

/// \brief The decoder that checks that an accepted value is encoded and decoded
/// to itself. Values are compared by their encoding.
/// \param parse Returns a value, or what converts to false.
template <class Parse, class Encode>
Decoder auto RoundTrip(Parse parse, Encode encode) {
  return [=](std::string_view bytes) -> Verdict {
    const auto value = parse(bytes);
    if (!value) {
      return {};
    }
    const std::string encoded = encode(*value);
    const auto again = parse(encoded);
    return {true, again && encode(*again) == encoded
                      ? ""
                      : "an accepted value is rejected or changes when it is "
                        "encoded"};
  };
}

/// \brief Which inputs are checked.
struct FuzzOptions {
  std::uint64_t m_seed = 1;
  /// Inputs besides those of the corpus.
  std::uint64_t m_runs = 0;
};

/// \brief Checks one input. It is copied to memory of its exact size, so that
/// AddressSanitizer detects reads beyond its end.
Verdict Check(std::string_view input, const Decoder auto& decoder) {
  const std::vector<char> bytes(input.begin(), input.end());
  return decoder(std::string_view(bytes.data(), bytes.size()));
}

/// \brief Checks the inputs of a decoder's corpus and new ones made from them,
/// and prints the result. The present input is kept in a file, which stays if
/// it breaks a property or ends the process.
/// \param name Also the decoder's folder in the corpus.
/// \param corpus Inputs besides those of the folder.
/// \returns Whether all properties held.
bool Fuzz(const FuzzOptions& options,
          const std::string& name,
          std::vector<std::string> corpus,
          const Decoder auto& decoder) {
  std::ranges::copy(ReadInputs(FIGLUG_CORPUS "/" + name),
                    std::back_inserter(corpus));
  Mutator mutator(corpus, options.m_seed);
  InputFile file("fuzz-" + name + "-" + std::to_string(options.m_seed) +
                 ".input");
  const std::uint64_t runs = corpus.size() + options.m_runs;
  std::uint64_t accepted = 0;
  for (std::uint64_t run = 0; run < runs; ++run) {
    const std::string input =
        run < corpus.size() ? corpus[run] : mutator.Next();
    file.Write(input);
    const Verdict verdict = Check(input, decoder);
    accepted += verdict.m_is_accepted ? 1 : 0;
    if (!verdict.m_fault.empty()) {
      file.Keep();
      std::cout << name << ": " << verdict.m_fault << " (seed "
                << options.m_seed << ", input " << run << ", kept in "
                << file.path() << ")" << std::endl;
      return false;
    }
  }
  std::cout << name << ": seed " << options.m_seed << ", " << runs
            << " inputs, " << accepted << " accepted" << std::endl;
  return accepted > 0;
}

}  // namespace figlug::testing

#endif  // FIGLUG_TESTS_FUZZ_FUZZ_H_
