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

/// Callbacks for events on the connections of entries.
struct EntryLinksHooks {
  /// Called with each Start, Attach or Cancel frame.
  std::function<void(request::LinkId, const wire::LinkFrame &)> m_OnFrame;
  /// Called when a connection is closed or times out.
  std::function<void(request::LinkId)> m_OnClosed;
  /// Fills in a Load frame, the response to a heartbeat.
  std::function<void(request::LinkId, wire::Load &)> m_FillLoad;
};

/// The agent's identity, as sent in the Hello frame of each connection.
struct EntryLinksIdentity {
  std::string m_Server;
  std::uint64_t m_Incarnation = 0;
  std::string m_Zone;
  std::string m_HttpAddress;
};

/// Accepts the connections of entries, responds to their heartbeats with the
/// load, and closes connections that time out.
class EntryLinks {
public:
  static constexpr std::size_t MaxLinks = 4096;
  /// A connection is closed if no frame arrives for this long.
  static constexpr base::Millis SilenceTimeout = base::seconds(3);

  EntryLinks(boost::asio::io_context &Loop, EntryLinksIdentity Identity,
             base::Timeline &Events, EntryLinksHooks Hooks);
  ~EntryLinks() { close(); }
  EntryLinks(const EntryLinks &) = delete;
  EntryLinks &operator=(const EntryLinks &) = delete;

  base::Result<void> listen(const std::string &Address);

  /// Sends a frame. Drops it if the connection is closed.
  void send(request::LinkId Link, const wire::LinkFrame &Frame);

  /// Sends a Load frame on each connection at once, for example when a drain
  /// starts.
  void announceLoad();

  /// Stops listening and closes all connections.
  void close();

  /// \returns the number of bytes of heartbeats and Load frames so far.
  /// Thread-safe.
  [[nodiscard]] std::uint64_t controlBytes() const { return m_ControlBytes; }

  /// \returns the number of open connections.
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
  void onHello(request::LinkId Id, Link &Sender, const wire::Hello &Hello);
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
