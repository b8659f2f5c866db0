#include "Gateway/SharedFeed.h"

#include "Net/Base64.h"
#include "Net/RequestTarget.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>

namespace corneldeck::gateway {

namespace {

constexpr int Ok = 200;
constexpr int Unavailable = 503;
constexpr int HexBase = 16;

// Header fields of a response with a payload.
constexpr std::string_view BaseHeader = "X-Corneldeck-Base";
constexpr std::string_view TargetHeader = "X-Corneldeck-State";
constexpr std::string_view PayloadHeader = "X-Corneldeck-Payload";
constexpr std::string_view SizeHeader = "X-Corneldeck-Size";
constexpr std::string_view FromHeader = "X-Corneldeck-From";
constexpr std::string_view ExtentHeader = "X-Corneldeck-Extent";

std::string formatHash(std::uint64_t Hash) {
  std::array<char, 16> Digits{};
  const auto End = std::to_chars(Digits.data(), Digits.data() + Digits.size(),
                                 Hash, HexBase);
  return {Digits.data(), End.ptr};
}

/// \returns the number, or 0 if \p Text is not a number.
std::uint64_t parseNumber(std::string_view Text, int Base) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value, Base);
  return Value;
}

std::vector<std::uint64_t> parseHashes(std::string_view Text) {
  std::vector<std::uint64_t> Hashes;
  while (!Text.empty()) {
    const std::size_t Comma = std::min(Text.find(','), Text.size());
    Hashes.push_back(parseNumber(Text.substr(0, Comma), HexBase));
    Text.remove_prefix(std::min(Comma + 1, Text.size()));
  }
  return Hashes;
}

std::uint64_t hashField(const net::HttpHeaders &Headers,
                        std::string_view Name) {
  return parseNumber(net::findHeader(Headers, Name), HexBase);
}

std::size_t sizeField(const net::HttpHeaders &Headers, std::string_view Name) {
  constexpr int DecimalBase = 10;
  return parseNumber(net::findHeader(Headers, Name), DecimalBase);
}

feed::LogPosition contentPosition(const wire::FeedExtent &Extent) {
  return {Extent.content_era(), Extent.content_offset(), Extent.content_kept()};
}

metrics::Counter &counter(metrics::Registry &Metrics, const std::string &Name,
                          const std::string &Help, const std::string &Feed) {
  return Metrics.counter("corneldeck_feed_" + Name + "_total", Help,
                         {{"feed", Feed}});
}

} // namespace

SharedFeed::SharedFeed(boost::asio::io_context &Context,
                       const feed::KeyedLogClient &Log, net::HttpClient &Client,
                       base::Timeline &Events, metrics::Registry &Metrics,
                       SharedFeedSettings Settings,
                       feed::KeyedState::IsSignificant IsSignificant,
                       feed::KeyedState::IsOlder IsOlder, Hooks Callbacks)
    : m_Settings(std::move(Settings)), m_Client(Client), m_Events(Events),
      m_Hooks(std::move(Callbacks)),
      m_State(std::move(IsSignificant), std::move(IsOlder)),
      m_Follower(
          Context, Log, m_State, m_Settings.m_Follower,
          {[this] {
             // Each state that was read is kept, since other nodes may ask for
             // the difference from it.
             updateHistory();
             m_Hooks.m_OnNewState(true);
             m_Hooks.m_OnChanged();
           },
           [this](const base::Error *Failure) { recordContact(Failure); },
           [this](const feed::FeedFollower::NewEra &Started) {
             recordNewEra(Started);
           },
           [this](const feed::MalformedRecords &Ignored) {
             m_Events.record(base::EventId::RecordUnreadable,
                             {{"feed", m_Settings.m_Name},
                              {"records", std::to_string(Ignored.m_Count)},
                              {"why", Ignored.m_FirstError}});
           }}),
      m_Role(m_Settings.m_Role),
      m_Selector(m_Settings.m_Selector, m_Settings.m_Zone, m_Settings.m_Seed),
      m_FetchTimer(Context),
      m_SentBytes(counter(Metrics, "sent_bytes",
                          "Bytes of feeds sent to other nodes.",
                          m_Settings.m_Name)),
      m_FetchedBytes(counter(Metrics, "fetched_bytes",
                             "Bytes of feeds received from other nodes.",
                             m_Settings.m_Name)),
      m_DiscardedBytes(counter(Metrics, "discarded_bytes",
                               "Bytes of feeds that were received in vain.",
                               m_Settings.m_Name)),
      m_BusyResponses(counter(Metrics, "busy",
                              "Fetches that another node refused since it had "
                              "too many transfers.",
                              m_Settings.m_Name)),
      m_FailedFetches(counter(Metrics, "failed_fetches",
                              "Transfers of feeds that were not completed.",
                              m_Settings.m_Name)) {}

