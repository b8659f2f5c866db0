#include "Fleet/FleetCore.h"

#include "Fleet/FleetSummary.h"
#include "Membership/Relays.h"

#include <algorithm>

namespace corneldeck::fleet {

namespace {

/// Nodes without news for longer are removed, since a replaced VM returns under
/// another address.
constexpr base::Millis RetentionPeriod = base::seconds(20);
/// Interval between heartbeats until an entry has responded. It is short
/// because after a power failure the seeds may start last.
constexpr base::Millis DiscoveryInterval{100};
/// Nodes that are only listed by others are taken for silent after this time
/// without a list.
constexpr base::Millis ListedTimeout{1600};
/// A node whose datagrams are more recent is alive without being listed.
constexpr base::Millis DirectTimeout{1000};
/// Summaries of other zones are not used after this time.
constexpr base::Millis ReportLifetime{1000};
/// Reports of agents are not used after this time, two of their heartbeats.
constexpr base::Millis AgentReportLifetime{2500};
/// Time for which a relay that sent no summaries is not used.
constexpr base::Millis SuspicionTime = base::seconds(3);
/// A node that has received a summary within this time uses relays.
constexpr base::Millis SummaryMemory = base::seconds(10);
/// A node that has received no summary for this time has lost contact.
constexpr base::Millis ContactTimeout = base::seconds(2);
/// Interval between two requests for the descriptions of unknown nodes.
constexpr base::Millis NodeRequestInterval{300};
/// Changes are not announced more often.
constexpr base::Millis MinSummaryInterval{50};
/// Every this many summaries, the agents are listed.
constexpr unsigned SummariesPerAgentRoster = 5;
/// Heartbeats between two suggestions of relays to a node that uses another.
constexpr std::uint32_t BeatsPerSuggestion = 4;
/// Number of own heartbeats that are kept.
constexpr std::size_t MaxSentBeats = 16;
/// Number of names in a log line.
constexpr std::size_t MaxLoggedNodes = 5;

bool describesEntry(const wire::NodeNews &News) {
  return !News.caller_address().empty();
}

std::uint8_t rosterState(const wire::NodeNews &News) {
  unsigned State = wire::ZoneRoster::STARTING;
  if (News.ready())
    State |= wire::ZoneRoster::READY;
  if (News.leaving())
    State |= wire::ZoneRoster::LEAVING;
  if (!describesEntry(News))
    State |= wire::ZoneRoster::AGENT;
  return static_cast<std::uint8_t>(State);
}

void addToRoster(wire::ZoneRoster &Roster, std::uint32_t Hash,
                 std::uint8_t State) {
  Roster.add_nodes(Hash);
  Roster.mutable_states()->push_back(static_cast<char>(State));
}

} // namespace

FleetCore::FleetCore(FleetSettings Settings, base::Clock Time, Sender Send,
                     base::Timeline &Events, metrics::Registry &Metrics,
                     Hooks Callbacks)
    : m_Settings(std::move(Settings)), m_Clock(std::move(Time)),
      m_Send(std::move(Send)), m_Events(Events), m_Hooks(std::move(Callbacks)),
      m_Entries(m_Settings.m_Liveness) {
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

base::Millis FleetCore::tick() {
  refreshSelf();
  recordChanges();
  removeExpired();
  updateRole();
  const bool HasContact = sendHeartbeats();
  sendSummaries();
  requestUnknownNodes();
  return HasContact
             ? m_Settings.m_HeartbeatInterval
             : std::min(m_Settings.m_HeartbeatInterval, DiscoveryInterval);
}

void FleetCore::setReady(bool Ready) {
  if (m_Ready == Ready)
    return;
  m_Ready = Ready;
  m_Events.record(base::EventId::ReadinessChanged,
                  {{"ready", Ready ? "true" : "false"}});
  refreshSelf();
  m_RosterChanged = true;
  sendHeartbeats();
  sendSummaries();
}

void FleetCore::leave() {
  m_Leaving = true;
  m_Ready = false;
  refreshSelf();
  m_RosterChanged = true;
  sendHeartbeats();
  sendSummaries();
}

// Datagrams

void FleetCore::send(const std::string &Address,
                     const wire::Datagram &Message) {
  sendBytes(Address, Message, Message.SerializeAsString());
}

void FleetCore::sendBytes(const std::string &Address,
                          const wire::Datagram &Message,
                          const std::string &Bytes) {
  const TypeCounters &Count = counters(Message);
  Count.m_Sent->add();
  Count.m_SentBytes->add(Bytes.size());
  const auto Sent = m_Send(Address, Bytes);
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

void FleetCore::sendTo(const std::string &Node, const wire::Datagram &Message) {
  if (const auto Found = m_Known.find(Node); Found != m_Known.end())
    send(Found->second.m_News.peer_address(), Message);
}

void FleetCore::sendToEntries(const wire::Datagram &Message,
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
  const std::string Bytes = Message.SerializeAsString();
  for (const wire::NodeNews &Each : Receivers)
    sendBytes(Each.peer_address(), Message, Bytes);
}

const FleetCore::TypeCounters &
FleetCore::counters(const wire::Datagram &Message) const {
  return m_Counters.at(Message.body_case());
}

void FleetCore::handleDatagram(std::string_view Bytes,
                               const std::string &From) {
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
    handleHeartbeat(Message.beat(), From);
  else if (Message.has_summary())
    handleSummary(Message.summary(), From);
  else if (Message.has_report() && m_Hooks.m_OnGroupReport)
    m_Hooks.m_OnGroupReport(Message.report());
  else if (Message.has_command() && m_Hooks.m_OnRankCommand)
    m_Hooks.m_OnRankCommand(Message.command());
  else if (Message.has_rate_token() && m_Hooks.m_OnRateToken)
    m_Hooks.m_OnRateToken(Message.rate_token());
  else if (Message.has_feed_news())
    handleFeedNews(Message.feed_news());
  else if (Message.has_quarantine() && m_Hooks.m_OnQuarantineNews)
    m_Hooks.m_OnQuarantineNews(Message.quarantine());
  else if (Message.has_node_request())
    handleNodeRequest(Message.node_request(), From);
}

// Membership

wire::NodeNews FleetCore::self() const {
  wire::NodeNews News;
  News.set_node(m_Settings.m_Node);
  News.set_incarnation(m_Settings.m_Incarnation);
  News.set_peer_address(m_Settings.m_PeerAddress);
  News.set_caller_address(m_Settings.m_CallerAddress);
  News.set_zone(m_Settings.m_Zone);
  News.set_link_kbps(m_Settings.m_LinkKbps);
  News.set_ready(m_Ready);
  News.set_leaving(m_Leaving);
  News.set_group(m_Group);
  return News;
}

std::vector<wire::NodeNews> FleetCore::liveEntries() const {
  std::vector<wire::NodeNews> Live;
  const base::Millis Now = m_Clock.now();
  for (const auto &[Node, Each] : m_Known)
    if (describesEntry(Each.m_News) && m_Entries.alive(Now, Node))
      Live.push_back(Each.m_News);
  return Live;
}

std::vector<wire::NodeNews> FleetCore::agents() const {
  std::vector<wire::NodeNews> All;
  for (const auto &[Node, Each] : m_Known)
    if (!describesEntry(Each.m_News))
      All.push_back(Each.m_News);
  return All;
}

const wire::NodeNews *FleetCore::findNode(const std::string &Node) const {
  const auto Found = m_Known.find(Node);
  return Found == m_Known.end() ? nullptr : &Found->second.m_News;
}

void FleetCore::refreshSelf() {
  if (isEntry())
    updateEntry(self(), {});
}

void FleetCore::updateEntry(const wire::NodeNews &News,
                            base::Millis SilenceTimeout) {
  m_Entries.update(m_Clock.now(),
                   {News.node(), News.incarnation(), News.caller_address(),
                    News.zone(), News.leaving(), News.ready(), SilenceTimeout});
}

void FleetCore::recordChanges() {
  std::vector<std::string> Returned;
  std::vector<std::string> Leaving;
  std::vector<std::string> Lost;
  for (const auto &Event : m_Entries.tick(m_Clock.now())) {
    m_RosterChanged = true;
    if (Event.m_Node == m_Settings.m_Node)
      continue;
    switch (Event.m_Type) {
    case membership::MemberEvent::Type::Joined:
    case membership::MemberEvent::Type::Returned:
    case membership::MemberEvent::Type::Replaced:
      Returned.push_back(Event.m_Node);
      continue;
    case membership::MemberEvent::Type::Leaving:
      Leaving.push_back(Event.m_Node);
      break;
    case membership::MemberEvent::Type::Silent:
      Lost.push_back(Event.m_Node);
      break;
    case membership::MemberEvent::Type::Lost:
      break;
    }
    if (m_Hooks.m_OnEntryLost)
      m_Hooks.m_OnEntryLost(Event.m_Node);
  }
  recordNodes(base::EventId::NodeReturned, Returned);
  recordNodes(base::EventId::NodeLeaving, Leaving);
  recordNodes(base::EventId::NodeLost, Lost);
}

void FleetCore::recordNodes(base::EventId Event,
                            const std::vector<std::string> &Nodes) {
  if (Nodes.empty())
    return;
  std::string Names;
  for (std::size_t Index = 0; Index < std::min(Nodes.size(), MaxLoggedNodes);
       ++Index)
    Names.append(Index > 0 ? "," : "").append(Nodes[Index]);
  m_Events.record(Event,
                  {{"nodes", std::to_string(Nodes.size())}, {"first", Names}});
}

void FleetCore::removeExpired() {
  const base::Millis Now = m_Clock.now();
  std::erase_if(m_Known, [this, Now](const auto &Each) {
    const bool Expired = Now - Each.second.m_LastHeard > RetentionPeriod;
    if (Expired)
      m_NodeByHash.erase(Each.second.m_Hash);
    return Expired;
  });
  std::erase_if(m_Suspected,
                [Now](const auto &Each) { return Each.second <= Now; });
  for (auto &[Zone, Reports] : m_ZoneReports)
    std::erase_if(Reports, [Now](const auto &Each) {
      return Now - Each.second.m_ReceivedAt > ListedTimeout;
    });
  for (auto &[Zone, Rosters] : m_Rosters)
    std::erase_if(Rosters, [this, Now](const auto &Each) {
      return Now - Each.second.m_ReceivedAt > listedTimeout();
    });
}

FleetCore::Known &FleetCore::updateKnown(const wire::NodeNews &News) {
  Known &Node = m_Known[News.node()];
  const std::uint32_t Hash = nodeHash(News);
  if (Node.m_Hash != Hash) {
    m_NodeByHash.erase(Node.m_Hash);
    m_NodeByHash[Hash] = News.node();
    Node = {};
    Node.m_Hash = Hash;
  }
  Node.m_News = News;
  Node.m_LastHeard = m_Clock.now();
  m_Unknown.erase(Hash);
  return Node;
}

base::Millis FleetCore::listedTimeout() const {
  // Agents receive lists less often.
  return std::max(ListedTimeout, m_Settings.m_Liveness.m_SilenceTimeout);
}

bool FleetCore::heardDirectly(const Known &Node, base::Millis Age) const {
  return Node.m_LastDirect && m_Clock.now() - *Node.m_LastDirect <= Age;
}

bool FleetCore::heardDirectly(const std::string &Node, base::Millis Age) const {
  const auto Found = m_Known.find(Node);
  return Found != m_Known.end() && heardDirectly(Found->second, Age);
}

void FleetCore::addNode(const wire::NodeNews &News) {
  if (News.node() == m_Settings.m_Node || News.peer_address().empty())
    return;
  const auto Found = m_Known.find(News.node());
  const std::uint64_t KnownIncarnation =
      Found == m_Known.end() ? 0 : Found->second.m_News.incarnation();
  if (KnownIncarnation > News.incarnation())
    return;
  const bool IsNew = KnownIncarnation < News.incarnation();
  // An agent learns the rank group of its engine some time after its start.
  const bool HasNewGroup = !IsNew && !News.group().empty() &&
                           Found->second.m_News.group() != News.group();
  if (IsNew || HasNewGroup)
    updateKnown(News);
  if (!describesEntry(News))
    return;
  if (!isEntry() || usesRelays()) {
    if (!m_Entries.alive(m_Clock.now(), News.node()))
      updateEntry(News, listedTimeout());
    return;
  }
  // After a power failure all nodes rediscover each other. A heartbeat now
  // avoids waiting for the next interval.
  if (IsNew && m_Known.size() <= maxDirectEntries())
    sendHeartbeat(News.peer_address(), {}, false);
}

// Relays

std::size_t FleetCore::maxDirectEntries() const {
  const bool HasOtherZone =
      std::any_of(m_Known.begin(), m_Known.end(), [this](const auto &Each) {
        return describesEntry(Each.second.m_News) &&
               Each.second.m_News.zone() != m_Settings.m_Zone;
      });
  return HasOtherZone ? std::min(m_Settings.m_MaxDirectEntries,
                                 m_Settings.m_MaxDirectEntriesAcrossZones)
                      : m_Settings.m_MaxDirectEntries;
}

void FleetCore::updateRole() {
  const auto Entries = static_cast<std::size_t>(std::count_if(
                           m_Known.begin(), m_Known.end(),
                           [](const auto &Each) {
                             return describesEntry(Each.second.m_News);
                           })) +
                       (isEntry() ? 1 : 0);
  // Below the limit by some margin, so that the fleet does not change its way
  // of exchange with each entry that starts or stops.
  const std::size_t Limit =
      usesRelays() ? maxDirectEntries() / 4 * 3 : maxDirectEntries();
  // An agent knows a part of the entries only.
  const bool HasSummary =
      m_LastSummaryAt && m_Clock.now() - *m_LastSummaryAt <= SummaryMemory;
  const bool IsLarge = isEntry() ? Entries > Limit || HasSummary : HasSummary;
  if (!IsLarge) {
    m_Role = Role::Direct;
    return;
  }
  if (!usesRelays()) {
    m_Role = Role::Member;
    m_PrimarySince = m_Clock.now();
    for (const auto &[Node, Each] : m_Known)
      if (describesEntry(Each.m_News) &&
          !m_Entries.alive(m_Clock.now(), Node) &&
          m_Clock.now() - Each.m_LastHeard <= ListedTimeout)
        updateEntry(Each.m_News, ListedTimeout);
  }
  m_RegularRelays = ownRelaysIn(chooseRelays(false));
  m_Relays = chooseRelays(true);
  checkPrimary();
  const std::vector<std::string> &Own = m_Relays[m_Settings.m_Zone];
  const bool IsRelay =
      std::find(Own.begin(), Own.end(), m_Settings.m_Node) != Own.end();
  if (m_Role == Role::Relay && !IsRelay)
    m_PrimarySince = m_Clock.now();
  m_Role = IsRelay ? Role::Relay : Role::Member;
}

std::map<std::string, std::vector<std::string>>
FleetCore::chooseRelays(bool WithoutSuspected) const {
  const base::Millis Now = m_Clock.now();
  std::vector<membership::RelayCandidate> Candidates;
  const auto AddCandidate = [&Candidates](const wire::NodeNews &News) {
    Candidates.push_back(
        {News.node(), News.zone(), News.ready(), News.link_kbps()});
  };
  for (const auto &[Node, Each] : m_Known)
    if (describesEntry(Each.m_News) && !Each.m_News.leaving() &&
        !(WithoutSuspected && m_Suspected.contains(Node)) &&
        m_Entries.alive(Now, Node))
      AddCandidate(Each.m_News);
  if (isEntry() && !m_Leaving)
    AddCandidate(self());
  return membership::chooseRelays(std::move(Candidates),
                                  m_Settings.m_RelaysPerZone);
}

std::vector<std::string> FleetCore::ownRelaysIn(
    const std::map<std::string, std::vector<std::string>> &Relays) const {
  std::vector<std::string> Own;
  if (const auto Found = Relays.find(m_Settings.m_Zone); Found != Relays.end())
    Own = Found->second;
  std::erase(Own, m_Settings.m_Node);
  // An agent may be in a zone without entries.
  for (auto Zone = Relays.begin();
       !isEntry() && Own.empty() && Zone != Relays.end(); ++Zone)
    Own = Zone->second;
  return Own;
}

std::string FleetCore::choosePrimary() const {
  if (!m_RegularRelays.empty()) {
    const std::size_t First = nodeHash(self()) % m_RegularRelays.size();
    for (std::size_t Index = 0; Index < m_RegularRelays.size(); ++Index) {
      const std::string &Each =
          m_RegularRelays[(First + Index) % m_RegularRelays.size()];
      if (!m_Suspected.contains(Each))
        return Each;
    }
  }
  const std::vector<std::string> Others = ownRelaysIn(m_Relays);
  return Others.empty() ? std::string() : Others.front();
}

void FleetCore::checkPrimary() {
  const base::Millis Now = m_Clock.now();
  for (;;) {
    const std::string Primary = choosePrimary();
    if (Primary != m_Primary) {
      m_Primary = Primary;
      m_PrimarySince = Now;
    }
    const base::Millis Since =
        std::max(m_PrimarySince, m_LastSummaryAt.value_or(m_PrimarySince));
    const bool ExpectsSummaries = isEntry() && m_Role == Role::Member;
    if (!ExpectsSummaries || Primary.empty() ||
        Now - Since <= m_Settings.m_RelayTimeout)
      return;
    m_Suspected[Primary] = Now + SuspicionTime;
    m_Relays = chooseRelays(true);
  }
}

std::set<std::string> FleetCore::heartbeatTargets() const {
  // A relay that is suspected by this node only still has to hear of it.
  std::set<std::string> Targets(m_RegularRelays.begin(), m_RegularRelays.end());
  for (std::string &Each : ownRelaysIn(m_Relays))
    Targets.insert(std::move(Each));
  return Targets;
}

// Heartbeats

bool FleetCore::sendHeartbeats() {
  ++m_HeartbeatRounds;
  if (usesRelays())
    sendHeartbeatsToRelays();
  else
    sendDirectHeartbeats();
  const base::Millis Now = m_Clock.now();
  bool HasContact =
      std::any_of(m_Known.begin(), m_Known.end(), [&](const auto &Each) {
        return describesEntry(Each.second.m_News) &&
               (usesRelays() ? heardDirectly(Each.second, ContactTimeout)
                             : Each.second.m_LastDirect.has_value());
      });
  if (usesRelays() && !isEntry())
    HasContact = std::any_of(m_Known.begin(), m_Known.end(),
                             [this, Now](const auto &Each) {
                               return m_Entries.alive(Now, Each.first);
                             });
  askSeeds(HasContact);
  return HasContact;
}

wire::Datagram FleetCore::makeHeartbeat(bool RequestMemberList) const {
  wire::Datagram Message;
  wire::FleetBeat &Beat = *Message.mutable_beat();
  *Beat.mutable_sender() = self();
  Beat.set_wants_known(RequestMemberList);
  if (m_Hooks.m_FillHeartbeat)
    m_Hooks.m_FillHeartbeat(Beat);
  return Message;
}

void FleetCore::sendDirectHeartbeats() {
  wire::Datagram Message = makeHeartbeat(false);
  if (isEntry()) {
    std::vector<const wire::NodeNews *> Heard;
    for (const auto &[Node, Each] : m_Known)
      if (Each.m_LastDirect)
        Heard.push_back(&Each.m_News);
    for (std::size_t Count = 0;
         Count < std::min(m_Settings.m_NodesPerHeartbeat, Heard.size());
         ++Count)
      *Message.mutable_beat()->add_known() =
          *Heard[m_ListedNodes++ % Heard.size()];
  }
  const std::string Bytes = Message.SerializeAsString();
  for (const auto &[Node, Each] : m_Known)
    if (describesEntry(Each.m_News))
      sendBytes(Each.m_News.peer_address(), Message, Bytes);
}

void FleetCore::sendHeartbeatsToRelays() {
  wire::Datagram Message = makeHeartbeat(false);
  wire::FleetBeat &Beat = *Message.mutable_beat();
  if (isEntry()) {
    Beat.set_number(++m_BeatNumber);
    Beat.set_relay(m_Role == Role::Relay ? std::string() : m_Primary);
    m_SentBeats.emplace_back(m_BeatNumber, Beat);
    if (m_SentBeats.size() > MaxSentBeats)
      m_SentBeats.pop_front();
  }
  const std::string Bytes = Message.SerializeAsString();
  for (const std::string &Each : heartbeatTargets())
    if (const auto Found = m_Known.find(Each); Found != m_Known.end())
      sendBytes(Found->second.m_News.peer_address(), Message, Bytes);
}

void FleetCore::askSeeds(bool HasContact) {
  const bool RequestDue =
      m_HeartbeatRounds % m_Settings.m_HeartbeatsPerListRequest == 1;
  if (!HasContact || (RequestDue && !usesRelays())) {
    // Seeds may start late or be replaced, so a node without contact keeps
    // sending to them.
    for (const std::string &Seed : m_Settings.m_Seeds)
      if (Seed != m_Settings.m_PeerAddress)
        sendHeartbeat(Seed, {}, true);
    return;
  }
  if (!RequestDue)
    return;
  if (!isEntry()) {
    const std::vector<std::string> &Relays = m_RegularRelays;
    if (!Relays.empty())
      if (const wire::NodeNews *Relay = findNode(
              Relays[m_HeartbeatRounds / m_Settings.m_HeartbeatsPerListRequest %
                     Relays.size()]))
        sendHeartbeat(Relay->peer_address(), {}, true);
    return;
  }
  if (m_Role != Role::Relay)
    return;
  // Parts of the fleet that were separated for long meet again at the seeds.
  std::set<std::string> Live;
  for (const wire::NodeNews &Each : liveEntries())
    Live.insert(Each.peer_address());
  for (const std::string &Seed : m_Settings.m_Seeds)
    if (Seed != m_Settings.m_PeerAddress && !Live.contains(Seed))
      sendHeartbeat(Seed, {}, true);
}

void FleetCore::sendHeartbeat(const std::string &Address,
                              const std::vector<wire::NodeNews> &Listed,
                              bool RequestMemberList) {
  wire::Datagram Message = makeHeartbeat(RequestMemberList);
  Message.mutable_beat()->mutable_known()->Add(Listed.begin(), Listed.end());
  send(Address, Message);
}

void FleetCore::sendNodes(const std::string &Address,
                          const std::vector<wire::NodeNews> &Nodes) {
  std::size_t Begin = 0;
  do {
    const std::size_t End =
        std::min(Nodes.size(), Begin + m_Settings.m_NodesPerListDatagram);
    sendHeartbeat(Address,
                  {Nodes.begin() + static_cast<std::ptrdiff_t>(Begin),
                   Nodes.begin() + static_cast<std::ptrdiff_t>(End)},
                  false);
    Begin = End;
  } while (Begin < Nodes.size());
}

std::vector<wire::NodeNews>
FleetCore::nodesFor(const wire::NodeNews &Asker) const {
  std::set<std::string> Relays;
  for (const auto &[Zone, Names] : m_Relays)
    Relays.insert(Names.begin(), Names.end());
  const base::Millis Now = m_Clock.now();
  std::vector<wire::NodeNews> Nodes;
  for (const auto &[Node, Each] : m_Known) {
    const wire::NodeNews &News = Each.m_News;
    const bool IsNeeded =
        !usesRelays() ? Each.m_LastDirect.has_value()
        : describesEntry(News)
            ? m_Entries.alive(Now, Node) &&
                  (News.zone() == Asker.zone() || Relays.contains(Node))
            : !describesEntry(Asker) && !Asker.group().empty() &&
                  News.group() == Asker.group();
    if (IsNeeded)
      Nodes.push_back(News);
  }
  return Nodes;
}

void FleetCore::sendRosters(const std::string &Address,
                            const wire::NodeNews &Asker) {
  std::map<std::string, wire::ZoneRoster> Rosters;
  std::vector<wire::NodeNews> Nodes = nodesFor(Asker);
  Nodes.push_back(self());
  for (const wire::NodeNews &Each : Nodes)
    addToRoster(Rosters[Each.zone()], nodeHash(Each), rosterState(Each));
  wire::Datagram Message;
  wire::FleetSummary &Summary = *Message.mutable_summary();
  *Summary.mutable_relay() = self();
  for (auto &[Zone, Each] : Rosters) {
    Each.set_zone(Zone);
    *Summary.add_rosters() = std::move(Each);
  }
  send(Address, Message);
}

void FleetCore::suggestRelays(const wire::NodeNews &Node,
                              const std::string &Address) {
  std::vector<wire::NodeNews> Relays;
  const auto Found = m_Relays.find(Node.zone());
  if (Found != m_Relays.end())
    for (const std::string &Each : Found->second)
      if (const wire::NodeNews *News = findNode(Each))
        Relays.push_back(*News);
  if (!Relays.empty())
    sendHeartbeat(Address, Relays, false);
}

void FleetCore::handleFeedNews(const wire::FeedNews &News) {
  const auto Found = m_Known.find(News.node());
  const bool IsLive =
      Found != m_Known.end() && (Found->second.m_LastDirect ||
                                 m_Entries.alive(m_Clock.now(), News.node()));
  if (IsLive && m_Hooks.m_OnFeedNews)
    m_Hooks.m_OnFeedNews(Found->second.m_News, News);
}

void FleetCore::handleHeartbeat(const wire::FleetBeat &Beat,
                                const std::string &From) {
  const wire::NodeNews &Sender = Beat.sender();
  if (Sender.node().empty() || Sender.node() == m_Settings.m_Node)
    return;
  const auto Before = m_Known.find(Sender.node());
  if (Before != m_Known.end() &&
      Before->second.m_News.incarnation() > Sender.incarnation())
    return;
  const bool IsNew =
      Before == m_Known.end() || !Before->second.m_LastDirect ||
      Before->second.m_News.incarnation() != Sender.incarnation();
  const bool HasChanged =
      IsNew || rosterState(Before->second.m_News) != rosterState(Sender) ||
      Before->second.m_Beat.group().open() != Beat.group().open() ||
      Before->second.m_Beat.group().epoch() != Beat.group().epoch();
  Known &Node = updateKnown(Sender);
  Node.m_LastDirect = m_Clock.now();
  if (describesEntry(Sender))
    updateEntry(Sender, {});
  if (usesRelays()) {
    Node.m_Beat = Beat;
    Node.m_BeatAt = m_Clock.now();
  }
  for (const wire::NodeNews &Each : Beat.known())
    addNode(Each);
  if (m_Hooks.m_OnHeartbeat)
    m_Hooks.m_OnHeartbeat(Beat);
  const bool IsServedHere =
      m_Role == Role::Relay && Sender.zone() == m_Settings.m_Zone;
  if (Beat.wants_known() && usesRelays() && !describesEntry(Sender))
    sendRosters(From, Sender);
  else if (Beat.wants_known())
    sendNodes(From, nodesFor(Sender));
  else if (!usesRelays() && IsNew)
    sendHeartbeat(From, {}, false);
  else if (usesRelays() && isEntry() && !IsServedHere &&
           describesEntry(Sender) && Beat.number() % BeatsPerSuggestion == 1)
    suggestRelays(Sender, From);
  if (!HasChanged || !IsServedHere)
    return;
  m_RosterChanged = true;
  if (m_Clock.now() - m_SummariesSentAt >= MinSummaryInterval)
    sendSummaries();
}

// Summaries

wire::FleetSummary FleetCore::makeZoneSummary() const {
  const base::Millis Now = m_Clock.now();
  SummarySum Sum;
  wire::FleetSummary Summary;
  Sum.addEntry(makeHeartbeat(false).beat(), {});
  for (const auto &[Node, Each] : m_Known) {
    if (!Each.m_BeatAt)
      continue;
    const base::Millis Age = Now - *Each.m_BeatAt;
    const bool IsOfThisZone = Each.m_News.zone() == m_Settings.m_Zone;
    if (describesEntry(Each.m_News)) {
      if (!IsOfThisZone || Age > DirectTimeout)
        continue;
      Sum.addEntry(Each.m_Beat, Age);
      Summary.add_reporters(Each.m_Hash);
      Summary.add_report_numbers(Each.m_Beat.number());
    } else if (Each.m_Beat.has_group() && Age <= AgentReportLifetime) {
      Sum.addAgent(Each.m_Beat.group());
    }
  }
  Sum.write(Summary);
  return Summary;
}

void FleetCore::addHeardNodes(wire::FleetSummary &Summary,
                              bool WithAgents) const {
  wire::ZoneRoster &Roster = *Summary.add_rosters();
  Roster.set_zone(m_Settings.m_Zone);
  addToRoster(Roster, nodeHash(self()), rosterState(self()));
  for (const auto &[Node, Each] : m_Known) {
    const bool IsOfThisZone = Each.m_News.zone() == m_Settings.m_Zone;
    const bool IsHeard =
        describesEntry(Each.m_News)
            ? heardDirectly(Each, DirectTimeout)
            : WithAgents && heardDirectly(Each, AgentReportLifetime);
    if (IsOfThisZone && IsHeard)
      addToRoster(Roster, Each.m_Hash, rosterState(Each.m_News));
  }
}

void FleetCore::addLiveEntries(wire::FleetSummary &Summary) const {
  const base::Millis Now = m_Clock.now();
  wire::ZoneRoster &Roster = *Summary.add_rosters();
  Roster.set_zone(m_Settings.m_Zone);
  addToRoster(Roster, nodeHash(self()), rosterState(self()));
  for (const auto &[Node, Each] : m_Known) {
    if (Each.m_News.zone() == m_Settings.m_Zone &&
        describesEntry(Each.m_News) && m_Entries.alive(Now, Node))
      addToRoster(Roster, Each.m_Hash, rosterState(Each.m_News));
  }
}

void FleetCore::addOtherRosters(wire::FleetSummary &Summary) const {
  for (const auto &[Zone, Rosters] : m_Rosters) {
    if (Zone == m_Settings.m_Zone)
      continue;
    wire::ZoneRoster &Merged = *Summary.add_rosters();
    Merged.set_zone(Zone);
    std::map<std::uint32_t, std::uint8_t> States;
    for (const auto &[Relay, Each] : Rosters)
      States.insert(Each.m_States.begin(), Each.m_States.end());
    for (const auto &[Hash, State] : States)
      if ((State & wire::ZoneRoster::AGENT) == 0)
        addToRoster(Merged, Hash, State);
  }
}

const FleetCore::ZoneReport *
FleetCore::zoneReport(const std::string &Zone) const {
  const auto Reports = m_ZoneReports.find(Zone);
  if (Reports == m_ZoneReports.end())
    return nullptr;
  // A relay that has just become one does not hear of all entries yet.
  const ZoneReport *Best = nullptr;
  for (const auto &[Relay, Each] : Reports->second)
    if (m_Clock.now() - Each.m_ReceivedAt <= ReportLifetime &&
        (!Best || Each.m_Summary.entries() > Best->m_Summary.entries()))
      Best = &Each;
  return Best;
}

std::set<std::string> FleetCore::otherRelays() const {
  std::set<std::string> Others;
  for (const auto &[Zone, Relays] : m_Relays)
    Others.insert(Relays.begin(), Relays.end());
  // Entries of this zone that take themselves for relays have to learn of the
  // regular ones, which they may not know.
  if (const auto Own = m_ZoneReports.find(m_Settings.m_Zone);
      Own != m_ZoneReports.end())
    for (const auto &[Relay, Each] : Own->second)
      Others.insert(Relay);
  Others.erase(m_Settings.m_Node);
  return Others;
}

void FleetCore::sendSummaries() {
  if (m_Role != Role::Relay)
    return;
  const base::Millis Now = m_Clock.now();
  m_SummariesSentAt = Now;
  ++m_SummaryNumber;
  const bool WithAgents = m_SummaryNumber % SummariesPerAgentRoster == 0;
  const bool WithRosters =
      m_RosterChanged || WithAgents ||
      m_SummaryNumber % m_Settings.m_SummariesPerRoster == 0;
  m_RosterChanged = false;

  wire::Datagram ForRelays;
  wire::FleetSummary &Zone = *ForRelays.mutable_summary();
  Zone = makeZoneSummary();
  *Zone.mutable_relay() = self();
  Zone.set_number(m_SummaryNumber);
  Zone.set_zone(m_Settings.m_Zone);
  SummarySum Sum;
  Sum.addSummary(Zone, {});
  if (WithRosters)
    addHeardNodes(Zone, WithAgents);
  const std::string ZoneBytes = ForRelays.SerializeAsString();
  for (const std::string &Each : otherRelays())
    if (const wire::NodeNews *Relay = findNode(Each))
      sendBytes(Relay->peer_address(), ForRelays, ZoneBytes);
  for (const auto &[Name, Reports] : m_ZoneReports)
    if (const ZoneReport *Report = zoneReport(Name);
        Report && Name != m_Settings.m_Zone)
      Sum.addSummary(Report->m_Summary, Now - Report->m_ReceivedAt);

  wire::Datagram ForMembers;
  wire::FleetSummary &All = *ForMembers.mutable_summary();
  Sum.write(All);
  *All.mutable_relay() = self();
  All.set_number(m_SummaryNumber);
  *All.mutable_reporters() = Zone.reporters();
  *All.mutable_report_numbers() = Zone.report_numbers();
  if (WithRosters) {
    addLiveEntries(All);
    addOtherRosters(All);
  }
  const std::string AllBytes = ForMembers.SerializeAsString();
  const std::vector<std::string> &Own = m_Relays[m_Settings.m_Zone];
  for (const auto &[Node, Each] : m_Known) {
    const bool IsMember = describesEntry(Each.m_News) && Each.m_BeatAt &&
                          Each.m_News.zone() == m_Settings.m_Zone &&
                          m_Entries.alive(Now, Node) &&
                          std::find(Own.begin(), Own.end(), Node) == Own.end();
    if (!IsMember)
      continue;
    const std::string &Wanted = Each.m_Beat.relay();
    if (Wanted == m_Settings.m_Node || Wanted.empty() ||
        !heardDirectly(Wanted, m_Settings.m_RelayTimeout))
      sendBytes(Each.m_News.peer_address(), ForMembers, AllBytes);
  }
}

void FleetCore::handleSummary(const wire::FleetSummary &Summary,
                              const std::string &From) {
  const wire::NodeNews &Relay = Summary.relay();
  if (Relay.node().empty() || Relay.node() == m_Settings.m_Node)
    return;
  const auto Before = m_Known.find(Relay.node());
  if (Before != m_Known.end() &&
      Before->second.m_News.incarnation() > Relay.incarnation())
    return;
  Known &Node = updateKnown(Relay);
  Node.m_LastDirect = m_Clock.now();
  updateEntry(Relay, {});
  m_Suspected.erase(Relay.node());
  for (const wire::ZoneRoster &Each : Summary.rosters())
    applyRoster(Relay.node(), From, Each);
  if (m_RosterChanged &&
      m_Clock.now() - m_SummariesSentAt >= MinSummaryInterval)
    sendSummaries();
  if (Summary.zone().empty()) {
    m_LastSummaryAt = m_Clock.now();
    if (m_Role == Role::Member && m_Hooks.m_OnSummary)
      m_Hooks.m_OnSummary(Summary, includedBeat(Summary));
    return;
  }
  m_ZoneReports[Summary.zone()][Relay.node()] = {Summary, m_Clock.now()};
  if (Summary.zone() == m_Settings.m_Zone)
    return;
  const ZoneReport *Used = zoneReport(Summary.zone());
  const bool IsUsed = Used && Used->m_Summary.relay().node() == Relay.node();
  if (m_Role == Role::Relay && IsUsed && m_Hooks.m_OnSummary)
    m_Hooks.m_OnSummary(Summary, nullptr);
}

void FleetCore::applyRoster(const std::string &Relay, const std::string &From,
                            const wire::ZoneRoster &Listed) {
  Roster &Target = m_Rosters[Listed.zone()][Relay];
  Target.m_States.clear();
  Target.m_ReceivedAt = m_Clock.now();
  const int Count =
      std::min(Listed.nodes_size(), static_cast<int>(Listed.states().size()));
  for (int Index = 0; Index < Count; ++Index) {
    const std::uint32_t Hash = Listed.nodes(Index);
    const auto State = static_cast<std::uint8_t>(
        Listed.states()[static_cast<std::size_t>(Index)]);
    Target.m_States[Hash] = State;
    const auto Name = m_NodeByHash.find(Hash);
    if (Name == m_NodeByHash.end()) {
      if (Hash != nodeHash(self()))
        m_Unknown[Hash] = From;
      continue;
    }
    Known &Node = m_Known[Name->second];
    Node.m_LastHeard = m_Clock.now();
    if (!describesEntry(Node.m_News) || heardDirectly(Node, DirectTimeout))
      continue;
    if (rosterState(Node.m_News) != State)
      m_RosterChanged = true;
    Node.m_News.set_ready((State & wire::ZoneRoster::READY) != 0);
    Node.m_News.set_leaving((State & wire::ZoneRoster::LEAVING) != 0);
    updateEntry(Node.m_News, listedTimeout());
  }
  removeUnlisted(Listed.zone());
}

void FleetCore::removeUnlisted(const std::string &Zone) {
  const base::Millis Now = m_Clock.now();
  const auto &Rosters = m_Rosters[Zone];
  for (const auto &[Node, Each] : m_Known) {
    if (Each.m_News.zone() != Zone || !describesEntry(Each.m_News) ||
        heardDirectly(Each, DirectTimeout) || !m_Entries.alive(Now, Node))
      continue;
    const std::uint32_t Hash = Each.m_Hash;
    const bool IsListed = std::any_of(
        Rosters.begin(), Rosters.end(), [this, Now, Hash](const auto &Listed) {
          const Roster &Entry = Listed.second;
          return Now - Entry.m_ReceivedAt <= listedTimeout() &&
                 Entry.m_States.contains(Hash);
        });
    if (IsListed)
      continue;
    m_Entries.setSilent(Now, Node);
    m_RosterChanged = true;
  }
}

const wire::FleetBeat *
FleetCore::includedBeat(const wire::FleetSummary &Summary) const {
  const std::uint32_t OwnHash = nodeHash(self());
  const int Count =
      std::min(Summary.reporters_size(), Summary.report_numbers_size());
  for (int Index = 0; Index < Count; ++Index) {
    if (Summary.reporters(Index) != OwnHash)
      continue;
    for (const auto &[Number, Beat] : m_SentBeats)
      if (Number == Summary.report_numbers(Index))
        return &Beat;
  }
  return nullptr;
}

void FleetCore::requestUnknownNodes() {
  const base::Millis Now = m_Clock.now();
  if (m_Unknown.empty() || Now - m_UnknownRequestedAt < NodeRequestInterval)
    return;
  m_UnknownRequestedAt = Now;
  std::map<std::string, wire::Datagram> Requests;
  for (const auto &[Hash, From] : m_Unknown)
    Requests[From].mutable_node_request()->add_nodes(Hash);
  for (const auto &[Address, Request] : Requests)
    send(Address, Request);
  // The next lists name them again if the request or its response is lost.
  m_Unknown.clear();
}

void FleetCore::handleNodeRequest(const wire::NodeRequest &Request,
                                  const std::string &From) {
  std::vector<wire::NodeNews> Nodes;
  for (const std::uint32_t Hash : Request.nodes()) {
    if (Hash == nodeHash(self()))
      Nodes.push_back(self());
    else if (const auto Found = m_NodeByHash.find(Hash);
             Found != m_NodeByHash.end())
      Nodes.push_back(m_Known.at(Found->second).m_News);
  }
  if (!Nodes.empty())
    sendNodes(From, Nodes);
}

} // namespace corneldeck::fleet
