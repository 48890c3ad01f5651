#include "figlug/core/request_id.h"

#include <array>

namespace figlug::core {
namespace {

constexpr std::size_t kTextLength = 36;
constexpr std::uint64_t kVersion = 7;
constexpr std::uint64_t kVariant = 2;
constexpr std::string_view kHexDigits = "0123456789abcdef";

bool IsDash(std::size_t position) {
  return position == 8 || position == 13 || position == 18 || position == 23;
}

int DigitValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  if (c >= 'A' && c <= 'F') {
    return c - 'A' + 10;
  }
  return -1;
}

}  // namespace

WallTime RequestId::created_at() const noexcept {
  return WallTime(std::chrono::milliseconds(m_high >> 16));
}

tl::expected<RequestId, RequestIdError> ParseRequestId(
    std::string_view text) noexcept {
  std::array<std::uint64_t, 2> words{};
  std::size_t digits = 0;
  for (std::size_t i = 0; i < kTextLength; ++i) {
    const RequestIdError error{i + 1};
    if (i >= text.size()) {
      return tl::unexpected(error);
    }
    if (IsDash(i)) {
      if (text[i] != '-') {
        return tl::unexpected(error);
      }
      continue;
    }
    const int value = DigitValue(text[i]);
    if (value < 0) {
      return tl::unexpected(error);
    }
    std::uint64_t& word = words[digits / 16];
    word = word << 4 | static_cast<std::uint64_t>(value);
    ++digits;
  }
  if (text.size() > kTextLength) {
    return tl::unexpected(RequestIdError{kTextLength + 1});
  }
  if ((words[0] >> 12 & 0xf) != kVersion) {
    return tl::unexpected(RequestIdError{15});
  }
  if (words[1] >> 62 != kVariant) {
    return tl::unexpected(RequestIdError{20});
  }
  return RequestId{words[0], words[1]};
}

RequestId MakeRequestId(WallTime now,
                        std::uint64_t random_high,
                        std::uint64_t random_low) noexcept {
  const auto ms = static_cast<std::uint64_t>(now.time_since_epoch().count());
  return {ms << 16 | kVersion << 12 | (random_high & 0xfff),
          kVariant << 62 | random_low >> 2};
}

std::string ToString(const RequestId& id) {
  std::string text;
  text.reserve(kTextLength);
  for (std::size_t i = 0, digit = 0; i < kTextLength; ++i) {
    if (IsDash(i)) {
      text.push_back('-');
      continue;
    }
    const std::uint64_t word = digit < 16 ? id.m_high : id.m_low;
    text.push_back(kHexDigits[word >> (60 - 4 * (digit % 16)) & 0xf]);
    ++digit;
  }
  return text;
}

}  // namespace figlug::core
