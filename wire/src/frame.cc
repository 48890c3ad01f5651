#include "figlug/wire/frame.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <limits>

#include "figlug/wire/impl/big_endian.h"
#include "figlug/wire/impl/message_bytes.h"
#include "figlug/wire/log_codec.h"
#include "generated/peer.capnp.h"

namespace figlug::wire {
namespace {

using core::Duration;
using core::MemberId;
using core::Time;

unsigned Size(const auto& container) {
  return static_cast<unsigned>(container.size());
}

std::uint64_t Raw(MemberId id) {
  return static_cast<std::uint64_t>(id);
}

std::string Text(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

void Write(capnp::List<schema::Header>::Builder out, const Headers& headers) {
  for (unsigned i = 0; i < out.size(); ++i) {
    out[i].setName(impl::AsText(headers[i].m_name));
    out[i].setValue(impl::AsText(headers[i].m_value));
  }
}

Headers Read(capnp::List<schema::Header>::Reader in) {
  Headers headers;
  headers.reserve(in.size());
  for (auto header : in) {
    headers.push_back({Text(header.getName()), Text(header.getValue())});
  }
  return headers;
}

void Write(schema::RequestId::Builder out, const core::RequestId& id) {
  out.setHigh(id.m_high);
  out.setLow(id.m_low);
}

core::RequestId Read(schema::RequestId::Reader in) {
  return {in.getHigh(), in.getLow()};
}

template <class List>
void WriteSlices(List list, const std::vector<core::SliceIndex>& slices) {
  for (unsigned i = 0; i < list.size(); ++i) {
    list.set(i, slices[i]);
  }
}

void Write(schema::Frame::OperatorNews::Builder out,
           const core::OperatorUpdate& update) {
  out.setNext(update.m_next);
  out.setVersion(update.m_version);
  out.setConfiguration(kj::arrayPtr(
      reinterpret_cast<const kj::byte*>(update.m_configuration.data()),
      update.m_configuration.size()));
  auto domains = out.initDomainsOut(Size(update.m_excluded_domains));
  for (unsigned i = 0; i < domains.size(); ++i) {
    domains.set(i, impl::AsText(update.m_excluded_domains[i]));
  }
}

struct PeerMessageWriter {
  schema::Frame::Builder m_out;

  void operator()(const core::ReleaseQuery& query) {
    auto out = m_out.initReleaseQuery();
    out.setFrom(Raw(query.m_from));
    WriteSlices(out.initSlices(Size(query.m_slices)), query.m_slices);
  }
  void operator()(const core::Release& release) {
    auto out = m_out.initRelease();
    out.setFrom(Raw(release.m_from));
    out.setFolded(release.m_folded);
    auto slices = out.initSlices(Size(release.m_slices));
    for (unsigned i = 0; i < slices.size(); ++i) {
      const core::ReleasedSlice& slice = release.m_slices[i];
      slices[i].setSlice(slice.m_slice);
      slices[i].setLostAt(slice.m_lost_at);
      slices[i].setUnknownBeforeMs(
          slice.m_ids.m_unknown_before.time_since_epoch().count());
      auto ids = slices[i].initIds(Size(slice.m_ids.m_ids));
      unsigned j = 0;
      for (const core::RequestId& id : slice.m_ids.m_ids) {
        Write(ids[j++], id);
      }
      if (!slice.m_handover.empty()) {
        slices[i].setHandover(impl::AsText(slice.m_handover));
      }
      slices[i].setWasExclusive(slice.m_was_exclusive);
    }
  }
  void operator()(const core::RecordsQuery& query) {
    auto out = m_out.initRecordsQuery();
    out.setFrom(Raw(query.m_from));
    out.setNext(query.m_next);
  }
  void operator()(const core::OperatorUpdateQuery& query) {
    m_out.setOperatorNewsQuery(Raw(query.m_from));
  }
  void operator()(const core::OperatorUpdate& update) {
    Write(m_out.initOperatorNews(), update);
  }
  void operator()(const core::Records& records) {
    auto group = m_out.initRecords();
    group.setEra(records.m_era);
    auto out = group.initEntries(Size(records.m_entries));
    for (unsigned i = 0; i < out.size(); ++i) {
      const core::LogEntry& entry = records.m_entries[i];
      const std::string data = EncodeRecord(entry.m_append_id, entry.m_record);
      out[i].setOffset(entry.m_offset);
      out[i].setData(kj::arrayPtr(
          reinterpret_cast<const kj::byte*>(data.data()), data.size()));
    }
  }
};

// The address as a number; 0 if the text is none.
std::uint32_t ToAddress(const std::string& host) {
  in_addr address{};
  return inet_pton(AF_INET, host.c_str(), &address) == 1 ? ntohl(address.s_addr)
                                                         : 0;
}

std::string ToHost(std::uint32_t address) {
  if (address == 0) {
    return {};
  }
  std::array<char, INET_ADDRSTRLEN> text{};
  const in_addr raw{htonl(address)};
  return inet_ntop(AF_INET, &raw, text.data(), text.size()) == nullptr
             ? std::string()
             : text.data();
}

/// Ages are rounded up; those that do not fit are of no use.
std::uint32_t ToAgeMs(Duration age) {
  constexpr std::chrono::milliseconds min_age{1};
  const auto rounded =
      std::max(min_age, std::chrono::ceil<std::chrono::milliseconds>(age));
  const bool is_known =
      age >= Duration::zero() &&
      rounded.count() <= std::numeric_limits<std::uint32_t>::max();
  return is_known ? static_cast<std::uint32_t>(rounded.count()) : 0;
}

Duration ReadAgeMs(std::uint32_t age_ms) {
  return age_ms == 0 ? Duration(-1)
                     : Duration(std::chrono::milliseconds(age_ms));
}

struct DatagramWriter {
  schema::Datagram::Builder m_out;

  void operator()(const core::Heartbeat& heartbeat) {
    auto out = m_out.initHeartbeat();
    out.setMember(Raw(heartbeat.m_member));
    out.setGeneration(heartbeat.m_generation);
    out.setProposed(heartbeat.m_proposed);
    out.setSentAtUs(heartbeat.m_sent_at.time_since_epoch().count());
    out.setNext(heartbeat.m_next);
    out.setOperatorsNext(heartbeat.m_operators_next);
    out.setConfiguration(heartbeat.m_configuration);
  }
  void operator()(const core::HeartbeatAck& ack) {
    auto out = m_out.initAck();
    out.setWatcher(Raw(ack.m_watcher));
    out.setMember(Raw(ack.m_member));
    out.setGeneration(ack.m_generation);
    out.setProposed(ack.m_proposed);
    out.setSentAtUs(ack.m_sent_at.time_since_epoch().count());
    out.setNext(ack.m_next);
    out.setIsPledge(ack.m_is_pledge);
    out.setOperatorsNext(ack.m_operators_next);
    out.setConfiguration(ack.m_configuration);
    out.setConfigurationAgeUs(ack.m_configuration_age.count());
    out.setLogAgeMs(ToAgeMs(ack.m_log_age));
  }
  void operator()(const core::ReadReport& report) {
    auto out = m_out.initReadReport();
    out.setReader(Raw(report.m_reader));
    out.setOperatorsNext(report.m_operators_next);
    out.setConfiguration(report.m_configuration);
  }
  void operator()(const core::TokenRequest& request) {
    auto out = m_out.initTokenRequest();
    out.setMember(Raw(request.m_member));
    out.setTenant(static_cast<std::uint64_t>(request.m_tenant));
    out.setWanted(request.m_wanted);
    out.setWaiting(request.m_waiting);
    out.setSentAtUs(request.m_sent_at.time_since_epoch().count());
    out.setReplyAddress(ToAddress(request.m_reply_to.m_host));
    out.setReplyPort(request.m_reply_to.m_port);
  }
  void operator()(const core::TokenGrant& grant) {
    auto out = m_out.initTokenGrant();
    out.setTenant(static_cast<std::uint64_t>(grant.m_tenant));
    out.setGranted(grant.m_granted);
    out.setSentAtUs(grant.m_sent_at.time_since_epoch().count());
    out.setRetryAfterUs(grant.m_retry_after.count());
    out.setIsSettled(grant.m_is_settled);
  }
  void operator()(const core::LedgerQuery& query) {
    auto out = m_out.initLedgerQuery();
    out.setFrom(Raw(query.m_from));
    out.setTo(Raw(query.m_to));
    out.setGroup(query.m_group);
    out.setPosition(query.m_position);
  }
  void operator()(const core::LedgerRelease& release) {
    auto out = m_out.initLedgerRelease();
    out.setFrom(Raw(release.m_from));
    out.setGroup(release.m_group);
    out.setPosition(release.m_position);
  }
  void operator()(const core::LivenessProbe& probe) {
    auto out = m_out.initLivenessProbe();
    out.setFrom(Raw(probe.m_from));
    out.setTo(Raw(probe.m_to));
  }
  void operator()(const core::LivenessReply& reply) {
    m_out.setLivenessReply(Raw(reply.m_member));
  }
};

core::HeartbeatAck ReadAck(schema::Datagram::Ack::Reader in) {
  return {MemberId(in.getWatcher()),
          MemberId(in.getMember()),
          in.getGeneration(),
          in.getProposed(),
          Time(Duration(in.getSentAtUs())),
          in.getIsPledge(),
          in.getNext(),
          in.getOperatorsNext(),
          in.getConfiguration(),
          impl::ReadSpan(in.getConfigurationAgeUs()),
          ReadAgeMs(in.getLogAgeMs())};
}

core::Datagram ReadDatagram(schema::Datagram::Reader root) {
  switch (root.which()) {
    case schema::Datagram::HEARTBEAT: {
      const auto in = root.getHeartbeat();
      return core::Heartbeat{MemberId(in.getMember()),
                             in.getGeneration(),
                             in.getProposed(),
                             Time(Duration(in.getSentAtUs())),
                             in.getNext(),
                             in.getOperatorsNext(),
                             in.getConfiguration()};
    }
    case schema::Datagram::ACK:
      return ReadAck(root.getAck());
    case schema::Datagram::READ_REPORT: {
      const auto in = root.getReadReport();
      return core::ReadReport{MemberId(in.getReader()), in.getOperatorsNext(),
                              in.getConfiguration()};
    }
    case schema::Datagram::TOKEN_REQUEST: {
      const auto in = root.getTokenRequest();
      return core::TokenRequest{
          MemberId(in.getMember()),
          core::TenantId(in.getTenant()),
          in.getWanted(),
          in.getWaiting(),
          Time(Duration(in.getSentAtUs())),
          {ToHost(in.getReplyAddress()), in.getReplyPort()}};
    }
    case schema::Datagram::TOKEN_GRANT: {
      const auto in = root.getTokenGrant();
      return core::TokenGrant{core::TenantId(in.getTenant()), in.getGranted(),
                              Time(Duration(in.getSentAtUs())),
                              impl::ReadSpan(in.getRetryAfterUs()),
                              in.getIsSettled()};
    }
    case schema::Datagram::LEDGER_QUERY: {
      const auto in = root.getLedgerQuery();
      return core::LedgerQuery{MemberId(in.getFrom()), MemberId(in.getTo()),
                               in.getGroup(), in.getPosition()};
    }
    case schema::Datagram::LEDGER_RELEASE: {
      const auto in = root.getLedgerRelease();
      return core::LedgerRelease{MemberId(in.getFrom()), in.getGroup(),
                                 in.getPosition()};
    }
    case schema::Datagram::LIVENESS_PROBE: {
      const auto in = root.getLivenessProbe();
      return core::LivenessProbe{MemberId(in.getFrom()), MemberId(in.getTo())};
    }
    case schema::Datagram::LIVENESS_REPLY:
      return core::LivenessReply{MemberId(root.getLivenessReply())};
  }
  // A kind that this version does not know names no member.
  return core::ReadReport{};
}

struct FrameWriter {
  schema::Frame::Builder m_out;

  void operator()(const AttemptFrame& frame) {
    auto out = m_out.initAttempt();
    out.setAttempt(static_cast<std::uint64_t>(frame.m_attempt));
    auto head = out.initHead();
    head.setService(impl::AsText(frame.m_head.m_service));
    head.setSlice(frame.m_head.m_slice);
    Write(head.initRequestId(), frame.m_head.m_request_id);
    head.setHasCallerId(frame.m_head.m_has_caller_id);
    head.setTimeLeftUs(frame.m_head.m_time_left.count());
    head.setPriority(frame.m_head.m_priority);
    head.setPatienceUs(frame.m_head.m_max_queue_wait.count());
    head.setTargetLatencyUs(frame.m_head.m_target_latency.count());
    head.setTargetLatencyLeftUs(frame.m_head.m_target_latency_left.count());
    out.setMethod(impl::AsText(frame.m_request.m_method));
    out.setPath(impl::AsText(frame.m_request.m_path));
    Write(out.initHeaders(Size(frame.m_request.m_headers)),
          frame.m_request.m_headers);
  }
  void operator()(const ReplyFrame& frame) {
    auto out = m_out.initReply();
    out.setAttempt(static_cast<std::uint64_t>(frame.m_attempt));
    out.setOutcome(static_cast<std::uint8_t>(frame.m_outcome));
    out.setReason(static_cast<std::uint8_t>(frame.m_reason));
    out.setStatus(frame.m_response.m_status);
    Write(out.initHeaders(Size(frame.m_response.m_headers)),
          frame.m_response.m_headers);
    auto load = out.initLoad();
    load.setRunning(frame.m_load.m_running);
    load.setQueued(frame.m_load.m_queued);
    load.setSlots(frame.m_load.m_slots);
    load.setServiceUs(frame.m_load.m_service_time.count());
    load.setOwnServiceUs(frame.m_load.m_own_service_time.count());
    load.setLinkWaitUs(frame.m_load.m_link_wait.count());
  }
  void operator()(const CancelFrame& frame) {
    m_out.setCancel(static_cast<std::uint64_t>(frame.m_attempt));
  }
  void operator()(const core::PeerMessage& message) {
    std::visit(PeerMessageWriter{m_out}, message);
  }
  void operator()(const ProbeFrame&) { m_out.setProbe(); }
  void operator()(const ProbeReplyFrame&) { m_out.setProbeReply(); }
  void operator()(const FragmentFrame& frame) {
    auto out = m_out.initFragment();
    out.setTransfer(frame.m_transfer);
    out.setIsLast(frame.m_is_last);
  }
  void operator()(const FragmentAckFrame&) { m_out.setFragmentAck(); }
  void operator()(const FragmentAbortFrame& frame) {
    m_out.setFragmentAbort(frame.m_transfer);
  }
};

Frame ReadAttempt(schema::Frame::Attempt::Reader in, std::string_view body) {
  AttemptFrame frame;
  frame.m_attempt = core::AttemptId(in.getAttempt());
  const auto head = in.getHead();
  frame.m_head.m_service = Text(head.getService());
  frame.m_head.m_slice = head.getSlice();
  frame.m_head.m_request_id = Read(head.getRequestId());
  frame.m_head.m_has_caller_id = head.getHasCallerId();
  frame.m_head.m_time_left = impl::ReadSpan(head.getTimeLeftUs());
  frame.m_head.m_priority = head.getPriority();
  frame.m_head.m_max_queue_wait = impl::ReadSpan(head.getPatienceUs());
  frame.m_head.m_target_latency = impl::ReadSpan(head.getTargetLatencyUs());
  frame.m_head.m_target_latency_left =
      impl::ReadSpan(head.getTargetLatencyLeftUs());
  frame.m_request.m_method = Text(in.getMethod());
  frame.m_request.m_path = Text(in.getPath());
  frame.m_request.m_headers = Read(in.getHeaders());
  frame.m_request.m_body = body;
  return frame;
}

/// Statuses that a final response may have.
constexpr std::uint16_t kMinFinalStatus = 200;
constexpr std::uint16_t kMaxFinalStatus = 599;

// An outcome that this version does not know becomes kUnknown: it does not
// prove that the request was not executed. Neither does an answer whose status
// no response can have.
Frame ReadReply(schema::Frame::Reply::Reader in, std::string_view body) {
  ReplyFrame frame;
  frame.m_attempt = core::AttemptId(in.getAttempt());
  const std::uint8_t outcome = in.getOutcome();
  frame.m_outcome =
      outcome <= static_cast<std::uint8_t>(core::Outcome::kUnknown)
          ? static_cast<core::Outcome>(outcome)
          : core::Outcome::kUnknown;
  frame.m_reason = in.getReason() < core::kReasonCount
                       ? static_cast<core::Reason>(in.getReason())
                       : core::Reason::kNone;
  frame.m_response.m_status = in.getStatus();
  if (frame.m_outcome == core::Outcome::kAnswered &&
      (in.getStatus() < kMinFinalStatus || in.getStatus() > kMaxFinalStatus)) {
    frame.m_outcome = core::Outcome::kUnknown;
    frame.m_reason = core::Reason::kTargetFailed;
  }
  frame.m_response.m_headers = Read(in.getHeaders());
  frame.m_response.m_body = body;
  const auto load = in.getLoad();
  frame.m_load = {load.getRunning(),
                  load.getQueued(),
                  load.getSlots(),
                  impl::ReadSpan(load.getServiceUs()),
                  impl::ReadSpan(load.getOwnServiceUs()),
                  impl::ReadSpan(load.getLinkWaitUs())};
  return frame;
}

core::PeerMessage ReadRelease(schema::Frame::Release::Reader in) {
  core::Release release{MemberId(in.getFrom()), in.getFolded(), {}};
  for (auto slice : in.getSlices()) {
    core::ReleasedSlice out{slice.getSlice(),
                            slice.getLostAt(),
                            {},
                            Text(slice.getHandover()),
                            slice.getWasExclusive()};
    out.m_ids.m_unknown_before =
        core::WallTime(std::chrono::milliseconds(slice.getUnknownBeforeMs()));
    for (auto id : slice.getIds()) {
      out.m_ids.m_ids.insert(Read(id));
    }
    release.m_slices.push_back(std::move(out));
  }
  return release;
}

core::PeerMessage ReadReleaseQuery(schema::Frame::ReleaseQuery::Reader in) {
  core::ReleaseQuery query{MemberId(in.getFrom()), {}};
  for (std::uint32_t slice : in.getSlices()) {
    query.m_slices.push_back(slice);
  }
  return query;
}

core::PeerMessage ReadRecords(schema::Frame::Records::Reader in) {
  core::Records records{.m_era = in.getEra(), .m_entries = {}};
  for (auto entry : in.getEntries()) {
    const auto data = entry.getData();
    records.m_entries.push_back(ParseRecord(
        entry.getOffset(),
        {reinterpret_cast<const char*>(data.begin()), data.size()}));
  }
  return records;
}

core::PeerMessage ReadOperatorUpdate(schema::Frame::OperatorNews::Reader in) {
  core::OperatorUpdate update{.m_next = in.getNext(),
                              .m_version = in.getVersion()};
  const auto bytes = in.getConfiguration();
  update.m_configuration = {reinterpret_cast<const char*>(bytes.begin()),
                            bytes.size()};
  for (auto domain : in.getDomainsOut()) {
    update.m_excluded_domains.push_back(Text(domain));
  }
  return update;
}

Frame Read(schema::Frame::Reader in, std::string_view body) {
  switch (in.which()) {
    case schema::Frame::ATTEMPT:
      return ReadAttempt(in.getAttempt(), body);
    case schema::Frame::REPLY:
      return ReadReply(in.getReply(), body);
    case schema::Frame::CANCEL:
      return CancelFrame{core::AttemptId(in.getCancel())};
    case schema::Frame::RELEASE_QUERY:
      return ReadReleaseQuery(in.getReleaseQuery());
    case schema::Frame::RELEASE:
      return ReadRelease(in.getRelease());
    case schema::Frame::RECORDS_QUERY:
      return core::PeerMessage(
          core::RecordsQuery{MemberId(in.getRecordsQuery().getFrom()),
                             in.getRecordsQuery().getNext()});
    case schema::Frame::RECORDS:
      return ReadRecords(in.getRecords());
    case schema::Frame::OPERATOR_NEWS_QUERY:
      return core::PeerMessage(
          core::OperatorUpdateQuery{MemberId(in.getOperatorNewsQuery())});
    case schema::Frame::OPERATOR_NEWS:
      return ReadOperatorUpdate(in.getOperatorNews());
    case schema::Frame::PROBE:
      return ProbeFrame{};
    case schema::Frame::PROBE_REPLY:
      return ProbeReplyFrame{};
    case schema::Frame::FRAGMENT:
      return FragmentFrame{in.getFragment().getTransfer(),
                           in.getFragment().getIsLast(), std::string(body)};
    case schema::Frame::FRAGMENT_ACK:
      return FragmentAckFrame{};
    case schema::Frame::FRAGMENT_ABORT:
      return FragmentAbortFrame{in.getFragmentAbort()};
  }
  return CancelFrame{};
}

}  // namespace

tl::expected<FramePrefix, WireError> ParseFramePrefix(std::string_view bytes) {
  const FramePrefix prefix{impl::ReadUint32(bytes),
                           impl::ReadUint32(bytes.substr(4))};
  if (prefix.m_head == 0 || prefix.m_head > kMaxFrameHeadBytes ||
      prefix.m_body > kMaxFrameBodyBytes) {
    return tl::unexpected(
        WireError{"frame prefix: head or body length is out of range"});
  }
  return prefix;
}

std::string EncodeFrameHead(const Frame& frame) {
  capnp::MallocMessageBuilder message;
  std::visit(FrameWriter{message.initRoot<schema::Frame>()}, frame);
  const std::string head = impl::ToPackedBytes(message);
  std::string out;
  out.reserve(kFramePrefixBytes + head.size());
  impl::AppendUint32(out, static_cast<std::uint32_t>(head.size()));
  impl::AppendUint32(out, static_cast<std::uint32_t>(BodyOf(frame).size()));
  out += head;
  return out;
}

std::string_view BodyOf(const Frame& frame) noexcept {
  if (const auto* attempt = std::get_if<AttemptFrame>(&frame)) {
    return attempt->m_request.m_body;
  }
  if (const auto* reply = std::get_if<ReplyFrame>(&frame)) {
    return reply->m_response.m_body;
  }
  if (const auto* fragment = std::get_if<FragmentFrame>(&frame)) {
    return fragment->m_bytes;
  }
  return {};
}

tl::expected<Frame, WireError> ParseFrame(std::string_view head,
                                          std::string_view body) {
  return impl::ReadPackedMessage<schema::Frame>(
      head, [&](schema::Frame::Reader in) -> Frame { return Read(in, body); });
}

std::string EncodeDatagram(const core::Datagram& datagram) {
  capnp::MallocMessageBuilder message;
  std::visit(DatagramWriter{message.initRoot<schema::Datagram>()}, datagram);
  return impl::ToPackedBytes(message);
}

tl::expected<core::Datagram, WireError> ParseDatagram(std::string_view bytes) {
  return impl::ReadPackedMessage<schema::Datagram>(bytes, ReadDatagram);
}

}  // namespace figlug::wire
