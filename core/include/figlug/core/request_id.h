#ifndef FIGLUG_CORE_REQUEST_ID_H_
#define FIGLUG_CORE_REQUEST_ID_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "figlug/core/time.h"

namespace figlug::core {

/// \brief A UUID version 7; ids sort by creation time.
struct RequestId {
  std::uint64_t m_high = 0;
  std::uint64_t m_low = 0;

  auto operator<=>(const RequestId&) const = default;

  /// \brief Creation time, from the first 48 bits.
  [[nodiscard]] WallTime created_at() const noexcept;
};

/// \brief Where a text stops being a valid UUID version 7.
struct RequestIdError {
  /// Column of the first invalid character, counted from 1.
  std::size_t m_column = 1;
};

/// \brief Parses the 36-character form of a UUID version 7.
/// \code
/// auto id = ParseRequestId("019384f2-7c00-7000-8000-000000000001");
/// \endcode
[[nodiscard]] tl::expected<RequestId, RequestIdError> ParseRequestId(
    std::string_view text) noexcept;

/// \brief Creates an id from a time and 74 random bits.
[[nodiscard]] RequestId MakeRequestId(WallTime now,
                                      std::uint64_t random_high,
                                      std::uint64_t random_low) noexcept;

/// \brief Formats an id in the 36-character form.
[[nodiscard]] std::string ToString(const RequestId& id);

}  // namespace figlug::core

#endif  // FIGLUG_CORE_REQUEST_ID_H_
