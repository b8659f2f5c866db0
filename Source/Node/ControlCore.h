#ifndef CORNELDECK_NODE_CONTROLCORE_H
#define CORNELDECK_NODE_CONTROLCORE_H

#include "Base/Clock.h"
#include "Base/Events.h"
#include "Base/Timeline.h"
#include "Catalogue/Follower.h"
#include "Catalogue/InForceBarrier.h"
#include "Catalogue/InForceTracker.h"
#include "Catalogue/Publisher.h"
#include "Catalogue/View.h"
#include "Lease/LeaseHolder.h"
#include "Membership/AddressSelector.h"
#include "Membership/Members.h"
#include "Wire/Peer.pb.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace corneldeck::node {

/// What a process's control state has to know of the process.
struct ControlSettings {
  std::string m_Node;
  /// Higher at each start of the process.
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
  catalogue::FollowerSettings m_Follower = {};
  catalogue::PublisherSettings m_Publisher = {};
  catalogue::BarrierSettings m_Barrier = {};
};

/// What the control state knows of another process.
struct PeerStatus {
  std::string m_Node;
  bool m_Agent = false;
  std::string m_Zone;
  std::string m_PeerAddress;
  std::string m_HttpAddress;
  std::uint64_t m_CatalogueOffset = 0;
  bool m_Leaving = false;
  base::Millis m_LastSeenAt{};
};

/// An accepted change of an entry that came into force here.
struct PastChange {
  std::uint64_t m_Offset = 0;
  std::uint64_t m_Version = 0;
  std::string m_Owner;
  bool m_Deleted = false;
};

/// What the control state needs of the process around it.
struct ControlHooks {
  catalogue::LogClient m_Log;
  /// Sends a message to a peer address; it may get lost.
  std::function<void(const std::string &, wire::PeerMessage)> m_Send;
  /// Takes each new view, and each change of whether this node may admit
  /// requests by it.
  std::function<void(catalogue::ViewPtr, bool Ready)> m_OnView;
  /// Takes the messages that the control state does not handle.
  std::function<void(const wire::PeerMessage &)> m_OnMessage;
  /// Takes other entries' gossip, after it was noted.
  std::function<void(const wire::PeerMessage &)> m_OnGossip;
  std::function<void(base::EventId, std::vector<base::EventField>)> m_OnEvent;
};

/// The control state of one process: follower, publisher, leases and what is
/// known of the other processes.
///
/// Owns no thread and no socket. All members are called from one thread, and
/// the log's answers come on that thread too.
class ControlCore {
public:
  using PublishDone = std::function<void(catalogue::PublishResponse)>;

  ControlCore(ControlSettings Settings, ControlHooks Hooks, base::Clock Clock);
  ControlCore(const ControlCore &) = delete;
  ControlCore &operator=(const ControlCore &) = delete;

  /// Does what is due; call it every 50 ms or so.
  void tick();

  /// Takes a message of another process.
  void onMessage(const wire::PeerMessage &Message);

  /// Notes a process that was heard outside of gossip.
  void recordNode(const PeerStatus &Status);

  /// Publishes an operator's changes; \p Done is called once.
  void publish(const catalogue::PublishRequest &Request, PublishDone Done);

  /// Adds a contender for a lease. The holder's name is this incarnation's.
  std::shared_ptr<lease::LeaseHolder>
  addLeaseHolder(lease::LeaseSettings Settings);

  /// Takes this entry out of the answers to "which address".
  void beginLeaving();

  /// Chooses entries for a caller.
  membership::AddressList selectAddresses(const std::string &Zone);

  /// \returns when the last answers that name this entry have expired, if it
  /// left them at \p LeftAt.
  [[nodiscard]] base::Millis serveUntil(base::Millis LeftAt) const;

  /// Asks for a read of the log to its end, such as for an order gate.
  void requestRead() { m_Follower.requestRead(); }

  /// \returns whether this node may admit requests by view().
  [[nodiscard]] bool ready() const;
  /// \returns the newest view; null before the first.
  [[nodiscard]] catalogue::ViewPtr view() const { return m_View; }
  /// \returns the other processes heard lately.
  [[nodiscard]] std::vector<PeerStatus> peers() const;
  /// \returns which live processes have \p Offset in force.
  [[nodiscard]] catalogue::InForceReport inForce(std::uint64_t Offset) const;
  [[nodiscard]] const catalogue::Follower &follower() const {
    return m_Follower;
  }
  /// \returns the newest changes of an entry that came into force here since
  /// this process started, oldest first.
  [[nodiscard]] std::vector<PastChange> history(const std::string &Entry) const;
  /// \returns whether this process leaves the answers to "which address".
  [[nodiscard]] bool leaving() const { return m_Leaving; }
  [[nodiscard]] base::Millis now() const { return m_Clock.now(); }

private:
  void perform(const catalogue::FollowerActions &Actions);
  void perform(const catalogue::PublisherActions &Actions);
  void onStateChanged();
  void updateView();
  void recordChanges(const catalogue::ViewPtr &Before);
  void append(const wire::LogRecord &Record);
  void tickLeases();
  void gossip();
  void onGossip(const wire::PeerMessage &Message);
  void replyToGossip(const wire::PeerMessage &Message);
  void recordEntry(const wire::PeerMessage &Message);
  void removeSilent();
  void updatePeers();
  void recordMemberEvents();
  void recordEvent(base::EventId Id, std::vector<base::EventField> Fields = {});
  [[nodiscard]] wire::EntryGossip describeSelf(bool WithEntries) const;
  void send(const std::string &Address, wire::PeerMessage Message);

  const ControlSettings m_Settings;
  const ControlHooks m_Hooks;
  const base::Clock m_Clock;
  catalogue::Follower m_Follower;
  catalogue::Publisher m_Publisher;
  catalogue::InForceBarrier m_Barrier;
  catalogue::InForceTracker m_InForceTracker;
  catalogue::ViewBuilder m_ViewBuilder;
  catalogue::ViewPtr m_View;
  membership::Members m_Members;
  membership::AddressSelector m_AddressSelector;
  std::vector<std::shared_ptr<lease::LeaseHolder>> m_LeaseHolders;
  std::map<std::string, PeerStatus> m_Nodes;
  /// Addresses of the other entries, and when each was last heard of.
  std::map<std::string, base::Millis> m_Entries;
  std::map<std::string, std::deque<PastChange>> m_Histories;
  std::map<std::string, std::vector<PublishDone>> m_PublishCallbacks;
  base::Millis m_NextGossip{};
  std::uint64_t m_GossipRounds = 0;
  std::uint64_t m_GossipReplies = 0;
  std::uint64_t m_LastGossipedChange = 0;
  std::uint64_t m_AgentNotifiedChange = 0;
  bool m_WasReady = false;
  bool m_Leaving = false;
  /// The log's callbacks hold a weak reference, so that late answers find out
  /// that this object is gone.
  std::shared_ptr<ControlCore *> m_Self;
};

} // namespace corneldeck::node

#endif
