#include "Fleet/FleetNode.h"

#include <algorithm>
#include <chrono>

namespace corneldeck::fleet {

namespace {

/// Nodes without news for longer are removed, since a replaced VM returns under
/// another address.
constexpr base::Millis RetentionPeriod = base::seconds(20);
/// Interval between heartbeats until an entry has responded. It is short
/// because after a power failure the seeds may start last.
constexpr base::Millis DiscoveryInterval{100};

bool isEntry(const wire::NodeNews &News) {
  return !News.caller_address().empty();
}

} // namespace

FleetNode::FleetNode(boost::asio::io_context &Context, FleetSettings Settings,
                     base::Timeline &Events, metrics::Registry &Metrics,
                     Hooks Callbacks)
    : m_Settings(std::move(Settings)), m_Events(Events),
      m_Hooks(std::move(Callbacks)),
      m_Socket(Context,
               [this](std::string_view Bytes, const std::string &From) {
                 onDatagram(Bytes, From);
               }),
      m_Timer(Context), m_Entries(m_Settings.m_Liveness) {
  const google::protobuf::OneofDescriptor &Types =
      *wire::Datagram::descriptor()->FindOneofByName("body");
  for (int Index = 0; Index < Types.field_count(); ++Index) {
    const google::protobuf::FieldDescriptor &Type = *Types.field(Index);
    const metrics::Labels Labels = {{"type", Type.name()}};
    m_Counters[Type.number()] = {
        &Metrics.counter("corneldeck_datagrams_sent_total",
                         "Datagrams sent to other processes.", Labels),
        &Metrics.counter("corneldeck_datagram_sent_bytes_total",
                         "Bytes of datagrams sent to other processes.", Labels),
        &Metrics.counter("corneldeck_datagram_send_errors_total",
                         "Datagrams that the operating system did not accept.",
                         Labels),
        &Metrics.counter("corneldeck_datagrams_received_total",
                         "Datagrams received from other processes.", Labels),
        &Metrics.counter("corneldeck_datagram_received_bytes_total",
                         "Bytes of datagrams received from other processes.",
                         Labels)};
  }
}

base::Result<void> FleetNode::start() {
  if (auto Opened = m_Socket.open(m_Settings.m_PeerAddress); !Opened)
    return Opened;
  refreshSelf();
  tick();
  return {};
}

void FleetNode::setReady(bool Ready) {
  if (m_Ready == Ready)
    return;
  m_Ready = Ready;
  m_Events.record(base::EventId::ReadinessChanged,
                  {{"ready", Ready ? "true" : "false"}});
  refreshSelf();
  sendHeartbeats();
}

void FleetNode::leave() {
  m_Leaving = true;
  m_Ready = false;
  refreshSelf();
  sendHeartbeats();
}

void FleetNode::addNode(const wire::NodeNews &News) {
  if (News.node() == m_Settings.m_Node || News.peer_address().empty())
    return;
  Known &Entry = m_Known[News.node()];
  if (Entry.m_News.incarnation() >= News.incarnation())
    return;
  Entry.m_News = News;
  Entry.m_LastHeard = m_Clock.now();
  // After a power failure all nodes rediscover each other. A heartbeat now
  // avoids waiting for the next interval.
  if (isEntry(News))
    sendHeartbeat(News.peer_address(), {}, false);
}

void FleetNode::send(const std::string &Address,
                     const wire::Datagram &Message) {
  const std::string Bytes = Message.SerializeAsString();
  const TypeCounters &Count = counters(Message);
  Count.m_Sent->add();
  Count.m_SentBytes->add(Bytes.size());
  const auto Sent = m_Socket.send(Address, Bytes);
  if (!Sent)
    Count.m_SendErrors->add();
  if (Sent.has_value() == m_CanSend)
    return;
  m_CanSend = Sent.has_value();
  m_Events.record(m_CanSend ? base::EventId::DependencyBack
                            : base::EventId::DependencyLost,
                  {{"on", "datagrams"},
                   {"to", Address},
                   {"bytes", std::to_string(Bytes.size())},
                   {"why", Sent ? std::string() : Sent.error().m_Message}});
}

void FleetNode::sendTo(const std::string &Node, const wire::Datagram &Message) {
  if (const auto Found = m_Known.find(Node); Found != m_Known.end())
    send(Found->second.m_News.peer_address(), Message);
}

void FleetNode::sendToEntries(const wire::Datagram &Message,
                              std::size_t MaxCount, base::Random &Rng) {
  std::vector<wire::NodeNews> Receivers = liveEntries();
  // A partial shuffle draws the first MaxCount receivers.
  for (std::size_t Index = 0; Index < std::min(MaxCount, Receivers.size()) &&
                              Receivers.size() > MaxCount;
       ++Index)
    std::swap(Receivers[Index],
              Receivers[Index + Rng.below(Receivers.size() - Index)]);
  if (Receivers.size() > MaxCount)
    Receivers.resize(MaxCount);
  for (const wire::NodeNews &Each : Receivers)
    send(Each.peer_address(), Message);
}

const FleetNode::TypeCounters &
FleetNode::counters(const wire::Datagram &Message) const {
  return m_Counters.at(Message.body_case());
}

wire::NodeNews FleetNode::self() const {
  wire::NodeNews News;
  News.set_node(m_Settings.m_Node);
  News.set_incarnation(m_Settings.m_Incarnation);
  News.set_peer_address(m_Settings.m_PeerAddress);
  News.set_caller_address(m_Settings.m_CallerAddress);
  News.set_zone(m_Settings.m_Zone);
  News.set_link_kbps(m_Settings.m_LinkKbps);
  News.set_ready(m_Ready);
  News.set_leaving(m_Leaving);
  return News;
}

std::vector<wire::NodeNews> FleetNode::liveEntries() const {
  std::vector<wire::NodeNews> Live;
  const base::Millis Now = m_Clock.now();
  for (const auto &[Node, Each] : m_Known)
    if (isEntry(Each.m_News) && m_Entries.alive(Now, Node))
      Live.push_back(Each.m_News);
  return Live;
}

std::vector<wire::NodeNews> FleetNode::agents() const {
  std::vector<wire::NodeNews> All;
  for (const auto &[Node, Each] : m_Known)
    if (!isEntry(Each.m_News))
      All.push_back(Each.m_News);
  return All;
}

void FleetNode::refreshSelf() {
  if (m_Settings.m_CallerAddress.empty())
    return;
  m_Entries.update(m_Clock.now(), {m_Settings.m_Node, m_Settings.m_Incarnation,
                                   m_Settings.m_CallerAddress,
                                   m_Settings.m_Zone, m_Leaving || !m_Ready});
}

void FleetNode::tick() {
  refreshSelf();
  for (const auto &Event : m_Entries.tick(m_Clock.now())) {
    using Type = membership::MemberEvent::Type;
    const bool Lost = Event.m_Type == Type::Silent ||
                      Event.m_Type == Type::Lost ||
                      Event.m_Type == Type::Leaving;
    m_Events.record(
        Lost ? base::EventId::NodeLost : base::EventId::NodeReturned,
        {{"node", Event.m_Node},
         {"leaving", Event.m_Type == Type::Leaving ? "true" : "false"}});
    if (Lost && m_Hooks.m_OnEntryLost)
      m_Hooks.m_OnEntryLost(Event.m_Node);
  }
  std::erase_if(m_Known, [Now = m_Clock.now()](const auto &Each) {
    return Now - Each.second.m_LastHeard > RetentionPeriod;
  });
  const base::Millis Interval =
      sendHeartbeats()
          ? m_Settings.m_HeartbeatInterval
          : std::min(m_Settings.m_HeartbeatInterval, DiscoveryInterval);
  m_Timer.expires_after(std::chrono::milliseconds(Interval.count()));
  m_Timer.async_wait([this](const boost::system::error_code &Code) {
    if (!Code)
      tick();
  });
}

bool FleetNode::sendHeartbeats() {
  const bool RequestDue =
      m_HeartbeatRounds++ % m_Settings.m_HeartbeatsPerListRequest == 0;
  std::vector<wire::NodeNews> Listed;
  if (isEntry(self())) {
    const std::vector<wire::NodeNews> Heard = directlyHeardNodes();
    for (std::size_t Count = 0;
         Count < std::min(m_Settings.m_NodesPerHeartbeat, Heard.size());
         ++Count)
      Listed.push_back(Heard[m_ListedNodes++ % Heard.size()]);
  }
  bool AnyEntry = false;
  for (const auto &[Node, Each] : m_Known) {
    if (!isEntry(Each.m_News))
      continue;
    AnyEntry = AnyEntry || Each.m_DirectlyHeard;
    sendHeartbeat(Each.m_News.peer_address(), Listed, false);
  }
  // Seeds may start late or be replaced, so a node without a responding entry
  // keeps sending to them.
  if (!AnyEntry || RequestDue)
    for (const std::string &Seed : m_Settings.m_Seeds)
      if (Seed != m_Settings.m_PeerAddress)
        sendHeartbeat(Seed, {}, true);
  return AnyEntry;
}

void FleetNode::sendHeartbeat(const std::string &Address,
                              const std::vector<wire::NodeNews> &Listed,
                              bool RequestMemberList) {
  wire::Datagram Message;
  wire::FleetBeat &Beat = *Message.mutable_beat();
  *Beat.mutable_sender() = self();
  Beat.set_wants_known(RequestMemberList);
  if (m_Hooks.m_FillHeartbeat)
    m_Hooks.m_FillHeartbeat(Beat);
  Beat.mutable_known()->Add(Listed.begin(), Listed.end());
  send(Address, Message);
}

void FleetNode::sendMemberList(const std::string &Address) {
  const std::vector<wire::NodeNews> Heard = directlyHeardNodes();
  std::size_t Begin = 0;
  do {
    const std::size_t End =
        std::min(Heard.size(), Begin + m_Settings.m_NodesPerListDatagram);
    sendHeartbeat(Address,
                  {Heard.begin() + static_cast<std::ptrdiff_t>(Begin),
                   Heard.begin() + static_cast<std::ptrdiff_t>(End)},
                  false);
    Begin = End;
  } while (Begin < Heard.size());
}

std::vector<wire::NodeNews> FleetNode::directlyHeardNodes() const {
  std::vector<wire::NodeNews> Heard;
  for (const auto &[Node, Each] : m_Known)
    if (Each.m_DirectlyHeard)
      Heard.push_back(Each.m_News);
  return Heard;
}

void FleetNode::onDatagram(std::string_view Bytes, const std::string &From) {
  wire::Datagram Message;
  if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()))) {
    m_Events.record(base::EventId::BadFrame,
                    {{"from", From}, {"bytes", std::to_string(Bytes.size())}});
    return;
  }
  if (Message.body_case() == wire::Datagram::BODY_NOT_SET)
    return;
  const TypeCounters &Count = counters(Message);
  Count.m_Received->add();
  Count.m_ReceivedBytes->add(Bytes.size());
  if (Message.has_beat())
    onHeartbeat(Message.beat(), From);
  else if (Message.has_report() && m_Hooks.m_OnGroupReport)
    m_Hooks.m_OnGroupReport(Message.report());
  else if (Message.has_command() && m_Hooks.m_OnRankCommand)
    m_Hooks.m_OnRankCommand(Message.command());
  else if (Message.has_rate_token() && m_Hooks.m_OnRateToken)
    m_Hooks.m_OnRateToken(Message.rate_token());
  else if (Message.has_feed_news())
    onFeedNews(Message.feed_news());
}

