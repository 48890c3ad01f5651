#ifndef FIGLUG_RUNTIME_IMPL_FRAGMENT_SENDER_H_
#define FIGLUG_RUNTIME_IMPL_FRAGMENT_SENDER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "figlug/core/ids.h"
#include "figlug/core/link/link_scheduler.h"
#include "figlug/runtime/buffer_meter.h"
#include "figlug/runtime/event_loop.h"
#include "figlug/wire/frame.h"

namespace figlug::runtime::impl {

/// \brief Callbacks of a FragmentSender.
struct FragmentHandlers {
  /// Writes a frame to a peer's connection at once.
  std::function<void(core::LinkPeerId, const wire::Frame&)> m_write;
  /// Called for an attempt whose frame, a request or an answer, is not sent to
  /// its end because it would arrive too late. Must not send large frames.
  std::function<void(core::LinkPeerId, core::AttemptId)> m_on_expired;
};

/// \brief Keeps the large frames that wait for the VM's link, and sends them in
/// fragments as core::LinkScheduler decides.
class FragmentSender {
 public:
  /// \param meter Counts the frames that wait. Null: they are not counted.
  FragmentSender(EventLoop& loop,
                 FragmentHandlers handlers,
                 BufferMeter* meter);

  /// \brief Sends an encoded frame, prefix included.
  /// \param terms Priority and deadline; its peer names the connection.
  /// \param attempt The attempt that the frame is of, by which it is cancelled.
  void Send(core::Transfer terms,
            std::string&& frame,
            std::optional<core::AttemptId> attempt);
  /// \brief Drops the rest of an attempt's frame.
  /// \returns Whether something of it had not been sent.
  bool Cancel(core::LinkPeerId peer, core::AttemptId attempt);
  void OnAck(core::LinkPeerId peer);
  /// \brief Drops what waits for a connection that is closed.
  /// \returns The attempts whose frame had not been sent to its end.
  std::set<core::AttemptId> OnClosed(core::LinkPeerId peer);

  /// \brief Bytes that wait to be handed to a connection.
  [[nodiscard]] std::size_t unsent_bytes() const noexcept {
    return m_unsent_bytes;
  }
  [[nodiscard]] const core::LinkScheduler& scheduler() const noexcept {
    return m_scheduler;
  }
  /// \brief Bytes that were dropped before they were sent, since the start.
  [[nodiscard]] std::uint64_t dropped_bytes() const noexcept {
    return m_dropped_bytes;
  }

 private:
  struct Waiting {
    core::LinkPeerId m_peer{0};
    std::string m_bytes;
    std::size_t m_sent = 0;
    std::optional<core::AttemptId> m_attempt;
    std::unique_ptr<BufferCharge> m_held;
  };

  using WaitingMap = std::map<core::TransferId, Waiting>;

  void SendDue();
  /// Removes a frame whose rest is not sent, and which the scheduler has
  /// forgotten.
  WaitingMap::iterator Drop(WaitingMap::iterator it);
  /// Removes a frame.
  WaitingMap::iterator Erase(WaitingMap::iterator it);

  FragmentHandlers m_handlers;
  BufferMeter* m_meter;
  core::LinkScheduler m_scheduler;
  WaitingMap m_waiting;
  std::map<std::pair<core::LinkPeerId, core::AttemptId>, core::TransferId>
      m_by_attempt;
  Timer m_timer;
  core::Time m_timer_at = core::kNever;
  std::uint64_t m_last_id = 0;
  std::size_t m_unsent_bytes = 0;
  std::uint64_t m_dropped_bytes = 0;
};

}  // namespace figlug::runtime::impl

#endif  // FIGLUG_RUNTIME_IMPL_FRAGMENT_SENDER_H_
