// The scheduler in front of a simulated first-in-first-out link, which short
// messages use directly.

#include "figlug/core/link/link_scheduler.h"

#include <algorithm>
#include <deque>
#include <tuple>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace figlug::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kTenMegabits = 1.25e6;
constexpr Duration kShortRoundTrip = milliseconds(2);
constexpr std::size_t kLargeBytes = 90'000;
constexpr std::size_t kShortBytes = 400;
constexpr Duration kShortInterval = milliseconds(20);
constexpr Duration kStep{100};

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

struct SimulatedLink {
  struct Message {
    Time m_sent;
    double m_left = 0;
    /// None for short messages.
    LinkPeerId m_peer{0};
  };
  struct Ack {
    Time m_at;
    LinkPeerId m_peer{0};
  };
  struct Wait {
    Time m_sent;
    Duration m_length{};
  };

  LinkPeerId PeerOf(TransferId id) const {
    return LinkPeerId{1 + static_cast<std::uint64_t>(id) % m_peers};
  }
  void Add(std::size_t bytes) {
    const TransferId id{++m_last_id};
    m_peer_of.push_back(PeerOf(id));
    m_scheduler.Add(id, {.m_peer = m_peer_of.back(),
                         .m_bytes = bytes,
                         .m_deadline = m_now + m_time_left});
  }
  void RunFor(Duration duration) {
    for (const Time end = m_now + duration; m_now < end; m_now += kStep) {
      m_offered += m_load * m_rate * Seconds(kStep);
      for (; m_offered >= kLargeBytes; m_offered -= kLargeBytes) {
        Add(kLargeBytes);
      }
      if (m_now >= m_next_short) {
        m_queue.push_back({m_now, kShortBytes});
        m_next_short += kShortInterval;
      }
      Carry();
      for (; !m_acks.empty() && m_acks.front().m_at <= m_now;
           m_acks.pop_front()) {
        m_scheduler.OnAck(m_now, m_acks.front().m_peer);
      }
      std::ignore = m_scheduler.TakeExpired(m_now);
      while (const auto fragment = m_scheduler.Next(m_now)) {
        m_queue.push_back(
            {m_now, static_cast<double>(fragment->m_bytes),
             m_peer_of[static_cast<std::size_t>(fragment->m_transfer) - 1]});
      }
      m_spins += m_scheduler.NextDeadline() <= m_now ? 1 : 0;
      m_empty_at = IsEmpty() ? m_now : m_empty_at;
    }
  }
  void Carry() {
    double budget = m_rate * Seconds(kStep);
    while (!m_queue.empty() && budget > 0) {
      Message& message = m_queue.front();
      const double bytes = std::min(budget, message.m_left);
      budget -= bytes;
      m_carried += message.m_peer == LinkPeerId{0} ? 0 : bytes;
      message.m_left -= bytes;
      if (message.m_left > 0) {
        return;
      }
      if (message.m_peer == LinkPeerId{0}) {
        m_waits.push_back({message.m_sent, m_now - message.m_sent});
      } else if (message.m_peer == m_stalled) {
        ++m_held_acks;
      } else {
        m_acks.push_back({m_now + m_round_trip, message.m_peer});
      }
      m_queue.pop_front();
    }
  }
  /// The stalled peer goes on and acknowledges all that it got meanwhile.
  void Resume() {
    for (; m_held_acks > 0; --m_held_acks) {
      m_acks.push_front({m_now, m_stalled});
    }
    m_stalled = LinkPeerId{0};
  }
  bool IsEmpty() const {
    return m_scheduler.Load(m_now).m_queued_bytes == 0 &&
           m_scheduler.in_flight() == 0;
  }
  /// The longest wait of a short message sent from then on, in ms.
  std::int64_t LongestWaitSince(Time start) const {
    Duration longest{};
    for (const Wait& wait : m_waits) {
      longest =
          wait.m_sent >= start ? std::max(longest, wait.m_length) : longest;
    }
    for (const Message& message : m_queue) {
      if (message.m_peer == LinkPeerId{0} && message.m_sent >= start) {
        longest = std::max(longest, m_now - message.m_sent);
      }
    }
    return std::chrono::duration_cast<milliseconds>(longest).count();
  }
  /// Share of the link's rate that is used in the given time.
  double UseFor(Duration duration) {
    const double before = m_carried;
    RunFor(duration);
    return (m_carried - before) / (m_rate * Seconds(duration));
  }

  double m_rate = kTenMegabits;
  Duration m_round_trip = kShortRoundTrip;
  /// Large transfers, as a multiple of the rate.
  double m_load = 0;
  std::uint64_t m_peers = 4;
  Duration m_time_left = seconds(1);
  /// Acknowledges nothing.
  LinkPeerId m_stalled{0};

