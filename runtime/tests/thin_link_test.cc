// A gate behind a link of 10 Mbit/s that all its connections share.

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "figlug/runtime/peer_transport.h"
#include "thin_link.h"

namespace figlug::runtime {
namespace {

using std::chrono::milliseconds;

const core::Endpoint kGateAddress = {"127.0.0.1", 7981};
const core::Endpoint kLinkAddress = {"127.0.0.1", 7982};
constexpr std::uint16_t kFirstIngressPort = 7983;
constexpr std::size_t kIngresses = 5;
constexpr double kBytesPerSecond = 1.25e6;
constexpr std::size_t kLargeBytes = 90'000;
constexpr std::size_t kShortBytes = 400;
constexpr std::size_t kLargeAnswers = 20;
constexpr core::Duration kWaitTimeout = std::chrono::seconds(10);

constexpr double Seconds(core::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

constexpr core::Duration TransmissionTime(std::size_t bytes) {
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(static_cast<double>(bytes) /
                                    kBytesPerSecond));
}

std::int64_t Milliseconds(core::Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

core::Time Now() {
  return ReadClocks().m_time;
}

}  // namespace

TEST_GROUP(ThinLink) {
  struct Answer {
    core::Time m_at;
    core::Outcome m_outcome = core::Outcome::kNotRun;
    std::string m_body;
  };

  void setup() override {
    m_gate = std::make_unique<PeerTransport>(
        m_loop,
        PeerHandlers{.m_on_frame =
                         [this](PeerConnectionId from, wire::Frame&& frame) {
                           if (const auto* attempt =
                                   std::get_if<wire::AttemptFrame>(&frame)) {
                             m_asked.emplace(attempt->m_attempt, from);
                           }
                         },
                     .m_on_reply = [](auto&&) {},
                     .m_on_lost = [](auto, auto) {},
                     .m_on_closed = [](auto) {}});
    CHECK(m_gate->Listen(kGateAddress).has_value());
    m_link = std::make_unique<ThinLink>(m_loop, kLinkAddress, kGateAddress,
                                        kBytesPerSecond);
    for (std::uint16_t i = 0; i < kIngresses; ++i) {
      m_ingresses.push_back(std::make_unique<PeerTransport>(
          m_loop, PeerHandlers{
                      .m_on_frame =
                          [this](auto, wire::Frame&& frame) {
                            m_messages +=
                                std::holds_alternative<core::PeerMessage>(frame)
                                    ? 1
                                    : 0;
                          },
                      .m_on_reply =
                          [this](wire::ReplyFrame&& reply) {
                            m_answers[reply.m_attempt] = {
                                Now(), reply.m_outcome,
                                std::move(reply.m_response.m_body)};
                          },
                      .m_on_lost = [](auto, auto) {},
                      .m_on_closed = [](auto) {}}));
      const auto port = static_cast<std::uint16_t>(kFirstIngressPort + i);
      CHECK(m_ingresses.back()->Listen({"127.0.0.1", port}).has_value());
    }
  }
  void RunFor(core::Duration duration) {
    Timer timer(m_loop, [this] { m_loop.Stop(); });
    timer.Set(duration);
    m_loop.Run();
  }
  template <class Condition>
  void RunUntil(Condition condition) {
    const core::Time end = Now() + kWaitTimeout;
    while (!condition() && Now() < end) {
      RunFor(milliseconds(1));
    }
    CHECK(condition());
  }
  void Ask(std::size_t ingress, std::uint64_t attempt) {
    m_ingresses[ingress]->SendAttempt(
        kLinkAddress, {core::AttemptId{attempt},
                       {.m_service = "land", .m_time_left = kWaitTimeout},
                       {"POST", "/export", {}, {}}});
  }
  /// Sends attempts first, first + 1, ... in turns from `ingresses` ingresses,
  /// the first of which is `from`, and runs until the gate has them.
  void AskForLarge(std::uint64_t first, std::size_t count, std::size_t from,
                   std::size_t ingresses) {
    for (std::uint64_t id = first; id < first + count; ++id) {
      Ask(from + id % ingresses, id);
    }
    const std::size_t expected = m_asked.size() + count;
    RunUntil([&] { return m_asked.size() >= expected; });
  }
  void Reply(std::uint64_t attempt, std::size_t bytes,
             const SendTerms& terms = {}) {
    m_gate->Reply(m_asked.at(core::AttemptId{attempt}),
                  {.m_attempt = core::AttemptId{attempt},
                   .m_outcome = core::Outcome::kAnswered,
                   .m_response = {200, {}, Body(attempt, bytes)}},
                  terms);
  }
  static std::string Body(std::uint64_t attempt, std::size_t bytes) {
    std::string body(bytes, static_cast<char>('a' + attempt % 26));
    body.back() = '.';
    return body;
  }
  bool HasArrived(std::uint64_t attempt) const {
    return m_answers.contains(core::AttemptId{attempt});
  }
  void RunUntilArrived(std::uint64_t first, std::size_t count) {
    RunUntil([&] {
      for (std::uint64_t id = first; id < first + count; ++id) {
        if (!HasArrived(id)) {
          return false;
        }
      }
      return true;
    });
    for (std::uint64_t id = first; id < first + count; ++id) {
      CHECK(m_answers.at(core::AttemptId{id}).m_body == Body(id, kLargeBytes));
    }
  }

  EventLoop m_loop;
  std::map<core::AttemptId, PeerConnectionId> m_asked;
  std::map<core::AttemptId, Answer> m_answers;
  int m_messages = 0;
  std::unique_ptr<PeerTransport> m_gate;
  std::unique_ptr<ThinLink> m_link;
  std::vector<std::unique_ptr<PeerTransport>> m_ingresses;
};

// Guards against short answers that wait for all the large ones which the gate
// has given to its other connections, as these share the VM's link.
TEST(ThinLink, AShortAnswerDoesNotWaitForLargeOnesToOtherPeers) {
  constexpr std::uint64_t short_attempt = 100;
  constexpr core::Duration aim = milliseconds(120);
  AskForLarge(0, kLargeAnswers, 0, kIngresses - 1);
  for (std::uint64_t id = 0; id < kLargeAnswers; ++id) {
    Reply(id, kLargeBytes);
  }
  RunFor(milliseconds(50));

  const core::Time start = Now();
  Ask(kIngresses - 1, short_attempt);
  RunUntil([&] { return m_asked.contains(core::AttemptId{short_attempt}); });
  Reply(short_attempt, kShortBytes);
  RunUntil([&] { return HasArrived(short_attempt); });
  const Answer& answer = m_answers.at(core::AttemptId{short_attempt});
  CHECK(answer.m_body == Body(short_attempt, kShortBytes));
  RunUntilArrived(0, kLargeAnswers);
  CHECK_COMPARE(Milliseconds(answer.m_at - start), <=, Milliseconds(aim));
}

// Guards against a peer that reads nothing and holds bytes of the window that
// all peers share, so that answers to the others stay behind.
TEST(ThinLink, APeerThatReadsNothingDoesNotKeepOthersWaiting) {
  constexpr std::size_t answers = kLargeAnswers / 2;
  constexpr core::Duration slack = std::chrono::seconds(1);
  AskForLarge(0, answers, 0, 1);
  m_link->StallConnections();
  AskForLarge(answers, answers, 1, kIngresses - 1);
  const core::Time start = Now();
  for (std::uint64_t id = 0; id < 2 * answers; ++id) {
    Reply(id, kLargeBytes);
  }
  RunUntilArrived(answers, answers);
  CHECK_COMPARE(Milliseconds(Now() - start), <=,
                Milliseconds(TransmissionTime(answers * kLargeBytes) + slack));
  CHECK_FALSE(HasArrived(0));
}

// Guards against a link that carries answers whose callers have left, while
// those that are awaited stand behind them.
TEST(ThinLink, ACancelledAnswerIsNotSentToItsEnd) {
  constexpr std::size_t cancelled = 15;
  constexpr std::size_t kept = kLargeAnswers - cancelled;
  constexpr std::size_t under_way = 100'000;
  constexpr core::Duration slack = milliseconds(100);
  AskForLarge(0, kLargeAnswers, 0, kIngresses);
  const core::Time replied = Now();
  for (std::uint64_t id = 0; id < kLargeAnswers; ++id) {
    Reply(id, kLargeBytes);
  }
  RunFor(milliseconds(50));
  const core::Time start = Now();
  for (std::uint64_t id = 0; id < cancelled; ++id) {
    m_ingresses[id % kIngresses]->Cancel(kLinkAddress, core::AttemptId{id});
  }
  RunUntilArrived(cancelled, kept);
  const core::Time end = Now();
  RunFor(milliseconds(300));
  CHECK_COMPARE(
      Milliseconds(end - start), <=,
      Milliseconds(TransmissionTime(kept * kLargeBytes + under_way) + slack));
  const auto sent_before =
      static_cast<std::size_t>(Seconds(start - replied) * kBytesPerSecond);
  CHECK_COMPARE(m_link->received(), <=,
                kept * kLargeBytes + sent_before + under_way);
}

// Guards against a caller that waits until its deadline for an answer of which
// the gate knows that it cannot arrive by then.
TEST(ThinLink, AnAnswerThatCannotArriveInTimeIsGivenUpAtOnce) {
  constexpr core::Duration time_left = milliseconds(1000);
  AskForLarge(0, kLargeAnswers, 0, kIngresses);
  const core::Time start = Now();
  for (std::uint64_t id = 0; id < kLargeAnswers; ++id) {
    Reply(id, kLargeBytes, {.m_deadline = start + time_left});
  }
  RunUntil([&] { return m_answers.size() == kLargeAnswers; });
  std::size_t delivered = 0;
  core::Time first_given_up = core::kNever;
  for (const auto& [id, answer] : m_answers) {
    CHECK(answer.m_at < start + time_left + milliseconds(100));
    if (answer.m_outcome == core::Outcome::kAnswered) {
      ++delivered;
      continue;
    }
    CHECK(answer.m_outcome == core::Outcome::kUnknown);
    first_given_up = std::min(first_given_up, answer.m_at);
  }
  CHECK(first_given_up < start + time_left / 2);
  CHECK_COMPARE(
      delivered * kLargeBytes, >=,
      static_cast<std::size_t>(0.7 * Seconds(time_left) * kBytesPerSecond));
}

// Guards against a process that ends while its last large answer is under way:
// acknowledgements at a closed connection would cost the peer the rest.
TEST(ThinLink, AnAnswerCountsAsSentOnceItHasArrived) {
  AskForLarge(0, 1, 0, 1);
  Reply(0, kLargeBytes);
  RunUntil([&] {
    return m_gate->unsent_bytes() + m_gate->unacknowledged_bytes(Now()) == 0;
  });
  CHECK(HasArrived(0));
}

// Guards against a configuration that waits for the end of an overload.
TEST(ThinLink, AConfigurationGoesBeforeAnswers) {
  constexpr std::size_t bytes = 40'000;
  AskForLarge(0, kLargeAnswers, 0, kIngresses);
  for (std::uint64_t id = 0; id < kLargeAnswers; ++id) {
    Reply(id, kLargeBytes, {.m_deadline = Now() + kWaitTimeout});
  }
  m_gate->Send({"127.0.0.1", kFirstIngressPort},
               core::PeerMessage(core::OperatorUpdate{
                   .m_configuration = std::string(bytes, 'x')}));
  const core::Time start = Now();
  RunUntil([&] { return m_messages == 1; });
  CHECK(Now() - start < TransmissionTime(kLargeAnswers * kLargeBytes) / 2);
}

}  // namespace figlug::runtime
