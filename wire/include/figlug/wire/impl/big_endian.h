#ifndef FIGLUG_WIRE_IMPL_BIG_ENDIAN_H_
#define FIGLUG_WIRE_IMPL_BIG_ENDIAN_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace figlug::wire::impl {

inline void AppendUint32(std::string& out, std::uint32_t value) {
  for (int shift : {24, 16, 8, 0}) {
    out.push_back(static_cast<char>(value >> shift & 0xff));
  }
}

/// \param bytes At least four.
[[nodiscard]] inline std::uint32_t ReadUint32(std::string_view bytes) {
  std::uint32_t value = 0;
  for (char byte : bytes.substr(0, 4)) {
    value = value << 8 | static_cast<std::uint8_t>(byte);
  }
  return value;
}

}  // namespace figlug::wire::impl

#endif  // FIGLUG_WIRE_IMPL_BIG_ENDIAN_H_
