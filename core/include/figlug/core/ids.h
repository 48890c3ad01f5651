#ifndef FIGLUG_CORE_IDS_H_
#define FIGLUG_CORE_IDS_H_

#include <cstdint>

namespace figlug::core {

/// \brief One incarnation of a figlugd process; random, never reused.
enum class MemberId : std::uint64_t {};
/// \brief One caller's request at one ingress; unique within a process.
enum class CallId : std::uint64_t {};
/// \brief One attempt of a call at one member; unique within the ingress.
enum class AttemptId : std::uint64_t {};
/// \brief One admitted or queued attempt at a gate; unique within a process.
enum class WorkId : std::uint64_t {};
/// \brief One call that grants or releases keys; unique within a process.
enum class HoldCallId : std::uint64_t {};
/// \brief Idempotency key of one append; random.
enum class AppendId : std::uint64_t {};

/// \brief Offset of a record in the log. A log that has been restored from an
/// older copy assigns offsets again.
using Offset = std::uint64_t;
/// \brief Number of the log's era: 1, and one more each time that it is
/// restored from a copy; 0 where the log names none.
using Era = std::uint32_t;
/// \brief Era and offset as one number that only increases: the fencing token,
/// and the order of whatever was derived from the log.
using Position = std::uint64_t;

/// \brief Bits of a position that hold the offset.
inline constexpr unsigned kPositionOffsetBits = 32;

[[nodiscard]] constexpr Position MakePosition(Era era, Offset offset) noexcept {
  return Position{era} << kPositionOffsetBits | offset;
}
[[nodiscard]] constexpr Era EraOf(Position position) noexcept {
  return static_cast<Era>(position >> kPositionOffsetBits);
}
[[nodiscard]] constexpr Offset OffsetOf(Position position) noexcept {
  return position & ((Position{1} << kPositionOffsetBits) - 1);
}

/// \brief Number of a member's watcher set, from 1.
using Generation = std::uint32_t;
/// \brief Number of a slice within its service.
using SliceIndex = std::uint32_t;

/// \brief Stands for no member.
inline constexpr MemberId kNoMember{0};

/// \brief Number of slices of a service's key space where a member does not
/// announce another.
inline constexpr SliceIndex kDefaultSlicesPerService = 1024;
/// \brief Bounded because each process keeps the state of every slice.
inline constexpr SliceIndex kMaxSlicesPerService = 16384;

}  // namespace figlug::core

#endif  // FIGLUG_CORE_IDS_H_
