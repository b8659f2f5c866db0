#ifndef CORNELDECK_ENTRY_AGENTLINKS_H
#define CORNELDECK_ENTRY_AGENTLINKS_H

#include "Base/Timeline.h"
#include "Catalogue/View.h"
#include "Membership/LinkMonitor.h"
#include "Net/FramedConnection.h"
#include "Request/AgentClock.h"
#include "Wire/Link.pb.h"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace corneldeck::entry {

/// What happens on the connections to agents.
struct AgentLinksHooks {
  /// A Begun, Chunk or End frame.
  std::function<void(const std::string &Agent, const wire::LinkFrame &)>
      m_Frame;
  std::function<void(const std::string &Agent, const wire::Load &)> m_Load;
  /// A greeted connection is in use.
  std::function<void(const std::string &Agent, std::uint64_t Incarnation)> m_Up;
  /// The connection was closed or is silent.
  std::function<void(const std::string &Agent)> m_Lost;
};

/// An agent as its connection shows it.
struct AgentState {
  std::uint64_t m_Incarnation = 0;
  /// The agent's monotonic clock; none before the first frame.
  std::optional<base::Millis> m_Time;
  bool m_Alive = false;
  bool m_Leaving = false;
  std::uint64_t m_CatalogueOffset = 0;
  std::string m_Zone;
  std::string m_HttpAddress;
};

/// Keeps one connection to each agent of the catalogue, and replaces silent
/// ones.
class AgentLinks {
public:
  AgentLinks(boost::asio::io_context &Loop, std::string Node, std::string Zone,
             std::uint64_t Incarnation, base::Timeline &Events,
             AgentLinksHooks Hooks);
  ~AgentLinks() { close(); }
  AgentLinks(const AgentLinks &) = delete;
  AgentLinks &operator=(const AgentLinks &) = delete;

  /// Connects to the agents of \p View and lets go of the others.
  void setView(const catalogue::View &View);

  /// Sends a frame; drops it if there is no greeted connection.
  void send(const std::string &Agent, wire::LinkFrame Frame);

  /// \returns what is known of an agent, or none if there is no such agent.
  [[nodiscard]] std::optional<AgentState> state(const std::string &Agent) const;

  /// \returns the bytes of heartbeats and their answers so far. Any thread.
  [[nodiscard]] std::uint64_t controlBytes() const { return m_ControlBytes; }

  /// \returns the names of all agents.
  [[nodiscard]] std::vector<std::string> agents() const;

  void close();

private:
  struct Link {
    explicit Link(base::Millis Now)
        : m_Monitor(membership::LinkSettings{}, Now) {}

    std::string m_Address;
    membership::LinkMonitor m_Monitor;
    net::LinkConnectionPtr m_Connection;
    bool m_Established = false;
    request::AgentClock m_AgentClock;
    AgentState m_State;
    /// Raised at each connection; tells late hooks of an earlier one.
    std::uint64_t m_Generation = 0;
  };
  using LinkPtr = std::shared_ptr<Link>;

  void tick();
  void tickLink(const std::string &Agent, Link &Current);
  void open(const std::string &Agent, Link &Current);
  void onOpened(const std::string &Agent, std::uint64_t Generation,
                base::Result<net::LinkConnectionPtr> Opened);
  void sendHello(Link &Current);
  void onFrame(const std::string &Agent, std::uint64_t Generation,
               const wire::LinkFrame &Frame);
  void onHello(const std::string &Agent, Link &Current,
               const wire::Hello &Hello);
  void onLoad(const std::string &Agent, Link &Current, const wire::Load &Load);
  void closeLink(const std::string &Agent, Link &Current, base::EventId Reason);
  Link *find(const std::string &Agent, std::uint64_t Generation);
  [[nodiscard]] base::Millis now() const { return m_Clock.now(); }

  boost::asio::io_context &m_Loop;
  const std::string m_Node;
  const std::string m_Zone;
  const std::uint64_t m_Incarnation;
  base::Timeline &m_Events;
  const AgentLinksHooks m_Hooks;
  const base::Clock m_Clock;
  boost::asio::steady_timer m_Timer;
  std::atomic<std::uint64_t> m_ControlBytes{0};
  std::uint64_t m_CatalogueOffset = 0;
  std::uint64_t m_LastGeneration = 0;
  std::map<std::string, LinkPtr> m_Links;
};

} // namespace corneldeck::entry

#endif
