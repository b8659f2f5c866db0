#include "Bench/FleetEmulation.h"

#include "Fleet/FleetSummary.h"

#include <algorithm>
#include <cmath>

namespace corneldeck::bench {

namespace {

constexpr double DelayInZone = 0.25;
constexpr double DelayBetweenZones = 0.5;
/// Every this many entries, one has a wide link.
constexpr std::size_t EntriesPerWideLink = 8;
constexpr double WideLinkBytesPerMs = 25'000;
constexpr double NarrowLinkBytesPerMs = 5'000;
constexpr double AgentLinkBytesPerMs = 750;
/// Longest queue of a link in milliseconds; what exceeds it is dropped.
constexpr double MaxQueueMs = 100;
/// Bytes of the headers of each datagram.
constexpr std::size_t HeaderBytes = 28;
constexpr double StartSpread = 300;
constexpr std::size_t Seeds = 3;
/// Time at which the agents learn the rank group of their engines.
constexpr double GroupKnownAt = 3000;
constexpr double MillisPerSecond = 1000;
/// Server on which the entry 0 reports the present time as its load, by which
/// the others measure the age of what they know.
constexpr const char *ClockServer = "clock";
constexpr double KbpsPerByteMs = 8;

} // namespace

/// One process of a node.
struct FleetEmulation::Process {
  Process(const fleet::FleetSettings &Settings, base::Clock Time,
          fleet::FleetCore::Sender Send, fleet::FleetCore::Hooks Hooks)
      : m_Timeline(Settings.m_Node, 10),
        m_Core(Settings, std::move(Time), std::move(Send), m_Timeline,
               m_Metrics, std::move(Hooks)) {}

  base::Timeline m_Timeline;
  metrics::Registry m_Metrics;
  fleet::FleetCore m_Core;
};

FleetEmulation::FleetEmulation(FleetEmulationOptions Options)
    : m_Options(Options), m_Rng(Options.m_Seed),
      m_Nodes(Options.m_Entries + Options.m_Agents) {
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
    const bool IsWide = Index % EntriesPerWideLink == 0;
    m_Nodes[Index].m_BytesPerMs = !isEntry(Index) ? AgentLinkBytesPerMs
                                  : IsWide        ? WideLinkBytesPerMs
                                                  : NarrowLinkBytesPerMs;
  }
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
    const bool IsDeadSeed = Index < m_Options.m_DeadSeeds;
    if (!IsDeadSeed)
      start(Index);
  }
}

FleetEmulation::~FleetEmulation() = default;

std::size_t FleetEmulation::zoneOf(std::size_t Node) const {
  return Node % m_Options.m_Zones;
}

std::string FleetEmulation::addressOf(std::size_t Node) {
  return "node:" + std::to_string(Node);
}

std::string FleetEmulation::nameOf(std::size_t Node) const {
  return (isEntry(Node) ? "entry-" : "agent-") + std::to_string(Node);
}

fleet::FleetSettings FleetEmulation::settingsOf(std::size_t Node) const {
  fleet::FleetSettings Settings;
  Settings.m_Node = nameOf(Node);
  Settings.m_Incarnation = m_NextIncarnation;
  Settings.m_PeerAddress = addressOf(Node);
  if (isEntry(Node))
    Settings.m_CallerAddress = "callers:" + std::to_string(Node);
  Settings.m_Zone = "zone-" + std::to_string(zoneOf(Node));
  Settings.m_LinkKbps =
      static_cast<std::uint32_t>(m_Nodes[Node].m_BytesPerMs * KbpsPerByteMs);
  Settings.m_MaxDirectEntries = m_Options.m_MaxDirectEntries;
  Settings.m_MaxDirectEntriesAcrossZones =
      m_Options.m_MaxDirectEntriesAcrossZones;
  for (std::size_t Seed = 0; Seed < Seeds; ++Seed)
    Settings.m_Seeds.push_back(addressOf(Seed));
  if (!isEntry(Node)) {
    constexpr std::int64_t MissedLists = 6;
    Settings.m_HeartbeatInterval = base::seconds(1);
    Settings.m_HeartbeatsPerListRequest = 2;
    Settings.m_Liveness.m_SilenceTimeout =
        Settings.m_HeartbeatInterval * MissedLists;
  }
  return Settings;
}

