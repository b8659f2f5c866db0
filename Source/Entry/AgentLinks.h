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

/// Callbacks for events on the connections to agents.
struct AgentLinksHooks {
  /// Called with each Begun, Chunk or End frame.
  std::function<void(const std::string &Agent, const wire::LinkFrame &)>
      m_OnFrame;
  std::function<void(const std::string &Agent, const wire::Load &)> m_OnLoad;
  /// Called when a connection is established, after the exchange of Hello
  /// frames.
  std::function<void(const std::string &Agent, std::uint64_t Incarnation)>
      m_OnUp;
  /// Called when an established connection is closed or times out.
  std::function<void(const std::string &Agent)> m_OnLost;
};

/// The state of an agent, as received over its connection.
struct AgentState {
  std::uint64_t m_Incarnation = 0;
  /// The estimated time of the agent's monotonic clock; none before its Hello
  /// frame.
  std::optional<base::Millis> m_Time;
  bool m_Alive = false;
  bool m_Leaving = false;
  std::uint64_t m_CatalogueOffset = 0;
  std::string m_Zone;
  std::string m_HttpAddress;
};

/// Maintains one connection to each agent of the catalogue: sends heartbeats,
/// and replaces connections that time out.
class AgentLinks {
public:
  AgentLinks(boost::asio::io_context &Loop, std::string Node, std::string Zone,
             std::uint64_t Incarnation, base::Timeline &Events,
             AgentLinksHooks Hooks);
  ~AgentLinks() { close(); }
  AgentLinks(const AgentLinks &) = delete;
  AgentLinks &operator=(const AgentLinks &) = delete;

  /// Connects to the agents of \p View and closes the connections to all
  /// others.
  void setView(const catalogue::View &View);

  /// Sends a frame. Drops it if no connection to the agent is established.
  void send(const std::string &Agent, wire::LinkFrame Frame);

  /// \returns the state of an agent, or none if the catalogue does not list it.
  [[nodiscard]] std::optional<AgentState> state(const std::string &Agent) const;

  /// \returns the number of bytes of heartbeats and Load frames so far.
  /// Thread-safe.
  [[nodiscard]] std::uint64_t controlBytes() const { return m_ControlBytes; }

  /// \returns the names of all agents of the catalogue.
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
    /// Changes with each connection, so that late callbacks of an earlier one
    /// are ignored.
    std::uint64_t m_Generation = 0;
  };
  using LinkPtr = std::shared_ptr<Link>;

  void tick();
  void tickLink(const std::string &Agent, Link &AgentLink);
  void open(const std::string &Agent, Link &AgentLink);
  void onOpened(const std::string &Agent, std::uint64_t Generation,
                base::Result<net::LinkConnectionPtr> Opened);
  void sendHello(Link &AgentLink);
  void onFrame(const std::string &Agent, std::uint64_t Generation,
               const wire::LinkFrame &Frame);
  void onHello(const std::string &Agent, Link &AgentLink,
               const wire::Hello &Hello);
  void onLoad(const std::string &Agent, Link &AgentLink,
              const wire::Load &Load);
  void closeLink(const std::string &Agent, Link &AgentLink,
                 base::EventId Reason);
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
