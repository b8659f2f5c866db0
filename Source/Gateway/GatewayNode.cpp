#include "Gateway/GatewayNode.h"

#include "Fleet/FleetSummary.h"
#include "Net/PortCheck.h"
#include "Net/RequestTarget.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <limits>

namespace corneldeck::gateway {

namespace {

constexpr base::Millis TimerInterval{200};
/// Period of the shutdown in which connections are kept alive, so that callers
/// can look up other addresses. Afterwards each connection is closed after its
/// response.
constexpr base::Millis KeepAlivePeriod{4000};
/// Minimum duration of a shutdown, so that callers have time to move to other
/// entries.
constexpr base::Millis MinStopDuration{5000};
/// Name under which the sums over all other entries are kept.
constexpr const char *AllEntries = "all entries";
constexpr std::string_view FeedsPath = "/feeds/";
constexpr std::string_view EnginesPath = "/engines?";
/// Timeout of a check whether a server has ended.
constexpr base::Millis ServerCheckTimeout{300};
constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr int Unavailable = 503;
/// Maximum number of unreadable records or parts that are logged at a change of
/// the list of servers or the configuration, and the longest part of their
/// text.
constexpr std::size_t MaxUnreadableEvents = 16;
constexpr std::size_t MaxLoggedText = 160;
/// Number of entries to which an entry announces a state that it has fetched.
constexpr std::size_t NewsFanout = 16;

feed::FeedFollowerSettings followerSettings(const std::string &Topic,
                                            base::Millis Wait,
                                            base::Millis Period) {
  feed::FeedFollowerSettings Settings;
  Settings.m_Topic = Topic;
  Settings.m_PollTimeout = Wait;
  Settings.m_PollInterval = Period;
  return Settings;
}

SharedFeedSettings sharedFeedSettings(const fleet::FleetSettings &Fleet,
                                      const std::string &Name,
                                      feed::FeedFollowerSettings Follower,
                                      base::Millis MaxStaleness) {
  SharedFeedSettings Settings;
  Settings.m_Name = Name;
  Settings.m_Zone = Fleet.m_Zone;
  Settings.m_Seed =
      Fleet.m_Incarnation ^ std::hash<std::string>()(Fleet.m_Node + Name);
  Settings.m_Follower = std::move(Follower);
  Settings.m_MaxStaleness = MaxStaleness;
  return Settings;
}

/// A change of the configuration has to take effect within two seconds.
constexpr base::Millis ConfigurationPollTimeout{1000};
constexpr base::Millis ConfigurationMaxStaleness{1900};
/// A draining server must get no new requests after two seconds.
constexpr base::Millis ServersPollInterval{500};
constexpr base::Millis ServersMaxStaleness{1200};

net::HttpClientOptions serverClientOptions(const GatewaySettings &Settings) {
  net::HttpClientOptions Options;
  Options.m_ConnectTimeout = Settings.m_ConnectTimeout;
  Options.m_MaxIdleConnectionsPerAddress = Settings.m_MaxIdlePerServer;
  return Options;
}

direct::ServerPoolSettings poolSettings(const GatewaySettings &Settings) {
  direct::ServerPoolSettings Pool;
  Pool.m_WarmUp = Settings.m_WarmUp;
  return Pool;
}

/// Returns the first number of the tokens of a process. A later process has
/// higher numbers, unless an earlier one granted a token every microsecond.
std::uint64_t firstTokenNumber(std::uint64_t Incarnation) {
  constexpr unsigned NumberBits = 10;
  return Incarnation << NumberBits;
}

net::HttpClientOptions peerClientOptions() {
  net::HttpClientOptions Options;
  Options.m_ConnectTimeout = base::Millis(500);
  // Idle connections to many entries may be broken without being closed. Each
  // would cost a transfer its timeout.
  Options.m_MaxIdleConnectionsPerAddress = 0;
  return Options;
}

void checkServer(boost::asio::io_context &Context, const std::string &Address,
                 direct::ServerEnds::Callback Done) {
  net::checkPort(
      Context, Address, ServerCheckTimeout,
      [Done = std::move(Done)](net::PortState State) {
        Done(State == net::PortState::Closed ? direct::ServerLife::Ended
             : State == net::PortState::Open ? direct::ServerLife::Alive
                                             : direct::ServerLife::Unknown);
      });
}

/// Maximum number of lines a second about callers that are cut off: a small
/// part of the 300 lines a second that a process logs.
constexpr unsigned CutOffLinesPerSecond = 20;

} // namespace

GatewayNode::GatewayNode(boost::asio::io_context &Context,
                         GatewaySettings Settings, feed::KeyedLogClient Log,
                         RecordCodec Records, direct::RequestCodec Requests,
                         base::Timeline &Events, metrics::Registry &Metrics)
    : m_Settings(std::move(Settings)), m_Log(std::move(Log)),
      m_Records(std::move(Records)), m_Events(Events), m_Metrics(Metrics),
      m_Rng(m_Settings.m_Fleet.m_Incarnation ^
            std::hash<std::string>()(m_Settings.m_Fleet.m_Node)),
      m_Memory(std::make_shared<net::MemoryAccount>(m_Settings.m_MaxHeldBytes)),
      m_PeerClient(Context, peerClientOptions()),
      m_ServerClient(Context, serverClientOptions(m_Settings)),
      m_Pool(m_Settings.m_Fleet.m_Zone, poolSettings(m_Settings),
             firstTokenNumber(m_Settings.m_Fleet.m_Incarnation)),
      m_RetryBudget(m_Settings.m_RetryBudget),
      m_ServerEnds(m_Clock,
                   [&Context](const std::string &Address,
                              direct::ServerEnds::Callback Done) {
                     checkServer(Context, Address, std::move(Done));
                   }),
      m_Quarantine(m_Settings.m_Fleet.m_Node),
      m_Forwarder({Context, m_ServerClient, m_Pool, m_AdmissionQueue,
                   m_RetryBudget, m_Limiter, m_GroupAvailability, Events,
                   Metrics, m_Rng, m_ServerEnds, m_Quarantine},
                  std::move(Requests), m_Settings.m_MaxResponseBytes, m_Memory),
      m_Configuration(
          Context, m_Log, m_PeerClient, Events, Metrics,
          sharedFeedSettings(m_Settings.m_Fleet, "configuration",
                             followerSettings(m_Settings.m_ConfigurationTopic,
                                              ConfigurationPollTimeout,
                                              base::Millis(0)),
                             ConfigurationMaxStaleness),
          [](const std::string &, const std::string &Before,
             const std::string &After) { return Before != After; },
          m_Records.m_IsOlderConfiguration,
          feedHooks([this] { configurationChanged(); })),
      m_Servers(
          Context, m_Log, m_PeerClient, Events, Metrics,
          sharedFeedSettings(m_Settings.m_Fleet, "servers",
                             followerSettings(m_Settings.m_ServersTopic,
                                              base::Millis(0),
                                              ServersPollInterval),
                             ServersMaxStaleness),
          [this](const std::string &Key, const std::string &Before,
                 const std::string &After) {
            const auto Old = m_Records.m_DecodeServer(Key, Before);
            const auto New = m_Records.m_DecodeServer(Key, After);
            if (!Old || !New)
              return Old.has_value() != New.has_value();
            return !(*Old == *New);
          },
          m_Records.m_IsOlderServer, feedHooks([this] { serversChanged(); })),
      m_Fleet(
          Context, m_Settings.m_Fleet, Events, Metrics,
          {[this](wire::FleetBeat &Beat) { fillHeartbeat(Beat); },
           [this](const wire::FleetBeat &Beat) { handleHeartbeat(Beat); },
           {},
           {},
           [this](const wire::RateToken &Message) {
             m_RateLimits.handleToken(Message);
           },
           [this](const std::string &Node) {
             m_Pool.removePeer(Node);
             m_Limiter.removePeer(Node);
             m_Classes.removePeer(Node);
             m_Configuration.removePeer(Node);
             m_Servers.removePeer(Node);
           },
           [this](const wire::NodeNews &Sender, const wire::FeedNews &News) {
             m_Configuration.handlePosition(Sender, News.configuration());
             m_Servers.handlePosition(Sender, News.servers());
           },
           [this](const wire::FleetSummary &Summary,
                  const wire::FleetBeat *Own) { handleSummary(Summary, Own); },
           [this](const wire::QuarantineNews &News) {
             m_QuarantineExchange.handle(News, News.node());
           }}),
      m_Classes(m_AdmissionQueue.classShares()),
      m_RateLimits(Context, m_Pool, m_Fleet, Events, Metrics,
                   [this] { m_Forwarder.processQueues(); }),
      m_ServerNotices(m_Pool, Events, Metrics),
      m_Evacuations(m_Pool, Events, Metrics), m_WarmUp(m_Pool, Events, Metrics),
      m_Groups(
          {m_Pool.groups(), m_GroupAvailability, m_Limiter, Events, Metrics},
          [this] { m_Forwarder.processQueues(); }),
      m_QuarantineExchange(
          Context, m_Quarantine, m_Fleet, Events, Metrics, m_Rng,
          [this](const std::string &Service, std::uint64_t Part) {
            m_Forwarder.stopRequests(Service, Part);
          }),
      m_Advisor({m_Settings.m_AddressLifetime, m_Settings.m_MaxAddresses}),
      m_PeerServer(Context, {},
                   [this](const std::shared_ptr<net::HttpExchange> &Exchange) {
                     handlePeerRequest(Exchange);
                   }),
      m_Timer(Context) {
  Metrics.gauge("corneldeck_configuration_pending_ms",
                "Time for which the newest version received is not in force.",
                [this] {
                  return m_PendingSince == base::Millis(0)
                             ? 0.0
                             : static_cast<double>(
                                   (m_Clock.now() - m_PendingSince).count());
                });
  addMemoryMetrics();
  m_Memory->onCutOff(
      [this](const net::CallerCutOff &Cut) { recordCutOff(Cut); });
  m_CallerServer = std::make_unique<net::HttpServer>(
      Context, callerServerOptions(),
      [this](const std::shared_ptr<net::HttpExchange> &Exchange) {
        m_Forwarder.handle(Exchange);
      });
}

GatewayNode::~GatewayNode() { m_Memory->onCutOff({}); }

net::HttpServerOptions GatewayNode::callerServerOptions() const {
  net::HttpServerOptions Options;
  Options.m_MaxConnections = m_Settings.m_MaxConnections;
  Options.m_ReceiveBufferBytes = m_Settings.m_ReceiveBufferBytes;
  Options.m_Memory = m_Memory;
  return Options;
}

void GatewayNode::addMemoryMetrics() {
  m_Metrics.gauge("corneldeck_held_bytes",
                  "Bytes held for callers and backend servers.",
                  [this] { return static_cast<double>(m_Memory->total()); });
  m_Metrics.gauge("corneldeck_held_bytes_limit",
                  "The bound of corneldeck_held_bytes.",
                  [this] { return static_cast<double>(m_Memory->maxBytes()); });
}

void GatewayNode::recordCutOff(const net::CallerCutOff &Cut) {
  const std::string Limit(net::name(Cut.m_Limit));
  m_Metrics
      .counter("corneldeck_callers_cut_off_total",
               "Callers that were cut off because of a limit.",
               {{"limit", Limit}})
      .add();
  const base::Millis Now = m_Clock.now();
  if (Now - m_CutOffSecond >= base::seconds(1)) {
    m_CutOffSecond = Now;
    m_CutOffLines = 0;
  }
  if (m_CutOffLines >= CutOffLinesPerSecond) {
    ++m_CutOffsWithoutLine;
    return;
  }
  ++m_CutOffLines;
  m_Events.record(base::EventId::CallerCutOff,
                  {{"caller", Cut.m_Caller},
                   {"held_bytes", std::to_string(Cut.m_HeldBytes)},
                   {"limit", Limit},
                   {"all_bytes", std::to_string(m_Memory->total())},
                   {"max_bytes", std::to_string(m_Memory->maxBytes())},
                   {"not_logged", std::to_string(m_CutOffsWithoutLine)}});
  m_CutOffsWithoutLine = 0;
}

base::Result<void> GatewayNode::start() {
  if (auto Listening =
          m_CallerServer->listen(m_Settings.m_Fleet.m_CallerAddress);
      !Listening)
    return tl::make_unexpected(Listening.error());
  if (auto Listening = m_PeerServer.listen(m_Settings.m_Fleet.m_PeerAddress);
      !Listening)
    return tl::make_unexpected(Listening.error());
  if (auto Started = m_Fleet.start(); !Started)
    return Started;
  onTimer();
  return {};
}

bool GatewayNode::ready() const {
  return m_Forwarder.routes() && m_Servers.state().isLoaded() && !m_Stopping;
}

membership::AddressList GatewayNode::advise(const std::string &Zone) {
  return m_Advisor.selectAddresses(m_Clock.now(), m_Fleet.entries(), Zone);
}

void GatewayNode::onTimer() {
  const std::vector<wire::NodeNews> Live = m_Fleet.liveEntries();
  const feed::ReaderCandidate Self{m_Settings.m_Fleet.m_Node,
                                   m_Settings.m_Fleet.m_LinkKbps};
  m_Configuration.updateReaderRole(Self, Live);
  m_Servers.updateReaderRole(Self, Live);
  m_RetryBudget.setEntryCount(Live.size() + 1);
  m_AdmissionQueue.classShares().setEntries(
      static_cast<unsigned>(Live.size() + 1));
  m_Fleet.setReady(ready());
  m_WarmUp.update();
  m_RateLimits.update();
  m_ServerNotices.update();
  m_Groups.update(m_Forwarder.routes(), m_Forwarder.groupCapacity(),
                  m_Clock.now());
  m_Forwarder.updateClassMetrics();
  if (m_Stopping)
    checkStopped();
  m_Timer.expires_after(std::chrono::milliseconds(TimerInterval.count()));
  m_Timer.async_wait([this](const boost::system::error_code &Code) {
    if (!Code)
      onTimer();
  });
}

SharedFeed::Hooks GatewayNode::feedHooks(std::function<void()> Changed) {
  return {std::move(Changed), [this](bool FromLog) { announceFeeds(FromLog); }};
}

void GatewayNode::announceFeeds(bool ToAll) {
  wire::Datagram Message;
  wire::FeedNews &News = *Message.mutable_feed_news();
  News.set_node(m_Settings.m_Fleet.m_Node);
  m_Configuration.writePosition(*News.mutable_configuration());
  m_Servers.writePosition(*News.mutable_servers());
  m_Fleet.sendToEntries(
      Message, ToAll ? std::numeric_limits<std::size_t>::max() : NewsFanout,
      m_Rng);
}

void GatewayNode::configurationChanged() {
  auto Values = m_Configuration.state().values();
  m_Evacuations.apply(m_Records.m_DecodeEvacuations(Values), m_Configuration);
  if (m_PendingSince == base::Millis(0))
    m_PendingSince = m_Clock.now();
  if (m_Decoding) {
    m_ConfigurationChangedMeanwhile = true;
    return;
  }
  m_DecodingStartedAt = m_Clock.now();
  m_Decoding = m_Records.m_DecodeConfiguration(std::move(Values));
  decodeConfiguration();
}

void GatewayNode::decodeConfiguration() {
  auto Decoded = m_Decoding();
  if (!Decoded) {
    boost::asio::post(m_Timer.get_executor(),
                      [this, Lifetime = std::weak_ptr<const bool>(m_Lifetime)] {
                        if (!Lifetime.expired())
                          decodeConfiguration();
                      });
    return;
  }
  m_Decoding = nullptr;
  if (*Decoded) {
    applyConfiguration(std::move(**Decoded));
    if (!m_ConfigurationChangedMeanwhile)
      m_PendingSince = {};
  } else {
    m_Metrics
        .counter("corneldeck_configuration_rejected_total",
                 "Versions of the configuration that cannot be decoded at all; "
                 "the version before stays in force.")
        .add();
    m_Events.record(
        base::EventId::RecordUnreadable,
        {{"feed", "configuration"},
         {"offset",
          std::to_string(m_Configuration.state().contentPosition().m_Offset)},
         {"why", Decoded->error().m_Message}});
  }
  if (std::exchange(m_ConfigurationChangedMeanwhile, false))
    configurationChanged();
}

void GatewayNode::applyConfiguration(direct::Configuration Decoded) {
  const direct::RouteTable *Current = m_Forwarder.routes();
  if (Current && Current->configuration().m_Version >= Decoded.m_Version)
    return;
  const std::uint64_t Version = Decoded.m_Version;
  const std::size_t Routes = Decoded.m_Routes.size();
  recordUnreadableParts(Decoded);
  net::HttpServerOptions ServerOptions = callerServerOptions();
  ServerOptions.m_MaxHeadBytes = Decoded.m_Limits.m_MaxHeadBytes;
  ServerOptions.m_MaxBodyBytes = Decoded.m_Limits.m_MaxBodyBytes;
  ServerOptions.m_HeadTimeout = Decoded.m_Limits.m_HeadTimeout;
  ServerOptions.m_IdleTimeout = Decoded.m_Limits.m_IdleTimeout;
  m_CallerServer->setOptions(ServerOptions);
  m_Pool.warmUp().setRules(Decoded.warmUpRules(), m_Clock.now());
  m_Forwarder.setRoutes(
      std::make_shared<const direct::RouteTable>(std::move(Decoded)));
  m_Metrics
      .gauge("corneldeck_configuration_version",
             "Version of the configuration that new requests use.")
      .set(static_cast<double>(Version));
  m_Events.record(
      base::EventId::ConfigurationInForce,
      {{"version", std::to_string(Version)},
       {"routes", std::to_string(Routes)},
       {"offset",
        std::to_string(m_Configuration.state().contentPosition().m_Offset)},
       {"log_age_ms", std::to_string(m_Configuration.staleness().count())},
       {"apply_ms",
        std::to_string((m_Clock.now() - m_DecodingStartedAt).count())}});
}

void GatewayNode::recordUnreadableParts(const direct::Configuration &Decoded) {
  const std::vector<std::string> Parts = Decoded.unreadableParts();
  m_Metrics
      .gauge("corneldeck_configuration_unreadable_parts",
             "Parts of the version in force that cannot be decoded and are not "
             "in effect.")
      .set(static_cast<double>(Parts.size()));
  for (std::size_t Index = 0;
       Index < std::min(Parts.size(), MaxUnreadableEvents); ++Index)
    m_Events.record(base::EventId::RecordUnreadable,
                    {{"feed", "configuration"},
                     {"version", std::to_string(Decoded.m_Version)},
                     {"parts", std::to_string(Parts.size())},
                     {"why", Parts[Index].substr(0, MaxLoggedText)}});
}

void GatewayNode::serversChanged() {
  std::vector<direct::BackendServer> Servers;
  std::map<std::string, std::string> Unreadable;
  unsigned Draining = 0;
  for (const auto &[Key, Value] : m_Servers.state().values()) {
    auto Decoded = m_Records.m_DecodeServer(Key, Value);
    if (!Decoded) {
      Unreadable.emplace(Key, Decoded.error().m_Message);
      continue;
    }
    if (Decoded->m_Draining)
      ++Draining;
    Servers.push_back(std::move(*Decoded));
  }
  m_Events.record(
      base::EventId::ServersChanged,
      {{"servers", std::to_string(Servers.size())},
       {"draining", std::to_string(Draining)},
       {"unreadable", std::to_string(Unreadable.size())},
       {"offset", std::to_string(m_Servers.state().contentPosition().m_Offset)},
       {"log_age_ms", std::to_string(m_Servers.staleness().count())}});
  recordUnreadable(std::move(Unreadable));
  m_Pool.replaceServers(Servers, m_Clock.now(),
                        static_cast<std::uint64_t>(base::wallTime().count()));
  updateVersions(Servers);
  m_ServerByHash.clear();
  for (const direct::BackendServer &Each : Servers)
    m_ServerByHash[fleet::serverHash(Each.m_Id)] = Each.m_Id;
}

void GatewayNode::updateVersions(
    const std::vector<direct::BackendServer> &Servers) {
  std::map<std::string, std::set<std::uint64_t>> Versions;
  for (const direct::BackendServer &Each : Servers)
    Versions[Each.m_Service].insert(Each.m_Version);
  for (auto &[Service, Listed] : Versions) {
    std::set<std::uint64_t> &Before = m_ServerVersions[Service];
    const bool IsReplaced =
        !Before.empty() &&
        std::none_of(Listed.begin(), Listed.end(),
                     [&](std::uint64_t Each) { return Before.contains(Each); });
    if (IsReplaced)
      m_Quarantine.serviceReplaced(Service, m_Clock.now());
    // Until all servers are replaced, the versions before count.
    if (Before.empty() || IsReplaced)
      Before = std::move(Listed);
  }
}

void GatewayNode::recordUnreadable(std::map<std::string, std::string> Records) {
  std::size_t Recorded = 0;
  for (const auto &[Key, Why] : Records) {
    const auto Known = m_UnreadableServers.find(Key);
    if (Known != m_UnreadableServers.end() && Known->second == Why)
      continue;
    if (++Recorded > MaxUnreadableEvents)
      break;
    m_Events.record(base::EventId::RecordUnreadable,
                    {{"feed", "servers"},
                     {"key", Key.substr(0, MaxLoggedText)},
                     {"why", Why.substr(0, MaxLoggedText)}});
  }
  m_UnreadableServers = std::move(Records);
  m_Metrics
      .gauge("corneldeck_unreadable_servers",
             "Records of backend servers that cannot be decoded.")
      .set(static_cast<double>(m_UnreadableServers.size()));
}

void GatewayNode::fillHeartbeat(wire::FleetBeat &Beat) const {
  m_Configuration.writePosition(*Beat.mutable_configuration());
  m_Servers.writePosition(*Beat.mutable_servers());
  for (const auto &[Id, Load] : m_Pool.localLoads()) {
    wire::ServerWork &Work = *Beat.add_work();
    Work.set_server(Id);
    Work.set_requests(Load.m_Requests);
    Work.set_prompt_tokens(static_cast<std::uint32_t>(Load.m_PromptTokens));
  }
  m_Classes.fillHeartbeat(Beat, m_Clock.now());
  m_RateLimits.fillHeartbeat(Beat);
  m_ServerNotices.fillHeartbeat(Beat);
  m_QuarantineExchange.fillHeartbeat(Beat);
  m_Groups.fillHeartbeat(Beat);
}

void GatewayNode::handleHeartbeat(const wire::FleetBeat &Beat) {
  if (Beat.sender().caller_address().empty()) {
    m_Groups.handleAgent(Beat, m_Clock.now());
    return;
  }
  m_Configuration.handlePosition(Beat.sender(), Beat.configuration());
  m_Servers.handlePosition(Beat.sender(), Beat.servers());
  m_RateLimits.handleHeartbeat(Beat);
  m_ServerNotices.handleHeartbeat(Beat);
  m_QuarantineExchange.handle(Beat, Beat.sender().node());
  // The summaries include the loads.
  if (m_Fleet.role() == fleet::FleetCore::Role::Member)
    return;
  removePeerSums();
  direct::ServerLoads Loads;
  for (const wire::ServerWork &Work : Beat.work())
    Loads[Work.server()] = {Work.requests(),
                            static_cast<double>(Work.prompt_tokens())};
  m_Groups.handleRatios(Beat);
  m_Classes.handleHeartbeat(Beat, m_Clock.now());
  m_Pool.setPeerLoads(Beat.sender().node(), std::move(Loads), m_Clock.now());
}

void GatewayNode::removePeerSums() {
  m_Pool.removePeer(AllEntries);
  m_Limiter.removePeer(AllEntries);
  m_Classes.removePeer(AllEntries);
}

void GatewayNode::handleSummary(const wire::FleetSummary &Summary,
                                const wire::FleetBeat *Own) {
  const bool IsOfAll = Summary.zone().empty();
  const std::string Peer =
      IsOfAll ? std::string(AllEntries) : "zone " + Summary.zone();
  if (IsOfAll) {
    m_Pool.keepOnlyPeer(Peer);
    m_Limiter.keepOnlyPeer(Peer);
    m_Classes.keepOnlyPeer(Peer);
  } else {
    removePeerSums();
  }
  const unsigned Others = Summary.entries() - (Own ? 1 : 0);
  m_Pool.setPeerLoads(Peer, loadsOf(Summary, Own),
                      m_Clock.now() - base::Millis(Summary.age_ms()), Others);
  m_Classes.handleSummary(Summary, Own, Peer, m_Clock.now());
  for (const wire::NodePositions &Each : Summary.positions())
    if (const wire::NodeNews *Node = m_Fleet.findNode(Each.node())) {
      m_Configuration.handlePosition(*Node, Each.configuration());
      m_Servers.handlePosition(*Node, Each.servers());
    }
  for (const wire::ForwardedNotices &Each : Summary.notices()) {
    wire::FleetBeat Beat;
    Beat.mutable_sender()->set_node(Each.node());
    *Beat.mutable_rates() = Each.rates();
    *Beat.mutable_leaving() = Each.leaving();
    m_RateLimits.handleHeartbeat(Beat);
    m_ServerNotices.handleHeartbeat(Beat);
  }
  m_QuarantineExchange.handle(Summary, Summary.relay().node());
  m_Groups.handleSummary(Peer, Summary, m_Clock.now());
}

direct::ServerLoads GatewayNode::loadsOf(const wire::FleetSummary &Summary,
                                         const wire::FleetBeat *Own) const {
  std::map<std::string, wire::ServerWork> OwnWork;
  if (Own)
    for (const wire::ServerWork &Each : Own->work())
      OwnWork[Each.server()] = Each;
  direct::ServerLoads Loads;
  const int Count = std::min({Summary.servers_size(), Summary.requests_size(),
                              Summary.prompt_tokens_size()});
  for (int Index = 0; Index < Count; ++Index) {
    const auto Found = m_ServerByHash.find(Summary.servers(Index));
    if (Found == m_ServerByHash.end())
      continue;
    std::uint32_t Requests = Summary.requests(Index);
    std::uint32_t Tokens = Summary.prompt_tokens(Index);
    if (const auto Work = OwnWork.find(Found->second); Work != OwnWork.end()) {
      Requests -= std::min(Requests, Work->second.requests());
      Tokens -= std::min(Tokens, Work->second.prompt_tokens());
    }
    if (Requests > 0 || Tokens > 0)
      Loads[Found->second] = {Requests, static_cast<double>(Tokens)};
  }
  return Loads;
}

void GatewayNode::handlePeerRequest(
    const std::shared_ptr<net::HttpExchange> &Exchange) {
  const std::string_view Target = Exchange->target();
  if (Target.starts_with(FeedsPath)) {
    const std::string_view Name =
        Target.substr(FeedsPath.size(), Target.find('?') - FeedsPath.size());
    for (SharedFeed *Each : {&m_Configuration, &m_Servers})
      if (Name == Each->name()) {
        Each->sendState(Exchange);
        return;
      }
  }
  if (Target.starts_with(EnginesPath)) {
    sendEngineProfile(Exchange);
    return;
  }
  if (Target == "/quarantine") {
    Exchange->respond(Ok, {{"Content-Type", "text/plain"}},
                      m_QuarantineExchange.describe());
    return;
  }
  if (Target == "/metrics") {
    Exchange->respond(Ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                      m_Metrics.expose());
    return;
  }
  Exchange->respond(NotFound, {}, "not found; see /metrics and /quarantine\n");
}

void GatewayNode::sendEngineProfile(
    const std::shared_ptr<net::HttpExchange> &Exchange) const {
  const direct::RouteTable *Routes = m_Forwarder.routes();
  if (!Routes) {
    Exchange->respond(Unavailable, {}, "no configuration yet\n");
    return;
  }
  const std::string Name = net::RequestTarget(Exchange->target())
                               .text("service")
                               .value_or(std::string());
  const direct::Service *Service = Routes->configuration().findService(Name);
  if (!Service || !Service->m_Engine || Service->m_Engine->m_LayerSets == 0) {
    Exchange->respond(NotFound, {},
                      "service \"" + Name +
                          "\" is unknown or has no engine with experts\n");
    return;
  }
  const direct::EngineProfile &Profile = *Service->m_Engine;
  wire::EngineNews News;
  News.set_layer_sets(Profile.m_LayerSets);
  News.set_experts(Profile.m_Experts);
  News.set_slots_per_set(Profile.m_SlotsPerSet);
  News.set_max_new_experts(Profile.m_MaxNewExperts);
  News.set_expert_megabytes(Profile.m_ExpertMegabytes);
  News.set_copy_megabits_per_second(Profile.m_CopyMegabitsPerSecond);
  News.set_version(Routes->configuration().m_Version);
  Exchange->respond(Ok, {{"Content-Type", "application/x-protobuf"}},
                    News.SerializeAsString());
}

void GatewayNode::beginStop(std::function<void()> Done) {
  if (m_Stopping)
    return;
  m_Stopping = true;
  m_StopStartedAt = m_Clock.now();
  m_Forwarder.beginStop(m_StopStartedAt + m_Settings.m_StopTimeout);
  m_OnStopped = std::move(Done);
  m_Events.record(
      base::EventId::ProcessStopping,
      {{"in_flight", std::to_string(m_Forwarder.inFlight())},
       {"connections", std::to_string(m_CallerServer->connections())}});
  m_Fleet.leave();
}

void GatewayNode::checkStopped() {
  const base::Millis Elapsed = m_Clock.now() - m_StopStartedAt;
  if (Elapsed >= KeepAlivePeriod)
    m_CallerServer->closeAfterResponses();
  const bool IsIdle =
      m_Forwarder.inFlight() == 0 && m_CallerServer->connections() == 0;
  if (Elapsed < m_Settings.m_StopTimeout &&
      !(IsIdle && Elapsed >= MinStopDuration))
    return;
  // The answers are sent until the next call.
  if (!std::exchange(m_IsAnsweredBeforeExit, true) && !IsIdle) {
    m_Forwarder.answerBeforeExit();
    return;
  }
  m_Events.record(base::EventId::ProcessStopped,
                  {{"in_flight", std::to_string(m_Forwarder.inFlight())}});
  if (m_OnStopped)
    std::exchange(m_OnStopped, nullptr)();
}

} // namespace corneldeck::gateway