  LinkScheduler m_scheduler;
  Time m_now{};
  double m_offered = 0;
  double m_carried = 0;
  std::uint64_t m_last_id = 0;
  /// By the number of the transfer, from 1.
  std::vector<LinkPeerId> m_peer_of;
  std::deque<Message> m_queue;
  std::deque<Ack> m_acks;
  std::size_t m_held_acks = 0;
  /// Times at which a deadline was left in the past.
  std::size_t m_spins = 0;
  std::vector<Wait> m_waits;
  Time m_next_short{};
  Time m_empty_at{};
};

}  // namespace

TEST_GROUP(LinkScheduler) {
  void CheckUse(Duration duration) {
    const double use = m_link.UseFor(duration);
    CHECK_COMPARE(use, >=, 0.8);
  }

  SimulatedLink m_link;
};

// Guards against a queue in the link that grows with time, or with peers that
// come while it is full and take its queueing for their usual round trip.
TEST(LinkScheduler, AShortMessageWaitsLittleUnderOverload) {
  const auto check = [&](Duration round_trip, std::uint64_t peers,
                         std::uint64_t added) {
    m_link = {};
    m_link.m_round_trip = round_trip;
    m_link.m_load = 1.5;
    m_link.m_peers = peers;
    for (int i = 0; i < 4; ++i, m_link.m_peers += added) {
      m_link.RunFor(seconds(1));
      const Time start = m_link.m_now;
      m_link.RunFor(seconds(20));
      CHECK_COMPARE(m_link.LongestWaitSince(start), <=, 60);
    }
  };
  check(milliseconds(2), 4, 4);
  check(milliseconds(2), 20, 0);
  check(milliseconds(16), 4, 8);
}

// Guards against a state that outlives the overload which caused it.
TEST(LinkScheduler, DelaysAreBackSoonAfterAnOverload) {
  m_link.m_load = 0.5;
  m_link.RunFor(seconds(1));
  const Time before = m_link.m_now;
  m_link.RunFor(seconds(3));
  const std::int64_t usual_wait = m_link.LongestWaitSince(before);
  m_link.m_load = 1.5;
  m_link.RunFor(seconds(5));
  m_link.m_load = 0.5;
  const Time over = m_link.m_now;
  m_link.RunFor(seconds(2));
  CHECK(m_link.m_empty_at > over);
  const Time after = m_link.m_now;
  m_link.RunFor(seconds(3));
  CHECK_COMPARE(m_link.LongestWaitSince(after), <=, usual_wait);
}

// Guards against a window that stays at what the link carried before, or at
// what it carried while it was slow.
TEST(LinkScheduler, TheWindowFollowsTheRateOfTheLink) {
  m_link.m_load = 1.5;
  m_link.RunFor(seconds(5));
  m_link.m_rate = kTenMegabits / 5;
  m_link.m_load = 1.5 * 5;
  m_link.RunFor(seconds(1));
  const Time slow = m_link.m_now;
  m_link.RunFor(seconds(2));
  CHECK_COMPARE(m_link.LongestWaitSince(slow), <, 250);
  m_link.m_rate = kTenMegabits;
  m_link.m_load = 1.5;
  m_link.RunFor(seconds(2));
  CheckUse(seconds(1));
}

// Guards against fragments that nobody acknowledges and that fill the window,
// and against bytes that are counted wrongly once the peer goes on.
TEST(LinkScheduler, AStalledPeerDoesNotKeepOthersBack) {
  m_link.m_load = 1.5;
  m_link.RunFor(seconds(1));
  m_link.m_stalled = LinkPeerId{1};
  m_link.RunFor(seconds(1));
  CheckUse(seconds(5));
  m_link.Resume();
  CheckUse(seconds(5));
  m_link.m_load = 0;
  m_link.RunFor(seconds(3));
  CHECK(m_link.IsEmpty());
}

// Guards against a rate that is taken from a time in which the link stood
// still, by which work is refused once it is back.
TEST(LinkScheduler, ATimeWithoutALinkIsNotMeasured) {
  m_link.m_peers = 1;
  m_link.m_load = 1.5;
  m_link.m_time_left = seconds(2);
  m_link.RunFor(seconds(2));
  m_link.m_stalled = LinkPeerId{1};
  m_link.RunFor(seconds(4));
  m_link.Resume();
  for (int i = 0; i < 20; ++i) {
    m_link.RunFor(milliseconds(100));
    const double rate =
        m_link.m_scheduler.Load(m_link.m_now).m_bytes_per_second;
    CHECK(rate == 0 || rate >= 0.5 * kTenMegabits);
  }
}

