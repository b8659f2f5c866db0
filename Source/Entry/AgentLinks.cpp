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
      m_Time(base::steadyClock()), m_Timer(Loop) {
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
    const auto Current = Item++;
    if (Keep)
      continue;
    lose(Current->first, *Current->second, base::EventId::LinkClosed);
    m_Links.erase(Current);
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
  if (Found == m_Links.end() || !Found->second->m_Greeted)
    return;
  Frame.set_stamp(m_Events.stamp());
  Found->second->m_Connection->send(Frame);
}

std::optional<AgentState> AgentLinks::state(const std::string &Agent) const {
  const auto Found = m_Links.find(Agent);
  if (Found == m_Links.end())
    return std::nullopt;
  const Link &Of = *Found->second;
  AgentState State = Of.m_State;
  State.m_Alive = Of.m_Greeted && Of.m_Monitor.alive(now());
  State.m_Time = Of.m_Clock.estimate(now());
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
  // A hook may change the map, so the names are copied first.
  for (const std::string &Agent : agents())
    if (const auto Found = m_Links.find(Agent); Found != m_Links.end())
      tickLink(Agent, *LinkPtr(Found->second));
  m_Timer.expires_after(TickInterval);
  m_Timer.async_wait([this](const boost::system::error_code &Cancelled) {
    if (!Cancelled)
      tick();
  });
}

void AgentLinks::tickLink(const std::string &Agent, Link &Of) {
  const membership::LinkActions Actions = Of.m_Monitor.tick(now());
  if (Actions.m_Close)
    lose(Agent, Of,
         Actions.m_Silent ? base::EventId::LinkSilent
                          : base::EventId::LinkClosed);
  if (Actions.m_SendHeartbeat && Of.m_Connection) {
    wire::LinkFrame Frame;
    Frame.set_stamp(m_Events.stamp());
    Frame.mutable_heartbeat()->set_sequence(Actions.m_Sequence);
    Frame.mutable_heartbeat()->set_catalogue_offset(m_CatalogueOffset);
    m_ControlBytes += Frame.ByteSizeLong();
    Of.m_Connection->send(Frame);
  }
  if (Actions.m_Open)
    open(Agent, Of);
}

void AgentLinks::open(const std::string &Agent, Link &Of) {
  Of.m_Number = ++m_LastNumber;
  net::connectLink(m_Loop, Of.m_Address,
                   membership::LinkSettings{}.m_ConnectTimeout,
                   [this, Agent, Number = Of.m_Number](
                       base::Result<net::LinkConnectionPtr> Opened) {
                     onOpened(Agent, Number, std::move(Opened));
                   });
}

void AgentLinks::onOpened(const std::string &Agent, std::uint64_t Number,
                          base::Result<net::LinkConnectionPtr> Opened) {
  Link *Of = find(Agent, Number);
  if (Of == nullptr) {
    if (Opened)
      (*Opened)->close();
    return;
  }
  if (!Opened) {
    Of->m_Monitor.onClosed(now());
    return;
  }
  Of->m_Connection = std::move(*Opened);
  Of->m_Connection->start(
      [this, Agent, Number](wire::LinkFrame &Frame) {
        onFrame(Agent, Number, Frame);
      },
      [this, Agent, Number](const base::Error &) {
        if (Link *Closed = find(Agent, Number)) {
          Closed->m_Monitor.onClosed(now());
          lose(Agent, *Closed, base::EventId::LinkClosed);
        }
      });
  greet(*Of);
}

void AgentLinks::greet(Link &Of) {
  wire::LinkFrame Frame;
  Frame.set_stamp(m_Events.stamp());
  wire::Hello &Hello = *Frame.mutable_hello();
  Hello.set_node(m_Node);
  Hello.set_zone(m_Zone);
  Hello.set_incarnation(m_Incarnation);
  Hello.set_link(Of.m_Number);
  Hello.set_clock_ms(now().count());
  Of.m_Connection->send(Frame);
}

void AgentLinks::onFrame(const std::string &Agent, std::uint64_t Number,
                         const wire::LinkFrame &Frame) {
  Link *Of = find(Agent, Number);
  if (Of == nullptr)
    return;
  m_Events.observe(Frame.stamp());
  if (Of->m_Greeted)
    Of->m_Monitor.onMessage(now());
  switch (Frame.body_case()) {
  case wire::LinkFrame::kHello:
    onHello(Agent, *Of, Frame.hello());
    return;
  case wire::LinkFrame::kLoad:
    m_ControlBytes += Frame.ByteSizeLong();
    onLoad(Agent, *Of, Frame.load());
    return;
  default:
    m_Hooks.m_Frame(Agent, Frame);
  }
}

void AgentLinks::onHello(const std::string &Agent, Link &Of,
                         const wire::Hello &Hello) {
  if (Hello.node() != Agent) {
    // Another VM has this address now.
    Of.m_Monitor.onClosed(now());
    lose(Agent, Of, base::EventId::LinkClosed);
    return;
  }
  Of.m_Greeted = true;
  Of.m_State.m_Incarnation = Hello.incarnation();
  Of.m_State.m_Zone = Hello.zone();
  Of.m_State.m_HttpAddress = Hello.address();
  Of.m_Clock.onReading(now(), base::Millis(Hello.clock_ms()));
  Of.m_Monitor.onOpened(now());
  m_Events.record(base::EventId::LinkUp, {{"agent", Agent}});
  m_Hooks.m_Up(Agent, Hello.incarnation());
}

void AgentLinks::onLoad(const std::string &Agent, Link &Of,
                        const wire::Load &Load) {
  Of.m_Clock.onReading(now(), base::Millis(Load.clock_ms()));
  Of.m_State.m_Leaving = Load.leaving();
  Of.m_State.m_CatalogueOffset = Load.catalogue_offset();
  m_Hooks.m_Load(Agent, Load);
}

void AgentLinks::lose(const std::string &Agent, Link &Of, base::EventId Why) {
  // Hooks of this connection that are still to come are of an old number.
  Of.m_Number = 0;
  const net::LinkConnectionPtr Connection = std::move(Of.m_Connection);
  Of.m_Connection = nullptr;
  if (Connection)
    Connection->close();
  if (!std::exchange(Of.m_Greeted, false))
    return;
  m_Events.record(Why, {{"agent", Agent}});
  m_Hooks.m_Lost(Agent);
}

AgentLinks::Link *AgentLinks::find(const std::string &Agent,
                                   std::uint64_t Number) {
  const auto Found = m_Links.find(Agent);
  if (Found == m_Links.end() || Found->second->m_Number != Number)
    return nullptr;
  return Found->second.get();
}

} // namespace corneldeck::entry
