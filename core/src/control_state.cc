#include "figlug/core/control_state.h"

#include <algorithm>

#include <xxhash.h>

#include "figlug/core/assignment.h"

namespace figlug::core {
namespace {

constexpr ApplyResult kApplied{.m_applied = true};

constexpr ApplyResult Void(RejectReason reason) {
  return {.m_applied = false, .m_reason = reason};
}

// A record for which nobody has been removed yet takes the slice from its
// owner; the new owner waits until each prior holder has let go.
void TakeSlice(Slice& slice, MemberId to, Offset offset) {
  if (slice.m_owner != kNoMember) {
    std::erase_if(slice.m_previous_holders, [&](const PreviousHolder& prior) {
      return prior.m_member == slice.m_owner;
    });
    slice.m_previous_holders.push_back({slice.m_owner, offset});
  }
  slice.m_owner = to;
  slice.m_epoch = offset;
}

bool Holds(const Slice& slice, MemberId id) {
  return slice.m_owner == id ||
         std::ranges::any_of(
             slice.m_previous_holders,
             [&](const PreviousHolder& prior) { return prior.m_member == id; });
}

void DropHolder(Slice& slice, MemberId id) {
  std::erase_if(slice.m_previous_holders, [&](const PreviousHolder& prior) {
    return prior.m_member == id;
  });
  if (slice.m_owner == id) {
    slice.m_owner = kNoMember;
  }
}

bool HasMajority(std::size_t votes, std::size_t watchers) {
  return votes * 2 > watchers;
}

}  // namespace

SliceIndex SliceOf(std::string_view key) noexcept {
  return static_cast<SliceIndex>(XXH3_64bits(key.data(), key.size()) %
                                 kSlicesPerService);
}

SliceIndex SliceOfNumber(std::uint32_t key, SliceIndex slices) noexcept {
  return static_cast<SliceIndex>(std::uint64_t{key} * slices / kKeySpaceSize);
}

std::uint32_t FirstKeyOf(SliceIndex slice, SliceIndex slices) noexcept {
  return static_cast<std::uint32_t>(
      (std::uint64_t{slice} * kKeySpaceSize + slices - 1) / slices);
}

std::size_t CountSliceRanges(const Service& service, MemberId owner) {
  std::size_t runs = 0;
  const Slice* last = nullptr;
  for (const Slice& slice : service.m_slices) {
    const bool goes_on = last != nullptr && last->m_owner == owner &&
                         last->m_epoch == slice.m_epoch;
    runs += slice.m_owner == owner && !goes_on ? 1 : 0;
    last = &slice;
  }
  return runs;
}

ApplyResult ControlState::Apply(const LogEntry& entry) {
  m_next = entry.m_offset + 1;
  if (!Remember(entry.m_append_id)) {
    return Void(RejectReason::kDuplicate);
  }
  return std::visit(
      [&](const auto& record) { return Fold(entry.m_offset, record); },
      entry.m_record);
}

const Member* ControlState::FindMember(MemberId id) const noexcept {
  const auto it = m_members.find(id);
  return it == m_members.end() ? nullptr : &it->second;
}

const Service* ControlState::FindService(std::string_view name) const noexcept {
  const auto it = m_services.find(name);
  return it == m_services.end() ? nullptr : &it->second;
}

const VersionedProfile* ControlState::FindProfile(
    std::string_view name) const noexcept {
  const auto it = m_profiles.find(name);
  return it == m_profiles.end() ? nullptr : &it->second;
}

const Profile& ControlState::ProfileOf(std::string_view service) const {
  static const Profile fallback{.m_name = "default"};
  const Service* found = FindService(service);
  if (found == nullptr) {
    return fallback;
  }
  const VersionedProfile* profile = FindProfile(found->m_profile);
  return profile == nullptr ? fallback : profile->m_profile;
}

bool ControlState::IsExcluded(const MemberInfo& info) const {
  return m_exclusions.contains({ExclusionKind::kDomain, info.m_domain}) ||
         m_exclusions.contains({ExclusionKind::kTarget, info.m_target});
}

bool ControlState::IsEligible(const Member& member) const {
  return member.m_weight > 0 && !member.m_draining &&
         !IsExcluded(member.m_info) &&
         IsHomeRegion(ProfileOf(member.m_info.m_service),
                      member.m_info.m_region);
}

ControlState ControlState::FromSnapshot(Snapshot parts) {
  ControlState state;
  state.m_next = parts.m_next;
  state.m_members = std::move(parts.m_members);
  state.m_services = std::move(parts.m_services);
  state.m_profiles = std::move(parts.m_profiles);
  state.m_exclusions = std::move(parts.m_exclusions);
  state.m_exclusions_version = parts.m_exclusions_version;
  state.m_removed_watchers = std::move(parts.m_removed_watchers);
  state.m_recent_appends = std::move(parts.m_recent_appends);
  state.m_recent_append_set.insert(state.m_recent_appends.begin(),
                                   state.m_recent_appends.end());
  return state;
}

ApplyResult ControlState::Fold(Offset, const UnreadableRecord&) {
  return Void(RejectReason::kInvalid);
}

// A member that has just joined owns nothing: it has yet to hold a lease.
ApplyResult ControlState::Fold(Offset offset, const JoinRecord& record) {
  const MemberInfo& info = record.m_info;
  if (info.m_id == kNoMember || m_members.contains(info.m_id)) {
    return Void(RejectReason::kInvalid);
  }
  const Member* predecessor = FindPredecessor(info);
  if (predecessor != nullptr &&
      predecessor->m_info.m_target_born_ms > info.m_target_born_ms) {
    return Void(RejectReason::kStale);
  }
  Service& service = m_services[info.m_service];
  const bool is_first = std::ranges::none_of(m_members, [&](const auto& entry) {
    return entry.second.m_info.m_service == info.m_service;
  });
  const VersionedProfile* profile = FindProfile(info.m_profile);
  if (is_first || profile == nullptr ||
      !StartsSlicing(service.m_profile, profile->m_profile)) {
    service.m_profile = info.m_profile;
  }
  const SliceIndex slices = std::min(info.m_slice_count, kMostSlices);
  if (service.m_slices.size() < slices) {
    service.m_slices.resize(slices);
    ++m_slice_changes.m_count;
  }
  Member member{.m_info = info, .m_watchers = record.m_watchers};
  if (predecessor == nullptr) {
    m_members[info.m_id] = std::move(member);
    return kApplied;
  }
  return Succeed(offset, predecessor->m_info.m_id, std::move(member));
}

// An address has one process at a time, so the one that was there before has
// ended. Members that tell no start of their target have watchers for that.
const Member* ControlState::FindPredecessor(const MemberInfo& info) const {
  if (info.m_target_born_ms == 0) {
    return nullptr;
  }
  const auto it = std::ranges::find_if(m_members, [&](const auto& entry) {
    return entry.second.m_info.m_peer == info.m_peer &&
           entry.second.m_info.m_target_born_ms != 0;
  });
  return it == m_members.end() ? nullptr : &it->second;
}

// The same incarnation of a target keeps what it holds, with its fences. What a
// former incarnation had is free: a new one starts without any hold.
ApplyResult ControlState::Succeed(Offset offset, MemberId old, Member&& next) {
  const Member& predecessor = m_members.at(old);
  const bool is_same =
      predecessor.m_info.m_target == next.m_info.m_target &&
      predecessor.m_info.m_service == next.m_info.m_service &&
      predecessor.m_info.m_target_born_ms == next.m_info.m_target_born_ms;
  const MemberId id = next.m_info.m_id;
  if (!is_same) {
    m_members[id] = std::move(next);
    return Remove(offset, old);
  }
  next.m_weight = predecessor.m_weight;
  for (Slice& slice : m_services[next.m_info.m_service].m_slices) {
    if (slice.m_owner == old) {
      slice.m_owner = id;
    }
    for (PreviousHolder& prior : slice.m_previous_holders) {
      if (prior.m_member == old) {
        prior.m_member = id;
      }
    }
  }
  ++m_slice_changes.m_count;
  m_members[id] = std::move(next);
  m_members.erase(old);
  NoteGone(old, true);
  Reassign(offset, m_members.at(id).m_info.m_service);
  ApplyResult result = kApplied;
  result.m_removed = old;
  return result;
}

ApplyResult ControlState::Fold(Offset, const WatchersRecord& record) {
  const auto it = m_members.find(record.m_member);
  if (it == m_members.end()) {
    return Void(RejectReason::kUnknownMember);
  }
  if (record.m_generation != it->second.m_generation + 1) {
    return Void(RejectReason::kStale);
  }
  it->second.m_generation = record.m_generation;
  it->second.m_watchers = record.m_watchers;
  it->second.m_votes.clear();
  it->second.m_has_substitute = false;
  std::erase_if(m_removed_watchers,
                [&](MemberId gone) { return !IsListed(gone); });
  return kApplied;
}

ApplyResult ControlState::Fold(Offset offset, const VoteRecord& record) {
  const auto it = m_members.find(record.m_subject);
  if (it == m_members.end()) {
    return Void(RejectReason::kUnknownMember);
  }
  Member& subject = it->second;
  if (subject.m_generation != record.m_generation) {
    return Void(RejectReason::kStale);
  }
  const bool is_watcher =
      std::ranges::count(subject.m_watchers, record.m_voter) > 0;
  const bool has_voted =
      std::ranges::count(subject.m_votes, record.m_voter) > 0;
  if (!is_watcher || has_voted ||
      (record.m_is_substitute &&
       !m_removed_watchers.contains(record.m_voter))) {
    return Void(RejectReason::kInvalid);
  }
  subject.m_has_substitute |= record.m_is_substitute;
  subject.m_votes.push_back(record.m_voter);
  if (HasMajority(subject.m_votes.size(), subject.m_watchers.size())) {
    return Remove(offset, record.m_subject);
  }
  return kApplied;
}

ApplyResult ControlState::Fold(Offset offset, const WeightRecord& record) {
  const auto it = m_members.find(record.m_member);
  if (it == m_members.end()) {
    return Void(RejectReason::kUnknownMember);
  }
  if (record.m_weight <= it->second.m_weight || record.m_weight > kMaxWeight) {
    return Void(RejectReason::kInvalid);
  }
  it->second.m_weight = record.m_weight;
  Reassign(offset, it->second.m_info.m_service);
  return kApplied;
}

ApplyResult ControlState::Fold(Offset offset, const DrainRecord& record) {
  const auto it = m_members.find(record.m_member);
  if (it == m_members.end()) {
    return Void(RejectReason::kUnknownMember);
  }
  it->second.m_draining = true;
  Reassign(offset, it->second.m_info.m_service);
  return kApplied;
}

// A member that leaves has finished its work: nothing is lost with it.
ApplyResult ControlState::Fold(Offset offset, const LeaveRecord& record) {
  const auto it = m_members.find(record.m_member);
  if (it == m_members.end()) {
    return Void(RejectReason::kUnknownMember);
  }
  const std::string service = it->second.m_info.m_service;
  m_members.erase(it);
  NoteGone(record.m_member, true);
  for (Slice& slice : m_services[service].m_slices) {
    DropHolder(slice, record.m_member);
  }
  ++m_slice_changes.m_count;
  Reassign(offset, service);
  ApplyResult result = kApplied;
  result.m_removed = record.m_member;
  return result;
}

ApplyResult ControlState::Fold(Offset, const ReleaseRecord& record) {
  const Member* member = FindMember(record.m_member);
  if (member == nullptr) {
    return Void(RejectReason::kUnknownMember);
  }
  Service& service = m_services[member->m_info.m_service];
  for (SliceIndex index : record.m_slices) {
    if (index >= service.m_slices.size()) {
      continue;
    }
    std::erase_if(service.m_slices[index].m_previous_holders,
                  [&](const PreviousHolder& prior) {
                    return prior.m_member == record.m_member &&
                           prior.m_taken_at <= record.m_folded;
                  });
  }
  ++m_slice_changes.m_count;
  return kApplied;
}

ApplyResult ControlState::Fold(Offset offset, const ProfileRecord& record) {
  if (!ValidateProfile(record.m_profile)) {
    return Void(RejectReason::kInvalid);
  }
  VersionedProfile& entry = m_profiles[record.m_profile.m_name];
  if (entry.m_version != record.m_expected_version) {
    return Void(RejectReason::kStale);
  }
  if (StartsSlicing(record.m_profile.m_name, record.m_profile)) {
    return Void(RejectReason::kInvalid);
  }
  entry.m_profile = record.m_profile;
  ++entry.m_version;
  ReassignAll(offset);
  return kApplied;
}

ApplyResult ControlState::Fold(Offset offset, const ExclusionRecord& record) {
  if (record.m_expected_version != m_exclusions_version) {
    return Void(RejectReason::kStale);
  }
  if (record.m_out) {
    m_exclusions.insert({record.m_kind, record.m_name});
  } else {
    m_exclusions.erase({record.m_kind, record.m_name});
  }
  ++m_exclusions_version;
  ReassignAll(offset);
  return kApplied;
}

ApplyResult ControlState::Fold(Offset offset, const ForceDownRecord& record) {
  if (FindMember(record.m_member) == nullptr) {
    return Void(RejectReason::kUnknownMember);
  }
  return Remove(offset, record.m_member);
}

// A reader that folds from an earlier offset already has what the checkpoint
// holds, and may have more.
ApplyResult ControlState::Fold(Offset, const CheckpointRecord&) {
  return kApplied;
}

ApplyResult ControlState::Fold(Offset offset, const MoveRecord& record) {
  const Member* from = FindMember(record.m_from);
  const Member* to = FindMember(record.m_to);
  if (from == nullptr || to == nullptr) {
    return Void(RejectReason::kUnknownMember);
  }
  if (from->m_info.m_service != to->m_info.m_service || !IsEligible(*to)) {
    return Void(RejectReason::kInvalid);
  }
  std::vector<Slice>& slices = m_services[from->m_info.m_service].m_slices;
  for (SliceIndex index : record.m_slices) {
    if (index < slices.size() && slices[index].m_owner == record.m_from &&
        slices[index].m_epoch <= record.m_folded) {
      TakeSlice(slices[index], record.m_to, offset);
    }
  }
  ++m_slice_changes.m_count;
  return kApplied;
}

// While traffic is not sliced nobody counts as a holder, so a process that
// lags behind could still serve a key beside its new owner.
bool ControlState::StartsSlicing(std::string_view from,
                                 const Profile& to) const {
  const VersionedProfile* old = FindProfile(from);
  return old != nullptr && old->m_version > 0 && !IsSliced(old->m_profile) &&
         IsSliced(to);
}

bool ControlState::Remember(AppendId id) {
  if (!m_recent_append_set.insert(id).second) {
    return false;
  }
  m_recent_appends.push_back(id);
  if (m_recent_appends.size() > kMaxRecentAppends) {
    m_recent_append_set.erase(m_recent_appends.front());
    m_recent_appends.pop_front();
  }
  return true;
}

ApplyResult ControlState::Remove(Offset offset, MemberId id) {
  const auto it = m_members.find(id);
  const std::string service = it->second.m_info.m_service;
  const bool is_certain = !it->second.m_has_substitute;
  m_members.erase(it);
  NoteGone(id, is_certain);
  for (Slice& slice : m_services[service].m_slices) {
    if (Holds(slice, id)) {
      slice.m_lost_at = offset;
      DropHolder(slice, id);
    }
  }
  ++m_slice_changes.m_count;
  Reassign(offset, service);
  ApplyResult result = kApplied;
  result.m_removed = id;
  return result;
}

// A member removed with the help of a substitute vote may still hear a gone
// watcher, so it cannot be substituted in turn.
void ControlState::NoteGone(MemberId id, bool is_certain) {
  std::erase_if(m_removed_watchers,
                [&](MemberId gone) { return !IsListed(gone); });
  if (is_certain && IsListed(id)) {
    m_removed_watchers.insert(id);
  }
}

bool ControlState::IsListed(MemberId watcher) const {
  return std::ranges::any_of(m_members, [&](const auto& entry) {
    return std::ranges::count(entry.second.m_watchers, watcher) > 0;
  });
}

void ControlState::Reassign(Offset offset, std::string_view service) {
  const auto found = m_services.find(service);
  if (found == m_services.end()) {
    return;
  }
  std::vector<Candidate> candidates;
  for (const auto& [id, member] : m_members) {
    if (member.m_info.m_service == service && IsEligible(member)) {
      candidates.push_back({id, member.m_weight});
    }
  }
  std::vector<Slice>& slices = found->second.m_slices;
  if (slices.empty()) {
    return;
  }
  std::vector<MemberId> owners;
  owners.reserve(slices.size());
  for (const Slice& slice : slices) {
    owners.push_back(slice.m_owner);
  }
  const std::vector<MemberId> next = AssignSlices(owners, candidates);
  for (std::size_t i = 0; i < slices.size(); ++i) {
    if (next[i] != owners[i]) {
      TakeSlice(slices[i], next[i], offset);
      ++m_slice_changes.m_count;
    }
  }
}

void ControlState::ReassignAll(Offset offset) {
  for (const auto& [name, service] : m_services) {
    Reassign(offset, name);
  }
}

}  // namespace figlug::core
