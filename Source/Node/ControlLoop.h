#ifndef CORNELDECK_NODE_CONTROLLOOP_H
#define CORNELDECK_NODE_CONTROLLOOP_H

#include "Base/Timeline.h"
#include "Catalogue/Follower.h"
#include "Catalogue/InForce.h"
#include "Catalogue/Publisher.h"
#include "Catalogue/View.h"
#include "Membership/AddressAdvisor.h"
#include "Membership/Members.h"
#include "Net/HttpClient.h"
#include "Net/PeerLink.h"
#include "Wire/Peer.pb.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace corneldeck::node {

/// What a process's control thread has to know of the process.
struct ControlSettings {
  std::string m_Node;
  std::uint64_t m_Incarnation = 0;
  bool m_Agent = false;
  std::string m_Zone;
  /// Where this process takes peer messages, "ip:port".
  std::string m_PeerAddress;
  std::string m_HttpAddress;
  /// Where callers reach an entry; empty for an agent.
  std::string m_CallerAddress;
  std::string m_LogAddress;
  /// Peer addresses of entries to begin with.
  std::vector<std::string> m_Seeds;
};

/// What the control thread knows of another process.
struct PeerStatus {
  std::string m_Node;
  bool m_Agent = false;
  std::string m_Zone;
  std::string m_PeerAddress;
  std::string m_HttpAddress;
  std::uint64_t m_CatalogueOffset = 0;
  bool m_Leaving = false;
  base::Millis m_HeardAt{};
};

/// The thread that owns a process's control state: the catalogue's follower,
/// the publisher, and what is known of the other processes.
///
/// Traffic threads get immutable views through hooks, which run on the control
/// thread. Members marked so may be called from any thread.
class ControlLoop {
public:
  using ViewHook = std::function<void(catalogue::ViewPtr, bool Ready)>;
  using MessageHook = std::function<void(const wire::PeerMessage &)>;

  ControlLoop(ControlSettings Settings, base::Timeline &Events);
  ~ControlLoop();
  ControlLoop(const ControlLoop &) = delete;
  ControlLoop &operator=(const ControlLoop &) = delete;

  /// Sets the hook for changes of the catalogue or of readiness.
  void setViewHook(ViewHook Hook) { m_OnView = std::move(Hook); }

  /// Sets the hook for messages that the control thread does not handle.
  void setMessageHook(MessageHook Hook) { m_OnMessage = std::move(Hook); }

  /// Sets the hook for other entries' gossip, after it was taken.
  void setGossipHook(MessageHook Hook) { m_OnGossip = std::move(Hook); }

  /// Begins to listen and starts the thread.
  /// \returns nothing, or ConnectionFailed if the address can't be bound.
  base::Result<void> start();

  /// Ends the thread. Any thread but the control thread.
  void stop();

  /// Runs \p Todo on the control thread. Any thread.
  void post(std::function<void()> Todo);

  /// Sends a message to a peer address. Any thread.
  void send(const std::string &Address, wire::PeerMessage Message);

  /// Publishes changes. Any thread; \p Done runs on the control thread.
  void publish(catalogue::PublishRequest Request,
               std::function<void(catalogue::PublishAnswer)> Done);

  /// Leaves the "which address" answers and tells the peers. Any thread.
  void beginLeaving();

  /// \returns the other processes heard lately. Control thread only.
  [[nodiscard]] std::vector<PeerStatus> peers() const;

  /// Chooses entries for a caller. Control thread only.
  membership::Advice advise(const std::string &Zone);

  /// Notes a process that was heard outside of gossip, such as an agent over
  /// its connection. Control thread only.
  void noteNode(const PeerStatus &Heard);

  /// \returns the follower's state. Control thread only.
  [[nodiscard]] const catalogue::Follower &follower() const {
    return m_Follower;
  }

  /// \returns when the last answers that name this entry have expired, if it
  /// left them at \p LeftAt.
  [[nodiscard]] base::Millis serveUntil(base::Millis LeftAt) const;

  [[nodiscard]] const ControlSettings &settings() const { return m_Settings; }
  [[nodiscard]] base::Millis now() const { return m_Clock.now(); }

private:
  void tick();
  void carryOut(catalogue::FollowerActions Actions);
  void carryOut(catalogue::PublisherActions Actions);
  void append(const wire::LogRecord &Record);
  void onMessage(wire::PeerMessage &Message);
  void onGossip(const wire::PeerMessage &Message);
  void gossip();
  void setPeers();
  void publishView();
  wire::EntryGossip describeSelf() const;
  void sendNow(const std::string &Address, wire::PeerMessage Message);
  void recordMembers();
  void record(catalogue::FollowerEvent Event);

  const ControlSettings m_Settings;
  base::Timeline &m_Events;
  const base::Clock m_Clock;
  boost::asio::io_context m_Loop;
  boost::asio::steady_timer m_Timer;
  net::HttpClient m_Http;
  net::PeerLink m_Peers;
  catalogue::LogClient m_Log;
  catalogue::Follower m_Follower;
  catalogue::Publisher m_Publisher;
  catalogue::ViewBuilder m_Views;
  membership::Members m_Members;
  membership::AddressAdvisor m_Advisor;
  std::map<std::string, PeerStatus> m_Nodes;
  std::map<std::string, std::function<void(catalogue::PublishAnswer)>>
      m_Publishing;
  std::set<std::string> m_PeerAddresses;
  ViewHook m_OnView;
  MessageHook m_OnMessage;
  MessageHook m_OnGossip;
  catalogue::ViewPtr m_View;
  bool m_WasReady = false;
  bool m_Leaving = false;
  base::Millis m_NextGossip{};
  std::thread m_Thread;
};

} // namespace corneldeck::node

#endif