void FleetNode::onFeedNews(const wire::FeedNews &News) {
  const auto Found = m_Known.find(News.node());
  if (Found != m_Known.end() && Found->second.m_DirectlyHeard &&
      m_Hooks.m_OnFeedNews)
    m_Hooks.m_OnFeedNews(Found->second.m_News, News);
}

void FleetNode::onHeartbeat(const wire::FleetBeat &Beat,
                            const std::string &From) {
  const wire::NodeNews &Sender = Beat.sender();
  if (Sender.node().empty() || Sender.node() == m_Settings.m_Node)
    return;
  Known &Entry = m_Known[Sender.node()];
  if (Entry.m_News.incarnation() > Sender.incarnation())
    return;
  const bool IsNew = !Entry.m_DirectlyHeard;
  Entry.m_News = Sender;
  Entry.m_LastHeard = m_Clock.now();
  Entry.m_DirectlyHeard = true;
  if (isEntry(Sender))
    m_Entries.update(m_Clock.now(), {Sender.node(), Sender.incarnation(),
                                     Sender.caller_address(), Sender.zone(),
                                     Sender.leaving() || !Sender.ready()});
  for (const wire::NodeNews &Each : Beat.known())
    addNode(Each);
  if (m_Hooks.m_OnHeartbeat)
    m_Hooks.m_OnHeartbeat(Beat);
  if (Beat.wants_known())
    sendMemberList(From);
  else if (IsNew)
    sendHeartbeat(From, {}, false);
}

} // namespace corneldeck::fleet