void FleetEmulation::start(std::size_t Node) {
  ++m_NextIncarnation;
  fleet::FleetCore::Hooks Hooks;
  Hooks.m_FillHeartbeat = [this, Node](wire::FleetBeat &Beat) {
    fillHeartbeat(Node, Beat);
  };
  Hooks.m_OnHeartbeat = [this, Node](const wire::FleetBeat &Beat) {
    handleBeat(Node, Beat);
  };
  Hooks.m_OnSummary = [this, Node](const wire::FleetSummary &Summary,
                                   const wire::FleetBeat *Own) {
    handleSummary(Node, Summary, Own);
  };
  m_Nodes[Node].m_Process = std::make_unique<Process>(
      settingsOf(Node), base::Clock([this] {
        return base::Millis(static_cast<std::int64_t>(m_Now));
      }),
      [this, Node](const std::string &To, std::string_view Bytes) {
        send(Node, To, Bytes);
        return base::Result<void>();
      },
      Hooks);
  m_Nodes[Node].m_Incarnation = m_NextIncarnation;
  m_Nodes[Node].m_Stopping = false;
  if (isEntry(Node))
    m_Nodes[Node].m_Process->m_Core.setReady(true);
  m_Events.push({m_Now + StartSpread * m_Rng.uniform(),
                 ++m_NextEvent,
                 Node,
                 m_NextIncarnation,
                 {},
                 0});
}

void FleetEmulation::kill(std::size_t Node) {
  m_Nodes[Node].m_Process.reset();
  m_Nodes[Node].m_Incarnation = 0;
}

void FleetEmulation::stop(std::size_t Node) {
  m_Nodes[Node].m_Stopping = true;
  m_Nodes[Node].m_Process->m_Core.leave();
}

void FleetEmulation::freeze(std::size_t Node, bool Frozen) {
  m_Nodes[Node].m_Frozen = Frozen;
}

void FleetEmulation::cutZones(std::size_t Zones, bool Cut) {
  m_CutZones = Cut ? Zones : 0;
}

bool FleetEmulation::isReachable(std::size_t From, std::size_t To) const {
  return (zoneOf(From) < m_CutZones) == (zoneOf(To) < m_CutZones);
}

void FleetEmulation::send(std::size_t From, const std::string &To,
                          std::string_view Bytes) {
  const std::size_t Target = std::stoul(To.substr(To.find(':') + 1));
  const std::size_t Size = Bytes.size() + HeaderBytes;
  Node &Source = m_Nodes[From];
  ++Source.m_Messages;
  Source.m_Bytes += Size;
  const double Begin = std::max(m_Now, Source.m_UplinkFreeAt);
  if (Begin - m_Now > MaxQueueMs)
    return;
  Source.m_UplinkFreeAt =
      Begin + static_cast<double>(Size) / Source.m_BytesPerMs;
  if (!isReachable(From, Target) || m_Rng.chance(m_Options.m_LossRate))
    return;
  const bool Crosses = zoneOf(From) != zoneOf(Target);
  if (Crosses)
    m_CrossingBytes += static_cast<double>(Size);
  Node &Receiver = m_Nodes[Target];
  const double Arrival =
      Source.m_UplinkFreeAt + (Crosses ? DelayBetweenZones : DelayInZone);
  const double Received = std::max(Arrival, Receiver.m_DownlinkFreeAt);
  if (Received - Arrival > MaxQueueMs)
    return;
  Receiver.m_DownlinkFreeAt =
      Received + static_cast<double>(Size) / Receiver.m_BytesPerMs;
  m_Events.push({Receiver.m_DownlinkFreeAt, ++m_NextEvent, Target, 0,
                 std::string(Bytes), From});
}

