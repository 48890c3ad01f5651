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
          {.m_service = "orders"},
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
    ingress.Send(kGateAddress, wire::CancelFrame{core::AttemptId{id}});
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
// on it would end by its deadline, for as long as both processes run.
TEST(PeerTransport, ASilentConnectionIsClosedAndReplaced) {
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
  std::vector<std::pair<core::AttemptId, bool>> lost;
  PeerTransport ingress(ingress_loop,
                        {.m_on_frame = [](auto, auto&&) {},
                         .m_on_reply = [](auto&&) {},
                         .m_on_lost =
                             [&](core::AttemptId attempt, bool was_sent) {
                               lost.emplace_back(attempt, was_sent);
                             },
                         .m_on_closed = [](auto) {}});
  CHECK(ingress.Listen(kIngressAddress).has_value());

  // The gate's loop does not run: the system accepts the connection and its
  // data, and nothing comes back.
  ingress.SendAttempt(kGateAddress, MakeAttempt(1));
  const core::Time end = ReadClocks().m_time + kWaitTimeout;
  while (lost.empty() && ReadClocks().m_time < end) {
    RunFor(ingress_loop, milliseconds(10));
  }
  LONGS_EQUAL(1, lost.size());
  CHECK(lost.front() == std::pair(core::AttemptId{1}, true));

  ingress.SendAttempt(kGateAddress, MakeAttempt(2));
  while (std::ranges::count(delivered, core::AttemptId{2}) == 0 &&
         ReadClocks().m_time < end) {
    RunFor(ingress_loop, milliseconds(10));
    RunFor(gate_loop, milliseconds(10));
  }
  LONGS_EQUAL(1, std::ranges::count(delivered, core::AttemptId{2}));
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