void SharedFeed::writePosition(wire::FeedPosition &Position) const {
  Position.set_loaded(m_State.isLoaded());
  const feed::LogPosition Content = m_State.contentPosition();
  Position.set_content_era(Content.m_Era);
  Position.set_content_offset(Content.m_Offset);
  Position.set_content_kept(Content.m_IsKept);
  Position.set_source_age_ms(
      static_cast<std::uint32_t>(m_Follower.staleness().count()));
}

void SharedFeed::handlePosition(const wire::NodeNews &Sender,
                                const wire::FeedPosition &Position) {
  const base::Millis Now = m_Clock.now();
  m_Peers[Sender.node()] = {Position, Now};
  if (!Position.loaded())
    return;
  if (m_State.isLoaded())
    m_Selector.setOwnPosition(m_State.contentPosition());
  m_Selector.announced(
      Now, {Sender.node(), Sender.peer_address(), Sender.zone()},
      feed::LogPosition{Position.content_era(), Position.content_offset(),
                        Position.content_kept()});
  fetchIfDue();
}

void SharedFeed::removePeer(const std::string &Node) {
  m_Peers.erase(Node);
  m_Selector.removeSource(Node);
}

void SharedFeed::updateReaderRole(
    const feed::ReaderCandidate &Self,
    const std::vector<wire::NodeNews> &LiveEntries) {
  const base::Millis Now = m_Clock.now();
  feed::ReaderRole::Inputs Known;
  Known.m_LiveNodes = LiveEntries.size();
  Known.m_Loaded = m_State.isLoaded();
  for (const wire::NodeNews &Each : LiveEntries) {
    const feed::ReaderCandidate Other{Each.node(), Each.link_kbps()};
    if (!Other.precedes(Self) || Each.leaving())
      continue;
    ++Known.m_EarlierNodes;
    const auto Found = m_Peers.find(Each.node());
    if (Found == m_Peers.end())
      continue;
    const Peer &Reported = Found->second;
    const base::Millis Age = base::Millis(Reported.m_Position.source_age_ms()) +
                             (Now - Reported.m_ReceivedAt);
    if (Age <= m_Settings.m_MaxStaleness)
      ++Known.m_EarlierReaders;
  }
  m_Follower.setActive(m_Role.update(Now, Known));
}

void SharedFeed::fetchIfDue() {
  const base::Millis Now = m_Clock.now();
  if (m_State.isLoaded())
    m_Selector.setOwnPosition(m_State.contentPosition());
  if (const auto Source = m_Selector.startTransfer(Now)) {
    startTransfer(*Source);
    return;
  }
  const auto Due = m_Selector.nextDue(Now);
  if (!Due)
    return;
  m_FetchTimer.expires_after(
      std::chrono::milliseconds(std::max((*Due - Now).count(), 1L)));
  m_FetchTimer.async_wait([this](const boost::system::error_code &Code) {
    if (!Code)
      fetchIfDue();
  });
}

void SharedFeed::startTransfer(const feed::FeedSource &Source) {
  updateHistory();
  m_Transfer.emplace(Source, m_Clock.now());
  net::HttpCall Call;
  Call.m_Address = Source.m_Address;
  Call.m_Target = "/feeds/" + m_Settings.m_Name + "?have=";
  for (const std::uint64_t Hash : m_History.hashes())
    Call.m_Target += formatHash(Hash) + ",";
  if (!m_Partial.m_Bytes.empty())
    Call.m_Target += "&payload=" + formatHash(m_Partial.m_Hash) +
                     "&from=" + std::to_string(m_Partial.m_Bytes.size());
  // No limit for the whole transfer: its duration depends on the size.
  Call.m_Timeout = base::Millis(0);
  Call.m_ReadTimeout = m_Settings.m_TransferTimeout;
  net::HttpCallbacks Callbacks;
  Callbacks.m_OnHead = [this](const net::HttpResponseHead &Head) {
    onHead(Head);
  };
  Callbacks.m_OnData = [this](std::string_view Data) { onData(Data); };
  Callbacks.m_OnEnd = [this](const base::Result<void> &Outcome) {
    onEnd(Outcome);
  };
  m_Transfer->m_Call = m_Client.request(std::move(Call), std::move(Callbacks));
}

