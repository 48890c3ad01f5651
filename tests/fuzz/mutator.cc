#include "mutator.h"

#include <algorithm>
#include <utility>

namespace figlug::testing {
namespace {

constexpr std::size_t kMaxInputBytes = 16U << 10;
constexpr std::uint64_t kMaxMutations = 4;
constexpr std::uint64_t kMaxDeletedBytes = 24;
constexpr std::uint64_t kBitsPerByte = 8;
constexpr std::uint64_t kByteValues = 256;

constexpr std::string_view kTokens[] = {
    "\r\n",  "\n",         "\r",
    ":",     ",",          ";",
    "-",     "+",          "0",
    "ff",    "65536",      "18446744073709551616",
    " ",     "\t",         "\"",
    "[[",    "}",          "\xff",
    "chunk", "2147483648", "HTTP/1.1 500 "};

}  // namespace

Mutator::Mutator(std::vector<std::string> corpus, std::uint64_t seed)
    : m_corpus(std::move(corpus)), m_random(seed) {}

std::string Mutator::Next() {
  std::string input = AnyEntry();
  for (std::uint64_t i = Below(kMaxMutations) + 1; i > 0; --i) {
    Mutate(input);
  }
  input.resize(std::min(input.size(), kMaxInputBytes));
  return input;
}

void Mutator::Mutate(std::string& input) {
  enum Kind {
    kFlip,
    kOverwrite,
    kInsert,
    kDelete,
    kRepeat,
    kBorrow,
    kSplice,
    kCut,
    kKinds
  };
  const std::size_t place = PlaceIn(input);
  switch (Below(kKinds)) {
    case kFlip:
      if (place < input.size()) {
        input[place] ^= static_cast<char>(1U << Below(kBitsPerByte));
      }
      break;
    case kOverwrite: {
      const std::string token = Token();
      input.replace(place, token.size(), token);
      break;
    }
    case kInsert:
      input.insert(place, Token());
      break;
    case kDelete:
      input.erase(place, Below(kMaxDeletedBytes) + 1);
      break;
    case kRepeat:
      input.insert(place, LineOf(input));
      break;
    case kBorrow:
      input.insert(place, LineOf(AnyEntry()));
      break;
    case kSplice: {
      const std::string& other = AnyEntry();
      input.replace(place, std::string::npos, other, PlaceIn(other));
      break;
    }
    default:
      input.resize(place);
  }
}

std::size_t Mutator::PlaceIn(std::string_view input) {
  const std::size_t place = Below(input.size() + 1);
  const std::size_t line_break = input.find('\n', place);
  return Below(2) == 0 || line_break == std::string_view::npos ? place
                                                               : line_break + 1;
}

std::string Mutator::LineOf(std::string_view input) {
  const std::size_t place = Below(input.size() + 1);
  const std::size_t begin = input.substr(0, place).rfind('\n') + 1;
  const std::size_t end = input.find('\n', begin);
  return std::string(input.substr(begin, end - begin + 1));
}

std::string Mutator::Token() {
  if (Below(2) == 0) {
    return std::string(kTokens[Below(std::size(kTokens))]);
  }
  return {static_cast<char>(Below(kByteValues))};
}

const std::string& Mutator::AnyEntry() {
  return m_corpus[Below(m_corpus.size())];
}

std::uint64_t Mutator::Below(std::uint64_t limit) {
  return m_random() % limit;
}

}  // namespace figlug::testing
