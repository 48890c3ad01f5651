#include "figlug/wire/checkpoint_parts.h"

#include <algorithm>
#include <cstdint>

namespace figlug::wire {
namespace {

/// Names the format and its version.
constexpr std::string_view kFormat = "FGC1";
constexpr std::size_t kIdBytes = 8;
constexpr std::size_t kNumberBytes = 2;
constexpr std::size_t kCountAt = kFormat.size() + kIdBytes;
constexpr std::size_t kIndexAt = kCountAt + kNumberBytes;
constexpr unsigned kBitsPerByte = 8;

static_assert(kIndexAt + kNumberBytes == kPartHeaderBytes);

void AppendNumber(std::string& out, std::uint64_t value, std::size_t bytes) {
  for (std::size_t i = bytes; i-- > 0;) {
    out.push_back(static_cast<char>(value >> (kBitsPerByte * i) & 0xffU));
  }
}

std::uint64_t ReadNumber(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) {
    value = value << kBitsPerByte | static_cast<std::uint8_t>(byte);
  }
  return value;
}

}  // namespace

std::vector<std::string> SplitCheckpoint(core::AppendId id,
                                         std::string_view bytes,
                                         std::size_t max_part_bytes) {
  const std::size_t chunk = max_part_bytes - kPartHeaderBytes;
  const std::size_t count = (bytes.size() + chunk - 1) / chunk;
  std::vector<std::string> parts;
  if (count > kMaxCheckpointParts) {
    return parts;
  }
  for (std::size_t i = 0; i < count; ++i) {
    std::string part(kFormat);
    AppendNumber(part, static_cast<std::uint64_t>(id), kIdBytes);
    AppendNumber(part, count, kNumberBytes);
    AppendNumber(part, i, kNumberBytes);
    part += bytes.substr(i * chunk, chunk);
    parts.push_back(std::move(part));
  }
  return parts;
}

std::optional<std::string> JoinCheckpoint(
    std::span<const std::string_view> parts) {
  if (parts.empty() || parts.front().size() < kPartHeaderBytes) {
    return std::nullopt;
  }
  // Format, id and count are the same in all parts.
  const std::string_view common = parts.front().substr(0, kIndexAt);
  const std::uint64_t count =
      ReadNumber(parts.front().substr(kCountAt, kNumberBytes));
  if (!common.starts_with(kFormat) || count == 0 || count > parts.size()) {
    return std::nullopt;
  }
  std::string bytes;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string_view part = parts[i];
    if (part.size() < kPartHeaderBytes || !part.starts_with(common) ||
        ReadNumber(part.substr(kIndexAt, kNumberBytes)) != i) {
      return std::nullopt;
    }
    bytes += part.substr(kPartHeaderBytes);
  }
  return bytes;
}

}  // namespace figlug::wire
