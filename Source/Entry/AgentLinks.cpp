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
  std::map<std::string, std::string> Wanted;
  for (const auto &[Name, Entry] : View.entries())
    for (const catalogue::BackendServer &Server : Entry->m_BackendServers)
      Wanted[Server.m_Name] = Server.m_LinkAddress;

  for (auto Item = m_Links.begin(); Item != m_Links.end();) {
    const auto Found = Wanted.find(Item->first);
    const bool Keep =
        Found != Wanted.end() && Found->second == Item->second->m_Address;
    const auto Obsolete = Item++;
    if (Keep)
      continue;
    closeLink(Obsolete->first, *Obsolete->second, base::EventId::LinkClosed);
    m_Links.erase(Obsolete);
  }
  for (const auto &[Name, Address] : Wanted)
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
  const Link &Current = *Found->second;
  AgentState State = Current.m_State;
  State.m_Alive = Current.m_Established && Current.m_Monitor.alive(now());
  State.m_Time = Current.m_AgentClock.estimate(now());
  return State;
}

std::vector<std::string> AgentLinks::agents() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Known] : m_Links)
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

void AgentLinks::tickLink(const std::string &Agent, Link &Current) {
  const membership::LinkActions Actions = Current.m_Monitor.tick(now());
  if (Actions.m_Close)
    closeLink(Agent, Current,
              Actions.m_Silent ? base::EventId::LinkSilent
                               : base::EventId::LinkClosed);
  if (Actions.m_SendHeartbeat && Current.m_Connection) {
    wire::LinkFrame Frame;
    Frame.set_stamp(m_Events.stamp());
    Frame.mutable_heartbeat()->set_sequence(Actions.m_Sequence);
    Frame.mutable_heartbeat()->set_catalogue_offset(m_CatalogueOffset);
    m_ControlBytes += Frame.ByteSizeLong();
    Current.m_Connection->send(Frame);
  }
  if (Actions.m_Open)
    open(Agent, Current);
}

void AgentLinks::open(const std::string &Agent, Link &Current) {
  Current.m_Generation = ++m_LastGeneration;
  net::connectLink(m_Loop, Current.m_Address,
                   membership::LinkSettings{}.m_ConnectTimeout,
                   [this, Agent, Generation = Current.m_Generation](
                       base::Result<net::LinkConnectionPtr> Opened) {
                     onOpened(Agent, Generation, std::move(Opened));
                   });
}

void AgentLinks::onOpened(const std::string &Agent, std::uint64_t Generation,
                          base::Result<net::LinkConnectionPtr> Opened) {
  Link *Current = find(Agent, Generation);
  if (Current == nullptr) {
    if (Opened)
      (*Opened)->close();
    return;
  }
  if (!Opened) {
    Current->m_Monitor.closed(now());
    return;
  }
  Current->m_Connection = std::move(*Opened);
  Current->m_Connection->start(
      [this, Agent, Generation](wire::LinkFrame &Frame) {
        onFrame(Agent, Generation, Frame);
      },
      [this, Agent, Generation](const base::Error &) {
        if (Link *Closed = find(Agent, Generation)) {
          Closed->m_Monitor.closed(now());
          closeLink(Agent, *Closed, base::EventId::LinkClosed);
        }
      });
  sendHello(*Current);
}

void AgentLinks::sendHello(Link &Current) {
  wire::LinkFrame Frame;
  Frame.set_stamp(m_Events.stamp());
  wire::Hello &Hello = *Frame.mutable_hello();
  Hello.set_node(m_Node);
  Hello.set_zone(m_Zone);
  Hello.set_incarnation(m_Incarnation);
  Hello.set_link(Current.m_Generation);
  Hello.set_clock_ms(now().count());
  Current.m_Connection->send(Frame);
}

void AgentLinks::onFrame(const std::string &Agent, std::uint64_t Generation,
                         const wire::LinkFrame &Frame) {
  Link *Current = find(Agent, Generation);
  if (Current == nullptr)
    return;
  m_Events.observe(Frame.stamp());
  if (Current->m_Established)
    Current->m_Monitor.heard(now());
  switch (Frame.body_case()) {
  case wire::LinkFrame::kHello:
    onHello(Agent, *Current, Frame.hello());
    return;
  case wire::LinkFrame::kLoad:
    m_ControlBytes += Frame.ByteSizeLong();
    onLoad(Agent, *Current, Frame.load());
    return;
  default:
    m_Hooks.m_OnFrame(Agent, Frame);
  }
}

void AgentLinks::onHello(const std::string &Agent, Link &Current,
                         const wire::Hello &Hello) {
  if (Hello.node() != Agent) {
    // Another VM uses this address now.
    Current.m_Monitor.closed(now());
    closeLink(Agent, Current, base::EventId::LinkClosed);
    return;
  }
  Current.m_Established = true;
  Current.m_State.m_Incarnation = Hello.incarnation();
  Current.m_State.m_Zone = Hello.zone();
  Current.m_State.m_HttpAddress = Hello.address();
  Current.m_AgentClock.onReading(now(), base::Millis(Hello.clock_ms()));
  Current.m_Monitor.opened(now());
  m_Events.record(base::EventId::LinkUp, {{"agent", Agent}});
  m_Hooks.m_OnUp(Agent, Hello.incarnation());
}

void AgentLinks::onLoad(const std::string &Agent, Link &Current,
                        const wire::Load &Load) {
  Current.m_AgentClock.onReading(now(), base::Millis(Load.clock_ms()));
  Current.m_State.m_Leaving = Load.leaving();
  Current.m_State.m_CatalogueOffset = Load.catalogue_offset();
  m_Hooks.m_OnLoad(Agent, Load);
}

void AgentLinks::closeLink(const std::string &Agent, Link &Current,
                           base::EventId Reason) {
  // Late callbacks of this connection no longer match the generation.
  Current.m_Generation = 0;
  const net::LinkConnectionPtr Connection = std::move(Current.m_Connection);
  Current.m_Connection = nullptr;
  if (Connection)
    Connection->close();
  if (!std::exchange(Current.m_Established, false))
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
