#include "figlug/wire/fragment_assembler.h"

#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

namespace figlug::wire {
namespace {

constexpr std::size_t kPart = 1000;

std::string Encode(const Frame& frame) {
  return EncodeFrameHead(frame) + std::string(BodyOf(frame));
}

Frame Decode(const Frame& frame) {
  const std::string bytes = Encode(frame);
  const FramePrefix prefix = ParseFramePrefix(bytes).value();
  LONGS_EQUAL(bytes.size(), kFramePrefixBytes + prefix.m_head + prefix.m_body);
  const std::string_view rest =
      std::string_view(bytes).substr(kFramePrefixBytes);
  return ParseFrame(rest.substr(0, prefix.m_head), rest.substr(prefix.m_head))
      .value();
}

Frame Reply(std::uint64_t id) {
  return ReplyFrame{.m_attempt = core::AttemptId{id},
                    .m_response = {200, {}, std::string(9 * kPart, 'a' + id)}};
}

FragmentFrame Part(std::uint64_t transfer,
                   const std::string& whole,
                   std::size_t begin) {
  return {transfer, begin + kPart >= whole.size(), whole.substr(begin, kPart)};
}

}  // namespace

TEST_GROUP(Fragments) {
  bool IsRejected(const std::string& bytes) {
    return !m_assembler.Add({1, true, bytes}).has_value() &&
           m_assembler.bytes() == 0;
  }

  FragmentAssembler m_assembler;
};

// Guards against a fragment that arrives as another frame, or with other bytes.
TEST(Fragments, TheirFramesSurviveEncoding) {
  for (const bool is_last : {false, true}) {
    const auto fragment = std::get<FragmentFrame>(
        Decode(FragmentFrame{1ULL << 40, is_last, std::string("a\0b", 3)}));
    CHECK(fragment.m_transfer == 1ULL << 40);
    CHECK(fragment.m_is_last == is_last);
    CHECK(fragment.m_bytes == std::string("a\0b", 3));
  }
  CHECK(std::holds_alternative<FragmentAckFrame>(Decode(FragmentAckFrame{})));
  LONGS_EQUAL(
      7,
      std::get<FragmentAbortFrame>(Decode(FragmentAbortFrame{7})).m_transfer);
}

// Guards against parts of two answers that are put into one.
TEST(Fragments, InterleavedTransfersArePutTogether) {
  const std::string whole[] = {Encode(Reply(0)), Encode(Reply(1))};
  LONGS_EQUAL(whole[0].size(), whole[1].size());
  for (std::size_t begin = 0; begin < whole[0].size(); begin += kPart) {
    for (std::uint64_t id : {1, 0}) {
      const bool is_last = begin + kPart >= whole[id].size();
      const auto frame = m_assembler.Add(Part(id, whole[id], begin)).value();
      LONGS_EQUAL(is_last, frame.has_value());
      CHECK(!is_last || Encode(*frame) == whole[id]);
    }
  }
  LONGS_EQUAL(0, m_assembler.bytes());
}

// Guards against fragments of a broken peer that end up as a frame, or that are
// kept without end.
TEST(Fragments, FragmentsThatAreNoFrameAreRejected) {
  const std::string whole = Encode(Reply(0));
  CHECK(IsRejected(""));
  CHECK(IsRejected(whole.substr(0, kFramePrefixBytes - 1)));
  CHECK(IsRejected(whole.substr(0, whole.size() - 1)));
  CHECK(IsRejected(whole + 'x'));
  CHECK(IsRejected(Encode(FragmentFrame{2, true, whole})));
  CHECK(IsRejected(std::string(whole.size(), '\0')));
}

// Guards against a transfer that takes memory until it is whole although it is
// longer than what its first bytes announce.
TEST(Fragments, ATransferThatExceedsItsFrameIsRejectedBeforeItsEnd) {
  const std::string whole = Encode(Reply(0));
  CHECK(m_assembler.Add({1, false, whole}).has_value());
  CHECK_FALSE(m_assembler.Add({1, false, "x"}).has_value());
}

// Guards against memory that is not freed after a transfer that ended early.
TEST(Fragments, AnAbortedTransferIsForgotten) {
  const std::string whole = Encode(Reply(0));
  CHECK(m_assembler.Add(Part(1, whole, 0)).has_value());
  CHECK(m_assembler.Add(Part(2, whole, 0)).has_value());
  LONGS_EQUAL(2 * kPart, m_assembler.bytes());
  m_assembler.Abort(1);
  m_assembler.Abort(3);
  LONGS_EQUAL(kPart, m_assembler.bytes());
  // The number can be used again.
  CHECK(m_assembler.Add({1, true, whole}).value().has_value());
  m_assembler.Abort(2);
  LONGS_EQUAL(0, m_assembler.bytes());
}

}  // namespace figlug::wire
