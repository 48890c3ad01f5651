#ifndef FIGLUG_RUNTIME_LOG_FOLLOWER_H_
#define FIGLUG_RUNTIME_LOG_FOLLOWER_H_

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "figlug/core/control_state.h"
#include "figlug/runtime/adjustable_timer.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/runtime/log_service.h"

namespace figlug::runtime {

/// \brief What a follower tells its owner.
struct LogFollowerHandlers {
  /// The state to start from, before any record.
  std::function<void(core::ControlState&&)> m_on_start;
  std::function<void(const std::vector<core::LogEntry>&)> m_on_records;
  /// All records that the log had at the moment have been handed over.
  std::function<void()> m_on_caught_up;
  /// The log no longer has the next record.
  std::function<void()> m_on_gap;
  std::function<void(bool)> m_on_health;
  /// Oldest record that the log keeps.
  std::function<void(core::Offset)> m_on_bounds;
  /// Time to wait before the next read.
  std::function<core::Duration()> m_pause = [] {
    return core::Duration::zero();
  };
  /// First offset not known yet to the owner.
  std::function<core::Offset()> m_next;
};

/// \brief Reads the log from its newest checkpoint on, for ever.
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

  /// \brief Looks for the newest checkpoint, then follows.
  void Start() {
    Forget();
    Retry();
  }

 private:
  static constexpr core::Duration kWait = std::chrono::seconds(3);
  static constexpr core::Duration kFirstRetry = std::chrono::milliseconds(200);
  /// Still well below the time that a reader may be behind.
  static constexpr core::Duration kMostRetry = std::chrono::milliseconds(1000);
  /// Records that follow each other closely come with one read, as each read of
  /// a store is paid for.
  static constexpr core::Duration kGatherTime = std::chrono::milliseconds(120);

  void RetryLater() {
    m_retry.Set(m_backoff);
    m_backoff = std::min(2 * m_backoff, kMostRetry);
  }

  void Forget() {
    m_has_state = false;
    m_scanned.clear();
    m_scan_from = 0;
  }

  void Retry() {
    if constexpr (CheckpointStore<Log>) {
      if (!m_has_state) {
        m_log.ReadCheckpoint([this](CheckpointAnswer&& answer) {
          OnCheckpointRead(std::move(answer));
        });
        return;
      }
    }
    Read();
  }

  void OnCheckpointRead(CheckpointAnswer&& answer) {
    m_handlers.m_on_health(answer.m_is_known);
    if (!answer.m_is_known) {
      RetryLater();
      return;
    }
    m_backoff = kFirstRetry;
    m_has_state = true;
    m_handlers.m_on_start(answer.m_state == nullptr
                              ? core::ControlState()
                              : core::ControlState(*answer.m_state));
    Read();
  }

  void Read() {
    const core::Offset from = m_has_state ? m_handlers.m_next() : m_scan_from;
    const bool waits = m_has_state && m_handlers.m_pause() == core::Duration{};
    const core::Duration wait = waits ? kWait : core::Duration::zero();
    m_log.Read(from, wait, [this, from](std::optional<wire::LogPage>&& page) {
      OnPage(from, std::move(page));
    });
  }

  void OnPage(core::Offset from, std::optional<wire::LogPage>&& page) {
    m_handlers.m_on_health(page.has_value());
    if (!page) {
      RetryLater();
      return;
    }
    m_backoff = kFirstRetry;
    std::vector<core::LogEntry> entries;
    entries.reserve(page->m_entries.size());
    for (const wire::RawEntry& raw : page->m_entries) {
      entries.push_back(wire::ParseRecord(raw.m_offset, raw.m_data));
    }
    if (!m_has_state) {
      Scan(*page, std::move(entries));
      return;
    }
    // A peer may have handed over the records that are gone here.
    if (page->m_first > from && page->m_first > m_handlers.m_next()) {
      m_handlers.m_on_gap();
      Forget();
      RetryLater();
      return;
    }
    if (!entries.empty()) {
      m_handlers.m_on_records(entries);
    }
    m_handlers.m_on_bounds(page->m_first);
    if (m_handlers.m_next() >= page->m_next) {
      m_handlers.m_on_caught_up();
    }
    if constexpr (CheckpointStore<Log>) {
      const core::Duration gather =
          entries.empty() ? core::Duration::zero() : kGatherTime;
      m_pause.Start(gather);
    } else {
      Read();
    }
  }

  // Keeps the newest checkpoint and what follows its base.
  void Scan(const wire::LogPage& page, std::vector<core::LogEntry>&& entries) {
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
    Begin(page.m_first);
  }

  void Begin(core::Offset first) {
    const core::CheckpointRecord* newest = nullptr;
    for (const core::LogEntry& entry : m_scanned) {
      const auto* found = std::get_if<core::CheckpointRecord>(&entry.m_record);
      if (found != nullptr && found->m_state != nullptr &&
          found->m_next >= first && found->m_next <= entry.m_offset &&
          (newest == nullptr || found->m_next > newest->m_next)) {
        newest = found;
      }
    }
    if (newest == nullptr && first > 0) {
      RetryLater();
      return;
    }
    m_has_state = true;
    m_handlers.m_on_start(newest == nullptr
                              ? core::ControlState()
                              : core::ControlState(*newest->m_state));
    m_handlers.m_on_records(m_scanned);
    m_scanned.clear();
    m_handlers.m_on_caught_up();
    Read();
  }

  Log& m_log;
  LogFollowerHandlers m_handlers;
  Timer m_retry;
  AdjustableTimer m_pause;
  core::Duration m_backoff = kFirstRetry;
  bool m_has_state = false;
  core::Offset m_scan_from = 0;
  std::vector<core::LogEntry> m_scanned;
};

}  // namespace figlug::runtime

#endif  // FIGLUG_RUNTIME_LOG_FOLLOWER_H_