void FleetEmulation::process(Event Next) {
  Node &Target = m_Nodes[Next.m_Node];
  const bool IsTick = Next.m_Incarnation != 0;
  if (!Target.m_Process ||
      (IsTick && Next.m_Incarnation != Target.m_Incarnation))
    return;
  if (Target.m_Frozen) {
    if (IsTick) {
      Next.m_At = m_Now + MillisPerSecond / 10;
      m_Events.push(std::move(Next));
    }
    return;
  }
  if (IsTick && !isEntry(Next.m_Node) && m_Now > GroupKnownAt)
    Target.m_Process->m_Core.setGroup("g");
  if (IsTick) {
    Next.m_At =
        m_Now + static_cast<double>(Target.m_Process->m_Core.tick().count());
    m_Events.push(std::move(Next));
    return;
  }
  ++Target.m_Messages;
  Target.m_Bytes += Next.m_Bytes.size() + HeaderBytes;
  Target.m_Process->m_Core.handleDatagram(Next.m_Bytes, addressOf(Next.m_From));
}

void FleetEmulation::run(base::Millis Duration) {
  const double End = m_Now + static_cast<double>(Duration.count());
  while (!m_Events.empty() && m_Events.top().m_At <= End) {
    Event Next = m_Events.top();
    m_Events.pop();
    m_Now = std::max(m_Now, Next.m_At);
    process(std::move(Next));
  }
  m_Now = End;
}

base::Millis FleetEmulation::runUntil(const std::function<bool()> &Done,
                                      base::Millis Limit) {
  constexpr base::Millis Step{100};
  base::Millis Elapsed{};
  for (; Elapsed < Limit && !Done(); Elapsed += Step)
    run(Step);
  return Elapsed;
}

void FleetEmulation::fillHeartbeat(std::size_t Node, wire::FleetBeat &Beat) {
  if (!isEntry(Node)) {
    Beat.mutable_group()->set_service("s");
    Beat.mutable_group()->set_group("g");
    Beat.mutable_group()->set_open(true);
    return;
  }
  for (std::size_t Index = 0; Index < m_Options.m_ServersPerEntry; ++Index) {
    wire::ServerWork &Work = *Beat.add_work();
    Work.set_server(
        "i-" + std::to_string((Node * 7 + Index * 13) % m_Options.m_Servers));
    Work.set_requests(1);
    Work.set_prompt_tokens(700);
  }
  if (Node == Seeds) {
    wire::ServerWork &Work = *Beat.add_work();
    Work.set_server(ClockServer);
    Work.set_requests(static_cast<std::uint32_t>(m_Now));
  }
  Beat.mutable_configuration()->set_loaded(true);
  Beat.mutable_servers()->set_loaded(true);
  wire::PassStretch &Stretch = *Beat.add_stretches();
  Stretch.set_service("model-service");
  Stretch.set_mean(1.4);
}

void FleetEmulation::handleBeat(std::size_t Node, const wire::FleetBeat &Beat) {
  if (!isEntry(Node) ||
      m_Nodes[Node].m_Process->m_Core.role() == fleet::FleetCore::Role::Member)
    return;
  for (const wire::ServerWork &Each : Beat.work())
    if (Each.server() == ClockServer)
      m_Ages.push_back(m_Now - Each.requests());
}

void FleetEmulation::handleSummary(std::size_t Node,
                                   const wire::FleetSummary &Summary,
                                   const wire::FleetBeat *Own) {
  if (!isEntry(Node))
    return;
  if (Summary.entries() > m_Options.m_Entries)
    ++m_DoubleCounts;
  if (Own && Own->sender().node() == nameOf(Seeds))
    return;
  for (int Index = 0; Index < Summary.servers_size(); ++Index) {
    if (Summary.servers(Index) != fleet::serverHash(ClockServer))
      continue;
    const double Age = m_Now - Summary.requests(Index);
    if (Age < 0)
      ++m_DoubleCounts;
    else
      m_Ages.push_back(Age);
  }
}

