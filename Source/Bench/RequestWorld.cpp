#include "Bench/RequestWorld.h"

#include "Claims/ClaimKey.h"
#include "Membership/LinkMonitor.h"

#include <algorithm>

namespace corneldeck::bench {

using base::Millis;

namespace {

constexpr Millis WallStart = base::minutes(1'000'000);
constexpr Millis Tick = membership::LinkSettings{}.m_HeartbeatInterval;
constexpr Millis EntrySilence = membership::LinkSettings{}.m_SilenceTimeout;
constexpr Millis AgentSilence{1500};
constexpr Millis DefaultLag{20};
constexpr Millis LogPoll{200};
constexpr Millis ResetDelay{1};

WorldOptions withPlant(WorldOptions Options) {
  claims::ClaimSettings &Claims = Options.m_Attempts.m_Claims;
  if (Options.m_Plant == "forget-claim") {
    Claims.m_RetentionWindow = Millis(0);
    Claims.m_MaxClockSkew = Millis(0);
    Claims.m_MaxDisconnectedTime = Millis(0);
    Options.m_TellCreated = false;
    Options.m_Attempts.m_MaxStartDelay = base::seconds(1);
    Options.m_Attempts.m_AttemptRetention = base::seconds(2);
  }
  if (Options.m_Plant == "forget-attempt") {
    Options.m_Attempts.m_MaxStartDelay = base::minutes(10);
    Options.m_Attempts.m_AttemptRetention = Millis(100);
  }
  if (Options.m_Plant == "skip-former-homes")
    Claims.m_MaxDisconnectedTime = Millis(0) - Claims.m_RetentionWindow;
  return Options;
}

} // namespace

RequestWorld::RequestWorld(WorldOptions Options)
    : m_Options(withPlant(std::move(Options))),
      m_Network(m_Time, m_Options.m_Seed), m_Entries(m_Options.m_Entries),
      m_Agents(m_Options.m_Agents) {
  for (std::size_t Agent = 0; Agent < m_Agents.size(); ++Agent) {
    const std::string Name = "a" + std::to_string(Agent);
    m_Servers.push_back(Name);
    m_Agents[Agent].m_Process.m_Name = Name;
    m_Agents[Agent].m_Backend =
        std::make_unique<fakes::FakeBackend>(m_Time, m_History, Name);
    m_Agents[Agent].m_Lag = DefaultLag;
  }
  ++m_Offset;
  for (std::size_t Agent = 0; Agent < m_Agents.size(); ++Agent)
    startAgent(Agent);
  m_Starting = false;
  for (std::size_t Entry = 0; Entry < m_Entries.size(); ++Entry) {
    m_Entries[Entry].m_Process.m_Name = "e" + std::to_string(Entry);
    m_Entries[Entry].m_Lag = DefaultLag;
    startEntry(Entry);
  }
  advance(Millis(10));
}

Millis RequestWorld::wall() const {
  // Agents that were there from the start remember long enough.
  const Millis Ago = m_Options.m_Attempts.m_Claims.m_RetentionWindow * 2;
  return WallStart + m_Time.now() - (m_Starting ? Ago : Millis(0));
}

void RequestWorld::runIn(Process &In, std::uint64_t Incarnation,
                         const std::function<void()> &Todo) {
  if (!In.m_Alive || In.m_Incarnation != Incarnation)
    return;
  if (In.m_Paused) {
    In.m_Held.push_back(Todo);
    return;
  }
  Todo();
}

void RequestWorld::post(Process &To, Millis Delay, std::function<void()> Todo) {
  m_Time.after(Delay,
               [&To, Incarnation = To.m_Incarnation, Todo = std::move(Todo)] {
                 runIn(To, Incarnation, Todo);
               });
}

void RequestWorld::unpause(Process &Paused) {
  if (!Paused.m_Paused)
    return;
  Paused.m_Paused = false;
  std::vector<std::function<void()>> Held;
  Held.swap(Paused.m_Held);
  const std::uint64_t Incarnation = Paused.m_Incarnation;
  for (const std::function<void()> &Todo : Held)
    runIn(Paused, Incarnation, Todo);
}

void RequestWorld::startEntry(std::size_t Entry) {
  EntryNode &Node = m_Entries[Entry];
  if (Node.m_Process.m_Alive)
    return;
  Node.m_Process.m_Alive = true;
  Node.m_Process.m_Incarnation = ++m_LastIncarnation;
  Node.m_Links.assign(m_Agents.size(), {});
  Node.m_Offset = m_Offset;
  Node.m_Servers = m_Servers;
  tickEntry(Entry);
}

void RequestWorld::killEntry(std::size_t Entry) {
  EntryNode &Node = m_Entries[Entry];
  Node.m_Process.m_Alive = false;
  Node.m_Process.m_Paused = false;
  Node.m_Process.m_Held.clear();
  Node.m_Flows.clear();
  for (Call &Each : m_Calls)
    if (Each.m_Entry == Entry && !Each.m_Outcome)
      Each.m_EntryFailed = true;
  for (std::size_t Agent = 0; Agent < m_Agents.size(); ++Agent) {
    const request::LinkId Link = Node.m_Links[Agent].m_Id;
    if (!m_Silent.contains(Link))
      post(m_Agents[Agent].m_Process, ResetDelay,
           [this, Agent, Link] { closeAgentLink(Agent, Link); });
  }
}

void RequestWorld::startAgent(std::size_t Agent) {
  AgentNode &Node = m_Agents[Agent];
  if (Node.m_Process.m_Alive)
    return;
  Node.m_Process.m_Alive = true;
  Node.m_Process.m_Incarnation = ++m_LastIncarnation;
  request::AttemptHooks Hooks;
  Hooks.m_WallClock = [this] { return wall(); };
  const bool WasStarting = m_Starting;
  m_Starting = m_Starting || m_Options.m_Plant == "skip-window";
  Node.m_Table = std::make_unique<request::AttemptTable>(
      request::AgentIdentity{Node.m_Process.m_Name,
                             Node.m_Process.m_Incarnation},
      m_Options.m_Attempts, Hooks, m_Time.now());
  m_Starting = WasStarting;
  Node.m_Table->onPlacement(m_Time.now(), "s", m_Offset, m_Servers);
  connectBackend(Agent);
  tickAgent(Agent);
}

void RequestWorld::killAgent(std::size_t Agent, bool WholeVm) {
  AgentNode &Node = m_Agents[Agent];
  if (WholeVm)
    Node.m_Backend->reset();
  if (!Node.m_Process.m_Alive)
    return;
  Node.m_Process.m_Alive = false;
  Node.m_Process.m_Paused = false;
  Node.m_Process.m_Held.clear();
  Node.m_Table.reset();
  Node.m_Links.clear();
  Node.m_TimerAt.reset();
  // A VM that is gone resets no connection.
  for (std::size_t Entry = 0; Entry < m_Entries.size() && !WholeVm; ++Entry) {
    const request::LinkId Link = m_Entries[Entry].m_Links[Agent].m_Id;
    if (m_Silent.contains(Link))
      continue;
    post(m_Entries[Entry].m_Process, ResetDelay, [this, Entry, Agent, Link] {
      if (m_Entries[Entry].m_Links[Agent].m_Id == Link)
        loseLink(Entry, Agent);
    });
  }
}

void RequestWorld::pauseEntry(std::size_t Entry) {
  m_Entries[Entry].m_Process.m_Paused = m_Entries[Entry].m_Process.m_Alive;
  for (Call &Each : m_Calls)
    if (Each.m_Entry == Entry && !Each.m_Outcome)
      Each.m_EntryFailed = true;
}

void RequestWorld::pauseAgent(std::size_t Agent) {
  m_Agents[Agent].m_Process.m_Paused = m_Agents[Agent].m_Process.m_Alive;
}

void RequestWorld::resumeEntry(std::size_t Entry) {
  unpause(m_Entries[Entry].m_Process);
}

void RequestWorld::resumeAgent(std::size_t Agent) {
  unpause(m_Agents[Agent].m_Process);
}

void RequestWorld::silence(std::size_t Entry, std::size_t Agent) {
  m_Silent.insert(m_Entries[Entry].m_Links[Agent].m_Id);
}

void RequestWorld::setCut(std::size_t Entry, std::size_t Agent, bool Cut) {
  m_Network.setCut(m_Entries[Entry].m_Process.m_Name,
                   m_Agents[Agent].m_Process.m_Name, Cut);
}

void RequestWorld::setAgentsCut(std::size_t A, std::size_t B, bool Cut) {
  m_Network.setCut(m_Agents[A].m_Process.m_Name, m_Agents[B].m_Process.m_Name,
                   Cut);
}

void RequestWorld::stall(std::size_t Agent, Millis Span) {
  m_Agents[Agent].m_Backend->stall(Span);
}

void RequestWorld::drain(std::size_t Agent, Millis Span) {
  post(m_Agents[Agent].m_Process, Millis(0), [this, Agent, Span] {
    const Millis Now = m_Time.now();
    apply(Agent, m_Agents[Agent].m_Table->beginDrain(Now, Now + Span));
  });
}

void RequestWorld::setOutOfService(std::size_t Agent, bool Out) {
  post(m_Agents[Agent].m_Process, Millis(0), [this, Agent, Out] {
    apply(Agent, m_Agents[Agent].m_Table->setOutOfService(m_Time.now(), Out));
  });
}

void RequestWorld::faultNextFrame(FrameFault Fault, Millis Delay) {
  m_FrameFault = Fault;
  m_FrameDelay = Delay;
}

void RequestWorld::setEntryLag(std::size_t Entry, Millis Lag) {
  m_Entries[Entry].m_Lag = Lag;
}

void RequestWorld::setAgentLag(std::size_t Agent, Millis Lag) {
  m_Agents[Agent].m_Lag = Lag;
}

void RequestWorld::setLogOut(bool Out) { m_LogOut = Out; }

void RequestWorld::learn(Process &At, Millis Lag,
                         const std::function<void()> &Todo) {
  post(At, Lag, [this, &At, Todo] {
    if (m_LogOut)
      learn(At, LogPoll, Todo);
    else
      Todo();
  });
}

void RequestWorld::publish(const std::vector<std::size_t> &Agents) {
  // Nothing is accepted while the log is out.
  if (m_LogOut || Agents.empty())
    return;
  std::vector<std::string> Servers;
  Servers.reserve(Agents.size());
  for (const std::size_t Agent : Agents)
    Servers.push_back(m_Agents[Agent].m_Process.m_Name);
  const std::uint64_t Offset = ++m_Offset;
  m_Servers = Servers;
  for (EntryNode &Node : m_Entries)
    learn(Node.m_Process, Node.m_Lag, [&Node, Offset, Servers] {
      if (Offset <= Node.m_Offset)
        return;
      Node.m_Offset = Offset;
      Node.m_Servers = Servers;
    });
  for (AgentNode &Node : m_Agents)
    learn(Node.m_Process, Node.m_Lag, [this, &Node, Offset, Servers] {
      Node.m_Table->onPlacement(m_Time.now(), "s", Offset, Servers);
    });
}

void RequestWorld::heal() {
  m_LogOut = false;
  m_FrameFault = FrameFault::None;
  for (std::size_t Agent = 0; Agent < m_Agents.size(); ++Agent) {
    startAgent(Agent);
    resumeAgent(Agent);
    m_Agents[Agent].m_Lag = DefaultLag;
    for (std::size_t Entry = 0; Entry < m_Entries.size(); ++Entry)
      setCut(Entry, Agent, false);
    for (std::size_t Other = 0; Other < Agent; ++Other)
      setAgentsCut(Agent, Other, false);
  }
  for (std::size_t Entry = 0; Entry < m_Entries.size(); ++Entry) {
    startEntry(Entry);
    resumeEntry(Entry);
    m_Entries[Entry].m_Lag = DefaultLag;
  }
}

std::size_t RequestWorld::homeOf(const std::string &Key) const {
  return agentIndex(claims::homeOf(claims::claimKey("s", "c", Key), m_Servers));
}

std::size_t RequestWorld::agentIndex(const std::string &Name) const {
  const auto Found = std::find_if(
      m_Agents.begin(), m_Agents.end(),
      [&Name](const AgentNode &Node) { return Node.m_Process.m_Name == Name; });
  return static_cast<std::size_t>(Found - m_Agents.begin());
}

bool RequestWorld::agentDrained(std::size_t Agent) {
  const AgentNode &Node = m_Agents[Agent];
  return !Node.m_Table || Node.m_Table->drained(m_Time.now());
}

bool RequestWorld::agentIdle(std::size_t Agent) {
  const AgentNode &Node = m_Agents[Agent];
  return !Node.m_Table || Node.m_Table->running() == 0;
}

void RequestWorld::tickEntry(std::size_t Entry) {
  EntryNode &Node = m_Entries[Entry];
  for (std::size_t Agent = 0; Agent < m_Agents.size(); ++Agent) {
    EntryLink &Link = Node.m_Links[Agent];
    if (!Link.m_Up) {
      connect(Entry, Agent);
      continue;
    }
    if (m_Time.now() - Link.m_HeardAt > EntrySilence) {
      loseLink(Entry, Agent);
      continue;
    }
    sendHeartbeat(Entry, Agent, Link.m_Id);
  }
  post(Node.m_Process, Tick, [this, Entry] { tickEntry(Entry); });
}

void RequestWorld::sendHeartbeat(std::size_t Entry, std::size_t Agent,
                                 request::LinkId Id) {
  Process &Here = m_Entries[Entry].m_Process;
  Process &There = m_Agents[Agent].m_Process;
  send(Here, There, Id, [this, Entry, Agent, Id, &Here, &There] {
    AgentNode &Node = m_Agents[Agent];
    const auto Found = Node.m_Links.find(Id);
    if (Found == Node.m_Links.end())
      return;
    Found->second.m_HeardAt = m_Time.now();
    const bool Leaving =
        Node.m_Table->draining() || Node.m_Table->outOfService();
    const Millis Clock = m_Time.now();
    send(There, Here, Id, [this, Entry, Agent, Id, Leaving, Clock] {
      EntryLink &Link = m_Entries[Entry].m_Links[Agent];
      if (Link.m_Id != Id)
        return;
      Link.m_HeardAt = m_Time.now();
      Link.m_Leaving = Leaving;
      Link.m_Clock.onReading(m_Time.now(), Clock);
    });
  });
}

void RequestWorld::connect(std::size_t Entry, std::size_t Agent) {
  Process &Here = m_Entries[Entry].m_Process;
  Process &There = m_Agents[Agent].m_Process;
  const request::LinkId Id = ++m_LastLink;
  m_Entries[Entry].m_Links[Agent].m_Id = Id;
  send(Here, There, Id, [this, Entry, Agent, Id, &Here, &There] {
    m_Agents[Agent].m_Links[Id] = {Entry, m_Time.now()};
    send(There, Here, Id,
         [this, Entry, Agent, Id, Incarnation = There.m_Incarnation,
          Clock = m_Time.now()] {
           onHello(Entry, Agent, Id, Incarnation, Clock);
         });
  });
}

void RequestWorld::tickAgent(std::size_t Agent) {
  AgentNode &Node = m_Agents[Agent];
  std::vector<request::LinkId> Silent;
  for (const auto &[Id, Link] : Node.m_Links)
    if (m_Time.now() - Link.m_HeardAt > AgentSilence)
      Silent.push_back(Id);
  for (const request::LinkId Id : Silent)
    closeAgentLink(Agent, Id);
  post(Node.m_Process, Tick, [this, Agent] { tickAgent(Agent); });
}

void RequestWorld::closeAgentLink(std::size_t Agent, request::LinkId Link) {
  AgentNode &Node = m_Agents[Agent];
  if (Node.m_Links.erase(Link) > 0)
    apply(Agent, Node.m_Table->onLinkClosed(m_Time.now(), Link));
}

void RequestWorld::send(const Process &From, Process &To, request::LinkId Link,
                        const std::function<void()> &Todo) {
  if (m_Silent.contains(Link))
    return;
  m_Network.send(From.m_Name, To.m_Name,
                 [&To, Incarnation = To.m_Incarnation, Todo] {
                   runIn(To, Incarnation, Todo);
                 });
}

} // namespace corneldeck::bench
