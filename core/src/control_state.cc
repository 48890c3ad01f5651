#include "figlug/core/control_state.h"

#include <algorithm>

#include <xxhash.h>

#include "figlug/core/assignment.h"

namespace figlug::core {
namespace {

constexpr ApplyResult kApplied{.m_applied = true};

constexpr ApplyResult Rejected(RejectReason reason) {
  return {.m_applied = false, .m_reason = reason};
}

// Reassigns a slice whose owner, if any, is still a member. That owner becomes
// a previous holder; the new owner does not serve the slice until every
// previous holder has released it.
void ReassignSlice(Slice& slice, MemberId to, Position position) {
  if (slice.m_owner != kNoMember) {
    std::erase_if(slice.m_previous_holders,
                  [&](const PreviousHolder& previous) {
                    return previous.m_member == slice.m_owner;
                  });
    slice.m_previous_holders.push_back({slice.m_owner, position});
  }
  slice.m_owner = to;
  slice.m_epoch = position;
}

bool IsHolder(const Slice& slice, MemberId id) {
  return slice.m_owner == id ||
         std::ranges::any_of(slice.m_previous_holders,
                             [&](const PreviousHolder& previous) {
                               return previous.m_member == id;
                             });
}

void RemoveHolder(Slice& slice, MemberId id) {
  std::erase_if(slice.m_previous_holders, [&](const PreviousHolder& previous) {
    return previous.m_member == id;
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
                                 kDefaultSlicesPerService);
}

SliceIndex SliceOfNumber(std::uint32_t key, SliceIndex slices) noexcept {
  return static_cast<SliceIndex>(std::uint64_t{key} * slices / kKeySpaceSize);
}

std::uint32_t FirstKeyOf(SliceIndex slice, SliceIndex slices) noexcept {
  return static_cast<std::uint32_t>(
      (std::uint64_t{slice} * kKeySpaceSize + slices - 1) / slices);
}

std::size_t CountSliceRanges(const Service& service, MemberId owner) {
  std::size_t ranges = 0;
  const Slice* preceding = nullptr;
  for (const Slice& slice : service.m_slices) {
    const bool continues_range = preceding != nullptr &&
                                 preceding->m_owner == owner &&
                                 preceding->m_epoch == slice.m_epoch;
    ranges += slice.m_owner == owner && !continues_range ? 1 : 0;
    preceding = &slice;
  }
  return ranges;
}

ApplyResult ControlState::Apply(const LogEntry& entry) {
  m_next = entry.m_offset + 1;
  if (!RememberAppend(entry.m_append_id)) {
    return Rejected(RejectReason::kDuplicate);
  }
  return std::visit(
      [&](const auto& record) { return ApplyRecord(entry.m_offset, record); },
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

bool ControlState::HasDeparted(const MemberInfo& info) const {
  return std::ranges::count(
             m_departed_targets,
             DepartedTarget(info.m_target, info.m_target_start_ms)) > 0;
}

ControlState ControlState::FromSnapshot(Snapshot snapshot) {
  ControlState state;
  state.m_next = snapshot.m_next;
  state.m_era = snapshot.m_era;
  state.m_is_era_settled = snapshot.m_is_era_settled;
  state.m_members = std::move(snapshot.m_members);
  state.m_services = std::move(snapshot.m_services);
  state.m_profiles = std::move(snapshot.m_profiles);
  state.m_tenants = std::move(snapshot.m_tenants);
  state.IndexTenants(state.m_tenants);
  state.m_exclusions = std::move(snapshot.m_exclusions);
  state.m_exclusions_version = snapshot.m_exclusions_version;
  state.m_removed_watchers = std::move(snapshot.m_removed_watchers);
  state.m_departed_targets = std::move(snapshot.m_departed_targets);
  state.m_recent_appends = std::move(snapshot.m_recent_appends);
  state.m_recent_append_set.insert(state.m_recent_appends.begin(),
                                   state.m_recent_appends.end());
  return state;
}

ApplyResult ControlState::ApplyRecord(Offset, const UnreadableRecord&) {
  return Rejected(RejectReason::kInvalid);
}

// A member that has just joined owns no slices, because it holds no lease yet.
ApplyResult ControlState::ApplyRecord(Offset offset, const JoinRecord& record) {
  const MemberInfo& info = record.m_info;
  if (info.m_id == kNoMember || m_members.contains(info.m_id)) {
    return Rejected(RejectReason::kInvalid);
  }
  // A process that restarts beside a target that has left does not know that.
  if (HasDeparted(info)) {
    return Rejected(RejectReason::kStale);
  }
  const Member* predecessor = FindPredecessor(info);
  if (predecessor != nullptr &&
      predecessor->m_info.m_target_start_ms > info.m_target_start_ms) {
    return Rejected(RejectReason::kStale);
  }
  Service& service = m_services[info.m_service];
  const bool is_first = std::ranges::none_of(m_members, [&](const auto& entry) {
    return entry.second.m_info.m_service == info.m_service;
  });
  const VersionedProfile* profile = FindProfile(info.m_profile);
  if (is_first || profile == nullptr ||
      !EnablesSlicing(service.m_profile, profile->m_profile)) {
    service.m_profile = info.m_profile;
  }
  const SliceIndex slices = std::min(info.m_slice_count, kMaxSlicesPerService);
  if (service.m_slices.size() < slices) {
    service.m_slices.resize(slices);
    ++m_slice_changes.m_count;
  }
  Member member{.m_info = info, .m_watchers = record.m_watchers};
  if (predecessor == nullptr) {
    m_members[info.m_id] = std::move(member);
    return kApplied;
  }
  return ReplacePredecessor(offset, predecessor->m_info.m_id,
                            std::move(member));
}

// Only one process at a time can use a peer address, so an earlier member with
// the same address has stopped. Members that do not report when their target
// started are left to their watchers.
const Member* ControlState::FindPredecessor(const MemberInfo& info) const {
  if (info.m_target_start_ms == 0) {
    return nullptr;
  }
  const auto it = std::ranges::find_if(m_members, [&](const auto& entry) {
    return entry.second.m_info.m_peer == info.m_peer &&
           entry.second.m_info.m_target_start_ms != 0;
  });
  return it == m_members.end() ? nullptr : &it->second;
}

// If the target is still the same incarnation, the new member takes over its
// slices with their fences. If the target has restarted, the slices of the
// former incarnation are unowned, because a new incarnation starts without any
// hold.
ApplyResult ControlState::ReplacePredecessor(Offset offset,
                                             MemberId old,
                                             Member&& next) {
  const Member& predecessor = m_members.at(old);
  const bool is_same =
      predecessor.m_info.m_target == next.m_info.m_target &&
      predecessor.m_info.m_service == next.m_info.m_service &&
      predecessor.m_info.m_target_start_ms == next.m_info.m_target_start_ms;
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
    for (PreviousHolder& previous : slice.m_previous_holders) {
      if (previous.m_member == old) {
        previous.m_member = id;
      }
    }
  }
  ++m_slice_changes.m_count;
  m_members[id] = std::move(next);
  m_members.erase(old);
  AddRemovedWatcher(old, true);
  Reassign(offset, m_members.at(id).m_info.m_service);
  ApplyResult result = kApplied;
  result.m_removed = old;
  return result;
}

ApplyResult ControlState::ApplyRecord(Offset, const WatchersRecord& record) {
  const auto it = m_members.find(record.m_member);
  if (it == m_members.end()) {
    return Rejected(RejectReason::kUnknownMember);
  }
  if (record.m_generation != it->second.m_generation + 1) {
    return Rejected(RejectReason::kStale);
  }
  it->second.m_generation = record.m_generation;
  it->second.m_watchers = record.m_watchers;
  it->second.m_votes.clear();
  it->second.m_has_substitute = false;
  std::erase_if(m_removed_watchers,
                [&](MemberId removed) { return !IsListedWatcher(removed); });
  return kApplied;
}

ApplyResult ControlState::ApplyRecord(Offset offset, const VoteRecord& record) {
  const auto it = m_members.find(record.m_subject);
  if (it == m_members.end()) {
    return Rejected(RejectReason::kUnknownMember);
  }
  Member& subject = it->second;
  if (subject.m_generation != record.m_generation) {
    return Rejected(RejectReason::kStale);
  }
  const bool is_watcher =
      std::ranges::count(subject.m_watchers, record.m_voter) > 0;
  const bool has_voted =
      std::ranges::count(subject.m_votes, record.m_voter) > 0;
  if (!is_watcher || has_voted ||
      (record.m_is_substitute &&
       !m_removed_watchers.contains(record.m_voter))) {
    return Rejected(RejectReason::kInvalid);
  }
  subject.m_has_substitute |= record.m_is_substitute;
  subject.m_votes.push_back(record.m_voter);
  if (HasMajority(subject.m_votes.size(), subject.m_watchers.size())) {
    return Remove(offset, record.m_subject);
  }
  return kApplied;
}

ApplyResult ControlState::ApplyRecord(Offset offset,
                                      const WeightRecord& record) {
  const auto it = m_members.find(record.m_member);
  if (it == m_members.end()) {
    return Rejected(RejectReason::kUnknownMember);
  }
  if (record.m_weight <= it->second.m_weight || record.m_weight > kMaxWeight) {
    return Rejected(RejectReason::kInvalid);
  }
  it->second.m_weight = record.m_weight;
  Reassign(offset, it->second.m_info.m_service);
  return kApplied;
}

ApplyResult ControlState::ApplyRecord(Offset offset,
                                      const DrainRecord& record) {
  const auto it = m_members.find(record.m_member);
  if (it == m_members.end()) {
    return Rejected(RejectReason::kUnknownMember);
  }
  it->second.m_draining = true;
  Reassign(offset, it->second.m_info.m_service);
  return kApplied;
}

// Targets that do not report their start cannot be told from their next
// incarnation.
ApplyResult ControlState::ApplyRecord(Offset offset,
                                      const DepartureRecord& record) {
  const Member* member = FindMember(record.m_member);
  if (member != nullptr && member->m_info.m_target_start_ms != 0 &&
      !HasDeparted(member->m_info)) {
    m_departed_targets.emplace_back(member->m_info.m_target,
                                    member->m_info.m_target_start_ms);
    if (m_departed_targets.size() > kMaxDepartedTargets) {
      m_departed_targets.pop_front();
    }
  }
  return ApplyRecord(offset, DrainRecord{record.m_member});
}

// A member leaves only after its requests have completed, so its slices do not
// count as lost.
ApplyResult ControlState::ApplyRecord(Offset offset,
                                      const LeaveRecord& record) {
  const auto it = m_members.find(record.m_member);
  if (it == m_members.end()) {
    return Rejected(RejectReason::kUnknownMember);
  }
  const std::string service = it->second.m_info.m_service;
  m_members.erase(it);
  AddRemovedWatcher(record.m_member, true);
  for (Slice& slice : m_services[service].m_slices) {
    RemoveHolder(slice, record.m_member);
  }
  ++m_slice_changes.m_count;
  Reassign(offset, service);
  ApplyResult result = kApplied;
  result.m_removed = record.m_member;
  return result;
}

ApplyResult ControlState::ApplyRecord(Offset, const ReleaseRecord& record) {
  const Member* member = FindMember(record.m_member);
  if (member == nullptr) {
    return Rejected(RejectReason::kUnknownMember);
  }
  Service& service = m_services[member->m_info.m_service];
  for (SliceIndex index : record.m_slices) {
    if (index >= service.m_slices.size()) {
      continue;
    }
    std::erase_if(service.m_slices[index].m_previous_holders,
                  [&](const PreviousHolder& previous) {
                    return previous.m_member == record.m_member &&
                           previous.m_taken_at <= record.m_folded;
                  });
  }
  ++m_slice_changes.m_count;
  return kApplied;
}

ApplyResult ControlState::ApplyRecord(Offset offset,
                                      const ProfileRecord& record) {
  if (!ValidateProfile(record.m_profile)) {
    return Rejected(RejectReason::kInvalid);
  }
  VersionedProfile& entry = m_profiles[record.m_profile.m_name];
  if (entry.m_version != record.m_expected_version) {
    return Rejected(RejectReason::kStale);
  }
  if (EnablesSlicing(record.m_profile.m_name, record.m_profile)) {
    return Rejected(RejectReason::kInvalid);
  }
  entry.m_profile = record.m_profile;
  ++entry.m_version;
  ReassignAll(offset);
  return kApplied;
}

ApplyResult ControlState::ApplyRecord(Offset offset,
                                      const ExclusionRecord& record) {
  if (record.m_expected_version != m_exclusions_version) {
    return Rejected(RejectReason::kStale);
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

ApplyResult ControlState::ApplyRecord(Offset offset,
                                      const ForceDownRecord& record) {
  if (FindMember(record.m_member) == nullptr) {
    return Rejected(RejectReason::kUnknownMember);
  }
  return Remove(offset, record.m_member);
}

// A reader that has applied the records from an earlier offset already has the
// checkpoint's state, and possibly a later one.
ApplyResult ControlState::ApplyRecord(Offset, const CheckpointRecord&) {
  return kApplied;
}

ApplyResult ControlState::ApplyRecord(Offset offset, const MoveRecord& record) {
  const Member* from = FindMember(record.m_from);
  const Member* to = FindMember(record.m_to);
  if (from == nullptr || to == nullptr) {
    return Rejected(RejectReason::kUnknownMember);
  }
  if (from->m_info.m_service != to->m_info.m_service || !IsEligible(*to)) {
    return Rejected(RejectReason::kInvalid);
  }
  std::vector<Slice>& slices = m_services[from->m_info.m_service].m_slices;
  for (SliceIndex index : record.m_slices) {
    if (index < slices.size() && slices[index].m_owner == record.m_from &&
        slices[index].m_epoch <= record.m_folded) {
      ReassignSlice(slices[index], record.m_to, PositionOf(offset));
    }
  }
  ++m_slice_changes.m_count;
  return kApplied;
}

// Lost records may have named other owners than those that are known now, and
// offsets are assigned again. Every slice gets a fence above all earlier ones,
// counts as lost by an unknown holder, and must be released anew.
ApplyResult ControlState::ApplyRecord(Offset offset, const EraRecord& record) {
  if (record.m_era <= m_era) {
    return Rejected(RejectReason::kStale);
  }
  m_era = record.m_era;
  m_is_era_settled = false;
  ForgetSuspicions();
  const Position position = PositionOf(offset);
  for (auto& [name, service] : m_services) {
    for (Slice& slice : service.m_slices) {
      slice.m_epoch = position;
      slice.m_lost_at = position;
      for (PreviousHolder& previous : slice.m_previous_holders) {
        previous.m_taken_at = position;
      }
    }
  }
  ++m_slice_changes.m_count;
  return kApplied;
}

ApplyResult ControlState::ApplyRecord(Offset, const EraSettledRecord& record) {
  if (record.m_era != m_era || m_is_era_settled) {
    return Rejected(RejectReason::kStale);
  }
  m_is_era_settled = true;
  return kApplied;
}

// While traffic is not sliced, no member is recorded as a holder. If slicing
// were enabled later, a process that lags behind in the log could still serve a
// key concurrently with the key's new owner.
bool ControlState::EnablesSlicing(std::string_view from,
                                  const Profile& to) const {
  const VersionedProfile* old = FindProfile(from);
  return old != nullptr && old->m_version > 0 && !IsSliced(old->m_profile) &&
         IsSliced(to);
}

bool ControlState::RememberAppend(AppendId id) {
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
  AddRemovedWatcher(id, is_certain);
  for (Slice& slice : m_services[service].m_slices) {
    if (IsHolder(slice, id)) {
      slice.m_lost_at = PositionOf(offset);
      RemoveHolder(slice, id);
    }
  }
  ++m_slice_changes.m_count;
  Reassign(offset, service);
  ApplyResult result = kApplied;
  result.m_removed = id;
  return result;
}

// A member removed with a substitute vote may still receive pledges from a
// removed watcher, so no substitute vote may be cast on its behalf in turn.
void ControlState::AddRemovedWatcher(MemberId id, bool is_certain) {
  std::erase_if(m_removed_watchers,
                [&](MemberId removed) { return !IsListedWatcher(removed); });
  if (is_certain && IsListedWatcher(id)) {
    m_removed_watchers.insert(id);
  }
}

bool ControlState::IsListedWatcher(MemberId watcher) const {
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
  const std::vector<MemberId> new_owners = AssignSlices(owners, candidates);
  for (std::size_t i = 0; i < slices.size(); ++i) {
    if (new_owners[i] != owners[i]) {
      ReassignSlice(slices[i], new_owners[i], PositionOf(offset));
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
