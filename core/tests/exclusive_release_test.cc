// Slices that change owners before it is certain that nobody holds keys by
// records that a restored log has lost.

#include <CppUTest/TestHarness.h>

#include "figlug/core/ownership.h"

namespace figlug::core {
namespace {

constexpr MemberId kOldOwner{1};
constexpr MemberId kNewOwner{2};
constexpr SliceIndex kSlice = 0;
constexpr Time kNow{std::chrono::seconds(100)};
constexpr WallTime kWall{std::chrono::seconds(1000)};

Service WithOwner(MemberId owner,
                  Position epoch,
                  std::vector<PreviousHolder> previous = {}) {
  Service service{"orders", std::vector<Slice>(1)};
  service.m_slices[kSlice] = {.m_owner = owner,
                              .m_epoch = epoch,
                              .m_previous_holders = std::move(previous)};
  return service;
}

/// \brief Applies a state as after one record.
void Apply(Ownership& ownership, const Service& service) {
  ownership.OnRecordApplied(kNow, kWall, service, Duration::zero());
}

}  // namespace

TEST_GROUP(ExclusiveRelease) {
  Service m_before = WithOwner(kOldOwner, MakePosition(1, 10));
  Service m_after = WithOwner(kOldOwner, MakePosition(2, 11));
  Service m_moved = WithOwner(kNewOwner, MakePosition(2, 12),
                              {{kOldOwner, MakePosition(2, 12)}});
  Ownership m_old{kOldOwner};
  Ownership m_new{kNewOwner};

  void setup() override {
    for (Ownership* ownership : {&m_old, &m_new}) {
      Apply(*ownership, m_before);
    }
  }
  void Restore(bool is_lease_valid) {
    for (Ownership* ownership : {&m_old, &m_new}) {
      ownership->OnRestored(kNow, &m_before, is_lease_valid);
      ownership->set_may_have_unknown_holders(true);
      Apply(*ownership, m_after);
    }
  }
  void Release() {
    for (Ownership* ownership : {&m_old, &m_new}) {
      Apply(*ownership, m_moved);
    }
    m_new.OnRelease(
        {kOldOwner, MakePosition(2, 12), {m_old.MakeRelease(kSlice)}});
  }
};

// Guards against keys that nobody serves for seconds because they moved soon
// after the log was restored.
TEST(ExclusiveRelease, ASliceReleasedByAContinuousOwnerIsReadyAtOnce) {
  Restore(true);
  CHECK(m_old.StatusOf(kNow, kSlice) == SliceStatus::kReady);
  Release();
  CHECK(m_old.StatusOf(kNow, kSlice) == SliceStatus::kNotOwner);
  CHECK(m_new.StatusOf(kNow, kSlice) == SliceStatus::kReady);
}

// Guards against two owners: one by the release, one by lost records.
TEST(ExclusiveRelease, ASliceReleasedByAnotherOwnerWaitsUntilTheEraIsSettled) {
  Restore(false);
  CHECK(m_old.StatusOf(kNow, kSlice) == SliceStatus::kWaiting);
  Release();
  CHECK(m_new.StatusOf(kNow, kSlice) == SliceStatus::kWaiting);
  m_new.set_may_have_unknown_holders(false);
  CHECK(m_new.StatusOf(kNow, kSlice) == SliceStatus::kReady);
}

// The knowledge ends with the ownership: a slice that comes back may have been
// held by somebody else in between.
TEST(ExclusiveRelease, ASliceThatComesBackNeedsAReleaseOfItsOwn) {
  Restore(true);
  Release();
  Apply(m_old, WithOwner(kOldOwner, MakePosition(2, 13),
                         {{kNewOwner, MakePosition(2, 13)}}));
  CHECK(m_old.StatusOf(kNow, kSlice) == SliceStatus::kWaiting);
}

// A release that was decided before the records of this epoch proves nothing.
TEST(ExclusiveRelease, AnEarlierReleaseDoesNotCount) {
  Restore(true);
  for (Ownership* ownership : {&m_old, &m_new}) {
    Apply(*ownership, m_moved);
  }
  m_new.OnRelease(
      {kOldOwner, MakePosition(2, 11), {m_old.MakeRelease(kSlice)}});
  CHECK(m_new.StatusOf(kNow, kSlice) == SliceStatus::kWaiting);
}

}  // namespace figlug::core
