#include "figlug/core/buffer_pool.h"

#include <iterator>
#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

namespace figlug::core {
namespace {

constexpr std::size_t kLimit = 1000;

BufferId OpenWith(BufferPool& pool, BufferKind kind, std::size_t bytes) {
  const BufferId id = pool.Open(kind);
  CHECK_FALSE(pool.Resize(id, bytes).has_value());
  return id;
}

}  // namespace

TEST_GROUP(BufferPool){};

// Guards against a message without end that costs other connections theirs.
TEST(BufferPool, TheLargestArrivingMessageIsDiscarded) {
  BufferPool pool(kLimit);
  const BufferId endless = OpenWith(pool, BufferKind::kArriving, 700);
  const BufferId small = OpenWith(pool, BufferKind::kArriving, 200);
  CHECK_FALSE(pool.Resize(endless, 800).has_value());
  CHECK(pool.Resize(small, 201) == endless);
  LONGS_EQUAL(201, pool.used());
  LONGS_EQUAL(1, pool.discarded());
  CHECK_FALSE(pool.Resize(endless, kLimit).has_value());
  LONGS_EQUAL(201, pool.used());
}

TEST(BufferPool, AMessageThatGrowsBeyondTheLimitIsDiscardedItself) {
  BufferPool pool(kLimit);
  const BufferId id = OpenWith(pool, BufferKind::kArriving, kLimit);
  CHECK(pool.Resize(id, kLimit + 1) == id);
  LONGS_EQUAL(0, pool.used());
}

// Guards against losing messages that are in use.
TEST(BufferPool, HeldMessagesAreNotDiscarded) {
  BufferPool pool(kLimit);
  const BufferId held = OpenWith(pool, BufferKind::kHeld, 900);
  const BufferId arriving = OpenWith(pool, BufferKind::kArriving, 100);
  CHECK(pool.Resize(held, 901) == arriving);
  CHECK_FALSE(pool.Resize(held, 2 * kLimit).has_value());
  LONGS_EQUAL(2 * kLimit, pool.used());
}

// Guards against requests that leave no room for the responses to others.
TEST(BufferPool, RequestsMayHoldHalfOfTheLimit) {
  BufferPool pool(kLimit);
  CHECK(pool.Admits(500));
  CHECK_FALSE(pool.Admits(501));
  const BufferId held = OpenWith(pool, BufferKind::kHeld, 400);
  const BufferId arriving = OpenWith(pool, BufferKind::kArriving, 600);
  CHECK(pool.Admits(100));
  CHECK_FALSE(pool.Admits(101));
  pool.Close(arriving);
  pool.Close(held);
  CHECK(pool.Admits(500));
}

TEST(BufferPool, ArrivingMessagesNeverExceedTheLimit) {
  constexpr int steps = 20'000;
  constexpr std::size_t max_bytes = 300;
  constexpr std::size_t buffers = 12;
  std::mt19937 random(31);
  BufferPool pool(kLimit);
  std::map<BufferId, std::size_t> sizes;
  for (int step = 0; step < steps; ++step) {
    if (sizes.size() < buffers) {
      sizes[pool.Open(BufferKind::kArriving)] = 0;
    }
    auto it = std::next(sizes.begin(),
                        static_cast<std::ptrdiff_t>(random() % sizes.size()));
    if (random() % 8 == 0) {
      pool.Close(it->first);
      sizes.erase(it);
    } else {
      it->second = random() % max_bytes;
      if (const auto discarded = pool.Resize(it->first, it->second)) {
        sizes.erase(*discarded);
      }
    }
    std::size_t sum = 0;
    for (const auto& [id, bytes] : sizes) {
      sum += bytes;
    }
    LONGS_EQUAL(sum, pool.used());
    CHECK(sum <= kLimit);
  }
}

}  // namespace figlug::core
