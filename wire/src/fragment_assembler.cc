#include "figlug/wire/fragment_assembler.h"

#include <string_view>
#include <utility>

namespace figlug::wire {
namespace {

// Length of the frame that the bytes begin, prefix included; nothing while the
// prefix is not whole.
tl::expected<std::optional<std::size_t>, WireError> FrameLength(
    std::string_view bytes) {
  if (bytes.size() < kFramePrefixBytes) {
    return std::nullopt;
  }
  const auto prefix = ParseFramePrefix(bytes);
  if (!prefix) {
    return tl::unexpected(prefix.error());
  }
  return kFramePrefixBytes + std::size_t{prefix->m_head} + prefix->m_body;
}

tl::expected<std::optional<Frame>, WireError> ParseWhole(
    std::string_view bytes,
    std::optional<std::size_t> length) {
  if (length != bytes.size()) {
    return tl::unexpected(WireError{"fragments end before their frame"});
  }
  const auto prefix = ParseFramePrefix(bytes);
  auto frame = ParseFrame(bytes.substr(kFramePrefixBytes, prefix->m_head),
                          bytes.substr(kFramePrefixBytes + prefix->m_head));
  if (!frame) {
    return tl::unexpected(frame.error());
  }
  // A frame in fragments that is a fragment itself would have no end.
  if (std::holds_alternative<FragmentFrame>(*frame)) {
    return tl::unexpected(WireError{"a fragment was sent in fragments"});
  }
  return std::optional<Frame>(std::move(*frame));
}

}  // namespace

tl::expected<std::optional<Frame>, WireError> FragmentAssembler::Add(
    FragmentFrame&& fragment) {
  std::string& bytes = m_transfers[fragment.m_transfer];
  if (bytes.empty()) {
    bytes = std::move(fragment.m_bytes);
    m_bytes += bytes.size();
  } else {
    bytes += fragment.m_bytes;
    m_bytes += fragment.m_bytes.size();
  }
  const auto length = FrameLength(bytes);
  if (!length) {
    Abort(fragment.m_transfer);
    return tl::unexpected(length.error());
  }
  if (*length && bytes.size() > **length) {
    Abort(fragment.m_transfer);
    return tl::unexpected(WireError{"fragments are longer than their frame"});
  }
  if (!fragment.m_is_last) {
    return std::nullopt;
  }
  const std::string whole = std::move(bytes);
  m_transfers.erase(fragment.m_transfer);
  m_bytes -= whole.size();
  return ParseWhole(whole, *length);
}

void FragmentAssembler::Abort(std::uint64_t transfer) {
  const auto it = m_transfers.find(transfer);
  if (it != m_transfers.end()) {
    m_bytes -= it->second.size();
    m_transfers.erase(it);
  }
}

}  // namespace figlug::wire
