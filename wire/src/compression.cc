#include "figlug/wire/compression.h"

#include <zlib.h>

#include <cstdint>
#include <new>

#include "figlug/wire/impl/big_endian.h"

namespace figlug::wire {
namespace {

constexpr std::size_t kLengthBytes = 4;

const Bytef* BytesOf(std::string_view text) {
  return reinterpret_cast<const Bytef*>(text.data());
}

}  // namespace

// The fastest level: the texts repeat themselves, and the sender may have a
// tenth of a core.
std::string Compress(std::string_view text) {
  std::string out;
  impl::AppendUint32(out, static_cast<std::uint32_t>(text.size()));
  uLongf size = compressBound(text.size());
  out.resize(kLengthBytes + size);
  if (compress2(reinterpret_cast<Bytef*>(out.data() + kLengthBytes), &size,
                BytesOf(text), text.size(), Z_BEST_SPEED) != Z_OK) {
    throw std::bad_alloc();
  }
  out.resize(kLengthBytes + size);
  return out;
}

tl::expected<std::string, WireError> Decompress(std::string_view bytes,
                                                std::size_t max_bytes) {
  if (bytes.size() < kLengthBytes || impl::ReadUint32(bytes) > max_bytes) {
    return tl::unexpected(
        WireError{"compressed text: its length is missing or out of range"});
  }
  std::string text(impl::ReadUint32(bytes), '\0');
  uLongf size = text.size();
  uLong read = bytes.size() - kLengthBytes;
  const uLong available = read;
  const int code = uncompress2(reinterpret_cast<Bytef*>(text.data()), &size,
                               BytesOf(bytes.substr(kLengthBytes)), &read);
  if (code != Z_OK || size != text.size() || read != available) {
    return tl::unexpected(WireError{"compressed text: invalid zlib stream"});
  }
  return text;
}

}  // namespace figlug::wire