void SharedFeed::onHead(const net::HttpResponseHead &Head) {
  m_Transfer->m_Status = Head.m_Status;
  if (Head.m_Status != Ok)
    return;
  const auto Extent =
      net::decodeBase64(net::findHeader(Head.m_Headers, ExtentHeader));
  m_Transfer->m_HasExtent =
      Extent && m_Transfer->m_Extent.ParseFromString(*Extent);
  feed::StatePayload Sent;
  Sent.m_Base = hashField(Head.m_Headers, BaseHeader);
  Sent.m_Target = hashField(Head.m_Headers, TargetHeader);
  Sent.m_Hash = hashField(Head.m_Headers, PayloadHeader);
  const std::size_t From = sizeField(Head.m_Headers, FromHeader);
  const std::size_t Size = sizeField(Head.m_Headers, SizeHeader);
  m_Transfer->m_IsPlain =
      net::findHeader(Head.m_Headers, PayloadHeader).empty();
  if (!m_Transfer->m_IsPlain && From > 0 && Sent.m_Hash == m_Partial.m_Hash &&
      From == m_Partial.m_Bytes.size()) {
    m_Transfer->m_ResumedAt = From;
    return;
  }
  m_DiscardedBytes.add(m_Partial.m_Bytes.size());
  m_Partial = std::move(Sent);
  m_PartialSize = m_Transfer->m_IsPlain ? feed::MaxStateBytes : Size;
}

void SharedFeed::onData(std::string_view Data) {
  if (m_Transfer->m_Status != Ok)
    return;
  m_FetchedBytes.add(Data.size());
  const base::Millis Now = m_Clock.now();
  m_Transfer->m_IntervalBytes += Data.size();
  std::string Why;
  if (Now - m_Transfer->m_IntervalStart >= m_Settings.m_ProgressInterval) {
    if (m_Transfer->m_IntervalBytes < m_Settings.m_MinProgressBytes)
      Why = "the transfer is too slow";
    m_Transfer->m_IntervalStart = Now;
    m_Transfer->m_IntervalBytes = 0;
  }
  if (m_Partial.m_Bytes.size() + Data.size() >
      std::min(m_PartialSize, feed::MaxStateBytes))
    Why = "the response exceeds its stated size";
  else
    m_Partial.m_Bytes.append(Data);
  if (Why.empty())
    return;
  m_Transfer->m_Call.cancel();
  endTransfer(feed::TransferEnd::Failed, Why);
}

void SharedFeed::onEnd(const base::Result<void> &Outcome) {
  if (m_Transfer->m_Status == Unavailable) {
    m_BusyResponses.add();
    endTransfer(feed::TransferEnd::Busy, {});
    return;
  }
  if (!Outcome || m_Transfer->m_Status != Ok) {
    endTransfer(feed::TransferEnd::Failed,
                Outcome ? "status " + std::to_string(m_Transfer->m_Status)
                        : Outcome.error().m_Message);
    return;
  }
  const auto Applied = applyTransfer();
  endTransfer(Applied ? feed::TransferEnd::Complete : feed::TransferEnd::Failed,
              Applied ? std::string() : Applied.error().m_Message);
}

void SharedFeed::endTransfer(feed::TransferEnd End, const std::string &Why) {
  const Transfer Ended = *std::exchange(m_Transfer, std::nullopt);
  const base::Millis Now = m_Clock.now();
  if (End == feed::TransferEnd::Failed) {
    m_FailedFetches.add();
    m_Events.record(base::EventId::DependencyLost,
                    {{"on", "feed " + m_Settings.m_Name},
                     {"node", Ended.m_Source.m_Node},
                     {"ms", std::to_string((Now - Ended.m_StartedAt).count())},
                     {"received", std::to_string(m_Partial.m_Bytes.size())},
                     {"why", Why}});
  }
  m_Selector.transferEnded(Now, End);
  fetchIfDue();
}

