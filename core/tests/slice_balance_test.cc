#include <algorithm>
#include <map>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "figlug/core/slice_balance.h"

namespace figlug::core {
namespace {

constexpr MemberId kOwn{1};
constexpr MemberId kIdle{2};
constexpr MemberId kBusy{3};

MemberUtilization Use(MemberId member, double use, int service_ms) {
  return {member, use, std::chrono::milliseconds(service_ms)};
}

}  // namespace

TEST_GROUP(SliceBalance){};

TEST(SliceBalance, ABalancedServiceStaysAsItIs) {
  const std::map<SliceIndex, double> work = {{1, 10}, {2, 10}};
  const std::vector<MemberUtilization> others = {Use(kIdle, 0.6, 100)};
  CHECK(ChooseSliceMove(Use(kOwn, 0.7, 100), work, others).m_slices.empty());
}

TEST(SliceBalance, SlicesGoToTheLeastBusyMember) {
  const std::map<SliceIndex, double> work = {{1, 10}, {2, 10}, {3, 10}};
  const std::vector<MemberUtilization> others = {Use(kBusy, 0.9, 100),
                                                 Use(kIdle, 0.1, 100)};
  const SliceMove move = ChooseSliceMove(Use(kOwn, 1.5, 100), work, others);
  CHECK(move.m_to == kIdle);
  CHECK_FALSE(move.m_slices.empty());
  CHECK(move.m_slices.size() < 3);
}

// The load of one hot key: its slice cannot be divided, so the others leave.
TEST(SliceBalance, NeighboursLeaveAHotSliceOnATargetThatIsAsFast) {
  const std::map<SliceIndex, double> work = {{1, 80}, {2, 10}, {3, 10}};
  const std::vector<MemberUtilization> others = {Use(kIdle, 0.6, 100)};
  SliceMove move = ChooseSliceMove(Use(kOwn, 1.2, 100), work, others);
  std::ranges::sort(move.m_slices);
  CHECK((move.m_slices == std::vector<SliceIndex>{2, 3}));
}

// The load of one hot key on a slow target.
TEST(SliceBalance, AHotSliceLeavesASlowTarget) {
  const std::map<SliceIndex, double> work = {{1, 80}, {2, 10}, {3, 10}};
  const std::vector<MemberUtilization> others = {Use(kIdle, 0.2, 100)};
  const SliceMove move = ChooseSliceMove(Use(kOwn, 1.2, 300), work, others);
  CHECK(!move.m_slices.empty() && move.m_slices.front() == 1);
}

TEST(SliceBalance, OldWorkIsForgotten) {
  SliceWorkTracker work;
  const Time start{std::chrono::seconds(10)};
  work.Add(start, 7, std::chrono::milliseconds(100));
  LONGS_EQUAL(1, work.Recent(start).size());
  CHECK(work.Recent(start + std::chrono::seconds(60)).empty());
}

}  // namespace figlug::core
