// Two transports with an event loop each, so that a test can stall one of them.

#include "figlug/runtime/peer_transport.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "figlug/runtime/impl/socket_address.h"

namespace figlug::runtime {
namespace {

using std::chrono::milliseconds;

constexpr core::Duration kWaitTimeout = std::chrono::seconds(10);
constexpr core::Duration kInboundReview = milliseconds(300);
const core::Endpoint kGateAddress = {"127.0.0.1", 7971};
const core::Endpoint kIngressAddress = {"127.0.0.1", 7972};

void RunFor(EventLoop& loop, core::Duration duration) {
  Timer timer(loop, [&] { loop.Stop(); });
  timer.Set(duration);
  loop.Run();
}

wire::AttemptFrame MakeAttempt(std::uint64_t id) {
  constexpr std::size_t body_bytes = 3000;
  return {core::AttemptId{id},
          {.m_service = "orders", .m_time_left = std::chrono::seconds(5)},
          {"POST", "/order/1", {}, std::string(body_bytes, 'x')}};
}

}  // namespace

TEST_GROUP(PeerTransport){};

// Guards against a gate that, after a pause, starts work whose cancellation is
// already waiting in its socket.
TEST(PeerTransport, AnAttemptThatWasCancelledMeanwhileIsNotDelivered) {
  constexpr std::uint64_t attempts = 10;
  EventLoop gate_loop;
  EventLoop ingress_loop;
  std::vector<core::AttemptId> delivered;
  PeerTransport gate(
      gate_loop,
      {.m_on_frame =
           [&](PeerConnectionId, wire::Frame&& frame) {
             if (auto* attempt = std::get_if<wire::AttemptFrame>(&frame)) {
               delivered.push_back(attempt->m_attempt);
             }
           },
       .m_on_reply = [](auto&&) {},
       .m_on_lost = [](auto, auto) {},
       .m_on_closed = [](auto) {}});
  CHECK(gate.Listen(kGateAddress).has_value());
  PeerTransport ingress(ingress_loop, {.m_on_frame = [](auto, auto&&) {},
                                       .m_on_reply = [](auto&&) {},
                                       .m_on_lost = [](auto, auto) {},
                                       .m_on_closed = [](auto) {}});
  CHECK(ingress.Listen(kIngressAddress).has_value());
  for (std::uint64_t id = 1; id <= attempts; ++id) {
    ingress.SendAttempt(kGateAddress, MakeAttempt(id));
  }
  RunFor(ingress_loop, milliseconds(100));
  for (std::uint64_t id = 1; id < attempts; ++id) {
    ingress.Cancel(kGateAddress, core::AttemptId{id});
  }
  RunFor(ingress_loop, milliseconds(100));

  const core::Time end = ReadClocks().m_time + kWaitTimeout;
  while ((delivered.empty() || delivered.back() != core::AttemptId{attempts}) &&
         ReadClocks().m_time < end) {
    RunFor(gate_loop, milliseconds(10));
  }
  LONGS_EQUAL(1, delivered.size());
}

// Guards against a connection that falls silent without an error: every attempt
// on it would end by its deadline, for as long as both processes run. The
// stand-in for the gate reads nothing on its first connection.
TEST(PeerTransport,
     ASilentConnectionIsReplacedAndLostIfThePeerAnswersElsewhere) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = impl::ToSocketAddress(kGateAddress);
  LONGS_EQUAL(0, bind(listener, reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)));
  LONGS_EQUAL(0, listen(listener, 8));
  EventLoop loop;
  std::vector<core::AttemptId> silent;
  std::vector<std::pair<core::AttemptId, bool>> lost;
  PeerTransport ingress(
      loop, {.m_on_frame = [](auto, auto&&) {},
             .m_on_reply = [](auto&&) {},
             .m_on_lost =
                 [&](core::AttemptId attempt, bool was_sent) {
                   lost.emplace_back(attempt, was_sent);
                 },
             .m_on_closed = [](auto) {},
             .m_on_silent =
                 [&](core::AttemptId attempt) { silent.push_back(attempt); }});
  CHECK(ingress.Listen(kIngressAddress).has_value());
  const core::Time start = ReadClocks().m_time;
  ingress.SendAttempt(kGateAddress, MakeAttempt(1));
  const int first = accept(listener, nullptr, nullptr);
  while (silent.empty() && ReadClocks().m_time < start + kWaitTimeout) {
    RunFor(loop, milliseconds(10));
  }
  CHECK(silent == std::vector{core::AttemptId{1}});
  CHECK(ReadClocks().m_time < start + std::chrono::seconds(1));
  CHECK(lost.empty());

  ingress.SendAttempt(kGateAddress, MakeAttempt(2));
  const int second = accept(listener, nullptr, nullptr);
  const std::string answer = wire::EncodeFrameHead(wire::ProbeReplyFrame{});
  while (lost.empty() && ReadClocks().m_time < start + kWaitTimeout) {
    LONGS_EQUAL(answer.size(), send(second, answer.data(), answer.size(), 0));
    RunFor(loop, milliseconds(100));
  }
  CHECK(lost == std::vector{std::pair(core::AttemptId{1}, true)});
  // Well before the deadline of the attempt.
  CHECK(ReadClocks().m_time < start + std::chrono::seconds(3));
  close(first);
  close(second);
  close(listener);
}