double FleetEmulation::ageQuantile(double Quantile) const {
  if (m_Ages.empty())
    return 0;
  std::vector<double> Sorted = m_Ages;
  std::sort(Sorted.begin(), Sorted.end());
  const auto Index = static_cast<std::size_t>(
      Quantile * static_cast<double>(Sorted.size() - 1));
  // A load is known until the next report arrives.
  constexpr double Interval = 200;
  return Sorted[Index] + Interval * Quantile;
}

std::vector<std::size_t> FleetEmulation::relays() const {
  std::vector<std::size_t> Relays;
  for (std::size_t Index = 0; Index < m_Options.m_Entries; ++Index)
    if (const auto &Process = m_Nodes[Index].m_Process;
        Process && Process->m_Core.role() == fleet::FleetCore::Role::Relay)
      Relays.push_back(Index);
  return Relays;
}

bool FleetEmulation::allAgree() const {
  const base::Millis Now(static_cast<std::int64_t>(m_Now));
  std::vector<std::string> Names;
  for (std::size_t Index = 0; Index < m_Options.m_Entries; ++Index)
    Names.push_back(nameOf(Index));
  for (std::size_t From = 0; From < m_Options.m_Entries; ++From) {
    if (!m_Nodes[From].m_Process || m_Nodes[From].m_Frozen)
      continue;
    const membership::Members &Known =
        m_Nodes[From].m_Process->m_Core.entries();
    for (std::size_t To = 0; To < m_Options.m_Entries; ++To) {
      const Node &Target = m_Nodes[To];
      const bool IsUp = Target.m_Process && !Target.m_Frozen &&
                        !Target.m_Stopping && isReachable(From, To);
      if (Known.acceptsNewWork(Now, Names[To]) != IsUp)
        return false;
    }
  }
  return true;
}

bool FleetEmulation::agentsKnowEachOther() const {
  for (std::size_t Index = m_Options.m_Entries; Index < m_Nodes.size(); ++Index)
    if (m_Nodes[Index].m_Process &&
        m_Nodes[Index].m_Process->m_Core.agents().size() + 1 <
            m_Options.m_Agents)
      return false;
  return true;
}

bool FleetEmulation::isOfferedAnywhere(std::size_t Node) const {
  const base::Millis Now(static_cast<std::int64_t>(m_Now));
  for (std::size_t From = 0; From < m_Options.m_Entries; ++From)
    if (m_Nodes[From].m_Process && !m_Nodes[From].m_Frozen && From != Node &&
        m_Nodes[From].m_Process->m_Core.entries().acceptsNewWork(Now,
                                                                 nameOf(Node)))
      return true;
  return false;
}

FleetEmulation::Traffic FleetEmulation::takeTraffic() {
  const double Seconds = (m_Now - m_TrafficSince) / MillisPerSecond;
  Traffic Sum;
  for (std::size_t Index = 0; Index < m_Nodes.size(); ++Index) {
    Node &Each = m_Nodes[Index];
    const double Messages = static_cast<double>(Each.m_Messages) / Seconds;
    const double Bytes = static_cast<double>(Each.m_Bytes) / Seconds;
    Each.m_Messages = 0;
    Each.m_Bytes = 0;
    if (!isEntry(Index)) {
      Sum.m_AgentMessages += Messages / static_cast<double>(m_Options.m_Agents);
      Sum.m_AgentBytes += Bytes / static_cast<double>(m_Options.m_Agents);
      continue;
    }
    Sum.m_MeanMessages += Messages / static_cast<double>(m_Options.m_Entries);
    Sum.m_MeanBytes += Bytes / static_cast<double>(m_Options.m_Entries);
    Sum.m_MaxMessages = std::max(Sum.m_MaxMessages, Messages);
    Sum.m_MaxBytes = std::max(Sum.m_MaxBytes, Bytes);
  }
  Sum.m_CrossingBytes = m_CrossingBytes / Seconds;
  m_CrossingBytes = 0;
  m_TrafficSince = m_Now;
  return Sum;
}

} // namespace corneldeck::bench
