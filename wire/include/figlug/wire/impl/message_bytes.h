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

#include "figlug/wire/wire_error.h"

namespace figlug::wire::impl {

/// \brief Bytes of a built message.
inline std::string ToBytes(capnp::MessageBuilder& message) {
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

/// \brief The same without most zero bytes, for messages that cross links which
/// are paid by volume.
inline std::string ToPackedBytes(capnp::MessageBuilder& message) {
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, message);
  const kj::ArrayPtr<kj::byte> bytes = out.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

/// \brief Reads packed bytes as a message and hands its root to a function.
/// \returns What the function returns, or the library's complaint.
template <class Root, class Function>
auto ReadPackedMessage(std::string_view bytes, Function&& function)
    -> tl::expected<decltype(function(std::declval<typename Root::Reader>())),
                    WireError> {
  // Packed bytes grow to 1,024 times their length at most; the bound keeps
  // spoiled lengths from reserving more.
  constexpr std::uint64_t most_words_per_byte = 128;
  constexpr std::uint64_t least_words = 1024;
  const capnp::ReaderOptions options{
      .traversalLimitInWords =
          std::max(least_words, bytes.size() * most_words_per_byte)};
  try {
    kj::ArrayInputStream in(
        {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()});
    capnp::PackedMessageReader reader(in, options);
    return function(reader.template getRoot<Root>());
  } catch (const kj::Exception& error) {
    return tl::unexpected(WireError{error.getDescription().cStr()});
  }
}

/// \brief Reads bytes as a message and hands its root to a function.
/// \returns What the function returns, or the library's complaint.
template <class Root, class Function>
auto ReadMessage(std::string_view bytes, Function&& function)
    -> tl::expected<decltype(function(std::declval<typename Root::Reader>())),
                    WireError> {
  if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0) {
    return tl::unexpected(WireError{"length is no multiple of a word"});
  }
  const auto words =
      kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::memcpy(const_cast<capnp::word*>(words.begin()), bytes.data(),
              bytes.size());
  try {
    capnp::FlatArrayMessageReader reader(words);
    return function(reader.getRoot<Root>());
  } catch (const kj::Exception& error) {
    return tl::unexpected(WireError{error.getDescription().cStr()});
  }
}

}  // namespace figlug::wire::impl

#endif  // FIGLUG_WIRE_IMPL_MESSAGE_BYTES_H_