base::Result<void> SharedFeed::applyTransfer() {
  const feed::LogPosition Before = m_State.contentPosition();
  const feed::StatePayload Payload = std::exchange(m_Partial, {});
  const std::size_t Size = std::exchange(m_PartialSize, 0);
  const wire::FeedExtent &Extent = m_Transfer->m_Extent;
  if (m_Transfer->m_IsPlain) {
    if (auto Applied = applyState(Payload.m_Bytes, Extent); !Applied)
      return Applied;
  } else {
    if (Payload.m_Bytes.size() != Size || !m_Transfer->m_HasExtent)
      return base::failure(base::ResultCode::BadMessage,
                           "the response is shorter than its stated size, or "
                           "has no valid extent");
    const feed::StateHistory::SnapshotPtr Base = m_History.find(Payload.m_Base);
    auto Decoded = feed::decodeState(Payload, Base.get());
    if (!Decoded) {
      m_DiscardedBytes.add(Payload.m_Bytes.size());
      return tl::make_unexpected(Decoded.error());
    }
    if (auto Applied = applyState(Decoded->m_Bytes, Extent); !Applied)
      return Applied;
    m_History.add(std::move(*Decoded),
                  std::make_shared<const feed::StatePayload>(Payload));
    // This node may have kept records that the source does not have.
    m_HistoryPosition = contentPosition(Extent);
  }
  m_Events.record(
      base::EventId::FeedFetched,
      {{"feed", m_Settings.m_Name},
       {"node", m_Transfer->m_Source.m_Node},
       {"era", std::to_string(m_State.contentPosition().m_Era)},
       {"offset", std::to_string(m_State.contentPosition().m_Offset)},
       {"bytes", std::to_string(Payload.m_Bytes.size())},
       {"resumed_at", std::to_string(m_Transfer->m_ResumedAt)},
       {"difference", Payload.m_Base != 0 ? "true" : "false"},
       {"ms",
        std::to_string((m_Clock.now() - m_Transfer->m_StartedAt).count())}});
  if (m_State.contentPosition() != Before)
    m_Hooks.m_OnNewState(false);
  return {};
}

base::Result<void> SharedFeed::applyState(const std::string &Bytes,
                                          const wire::FeedExtent &Extent) {
  wire::FeedState State;
  if (!State.ParseFromString(Bytes))
    return base::failure(base::ResultCode::BadMessage,
                         "the state of the feed cannot be parsed");
  std::vector<feed::KeyedRecord> Records;
  Records.reserve(static_cast<std::size_t>(State.records_size()));
  for (wire::FeedRecord &Each : *State.mutable_records()) {
    feed::KeyedRecord &Added = Records.emplace_back();
    Added.setPosition({Each.era(), Each.offset(), Each.is_kept()});
    Added.m_Key = std::move(*Each.mutable_key());
    if (Each.has_value())
      Added.m_Value = std::move(*Each.mutable_value());
  }
  feed::LogPosition Content = contentPosition(Extent);
  if (m_Transfer->m_IsPlain)
    Content.m_Offset = State.content_offset();
  if (m_State.mergeRecords(Records, Content,
                           {{Extent.all_keys_era(), Extent.all_keys_offset()},
                            {Extent.era_keys_era(), Extent.era_keys_offset()}}))
    m_Hooks.m_OnChanged();
  return {};
}

std::string SharedFeed::serializeState() const {
  wire::FeedState State;
  for (feed::KeyedRecord &Each : m_State.records()) {
    wire::FeedRecord &Added = *State.add_records();
    Added.set_era(Each.m_Era);
    Added.set_is_kept(Each.m_IsKept);
    Added.set_offset(Each.m_Offset);
    Added.set_key(std::move(Each.m_Key));
    Added.set_has_value(Each.m_Value.has_value());
    if (Each.m_Value)
      Added.set_value(std::move(*Each.m_Value));
  }
  return State.SerializeAsString();
}

wire::FeedExtent SharedFeed::extent() const {
  wire::FeedExtent Extent;
  const feed::LogPosition Content = m_State.contentPosition();
  Extent.set_content_era(Content.m_Era);
  Extent.set_content_offset(Content.m_Offset);
  Extent.set_content_kept(Content.m_IsKept);
  const feed::KeyedState::Coverage &Covered = m_State.coverage();
  Extent.set_all_keys_era(Covered.m_AllKeys.m_Era);
  Extent.set_all_keys_offset(Covered.m_AllKeys.m_Offset);
  Extent.set_era_keys_era(Covered.m_EraKeys.m_Era);
  Extent.set_era_keys_offset(Covered.m_EraKeys.m_Offset);
  return Extent;
}

