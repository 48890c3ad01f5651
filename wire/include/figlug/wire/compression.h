#ifndef FIGLUG_WIRE_COMPRESSION_H_
#define FIGLUG_WIRE_COMPRESSION_H_

#include <cstddef>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "figlug/wire/wire_error.h"

namespace figlug::wire {

/// \brief Compresses a text: its length, 32 bits big-endian, and a zlib stream.
/// \param text At most 4 GiB.
[[nodiscard]] std::string Compress(std::string_view text);
/// \brief Restores a compressed text.
/// \param max_bytes Maximum length of the text.
/// \returns An error unless the bytes are one complete compressed text.
[[nodiscard]] tl::expected<std::string, WireError> Decompress(
    std::string_view bytes,
    std::size_t max_bytes);

}  // namespace figlug::wire

#endif  // FIGLUG_WIRE_COMPRESSION_H_
