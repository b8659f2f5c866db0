#ifndef CORNELDECK_AGENT_ENTRYLINKS_H
#define CORNELDECK_AGENT_ENTRYLINKS_H

#include "Base/Timeline.h"
#include "Net/FramedConnection.h"
#include "Request/AttemptTypes.h"
#include "Wire/Link.pb.h"

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <string>

namespace corneldeck::agent {

/// What happens on the connections of entries.
struct EntryLinksHooks {
  /// A Start, Attach or Cancel frame.
  std::function<void(request::LinkId, const wire::LinkFrame &)> m_Frame;
  /// A connection is closed or silent.
  std::function<void(request::LinkId)> m_Closed;
  /// Fills the answer to a heartbeat.
  std::function<void(request::LinkId, wire::Load &)> m_FillLoad;
};

/// Who the agent is, for the greeting of each connection.
struct EntryLinksIdentity {
  std::string m_Server;
  std::uint64_t m_Incarnation = 0;
  std::string m_Zone;
  std::string m_HttpAddress;
};

/// Takes the entries' connections, answers their heartbeats and drops the
/// silent ones.
class EntryLinks {
public:
  static constexpr std::size_t MaxLinks = 4096;
  /// A connection without a heartbeat for this long counts as silent.
  static constexpr base::Millis SilenceTimeout = base::seconds(3);

  EntryLinks(boost::asio::io_context &Loop, EntryLinksIdentity Identity,
             base::Timeline &Events, EntryLinksHooks Hooks);
  ~EntryLinks() { close(); }
  EntryLinks(const EntryLinks &) = delete;
  EntryLinks &operator=(const EntryLinks &) = delete;

  base::Result<void> listen(const std::string &Address);

  /// Sends a frame; drops it if the connection is gone.
  void send(request::LinkId Link, const wire::LinkFrame &Frame);

  /// Sends a Load on each connection at once, such as when leaving begins.
  void announceLoad();

  /// Closes all connections and takes no more.
  void close();

  /// \returns the bytes of heartbeats and their answers so far. Any thread.
  [[nodiscard]] std::uint64_t controlBytes() const { return m_ControlBytes; }

  /// \returns the number of greeted connections.
  [[nodiscard]] std::size_t size() const { return m_Links.size(); }

private:
  struct Link {
    net::LinkConnectionPtr m_Connection;
    base::Millis m_LastHeardAt{};
    bool m_Established = false;
    std::string m_Entry;
  };

  void onAccept(const net::LinkConnectionPtr &Connection);
  void onFrame(request::LinkId Id, wire::LinkFrame &Frame);
  void onHello(request::LinkId Id, Link &From, const wire::Hello &Hello);
  void sendLoad(request::LinkId Id, std::uint64_t Sequence);
  void closeLink(request::LinkId Id, base::EventId Reason);
  void closeSilentLinks();
  void scheduleSilenceCheck();

  const EntryLinksIdentity m_Identity;
  base::Timeline &m_Events;
  const EntryLinksHooks m_Hooks;
  const base::Clock m_Clock;
  net::LinkServer m_Server;
  boost::asio::steady_timer m_Timer;
  std::atomic<std::uint64_t> m_ControlBytes{0};
  request::LinkId m_LastId = 0;
  std::map<request::LinkId, Link> m_Links;
};

} // namespace corneldeck::agent

#endif
