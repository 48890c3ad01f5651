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

MemberUtilization Utilization(MemberId member,
                              double utilization,
                              int service_ms) {
  return {member, utilization, std::chrono::milliseconds(service_ms)};
}

}  // namespace

TEST_GROUP(SliceBalance){};

TEST(SliceBalance, ABalancedServiceMovesNoSlices) {
  const std::map<SliceIndex, double> work = {{1, 10}, {2, 10}};
  const std::vector<MemberUtilization> others = {Utilization(kIdle, 0.6, 100)};
  CHECK(ChooseSliceMove(Utilization(kOwn, 0.7, 100), work, others)
            .m_slices.empty());
}

TEST(SliceBalance, SlicesMoveToTheLeastUtilizedMember) {
  const std::map<SliceIndex, double> work = {{1, 10}, {2, 10}, {3, 10}};
  const std::vector<MemberUtilization> others = {Utilization(kBusy, 0.9, 100),
                                                 Utilization(kIdle, 0.1, 100)};
  const SliceMove move =
      ChooseSliceMove(Utilization(kOwn, 1.5, 100), work, others);
  CHECK(move.m_to == kIdle);
  CHECK_FALSE(move.m_slices.empty());
  CHECK(move.m_slices.size() < 3);
}

// Load on one hot key: its slice cannot be split, and no target is faster, so
// the owner's other slices move.
TEST(SliceBalance, OtherSlicesMoveIfNoTargetIsFaster) {
  const std::map<SliceIndex, double> work = {{1, 80}, {2, 10}, {3, 10}};
  const std::vector<MemberUtilization> others = {Utilization(kIdle, 0.6, 100)};
  SliceMove move = ChooseSliceMove(Utilization(kOwn, 1.2, 100), work, others);
  std::ranges::sort(move.m_slices);
  CHECK((move.m_slices == std::vector<SliceIndex>{2, 3}));
}

// Load on one hot key while a faster target is available.
TEST(SliceBalance, AHotSliceMovesToAFasterTarget) {
  const std::map<SliceIndex, double> work = {{1, 80}, {2, 10}, {3, 10}};
  const std::vector<MemberUtilization> others = {Utilization(kIdle, 0.2, 100)};
  const SliceMove move =
      ChooseSliceMove(Utilization(kOwn, 1.2, 300), work, others);
  CHECK(!move.m_slices.empty() && move.m_slices.front() == 1);
}

TEST(SliceBalance, OldWorkDecays) {
  SliceWorkTracker work;
  const Time start{std::chrono::seconds(10)};
  work.Add(start, 7, std::chrono::milliseconds(100));
  LONGS_EQUAL(1, work.Recent(start).size());
  CHECK(work.Recent(start + std::chrono::seconds(60)).empty());
}

}  // namespace figlug::core
