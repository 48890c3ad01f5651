#ifndef FIGLUG_RUNTIME_LOG_FOLLOWER_H_
#define FIGLUG_RUNTIME_LOG_FOLLOWER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "figlug/core/checkpoint_choice.h"
#include "figlug/core/control_state.h"
#include "figlug/runtime/adjustable_timer.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/runtime/log_service.h"

namespace figlug::runtime {

/// \brief Callbacks of a log follower.
struct LogFollowerHandlers {
  /// Receives the initial state, before any record, and the era that it was
  /// read in.
  std::function<void(core::Era, core::ControlState&&)> m_on_start;
  /// Receives the state of a log that has been restored from a copy, with all
  /// records that it had then.
  std::function<void(core::Era, core::ControlState&&)> m_on_restored;
  std::function<void(const std::vector<core::LogEntry>&)> m_on_records;
  /// All records that were in the log at the last read have been delivered.
  std::function<void()> m_on_caught_up;
  /// The same, with the time at which that read was sent.
  std::function<void(core::Time)> m_on_confirmed = [](core::Time) {};
  /// The log no longer holds the next record.
  std::function<void()> m_on_gap;
  /// Receives whether the last read succeeded.
  std::function<void(bool)> m_on_health;
  /// Receives the offset of the oldest record that the log retains.
  std::function<void(core::Offset)> m_on_bounds;
  /// Returns the time to wait before the next read.
  std::function<core::Duration()> m_pause = [] {
    return core::Duration::zero();
  };
  /// Returns the offset after the last record that the user has applied.
  std::function<core::Offset()> m_next;
  /// Time that a read waits for records.
  core::Duration m_read_wait = std::chrono::seconds(3);
};

/// \brief Reads the log continuously, starting from its newest checkpoint.
///
/// \code
/// LogFollower<HttpLogClient> follower(loop, log, handlers);
/// follower.Start();
/// \endcode
template <LogService Log>
class LogFollower {
 public:
  LogFollower(EventLoop& loop, Log& log, LogFollowerHandlers handlers)
      : m_log(log),
        m_handlers(std::move(handlers)),
        m_retry(loop, [this] { Retry(); }),
        m_pause(loop, m_handlers.m_pause, [this] { Read(); }) {}

  /// \brief Finds the newest checkpoint, then follows the log from there.
  void Start() {
    ResetState();
    Retry();
  }
  /// \brief Reads the state again, because the log is said to have been
  /// restored from a copy. The former state stays in use until the new one is
  /// complete.
  void Reload() {
    if (m_phase == Phase::kFollowing) {
      StartRestore();
    }
  }

 private:
  enum class Phase : std::uint8_t { kStarting, kFollowing, kRestoring };

  static constexpr core::Duration kInitialBackoff =
      std::chrono::milliseconds(200);
  /// Well below the time that a reader may lag behind the log.
  static constexpr core::Duration kMaxBackoff = std::chrono::milliseconds(1000);
  /// Minimum time between reads of a checkpoint store after a read that
  /// returned records. Records appended in close succession then arrive in one
  /// read, because each read of such a store is charged for.
  static constexpr core::Duration kBatchInterval =
      std::chrono::milliseconds(120);

  void ScheduleRetry() {
    m_retry.Set(m_backoff);
    m_backoff = std::min(2 * m_backoff, kMaxBackoff);
  }

  void ResetState() {
    m_phase = Phase::kStarting;
    m_has_followed = false;
    ResetScan();
  }

  void ResetScan() {
    m_scanned.clear();
    m_scan_from = 0;
  }

  // The read that is in flight, if any, is superseded.
  void StartRestore() {
    ++m_read_number;
    m_retry.Cancel();
    m_pause.Cancel();
    m_phase = Phase::kRestoring;
    m_restored.reset();
    ResetScan();
    Retry();
  }

  void Retry() {
    if constexpr (CheckpointStore<Log>) {
      if (m_phase == Phase::kStarting ||
          (m_phase == Phase::kRestoring && !m_restored)) {
        m_log.ReadCheckpoint(
            [this, number = ++m_read_number](CheckpointReply&& reply) {
              if (number == m_read_number) {
                OnCheckpointRead(std::move(reply));
              }
            });
        return;
      }
    }
    Read();
  }