// Guards against an attempt that is given up although its gate, which stood
// still for longer than a silent connection is used, goes on and replies.
TEST(PeerTransport, AnAttemptOutlivesAPauseOfItsGate) {
  EventLoop gate_loop;
  EventLoop ingress_loop;
  std::vector<std::pair<PeerConnectionId, core::AttemptId>> open;
  PeerTransport gate(
      gate_loop,
      {.m_on_frame =
           [&](PeerConnectionId from, wire::Frame&& frame) {
             if (auto* attempt = std::get_if<wire::AttemptFrame>(&frame)) {
               open.emplace_back(from, attempt->m_attempt);
             }
           },
       .m_on_reply = [](auto&&) {},
       .m_on_lost = [](auto, auto) {},
       .m_on_closed = [](auto) {}});
  CHECK(gate.Listen(kGateAddress).has_value());
  std::vector<core::AttemptId> replied;
  std::size_t lost = 0;
  PeerTransport ingress(ingress_loop, {.m_on_frame = [](auto, auto&&) {},
                                       .m_on_reply =
                                           [&](wire::ReplyFrame&& frame) {
                                             replied.push_back(frame.m_attempt);
                                           },
                                       .m_on_lost = [&](auto, auto) { ++lost; },
                                       .m_on_closed = [](auto) {}});
  CHECK(ingress.Listen(kIngressAddress).has_value());
  ingress.SendAttempt(kGateAddress, MakeAttempt(1));
  RunFor(ingress_loop, milliseconds(100));
  RunFor(gate_loop, milliseconds(100));
  LONGS_EQUAL(1, open.size());

  RunFor(ingress_loop, milliseconds(1200));
  LONGS_EQUAL(0, lost);
  gate.Reply(open.front().first, {.m_attempt = open.front().second});
  RunFor(gate_loop, milliseconds(100));
  RunFor(ingress_loop, milliseconds(100));
  LONGS_EQUAL(0, lost);
  LONGS_EQUAL(1, replied.size());
}

// Guards against work that a gate starts after a pause for a caller who left
// during it: the cancellation has to follow the attempt on its connection, also
// on one that gets no new attempts. Such a connection is closed in the end.
TEST(PeerTransport, ACancellationFollowsItsAttemptOnARetiredConnection) {
  EventLoop gate_loop;
  EventLoop ingress_loop;
  std::vector<core::AttemptId> delivered;
  std::size_t closed = 0;
  PeerTransport gate(
      gate_loop,
      {.m_on_frame =
           [&](PeerConnectionId, wire::Frame&& frame) {
             if (auto* attempt = std::get_if<wire::AttemptFrame>(&frame)) {
               delivered.push_back(attempt->m_attempt);
             }
           },
       .m_on_reply = [](auto&&) {},
       .m_on_lost = [](auto, auto) {},
       .m_on_closed = [&](auto) { ++closed; }});
  CHECK(gate.Listen(kGateAddress).has_value());
  std::size_t silent = 0;
  PeerTransport ingress(ingress_loop, {.m_on_frame = [](auto, auto&&) {},
                                       .m_on_reply = [](auto&&) {},
                                       .m_on_lost = [](auto, auto) {},
                                       .m_on_closed = [](auto) {},
                                       .m_on_silent = [&](auto) { ++silent; }});
  CHECK(ingress.Listen(kIngressAddress).has_value());
  ingress.SendAttempt(kGateAddress, MakeAttempt(1));
  const core::Time end = ReadClocks().m_time + kWaitTimeout;
  while (silent == 0 && ReadClocks().m_time < end) {
    RunFor(ingress_loop, milliseconds(10));
  }
  ingress.SendAttempt(kGateAddress, MakeAttempt(2));
  RunFor(ingress_loop, milliseconds(50));
  ingress.Cancel(kGateAddress, core::AttemptId{1});
  RunFor(ingress_loop, milliseconds(50));
  while (closed == 0 && ReadClocks().m_time < end) {
    RunFor(gate_loop, milliseconds(10));
    RunFor(ingress_loop, milliseconds(10));
  }
  LONGS_EQUAL(1, closed);
  CHECK(delivered == std::vector{core::AttemptId{2}});
}

