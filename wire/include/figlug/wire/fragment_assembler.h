#ifndef FIGLUG_WIRE_FRAGMENT_ASSEMBLER_H_
#define FIGLUG_WIRE_FRAGMENT_ASSEMBLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <tl/expected.hpp>

#include "figlug/wire/frame.h"
#include "figlug/wire/wire_error.h"

namespace figlug::wire {

/// \brief Puts the fragments that arrive on one connection together again.
///
/// \code
/// auto frame = assembler.Add(std::move(fragment));
/// if (frame && *frame) { Deliver(std::move(**frame)); }
/// \endcode
class FragmentAssembler {
 public:
  /// \returns The whole frame with its last fragment, nothing before; an error
  /// if the fragments are no frame, or are longer than the frame that they
  /// begin.
  [[nodiscard]] tl::expected<std::optional<Frame>, WireError> Add(
      FragmentFrame&& fragment);
  /// \brief Forgets a transfer whose rest will not arrive.
  void Abort(std::uint64_t transfer);
  /// \brief Bytes of transfers that are not whole.
  [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }

 private:
  std::map<std::uint64_t, std::string> m_transfers;
  std::size_t m_bytes = 0;
};

}  // namespace figlug::wire

#endif  // FIGLUG_WIRE_FRAGMENT_ASSEMBLER_H_
