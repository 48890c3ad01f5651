#ifndef FIGLUG_WIRE_CHECKPOINT_PARTS_H_
#define FIGLUG_WIRE_CHECKPOINT_PARTS_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "figlug/core/ids.h"

namespace figlug::wire {

/// Bytes of a part besides those of the checkpoint: format, id, count, index.
inline constexpr std::size_t kPartHeaderBytes = 16;
inline constexpr std::size_t kMaxCheckpointParts = 999;

/// \brief Splits an encoded checkpoint, for stores that bound a record.
/// \param id Distinguishes this checkpoint from others.
/// \param max_part_bytes More than kPartHeaderBytes.
/// \returns At most kMaxCheckpointParts parts; none if it needs more.
[[nodiscard]] std::vector<std::string> SplitCheckpoint(
    core::AppendId id,
    std::string_view bytes,
    std::size_t max_part_bytes);

/// \brief Joins the parts of the checkpoint that the first part belongs to.
/// \param parts In the order of their indices; parts of a longer, earlier
/// checkpoint may follow.
/// \returns Nothing unless all parts are there.
[[nodiscard]] std::optional<std::string> JoinCheckpoint(
    std::span<const std::string_view> parts);

}  // namespace figlug::wire

#endif  // FIGLUG_WIRE_CHECKPOINT_PARTS_H_
