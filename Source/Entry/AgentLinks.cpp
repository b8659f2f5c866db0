#include "Entry/AgentLinks.h"

#include <chrono>
#include <utility>

namespace corneldeck::entry {

namespace {
constexpr std::chrono::milliseconds TickInterval{50};
} // namespace

AgentLinks::AgentLinks(boost::asio::io_context &Loop, std::string Node,
                       std::string Zone, std::uint64_t Incarnation,
                       base::Timeline &Events, AgentLinksHooks Hooks)
    : m_Loop(Loop), m_Node(std::move(Node)), m_Zone(std::move(Zone)),
      m_Incarnation(Incarnation), m_Events(Events), m_Hooks(std::move(Hooks)),
      m_Clock(base::steadyClock()), m_Timer(Loop) {
  tick();
}

void AgentLinks::setView(const catalogue::View &View) {
  m_CatalogueOffset = View.offset();
  std::map<std::string, std::string> Addresses;
  for (const auto &[Name, Entry] : View.entries())
    for (const catalogue::BackendServer &Server : Entry->m_BackendServers)
      Addresses[Server.m_Name] = Server.m_LinkAddress;

  for (auto Item = m_Links.begin(); Item != m_Links.end();) {
    const auto Found = Addresses.find(Item->first);
    const bool Keep =
        Found != Addresses.end() && Found->second == Item->second->m_Address;
    const auto Candidate = Item++;
    if (Keep)
      continue;
    closeLink(Candidate->first, *Candidate->second, base::EventId::LinkClosed);
    m_Links.erase(Candidate);
  }
  for (const auto &[Name, Address] : Addresses)
    if (!m_Links.contains(Name)) {
      auto New = std::make_shared<Link>(now());
      New->m_Address = Address;
      m_Links.emplace(Name, std::move(New));
    }
}

void AgentLinks::send(const std::string &Agent, wire::LinkFrame Frame) {
  const auto Found = m_Links.find(Agent);
  if (Found == m_Links.end() || !Found->second->m_Established)
    return;
  Frame.set_stamp(m_Events.stamp());
  Found->second->m_Connection->send(Frame);
}

std::optional<AgentState> AgentLinks::state(const std::string &Agent) const {
  const auto Found = m_Links.find(Agent);
  if (Found == m_Links.end())
    return std::nullopt;
  const Link &AgentLink = *Found->second;
  AgentState State = AgentLink.m_State;
  State.m_Alive = AgentLink.m_Established && AgentLink.m_Monitor.alive(now());
  State.m_Time = AgentLink.m_AgentClock.estimate(now());
  return State;
}

std::vector<std::string> AgentLinks::agents() const {
  std::vector<std::string> Names;
  for (const auto &[Name, AgentLink] : m_Links)
    Names.push_back(Name);
  return Names;
}

void AgentLinks::close() {
  m_Timer.cancel();
  for (auto &[Name, Open] : m_Links)
    if (Open->m_Connection)
      Open->m_Connection->close();
  m_Links.clear();
}

void AgentLinks::tick() {
  // A hook may change the map, so iterate over a copy of the names.
  for (const std::string &Agent : agents())
    if (const auto Found = m_Links.find(Agent); Found != m_Links.end())
      tickLink(Agent, *LinkPtr(Found->second));
  m_Timer.expires_after(TickInterval);
  m_Timer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      tick();
  });
}

void AgentLinks::tickLink(const std::string &Agent, Link &AgentLink) {
  const membership::LinkActions Actions = AgentLink.m_Monitor.tick(now());
  if (Actions.m_Close)
    closeLink(Agent, AgentLink,
              Actions.m_Silent ? base::EventId::LinkSilent
                               : base::EventId::LinkClosed);
  if (Actions.m_SendHeartbeat && AgentLink.m_Connection) {
    wire::LinkFrame Frame;
    Frame.set_stamp(m_Events.stamp());
    Frame.mutable_heartbeat()->set_sequence(Actions.m_Sequence);
    Frame.mutable_heartbeat()->set_catalogue_offset(m_CatalogueOffset);
    m_ControlBytes += Frame.ByteSizeLong();
    AgentLink.m_Connection->send(Frame);
  }
  if (Actions.m_Open)
    open(Agent, AgentLink);
}

void AgentLinks::open(const std::string &Agent, Link &AgentLink) {
  AgentLink.m_Generation = ++m_LastGeneration;
  net::connectLink(m_Loop, AgentLink.m_Address,
                   membership::LinkSettings{}.m_ConnectTimeout,
                   [this, Agent, Generation = AgentLink.m_Generation](
                       base::Result<net::LinkConnectionPtr> Opened) {
                     onOpened(Agent, Generation, std::move(Opened));
                   });
}