  void OnCheckpointRead(CheckpointReply&& reply) {
    m_handlers.m_on_health(reply.m_has_reply);
    // A checkpoint of an earlier era may hold records that the log has lost.
    if (!reply.m_has_reply || reply.m_era < m_era) {
      ScheduleRetry();
      return;
    }
    m_backoff = kInitialBackoff;
    m_era = reply.m_era;
    core::ControlState state = reply.m_state == nullptr
                                   ? core::ControlState()
                                   : core::ControlState(*reply.m_state);
    if (m_phase == Phase::kRestoring) {
      m_restored = std::move(state);
    } else {
      m_phase = Phase::kFollowing;
      m_handlers.m_on_start(m_era, std::move(state));
    }
    Read();
  }

  [[nodiscard]] core::Offset NextOffset() const {
    if (m_phase == Phase::kFollowing) {
      return m_handlers.m_next();
    }
    return m_restored ? m_restored->next() : m_scan_from;
  }

  void Read() {
    const core::Offset from = NextOffset();
    const bool waits = m_phase == Phase::kFollowing &&
                       m_handlers.m_pause() == core::Duration{};
    const core::Duration wait =
        waits ? m_handlers.m_read_wait : core::Duration::zero();
    m_read_sent_at = ReadClocks().m_time;
    m_log.Read(from, wait,
               [this, from,
                number = ++m_read_number](std::optional<wire::LogPage>&& page) {
                 if (number == m_read_number) {
                   OnPage(from, std::move(page));
                 }
               });
  }

  void OnPage(core::Offset from, std::optional<wire::LogPage>&& page) {
    m_handlers.m_on_health(page.has_value());
    // A page of an earlier era was on its way when the log was restored.
    if (!page || page->m_era < m_era) {
      ScheduleRetry();
      return;
    }
    if (page->m_era == m_era && page->m_first <= from && page->m_next < from) {
      OnOutdatedPage();
      return;
    }
    if (IsRestored(*page)) {
      m_era = page->m_era;
      StartRestore();
      return;
    }
    m_backoff = kInitialBackoff;
    std::vector<core::LogEntry> entries;
    entries.reserve(page->m_entries.size());
    for (const wire::RawEntry& raw : page->m_entries) {
      entries.push_back(wire::ParseRecord(raw.m_offset, raw.m_data));
    }
    switch (m_phase) {
      case Phase::kFollowing:
        OnNewRecords(from, *page, entries);
        break;
      case Phase::kRestoring:
        if (m_restored) {
          OnRestoredRecords(from, *page, entries);
          break;
        }
        [[fallthrough]];
      case Phase::kStarting:
        OnScanPage(*page, std::move(entries));
        break;
    }
  }

  // The log ends before the requested offset, but names no later era: this
  // page, or the checkpoint that the offset comes from, is outdated. A
  // checkpoint that no record has followed yet is dropped.
  void OnOutdatedPage() {
    if (m_phase == Phase::kFollowing && !m_has_followed) {
      m_handlers.m_on_gap();
      ResetState();
    }
    m_restored.reset();
    ResetScan();
    ScheduleRetry();
  }

  // A scan that has read nothing yet may begin in any era.
  [[nodiscard]] bool IsRestored(const wire::LogPage& page) const {
    const bool has_read_any =
        m_phase == Phase::kFollowing || m_restored || m_scan_from > 0;
    return has_read_any && page.m_era > m_era;
  }

  void OnNewRecords(core::Offset from,
                    const wire::LogPage& page,
                    const std::vector<core::LogEntry>& entries) {
    // A peer may meanwhile have supplied the records that the log has trimmed.
    if (page.m_first > from && page.m_first > m_handlers.m_next()) {
      m_handlers.m_on_gap();
      ResetState();
      ScheduleRetry();
      return;
    }
    m_has_followed = true;
    if (!entries.empty()) {
      m_handlers.m_on_records(entries);
    }
    m_handlers.m_on_bounds(page.m_first);
    if (m_handlers.m_next() >= page.m_next) {
      ReportCaughtUp();
    }
    if constexpr (CheckpointStore<Log>) {
      const core::Duration gather =
          entries.empty() ? core::Duration::zero() : kBatchInterval;
      m_pause.Start(gather);
    } else {
      Read();
    }
  }

