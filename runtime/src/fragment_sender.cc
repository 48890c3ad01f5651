#include "figlug/runtime/impl/fragment_sender.h"

#include <utility>

namespace figlug::runtime::impl {
namespace {

std::uint64_t Raw(core::TransferId id) {
  return static_cast<std::uint64_t>(id);
}

}  // namespace

FragmentSender::FragmentSender(EventLoop& loop,
                               FragmentHandlers handlers,
                               BufferMeter* meter)
    : m_handlers(std::move(handlers)), m_meter(meter), m_timer(loop, [this] {
        m_timer_at = core::kNever;
        SendDue();
      }) {}

void FragmentSender::Send(core::Transfer terms,
                          std::string&& frame,
                          std::optional<core::AttemptId> attempt) {
  const core::TransferId id{++m_last_id};
  terms.m_bytes = frame.size();
  m_unsent_bytes += frame.size();
  Waiting& waiting = m_waiting[id];
  waiting.m_peer = terms.m_peer;
  waiting.m_bytes = std::move(frame);
  waiting.m_attempt = attempt;
  if (attempt) {
    m_by_attempt[{terms.m_peer, *attempt}] = id;
  }
  if (m_meter != nullptr) {
    waiting.m_held = std::make_unique<BufferCharge>(*m_meter);
    waiting.m_held->Set(waiting.m_bytes.size());
  }
  m_scheduler.Add(id, terms);
  SendDue();
}

bool FragmentSender::Cancel(core::LinkPeerId peer, core::AttemptId attempt) {
  const auto it = m_by_attempt.find({peer, attempt});
  if (it == m_by_attempt.end()) {
    return false;
  }
  const core::TransferId id = it->second;
  m_scheduler.Remove(id);
  Drop(m_waiting.find(id));
  return true;
}

// The peer keeps what it has of a frame until it knows that no more comes.
FragmentSender::WaitingMap::iterator FragmentSender::Drop(
    WaitingMap::iterator it) {
  const Waiting& waiting = it->second;
  if (waiting.m_sent > 0) {
    m_handlers.m_write(waiting.m_peer,
                       wire::FragmentAbortFrame{Raw(it->first)});
  }
  m_dropped_bytes += waiting.m_bytes.size() - waiting.m_sent;
  return Erase(it);
}

FragmentSender::WaitingMap::iterator FragmentSender::Erase(
    WaitingMap::iterator it) {
  const Waiting& waiting = it->second;
  m_unsent_bytes -= waiting.m_bytes.size() - waiting.m_sent;
  if (waiting.m_attempt) {
    m_by_attempt.erase({waiting.m_peer, *waiting.m_attempt});
  }
  return m_waiting.erase(it);
}

void FragmentSender::OnAck(core::LinkPeerId peer) {
  m_scheduler.OnAck(ReadClocks().m_time, peer);
  SendDue();
}

std::set<core::AttemptId> FragmentSender::OnClosed(core::LinkPeerId peer) {
  std::set<core::AttemptId> unsent;
  m_scheduler.OnClosed(peer);
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    const Waiting& waiting = it->second;
    if (waiting.m_peer != peer) {
      ++it;
      continue;
    }
    if (waiting.m_attempt) {
      unsent.insert(*waiting.m_attempt);
    }
    it = Erase(it);
  }
  // What was under way to the peer may have kept others waiting. The caller is
  // still changing its connections.
  m_timer_at = core::kNever;
  m_timer.Set(core::Duration::zero());
  return unsent;
}

void FragmentSender::SendDue() {
  const core::Time now = ReadClocks().m_time;
  for (core::TransferId id : m_scheduler.TakeExpired(now)) {
    const auto it = m_waiting.find(id);
    const core::LinkPeerId peer = it->second.m_peer;
    const std::optional<core::AttemptId> attempt = it->second.m_attempt;
    Drop(it);
    if (attempt) {
      m_handlers.m_on_expired(peer, *attempt);
    }
  }
  while (const auto fragment = m_scheduler.Next(now)) {
    const auto it = m_waiting.find(fragment->m_transfer);
    Waiting& waiting = it->second;
    m_handlers.m_write(
        waiting.m_peer,
        wire::FragmentFrame{
            Raw(it->first), fragment->m_is_last,
            waiting.m_bytes.substr(waiting.m_sent, fragment->m_bytes)});
    waiting.m_sent += fragment->m_bytes;
    m_unsent_bytes -= fragment->m_bytes;
    if (fragment->m_is_last) {
      Erase(it);
    }
  }
  const core::Time next = m_scheduler.NextDeadline();
  if (next != m_timer_at && next != core::kNever) {
    m_timer_at = next;
    m_timer.Set(next - now);
  }
}

}  // namespace figlug::runtime::impl