// A gate that works on an attempt for long answers probes meanwhile.
TEST(PeerTransport, AnAttemptThatTakesLongIsNotLost) {
  EventLoop loop;
  PeerTransport gate(loop, {.m_on_frame = [](auto, auto&&) {},
                            .m_on_reply = [](auto&&) {},
                            .m_on_lost = [](auto, auto) {},
                            .m_on_closed = [](auto) {}});
  CHECK(gate.Listen(kGateAddress).has_value());
  bool is_lost = false;
  PeerTransport ingress(loop, {.m_on_frame = [](auto, auto&&) {},
                               .m_on_reply = [](auto&&) {},
                               .m_on_lost = [&](auto, auto) { is_lost = true; },
                               .m_on_closed = [](auto) {}});
  CHECK(ingress.Listen(kIngressAddress).has_value());
  ingress.SendAttempt(kGateAddress, MakeAttempt(1));
  RunFor(loop, std::chrono::seconds(3));
  CHECK_FALSE(is_lost);
}

// Guards against connections from peers that fell silent and stay open until
// the process has no descriptors left.
TEST(PeerTransport, ASilentConnectionFromAPeerIsClosed) {
  EventLoop loop;
  std::size_t closed = 0;
  PeerTransport gate(loop,
                     {.m_on_frame = [](auto, auto&&) {},
                      .m_on_reply = [](auto&&) {},
                      .m_on_lost = [](auto, auto) {},
                      .m_on_closed = [&](auto) { ++closed; }},
                     kInboundReview);
  CHECK(gate.Listen(kGateAddress).has_value());
  const int silent = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = impl::ToSocketAddress(kGateAddress);
  LONGS_EQUAL(0, connect(silent, reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address)));
  const core::Time end = ReadClocks().m_time + kWaitTimeout;
  while (closed == 0 && ReadClocks().m_time < end) {
    RunFor(loop, milliseconds(10));
  }
  LONGS_EQUAL(1, closed);
  close(silent);
}

// A peer that has nothing to send answers probes, and keeps its connection.
TEST(PeerTransport, AnIdleConnectionFromAPeerIsKept) {
  EventLoop loop;
  std::size_t closed = 0;
  std::size_t delivered = 0;
  PeerTransport gate(loop,
                     {.m_on_frame = [&](auto, auto&&) { ++delivered; },
                      .m_on_reply = [](auto&&) {},
                      .m_on_lost = [](auto, auto) {},
                      .m_on_closed = [&](auto) { ++closed; }},
                     kInboundReview);
  CHECK(gate.Listen(kGateAddress).has_value());
  PeerTransport ingress(loop, {.m_on_frame = [](auto, auto&&) {},
                               .m_on_reply = [](auto&&) {},
                               .m_on_lost = [](auto, auto) {},
                               .m_on_closed = [](auto) {}});
  CHECK(ingress.Listen(kIngressAddress).has_value());
  ingress.Send(kGateAddress, wire::CancelFrame{core::AttemptId{1}});
  RunFor(loop, 10 * kInboundReview);
  LONGS_EQUAL(1, delivered);
  LONGS_EQUAL(0, closed);
}

// Guards against a caller that gets the response to another attempt: one that
// is repeated, or that answers no attempt sent on its connection.
TEST(PeerTransport, OnlyTheFirstReplyToAnOpenAttemptIsDelivered) {
  EventLoop loop;
  std::vector<core::AttemptId> replies;
  PeerTransport* replying = nullptr;
  PeerTransport gate(
      loop,
      {.m_on_frame =
           [&](PeerConnectionId from, wire::Frame&& frame) {
             const auto* attempt = std::get_if<wire::AttemptFrame>(&frame);
             if (attempt == nullptr) {
               return;
             }
             const auto id = static_cast<std::uint64_t>(attempt->m_attempt);
             for (const std::uint64_t answered : {id + 7, id, id}) {
               replying->Reply(from, {core::AttemptId{answered}});
             }
           },
       .m_on_reply = [](auto&&) {},
       .m_on_lost = [](auto, auto) {},
       .m_on_closed = [](auto) {}});
  replying = &gate;
  CHECK(gate.Listen(kGateAddress).has_value());
  PeerTransport ingress(loop, {.m_on_frame = [](auto, auto&&) {},
                               .m_on_reply =
                                   [&](wire::ReplyFrame&& reply) {
                                     replies.push_back(reply.m_attempt);
                                   },
                               .m_on_lost = [](auto, auto) {},
                               .m_on_closed = [](auto) {}});
  CHECK(ingress.Listen(kIngressAddress).has_value());
  ingress.SendAttempt(kGateAddress, MakeAttempt(1));
  ingress.SendAttempt(kGateAddress, MakeAttempt(2));
  const core::Time end = ReadClocks().m_time + kWaitTimeout;
  while (replies.size() < 2 && ReadClocks().m_time < end) {
    RunFor(loop, milliseconds(10));
  }
  RunFor(loop, milliseconds(100));
  LONGS_EQUAL(2, replies.size());
  CHECK(replies[0] == core::AttemptId{1} && replies[1] == core::AttemptId{2});
}

}  // namespace figlug::runtime