  // Applies records to the state that is being rebuilt. A checkpoint that is
  // older than the records that are kept cannot be continued.
  void OnRestoredRecords(core::Offset from,
                         const wire::LogPage& page,
                         const std::vector<core::LogEntry>& entries) {
    if (page.m_first > from) {
      m_restored.reset();
      ScheduleRetry();
      return;
    }
    ApplyToRestored(entries);
    if (m_restored->next() < page.m_next) {
      Read();
      return;
    }
    FinishRestore(page.m_first);
  }

  void ApplyToRestored(std::span<const core::LogEntry> entries) {
    for (const core::LogEntry& entry : entries) {
      if (entry.m_offset == m_restored->next()) {
        m_restored->Apply(entry);
      }
    }
  }

  void FinishRestore(core::Offset first) {
    m_phase = Phase::kFollowing;
    m_has_followed = true;
    m_handlers.m_on_restored(m_era, std::move(*m_restored));
    m_restored.reset();
    m_handlers.m_on_bounds(first);
    ReportCaughtUp();
    Read();
  }

  // Only the newest read's reply is handled, so that m_read_sent_at is its
  // time.
  void ReportCaughtUp() {
    m_handlers.m_on_confirmed(m_read_sent_at);
    m_handlers.m_on_caught_up();
  }

  // Collects all retained records until the end of the log, so that
  // StartFromScan can pick the newest checkpoint. Starts over if the log trims
  // or loses records during the scan.
  void OnScanPage(const wire::LogPage& page,
                  std::vector<core::LogEntry>&& entries) {
    m_era = page.m_era;
    if (page.m_next < m_scan_from) {
      ResetScan();
      Read();
      return;
    }
    if (m_scan_from < page.m_first) {
      m_scanned.clear();
      m_scan_from = page.m_first;
      if (entries.empty() || entries.front().m_offset != page.m_first) {
        Read();
        return;
      }
    }
    for (core::LogEntry& entry : entries) {
      m_scan_from = entry.m_offset + 1;
      m_scanned.push_back(std::move(entry));
    }
    if (m_scan_from < page.m_next) {
      Read();
      return;
    }
    StartFromScan(page.m_first);
  }

  // Starts from the newest usable checkpoint among the collected records, or
  // from an empty state if the log still holds its first record.
  void StartFromScan(core::Offset first) {
    const core::CheckpointRecord* newest = nullptr;
    for (const core::LogEntry& entry : m_scanned) {
      const auto* found = std::get_if<core::CheckpointRecord>(&entry.m_record);
      if (found != nullptr && found->m_state != nullptr &&
          found->m_next >= first && found->m_next <= entry.m_offset &&
          core::IsStateOfLog(*found->m_state, m_scanned) &&
          (newest == nullptr || found->m_next > newest->m_next)) {
        newest = found;
      }
    }
    if (newest == nullptr && first > 0) {
      ScheduleRetry();
      return;
    }
    core::ControlState state = newest == nullptr
                                   ? core::ControlState()
                                   : core::ControlState(*newest->m_state);
    if (m_phase == Phase::kRestoring) {
      m_restored = std::move(state);
      ApplyToRestored(m_scanned);
      ResetScan();
      FinishRestore(first);
      return;
    }
    m_has_followed = true;
    m_phase = Phase::kFollowing;
    m_handlers.m_on_start(m_era, std::move(state));
    m_handlers.m_on_records(m_scanned);
    m_scanned.clear();
    ReportCaughtUp();
    Read();
  }

  Log& m_log;
  LogFollowerHandlers m_handlers;
  Timer m_retry;
  AdjustableTimer m_pause;
  core::Duration m_backoff = kInitialBackoff;
  Phase m_phase = Phase::kStarting;
  /// Whether the log has confirmed the state since the last start.
  bool m_has_followed = false;
  /// Era of the pages read last.
  core::Era m_era = 0;
  /// Number of the newest read; the replies of earlier ones are ignored.
  std::uint64_t m_read_number = 0;
  core::Time m_read_sent_at{};
  /// The state that is being rebuilt from a restored log.
  std::optional<core::ControlState> m_restored;
  core::Offset m_scan_from = 0;
  std::vector<core::LogEntry> m_scanned;
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_LOG_FOLLOWER_H_