// Guards against a timer that expires again at once, for as long as a peer
// acknowledges nothing or a deadline lies between two reviews.
TEST(LinkScheduler, NoDeadlineIsLeftInThePast) {
  for (int offset_ms = 250; offset_ms <= 390; offset_ms += 10) {
    m_link = {};
    m_link.m_peers = 1;
    m_link.m_load = 1.5;
    m_link.RunFor(seconds(1));
    m_link.m_load = 0;
    m_link.RunFor(seconds(20));
    m_link.m_stalled = LinkPeerId{1};
    m_link.m_time_left = seconds(30);
    m_link.Add(kShortBytes);
    m_link.RunFor(milliseconds(offset_ms));
    m_link.Add(kLargeBytes);
    m_link.RunFor(seconds(1));
    LONGS_EQUAL(0, m_link.m_spins);
  }
}

// Guards against acknowledgements that come together after a pause and pass for
// short round trips, beside which all later ones seem to have queued.
TEST(LinkScheduler, APauseDoesNotMakeAPeerLookNear) {
  m_link.m_rate = 10 * kTenMegabits;
  m_link.m_round_trip = milliseconds(60);
  m_link.m_peers = 1;
  m_link.m_load = 1.5;
  m_link.RunFor(seconds(1));
  const std::size_t window = m_link.m_scheduler.window();
  m_link.m_stalled = LinkPeerId{1};
  m_link.RunFor(seconds(1));
  m_link.Resume();
  m_link.RunFor(seconds(2));
  CHECK_COMPARE(m_link.m_scheduler.window(), >=, window);
}

// Guards against answers that are sent although nobody can use them any more,
// while useful ones wait.
TEST(LinkScheduler,
     OrderIsByPriorityThenDeadlineAndExpiredOnesAreReturnedOnce) {
  LinkScheduler scheduler;
  const Time now{};
  const LinkPeerId peer{1};
  const auto add = [&](std::uint64_t id, std::uint32_t priority, int deadline) {
    scheduler.Add(TransferId{id}, {.m_peer = peer,
                                   .m_bytes = kFragmentBytes + 1,
                                   .m_priority = priority,
                                   .m_deadline = now + seconds(deadline)});
  };
  add(1, 2, 1);
  add(2, 1, 9);
  add(3, 1, 5);
  add(4, 1, 2);
  CHECK(scheduler.TakeExpired(now + seconds(2)) ==
        (std::vector{TransferId{1}, TransferId{4}}));
  CHECK(scheduler.TakeExpired(now + seconds(2)).empty());
  add(5, 2, 3);
  std::vector<std::pair<TransferId, bool>> sent;
  while (const auto fragment = scheduler.Next(now)) {
    sent.emplace_back(fragment->m_transfer, fragment->m_is_last);
    scheduler.OnAck(now, peer);
  }
  CHECK(sent ==
        (std::vector<std::pair<TransferId, bool>>{{TransferId{3}, false},
                                                  {TransferId{3}, true},
                                                  {TransferId{2}, false},
                                                  {TransferId{2}, true},
                                                  {TransferId{5}, false},
                                                  {TransferId{5}, true}}));
}

// Guards against bytes that count for ever, so that the window is never free
// again or answers are refused for a queue that does not exist.
TEST(LinkScheduler, RemovedTransfersAndClosedPeersLeaveNothingCounted) {
  m_link.m_time_left = seconds(100);
  for (int i = 0; i < 12; ++i) {
    m_link.Add(kLargeBytes);
  }
  m_link.RunFor(milliseconds(50));
  m_link.m_stalled = LinkPeerId{1};
  m_link.RunFor(seconds(1));
  m_link.m_scheduler.Remove(TransferId{12});
  m_link.m_scheduler.Remove(TransferId{4});
  m_link.m_scheduler.OnClosed(LinkPeerId{1});
  m_link.m_scheduler.OnClosed(LinkPeerId{2});
  m_link.RunFor(seconds(2));
  CHECK(m_link.IsEmpty());
}

// Guards against a window that is too small for a fast and long link.
TEST(LinkScheduler, AFastLinkIsUsed) {
  m_link.m_rate = 25e6;
  m_link.m_round_trip = milliseconds(16);
  m_link.m_load = 1.5;
  m_link.RunFor(seconds(2));
  CheckUse(seconds(1));
}

// Guards against admission by a rate that is wrong or out of date.
TEST(LinkScheduler, TheRateIsKnownUnderSaturationAndForgottenAfterwards) {
  m_link.m_load = 1.5;
  for (int second = 0; second < 10; ++second) {
    m_link.RunFor(seconds(1));
    DOUBLES_EQUAL(kTenMegabits,
                  m_link.m_scheduler.Load(m_link.m_now).m_bytes_per_second,
                  kTenMegabits / 5);
  }
  m_link.m_load = 0;
  m_link.RunFor(seconds(5));
  DOUBLES_EQUAL(0, m_link.m_scheduler.Load(m_link.m_now).m_bytes_per_second, 0);
}

}  // namespace figlug::core