void AgentLinks::onOpened(const std::string &Agent, std::uint64_t Generation,
                          base::Result<net::LinkConnectionPtr> Opened) {
  Link *AgentLink = find(Agent, Generation);
  if (AgentLink == nullptr) {
    if (Opened)
      (*Opened)->close();
    return;
  }
  if (!Opened) {
    AgentLink->m_Monitor.onClosed(now());
    return;
  }
  AgentLink->m_Connection = std::move(*Opened);
  AgentLink->m_Connection->start(
      [this, Agent, Generation](wire::LinkFrame &Frame) {
        onFrame(Agent, Generation, Frame);
      },
      [this, Agent, Generation](const base::Error &) {
        if (Link *Closed = find(Agent, Generation)) {
          Closed->m_Monitor.onClosed(now());
          closeLink(Agent, *Closed, base::EventId::LinkClosed);
        }
      });
  sendHello(*AgentLink);
}

void AgentLinks::sendHello(Link &AgentLink) {
  wire::LinkFrame Frame;
  Frame.set_stamp(m_Events.stamp());
  wire::Hello &Hello = *Frame.mutable_hello();
  Hello.set_node(m_Node);
  Hello.set_zone(m_Zone);
  Hello.set_incarnation(m_Incarnation);
  Hello.set_link(AgentLink.m_Generation);
  Hello.set_clock_ms(now().count());
  AgentLink.m_Connection->send(Frame);
}

void AgentLinks::onFrame(const std::string &Agent, std::uint64_t Generation,
                         const wire::LinkFrame &Frame) {
  Link *AgentLink = find(Agent, Generation);
  if (AgentLink == nullptr)
    return;
  m_Events.observe(Frame.stamp());
  if (AgentLink->m_Established)
    AgentLink->m_Monitor.onMessage(now());
  switch (Frame.body_case()) {
  case wire::LinkFrame::kHello:
    onHello(Agent, *AgentLink, Frame.hello());
    return;
  case wire::LinkFrame::kLoad:
    m_ControlBytes += Frame.ByteSizeLong();
    onLoad(Agent, *AgentLink, Frame.load());
    return;
  default:
    m_Hooks.m_OnFrame(Agent, Frame);
  }
}

void AgentLinks::onHello(const std::string &Agent, Link &AgentLink,
                         const wire::Hello &Hello) {
  if (Hello.node() != Agent) {
    // Another VM uses this address now.
    AgentLink.m_Monitor.onClosed(now());
    closeLink(Agent, AgentLink, base::EventId::LinkClosed);
    return;
  }
  AgentLink.m_Established = true;
  AgentLink.m_State.m_Incarnation = Hello.incarnation();
  AgentLink.m_State.m_Zone = Hello.zone();
  AgentLink.m_State.m_HttpAddress = Hello.address();
  AgentLink.m_AgentClock.onReading(now(), base::Millis(Hello.clock_ms()));
  AgentLink.m_Monitor.onOpened(now());
  m_Events.record(base::EventId::LinkUp, {{"agent", Agent}});
  m_Hooks.m_OnUp(Agent, Hello.incarnation());
}

void AgentLinks::onLoad(const std::string &Agent, Link &AgentLink,
                        const wire::Load &Load) {
  AgentLink.m_AgentClock.onReading(now(), base::Millis(Load.clock_ms()));
  AgentLink.m_State.m_Leaving = Load.leaving();
  AgentLink.m_State.m_CatalogueOffset = Load.catalogue_offset();
  m_Hooks.m_OnLoad(Agent, Load);
}

void AgentLinks::closeLink(const std::string &Agent, Link &AgentLink,
                           base::EventId Reason) {
  // Late callbacks of this connection no longer match the generation.
  AgentLink.m_Generation = 0;
  const net::LinkConnectionPtr Connection = std::move(AgentLink.m_Connection);
  AgentLink.m_Connection = nullptr;
  if (Connection)
    Connection->close();
  if (!std::exchange(AgentLink.m_Established, false))
    return;
  m_Events.record(Reason, {{"agent", Agent}});
  m_Hooks.m_OnLost(Agent);
}

AgentLinks::Link *AgentLinks::find(const std::string &Agent,
                                   std::uint64_t Generation) {
  const auto Found = m_Links.find(Agent);
  if (Found == m_Links.end() || Found->second->m_Generation != Generation)
    return nullptr;
  return Found->second.get();
}

} // namespace corneldeck::entry
