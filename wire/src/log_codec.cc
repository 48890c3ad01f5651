#include "figlug/wire/log_codec.h"

#include <algorithm>
#include <limits>
#include <span>

#include "figlug/core/control_state.h"
#include "figlug/wire/impl/message_bytes.h"
#include "generated/log.capnp.h"

namespace figlug::wire {
namespace {

using core::Duration;
using core::MemberId;

std::uint64_t Raw(MemberId id) {
  return static_cast<std::uint64_t>(id);
}

std::string Text(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

template <class Builder>
void WriteIds(Builder list, const std::vector<MemberId>& ids) {
  unsigned i = 0;
  for (MemberId id : ids) {
    list.set(i++, Raw(id));
  }
}

std::vector<MemberId> ReadIds(capnp::List<std::uint64_t>::Reader list) {
  std::vector<MemberId> ids;
  for (std::uint64_t id : list) {
    ids.push_back(MemberId(id));
  }
  return ids;
}

unsigned Size(const auto& container) {
  return static_cast<unsigned>(container.size());
}

void WriteSlices(capnp::List<std::uint32_t>::Builder list,
                 const std::vector<core::SliceIndex>& slices) {
  for (unsigned i = 0; i < list.size(); ++i) {
    list.set(i, slices[i]);
  }
}

std::vector<core::SliceIndex> ReadSlices(
    capnp::List<std::uint32_t>::Reader list) {
  std::vector<core::SliceIndex> slices;
  for (std::uint32_t slice : list) {
    slices.push_back(slice);
  }
  return slices;
}

void Write(schema::Endpoint::Builder out, const core::Endpoint& endpoint) {
  out.setHost(impl::AsText(endpoint.m_host));
  out.setPort(endpoint.m_port);
}

core::Endpoint Read(schema::Endpoint::Reader in) {
  return {Text(in.getHost()), in.getPort()};
}

void Write(schema::MemberInfo::Builder out, const core::MemberInfo& info) {
  out.setId(Raw(info.m_id));
  out.setService(impl::AsText(info.m_service));
  out.setProfile(impl::AsText(info.m_profile));
  out.setTarget(impl::AsText(info.m_target));
  out.setRegion(impl::AsText(info.m_region));
  out.setDomain(impl::AsText(info.m_domain));
  Write(out.initPeer(), info.m_peer);
  Write(out.initHttp(), info.m_http);
  out.setTargetBornMs(info.m_target_start_ms);
  out.setSlots(info.m_slots);
  out.setSliceCount(info.m_slice_count);
  out.setLogLeaseUs(info.m_log_lease.count());
}

core::MemberInfo Read(schema::MemberInfo::Reader in) {
  return {.m_id = MemberId(in.getId()),
          .m_service = Text(in.getService()),
          .m_profile = Text(in.getProfile()),
          .m_target = Text(in.getTarget()),
          .m_region = Text(in.getRegion()),
          .m_domain = Text(in.getDomain()),
          .m_peer = Read(in.getPeer()),
          .m_http = Read(in.getHttp()),
          .m_target_start_ms = in.getTargetBornMs(),
          .m_slots = in.getSlots(),
          .m_slice_count = in.getSliceCount(),
          .m_log_lease = impl::ReadSpan(in.getLogLeaseUs())};
}

void Write(schema::Profile::Builder out, const core::Profile& profile) {
  out.setName(impl::AsText(profile.m_name));
  auto regions = out.initHomeRegions(Size(profile.m_home_regions));
  for (unsigned i = 0; i < regions.size(); ++i) {
    regions.set(i, impl::AsText(profile.m_home_regions[i]));
  }
  out.setKeyed(profile.m_keyed);
  out.setRepeatable(profile.m_repeatable);
  out.setMaxAttempts(profile.m_max_attempts);
  out.setRetryPercent(profile.m_retry_percent);
  out.setHedgePercent(profile.m_hedge_percent);
  out.setDeadlineUs(profile.m_deadline.count());
  out.setQueueWaitUs(profile.m_queue_wait.count());
  out.setQueueLength(profile.m_queue_length);
  out.setWarmUpUs(profile.m_warm_up.count());
  out.setColdLimit(profile.m_cold_limit);
  out.setMaxLimit(profile.m_max_limit);
  out.setTakeoverWaitUs(profile.m_takeover_wait.count());
  out.setIsPublic(profile.m_is_public);
}

core::Profile Read(schema::Profile::Reader in) {
  core::Profile profile;
  profile.m_name = Text(in.getName());
  for (auto region : in.getHomeRegions()) {
    profile.m_home_regions.push_back(Text(region));
  }
  profile.m_keyed = in.getKeyed();
  profile.m_repeatable = in.getRepeatable();
  profile.m_max_attempts = in.getMaxAttempts();
  profile.m_retry_percent = in.getRetryPercent();
  profile.m_hedge_percent = in.getHedgePercent();
  profile.m_deadline = impl::ReadSpan(in.getDeadlineUs());
  profile.m_queue_wait = impl::ReadSpan(in.getQueueWaitUs());
  profile.m_queue_length = in.getQueueLength();
  profile.m_warm_up = impl::ReadSpan(in.getWarmUpUs());
  profile.m_cold_limit = in.getColdLimit();
  profile.m_max_limit = in.getMaxLimit();
  profile.m_takeover_wait = impl::ReadSpan(in.getTakeoverWaitUs());
  profile.m_is_public = in.getIsPublic();
  return profile;
}

void WriteTexts(capnp::List<capnp::Text>::Builder out,
                const std::vector<std::string>& texts) {
  for (unsigned i = 0; i < out.size(); ++i) {
    out.set(i, impl::AsText(texts[i]));
  }
}

void Write(schema::Tenant::Builder out, const core::Tenant& tenant) {
  out.setName(impl::AsText(tenant.m_name));
  WriteTexts(out.initCredentials(Size(tenant.m_credentials)),
             tenant.m_credentials);
  out.setHasPriority(tenant.m_priority.has_value());
  out.setPriority(tenant.m_priority.value_or(0));
  out.setRate(tenant.m_rate);
  out.setBurst(tenant.m_burst);
  WriteTexts(out.initHomeRegions(Size(tenant.m_home_regions)),
             tenant.m_home_regions);
}

core::Tenant Read(schema::Tenant::Reader in) {
  core::Tenant tenant{.m_name = Text(in.getName())};
  tenant.m_id = core::TenantIdOf(tenant.m_name);
  for (auto credential : in.getCredentials()) {
    tenant.m_credentials.push_back(Text(credential));
  }
  if (in.getHasPriority()) {
    tenant.m_priority = in.getPriority();
  }
  tenant.m_rate = in.getRate();
  tenant.m_burst = in.getBurst();
  for (auto region : in.getHomeRegions()) {
    tenant.m_home_regions.push_back(Text(region));
  }
  return tenant;
}

void Write(schema::Member::Builder out, const core::Member& member) {
  Write(out.initInfo(), member.m_info);
  out.setGeneration(member.m_generation);
  WriteIds(out.initWatchers(Size(member.m_watchers)), member.m_watchers);
  WriteIds(out.initVotes(Size(member.m_votes)), member.m_votes);
  out.setWeight(member.m_weight);
  out.setDraining(member.m_draining);
  out.setHasSubstitute(member.m_has_substitute);
  out.setSuspectedAt(member.m_suspected_at);
}

core::Member Read(schema::Member::Reader in) {
  return {.m_info = Read(in.getInfo()),
          .m_generation = in.getGeneration(),
          .m_watchers = ReadIds(in.getWatchers()),
          .m_votes = ReadIds(in.getVotes()),
          .m_weight = in.getWeight(),
          .m_draining = in.getDraining(),
          .m_has_substitute = in.getHasSubstitute(),
          .m_suspected_at = in.getSuspectedAt()};
}

void Write(schema::Slice::Builder out, const core::Slice& slice) {
  out.setOwner(Raw(slice.m_owner));
  out.setEpoch(slice.m_epoch);
  out.setLostAt(slice.m_lost_at);
  if (slice.m_previous_holders.empty()) {
    return;
  }
  auto holders = out.initPriors(Size(slice.m_previous_holders));
  for (unsigned i = 0; i < holders.size(); ++i) {
    holders[i].setMember(Raw(slice.m_previous_holders[i].m_member));
    holders[i].setTakenAt(slice.m_previous_holders[i].m_taken_at);
  }
}

core::Slice Read(schema::Slice::Reader in) {
  core::Slice slice{.m_owner = MemberId(in.getOwner()),
                    .m_epoch = in.getEpoch(),
                    .m_lost_at = in.getLostAt(),
                    .m_previous_holders = {}};
  for (auto holder : in.getPriors()) {
    slice.m_previous_holders.push_back(
        {MemberId(holder.getMember()), holder.getTakenAt()});
  }
  return slice;
}

// A checkpoint must fit into one record, and most adjacent slices are equal, so
// slices are run-length encoded.
struct RepeatedSlice {
  const core::Slice* m_slice = nullptr;
  std::uint32_t m_count = 0;
};

std::vector<RepeatedSlice> RunLengthEncode(
    std::span<const core::Slice> slices) {
  std::vector<RepeatedSlice> encoded;
  for (const core::Slice& slice : slices) {
    if (!encoded.empty() && *encoded.back().m_slice == slice) {
      ++encoded.back().m_count;
    } else {
      encoded.push_back({&slice, 1});
    }
  }
  return encoded;
}

void Write(schema::ControlState::Builder out, const core::ControlState& state) {
  out.setNext(state.next());
  out.setEra(state.era());
  out.setIsEraUnsettled(!state.is_era_settled());
  auto members = out.initMembers(Size(state.members()));
  unsigned i = 0;
  for (const auto& [id, member] : state.members()) {
    Write(members[i++], member);
  }
  auto services = out.initServices(Size(state.services()));
  i = 0;
  for (const auto& [name, service] : state.services()) {
    auto entry = services[i++];
    entry.setName(impl::AsText(name));
    entry.setProfile(impl::AsText(service.m_profile));
    const std::vector<RepeatedSlice> encoded =
        RunLengthEncode(service.m_slices);
    auto slices = entry.initSlices(Size(encoded));
    for (unsigned j = 0; j < slices.size(); ++j) {
      Write(slices[j], *encoded[j].m_slice);
      slices[j].setCount(encoded[j].m_count);
    }
  }
  auto profiles = out.initProfiles(Size(state.profiles()));
  i = 0;
  for (const auto& [name, versioned] : state.profiles()) {
    auto entry = profiles[i++];
    Write(entry.initProfile(), versioned.m_profile);
    entry.setVersion(versioned.m_version);
  }
  auto tenants = out.initTenants(Size(state.tenants()));
  i = 0;
  for (const auto& [name, versioned] : state.tenants()) {
    auto entry = tenants[i++];
    Write(entry.initTenant(), versioned.m_tenant);
    entry.setVersion(versioned.m_version);
  }
  auto exclusions = out.initExclusions(Size(state.exclusions()));
  i = 0;
  for (const auto& [kind, name] : state.exclusions()) {
    exclusions[i].setKind(static_cast<std::uint8_t>(kind));
    exclusions[i++].setName(impl::AsText(name));
  }
  out.setExclusionsVersion(state.exclusions_version());
  auto removed = out.initGoneWatchers(Size(state.removed_watchers()));
  i = 0;
  for (MemberId watcher : state.removed_watchers()) {
    removed.set(i++, Raw(watcher));
  }
  auto departed = out.initDepartedTargets(Size(state.departed_targets()));
  i = 0;
  for (const auto& [id, start_ms] : state.departed_targets()) {
    departed[i].setId(impl::AsText(id));
    departed[i++].setStartMs(start_ms);
  }
  auto appends = out.initRecentAppends(Size(state.recent_appends()));
  i = 0;
  for (core::AppendId id : state.recent_appends()) {
    appends.set(i++, static_cast<std::uint64_t>(id));
  }
}

core::ExclusionKind ReadKind(std::uint8_t kind) {
  return kind == 0 ? core::ExclusionKind::kDomain
                   : core::ExclusionKind::kTarget;
}

/// Memory for the slices of a checkpoint: a hundred services of 8,192 slices
/// take about half of it. A few bytes of a record could ask for any amount.
constexpr std::size_t kMaxSliceBytes = 64U << 20;

// Appends the copies that an entry stands for, unless they exceed the budget.
void AppendSlices(schema::Slice::Reader in,
                  std::vector<core::Slice>& out,
                  std::size_t& budget) {
  const std::size_t count = std::min<std::size_t>(
      in.getCount(), core::kMaxSlicesPerService - out.size());
  const std::size_t bytes =
      count * (sizeof(core::Slice) +
               in.getPriors().size() * sizeof(core::PreviousHolder));
  KJ_REQUIRE(bytes <= budget, "checkpoint has too many slices");
  budget -= bytes;
  out.insert(out.end(), count, Read(in));
}

core::ControlState Read(schema::ControlState::Reader in) {
  core::ControlState::Snapshot snapshot;
  std::size_t budget = kMaxSliceBytes;
  snapshot.m_next = in.getNext();
  snapshot.m_era = in.getEra();
  snapshot.m_is_era_settled = !in.getIsEraUnsettled();
  for (auto member : in.getMembers()) {
    snapshot.m_members[MemberId(member.getInfo().getId())] = Read(member);
  }
  for (auto service : in.getServices()) {
    core::Service& entry = snapshot.m_services[Text(service.getName())];
    entry.m_profile = Text(service.getProfile());
    for (auto slice : service.getSlices()) {
      AppendSlices(slice, entry.m_slices, budget);
    }
  }
  for (auto profile : in.getProfiles()) {
    snapshot.m_profiles[Text(profile.getProfile().getName())] = {
        Read(profile.getProfile()), profile.getVersion()};
  }
  for (auto tenant : in.getTenants()) {
    core::Tenant read = Read(tenant.getTenant());
    std::string name = read.m_name;
    snapshot.m_tenants[std::move(name)] = {std::move(read),
                                           tenant.getVersion()};
  }
  for (auto exclusion : in.getExclusions()) {
    snapshot.m_exclusions.insert(
        {ReadKind(exclusion.getKind()), Text(exclusion.getName())});
  }
  snapshot.m_exclusions_version = in.getExclusionsVersion();
  for (std::uint64_t id : in.getGoneWatchers()) {
    snapshot.m_removed_watchers.insert(MemberId(id));
  }
  for (auto target : in.getDepartedTargets()) {
    snapshot.m_departed_targets.emplace_back(Text(target.getId()),
                                             target.getStartMs());
  }
  for (std::uint64_t id : in.getRecentAppends()) {
    snapshot.m_recent_appends.push_back(core::AppendId(id));
  }
  return core::ControlState::FromSnapshot(std::move(snapshot));
}

struct RecordWriter {
  schema::Record::Builder m_out;

  void operator()(const core::UnreadableRecord&) {}
  void operator()(const core::JoinRecord& record) {
    auto join = m_out.initJoin();
    Write(join.initInfo(), record.m_info);
    WriteIds(join.initWatchers(Size(record.m_watchers)), record.m_watchers);
  }
  void operator()(const core::WatchersRecord& record) {
    auto watchers = m_out.initWatchers();
    watchers.setMember(Raw(record.m_member));
    watchers.setGeneration(record.m_generation);
    WriteIds(watchers.initWatchers(Size(record.m_watchers)), record.m_watchers);
  }
  void operator()(const core::VoteRecord& record) {
    auto vote = m_out.initVote();
    vote.setVoter(Raw(record.m_voter));
    vote.setSubject(Raw(record.m_subject));
    vote.setGeneration(record.m_generation);
    vote.setIsSubstitute(record.m_is_substitute);
  }
  void operator()(const core::WeightRecord& record) {
    auto weight = m_out.initWeight();
    weight.setMember(Raw(record.m_member));
    weight.setWeight(record.m_weight);
  }
  void operator()(const core::DrainRecord& record) {
    m_out.setDrain(Raw(record.m_member));
  }
  void operator()(const core::LeaveRecord& record) {
    m_out.setLeave(Raw(record.m_member));
  }
  void operator()(const core::ReleaseRecord& record) {
    auto release = m_out.initRelease();
    release.setMember(Raw(record.m_member));
    release.setFolded(record.m_folded);
    WriteSlices(release.initSlices(Size(record.m_slices)), record.m_slices);
  }
  void operator()(const core::TenantRecord& record) {
    auto tenant = m_out.initTenant();
    Write(tenant.initTenant(), record.m_tenant);
    tenant.setIsRemoved(record.m_is_removed);
    tenant.setExpectedVersion(record.m_expected_version);
  }
  void operator()(const core::ProfileRecord& record) {
    auto profile = m_out.initProfile();
    Write(profile.initProfile(), record.m_profile);
    profile.setExpectedVersion(record.m_expected_version);
  }
  void operator()(const core::ExclusionRecord& record) {
    auto exclusion = m_out.initExclusion();
    exclusion.setKind(static_cast<std::uint8_t>(record.m_kind));
    exclusion.setName(impl::AsText(record.m_name));
    exclusion.setOut(record.m_out);
    exclusion.setExpectedVersion(record.m_expected_version);
  }
  void operator()(const core::ForceDownRecord& record) {
    m_out.setForceDown(Raw(record.m_member));
  }
  void operator()(const core::MoveRecord& record) {
    auto move = m_out.initMove();
    move.setFrom(Raw(record.m_from));
    move.setTo(Raw(record.m_to));
    move.setFolded(record.m_folded);
    WriteSlices(move.initSlices(Size(record.m_slices)), record.m_slices);
  }
  void operator()(const core::EraRecord& record) { m_out.setEra(record.m_era); }
  void operator()(const core::DepartureRecord& record) {
    m_out.setDeparture(Raw(record.m_member));
  }
  void operator()(const core::EraSettledRecord& record) {
    m_out.setEraSettled(record.m_era);
  }
  void operator()(const core::SuspicionRecord& record) {
    m_out.setSuspicion(Raw(record.m_member));
  }
  void operator()(const core::RefutationRecord& record) {
    auto refutation = m_out.initRefutation();
    refutation.setMember(Raw(record.m_member));
    refutation.setSuspectedAt(record.m_suspected_at);
  }
  void operator()(const core::RemovalRecord& record) {
    auto removal = m_out.initRemoval();
    removal.setMember(Raw(record.m_member));
    removal.setSuspectedAt(record.m_suspected_at);
  }
  void operator()(const core::CheckpointRecord& record) {
    auto checkpoint = m_out.initCheckpoint();
    checkpoint.setNext(record.m_next);
    if (record.m_state != nullptr) {
      Write(checkpoint.initState(), *record.m_state);
    }
  }
};

core::Record ReadRelease(schema::Record::Release::Reader in) {
  return core::ReleaseRecord{MemberId(in.getMember()), in.getFolded(),
                             ReadSlices(in.getSlices())};
}

core::Record ReadCheckpoint(schema::Record::Checkpoint::Reader in) {
  core::CheckpointRecord record{in.getNext(), nullptr};
  if (in.hasState()) {
    record.m_state =
        std::make_shared<const core::ControlState>(Read(in.getState()));
  }
  return record;
}

core::Record ReadRecord(schema::Record::Reader in) {
  switch (in.which()) {
    case schema::Record::JOIN:
      return core::JoinRecord{Read(in.getJoin().getInfo()),
                              ReadIds(in.getJoin().getWatchers())};
    case schema::Record::WATCHERS:
      return core::WatchersRecord{MemberId(in.getWatchers().getMember()),
                                  in.getWatchers().getGeneration(),
                                  ReadIds(in.getWatchers().getWatchers())};
    case schema::Record::VOTE:
      return core::VoteRecord{MemberId(in.getVote().getVoter()),
                              MemberId(in.getVote().getSubject()),
                              in.getVote().getGeneration(),
                              in.getVote().getIsSubstitute()};
    case schema::Record::WEIGHT:
      return core::WeightRecord{MemberId(in.getWeight().getMember()),
                                in.getWeight().getWeight()};
    case schema::Record::DRAIN:
      return core::DrainRecord{MemberId(in.getDrain())};
    case schema::Record::LEAVE:
      return core::LeaveRecord{MemberId(in.getLeave())};
    case schema::Record::RELEASE:
      return ReadRelease(in.getRelease());
    case schema::Record::PROFILE:
      return core::ProfileRecord{Read(in.getProfile().getProfile()),
                                 in.getProfile().getExpectedVersion()};
    case schema::Record::TENANT:
      return core::TenantRecord{Read(in.getTenant().getTenant()),
                                in.getTenant().getIsRemoved(),
                                in.getTenant().getExpectedVersion()};
    case schema::Record::EXCLUSION:
      return core::ExclusionRecord{ReadKind(in.getExclusion().getKind()),
                                   Text(in.getExclusion().getName()),
                                   in.getExclusion().getOut(),
                                   in.getExclusion().getExpectedVersion()};
    case schema::Record::FORCE_DOWN:
      return core::ForceDownRecord{MemberId(in.getForceDown())};
    case schema::Record::CHECKPOINT:
      return ReadCheckpoint(in.getCheckpoint());
    case schema::Record::MOVE:
      return core::MoveRecord{
          MemberId(in.getMove().getFrom()), MemberId(in.getMove().getTo()),
          in.getMove().getFolded(), ReadSlices(in.getMove().getSlices())};
    case schema::Record::ERA:
      return core::EraRecord{in.getEra()};
    case schema::Record::DEPARTURE:
      return core::DepartureRecord{MemberId(in.getDeparture())};
    case schema::Record::ERA_SETTLED:
      return core::EraSettledRecord{in.getEraSettled()};
    case schema::Record::SUSPICION:
      return core::SuspicionRecord{MemberId(in.getSuspicion())};
    case schema::Record::REFUTATION:
      return core::RefutationRecord{MemberId(in.getRefutation().getMember()),
                                    in.getRefutation().getSuspectedAt()};
    case schema::Record::REMOVAL:
      return core::RemovalRecord{MemberId(in.getRemoval().getMember()),
                                 in.getRemoval().getSuspectedAt()};
  }
  return core::UnreadableRecord{};
}

}  // namespace

std::string EncodeRecord(core::AppendId id, const core::Record& record) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<schema::Record>();
  root.setAppendId(static_cast<std::uint64_t>(id));
  std::visit(RecordWriter{root}, record);
  return impl::ToBytes(message);
}

// Bytes that cannot be decoded still occupy their offset, so that all readers
// skip the same records.
core::LogEntry ParseRecord(core::Offset offset, std::string_view bytes) {
  auto entry =
      impl::ReadMessage<schema::Record>(bytes, [&](schema::Record::Reader in) {
        return core::LogEntry{offset, core::AppendId(in.getAppendId()),
                              ReadRecord(in)};
      });
  return entry ? std::move(*entry)
               : core::LogEntry{offset, core::AppendId{offset},
                                core::UnreadableRecord{}};
}

std::string EncodeLogPage(const LogPage& page) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<schema::ReadReply>();
  root.setFirstOffset(page.m_first);
  root.setNextOffset(page.m_next);
  root.setEra(page.m_era);
  auto entries = root.initEntries(Size(page.m_entries));
  for (unsigned i = 0; i < entries.size(); ++i) {
    const std::string& data = page.m_entries[i].m_data;
    entries[i].setOffset(page.m_entries[i].m_offset);
    entries[i].setData(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(data.data()), data.size()));
  }
  return impl::ToBytes(message);
}

tl::expected<LogPage, WireError> ParseLogPage(std::string_view bytes) {
  return impl::ReadMessage<schema::ReadReply>(
      bytes, [](schema::ReadReply::Reader in) {
        LogPage page{in.getFirstOffset(), in.getNextOffset(), {}, in.getEra()};
        for (auto entry : in.getEntries()) {
          const auto data = entry.getData();
          page.m_entries.push_back(
              {entry.getOffset(),
               {reinterpret_cast<const char*>(data.begin()), data.size()}});
        }
        return page;
      });
}

}  // namespace figlug::wire