void SharedFeed::updateHistory() {
  if (!m_State.isLoaded() || m_HistoryPosition == m_State.contentPosition())
    return;
  m_History.add(feed::StateSnapshot(serializeState()));
  m_HistoryPosition = m_State.contentPosition();
}

std::optional<std::uint64_t> SharedFeed::reserveUpload() {
  const base::Millis Now = m_Clock.now();
  std::erase_if(m_Uploads, [this, Now](const auto &Each) {
    return Now - Each.second > m_Settings.m_MaxUploadTime;
  });
  if (m_Uploads.size() >= m_Settings.m_MaxUploads)
    return std::nullopt;
  m_Uploads.emplace(++m_NextUpload, Now);
  return m_NextUpload;
}

void SharedFeed::sendState(const std::shared_ptr<net::HttpExchange> &Exchange) {
  const net::RequestTarget Target(Exchange->target());
  const auto Bases = Target.text("have");
  if (!m_State.isLoaded()) {
    Exchange->respond(Unavailable, {}, "the feed is not loaded yet\n");
    return;
  }
  // Nodes of earlier releases expect the state itself.
  if (!Bases) {
    wire::FeedState Position;
    Position.set_content_offset(m_State.contentPosition().m_Offset);
    // Serialized messages that follow each other are parsed as one.
    const std::string Body = serializeState() + Position.SerializeAsString();
    m_SentBytes.add(Body.size());
    Exchange->respond(Ok, {{"Content-Type", "application/x-protobuf"}}, Body);
    return;
  }
  updateHistory();
  const feed::StateHistory::PayloadPtr Payload =
      m_History.payload(parseHashes(*Bases));
  std::size_t From = 0;
  if (parseNumber(Target.text("payload").value_or(std::string()), HexBase) ==
      Payload->m_Hash)
    From = std::min<std::size_t>(Target.number("from", 0),
                                 Payload->m_Bytes.size());
  std::function<void()> Release;
  if (Payload->m_Bytes.size() - From > m_Settings.m_SmallUploadBytes) {
    const auto Upload = reserveUpload();
    if (!Upload) {
      Exchange->respond(Unavailable, {}, "too many transfers\n");
      return;
    }
    Release = [this, Number = *Upload] { m_Uploads.erase(Number); };
  }
  net::HttpResponse Response;
  Response.m_Headers = {
      {"Content-Type", "application/zstd"},
      {std::string(BaseHeader), formatHash(Payload->m_Base)},
      {std::string(TargetHeader), formatHash(Payload->m_Target)},
      {std::string(PayloadHeader), formatHash(Payload->m_Hash)},
      {std::string(SizeHeader), std::to_string(Payload->m_Bytes.size())},
      {std::string(FromHeader), std::to_string(From)},
      {std::string(ExtentHeader),
       net::encodeBase64(extent().SerializeAsString())}};
  Response.m_Body = Payload->m_Bytes.substr(From);
  m_SentBytes.add(Response.m_Body.size());
  Exchange->respond(Response, std::move(Release));
}

void SharedFeed::recordContact(const base::Error *Failure) {
  const bool IsOk = Failure == nullptr;
  if (IsOk == m_LogReachable)
    return;
  m_LogReachable = IsOk;
  m_Events.record(
      IsOk ? base::EventId::DependencyBack : base::EventId::DependencyLost,
      {{"on", "log " + m_Settings.m_Name},
       {"offset", std::to_string(m_State.contentPosition().m_Offset)},
       {"why", IsOk ? std::string() : Failure->m_Message}});
}

void SharedFeed::recordNewEra(const feed::FeedFollower::NewEra &Started) {
  m_Events.record(base::EventId::LogEraChanged,
                  {{"feed", m_Settings.m_Name},
                   {"era_before", std::to_string(Started.m_Before)},
                   {"era", std::to_string(Started.m_Era)},
                   {"offset_before", std::to_string(Started.m_OffsetBefore)},
                   {"offset", std::to_string(Started.m_Offset)},
                   {"kept_keys", std::to_string(Started.m_KeptKeys)}});
}

} // namespace corneldeck::gateway
