#ifndef FIGLUG_WIRE_IMPL_MESSAGE_BYTES_H_
#define FIGLUG_WIRE_IMPL_MESSAGE_BYTES_H_

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "figlug/core/time.h"
#include "figlug/wire/wire_error.h"

namespace figlug::wire::impl {

/// Longest time that a message may name. Sums with the present time stay far
/// from the ends of the clock's range.
inline constexpr core::Duration kMaxSpan = std::chrono::hours(24);

/// \brief Reads a time in microseconds, bounded to kMaxSpan.
inline core::Duration ReadSpan(std::int64_t us) {
  return std::clamp(core::Duration(us), -kMaxSpan, kMaxSpan);
}

/// \brief The text as a field. A conversion by Cap'n Proto would end it at its
/// first zero byte.
inline capnp::Text::Reader AsText(const std::string& text) {
  return {text.c_str(), text.size()};
}

/// \brief Serializes a message.
inline std::string ToBytes(capnp::MessageBuilder& message) {
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

/// \brief Serializes a message in Cap'n Proto's packed encoding, which removes
/// most zero bytes. Used for messages that cross links billed by traffic.
inline std::string ToPackedBytes(capnp::MessageBuilder& message) {
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, message);
  const kj::ArrayPtr<kj::byte> bytes = out.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

/// \brief Decodes a packed message and calls a function with its root.
/// \returns The function's result, or Cap'n Proto's error.
template <class Root, class Function>
auto ReadPackedMessage(std::string_view bytes, Function&& function)
    -> tl::expected<decltype(function(std::declval<typename Root::Reader>())),
                    WireError> {
  // Unpacking enlarges a message at most 1,024 times, that is 128 words per
  // byte. This limit prevents corrupted lengths from allocating more memory.
  constexpr std::uint64_t max_words_per_byte = 128;
  constexpr std::uint64_t min_limit_words = 1024;
  const capnp::ReaderOptions options{
      .traversalLimitInWords =
          std::max(min_limit_words, bytes.size() * max_words_per_byte)};
  try {
    kj::ArrayInputStream in(
        {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()});
    capnp::PackedMessageReader reader(in, options);
    return function(reader.template getRoot<Root>());
  } catch (const kj::Exception& error) {
    return tl::unexpected(WireError{error.getDescription().cStr()});
  }
}

/// \brief Decodes an unpacked message and calls a function with its root.
/// \returns The function's result, or Cap'n Proto's error.
template <class Root, class Function>
auto ReadMessage(std::string_view bytes, Function&& function)
    -> tl::expected<decltype(function(std::declval<typename Root::Reader>())),
                    WireError> {
  if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0) {
    return tl::unexpected(WireError{
        "message is empty or its length is not a multiple of 8 bytes"});
  }
  const auto words =
      kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::memcpy(const_cast<capnp::word*>(words.begin()), bytes.data(),
              bytes.size());
  // Lists whose elements take no bytes would otherwise be as long as their
  // lengths say. Fields are read a few times at most.
  constexpr std::uint64_t max_reads_per_word = 8;
  constexpr std::uint64_t min_limit_words = 1024;
  const capnp::ReaderOptions options{
      .traversalLimitInWords =
          std::max(min_limit_words, words.size() * max_reads_per_word)};
  try {
    capnp::FlatArrayMessageReader reader(words, options);
    return function(reader.getRoot<Root>());
  } catch (const kj::Exception& error) {
    return tl::unexpected(WireError{error.getDescription().cStr()});
  }
}

}  // namespace figlug::wire::impl

#endif  // FIGLUG_WIRE_IMPL_MESSAGE_BYTES_H_
