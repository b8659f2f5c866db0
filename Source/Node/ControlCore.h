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

/// Settings of ControlCore.
struct ControlSettings {
  std::string m_Node;
  /// Increases with each start of the process.
  std::uint64_t m_Incarnation = 0;
  /// Whether this process is an agent; otherwise it is an entry.
  bool m_Agent = false;
  /// Availability zone.
  std::string m_Zone;
  /// Address for peer messages, as "ip:port".
  std::string m_PeerAddress;
  /// Address of the status pages, as "ip:port".
  std::string m_HttpAddress;
  /// Address of an entry for callers; empty for an agent.
  std::string m_CallerAddress;
  /// Address of the log service, as "ip:port".
  std::string m_LogAddress;
  /// Peer addresses of the entries to contact first.
  std::vector<std::string> m_Seeds;
  catalogue::FollowerSettings m_Follower = {};
  catalogue::PublisherSettings m_Publisher = {};
  catalogue::BarrierSettings m_Barrier = {};
};

/// The known status of another process.
struct PeerStatus {
  std::string m_Node;
  /// Whether the process is an agent; otherwise it is an entry.
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

/// Callbacks from ControlCore to the process that owns it.
struct ControlHooks {
  catalogue::LogClient m_Log;
  /// Sends a message to a peer address. Messages may be lost.
  std::function<void(const std::string &, wire::PeerMessage)> m_Send;
  /// Called with each new view, and when the node becomes ready to admit
  /// requests or stops being ready.
  std::function<void(catalogue::ViewPtr, bool Ready)> m_OnView;
  /// Called with messages that ControlCore does not handle.
  std::function<void(const wire::PeerMessage &)> m_OnMessage;
  /// Called with the gossip of other entries after it was processed.
  std::function<void(const wire::PeerMessage &)> m_OnGossip;
  /// Called with each event for the time line.
  std::function<void(base::EventId, std::vector<base::EventField>)> m_OnEvent;
};

/// The control state of one process: follower, publisher, leases and the status
/// of the other processes.
///
/// Owns no thread and no socket. All members must be called from one thread,
/// and the log client must call back on that thread.
class ControlCore {
public:
  using PublishDone = std::function<void(catalogue::PublishResponse)>;

  ControlCore(ControlSettings Settings, ControlHooks Hooks, base::Clock Clock);
  ControlCore(const ControlCore &) = delete;
  ControlCore &operator=(const ControlCore &) = delete;

  /// Performs the work that is due; call it about every 50 ms.
  void tick();

  /// Handles a message from another process.
  void onMessage(const wire::PeerMessage &Message);

  /// Records the status of a process that was received outside of gossip.
  void recordNode(const PeerStatus &Status);

  /// Publishes an operator's changes; \p Done is called once with the outcome.
  void publish(const catalogue::PublishRequest &Request, PublishDone Done);

  /// Adds a lease for this process to contend for. Sets the holder to the name
  /// and incarnation of this process.
  std::shared_ptr<lease::LeaseHolder>
  addLeaseHolder(lease::LeaseSettings Settings);

  /// Removes this entry from the address lists and notifies the peers.
  void beginLeaving();

  /// Selects entries for a caller in \p Zone.
  membership::AddressList selectAddresses(const std::string &Zone);

  /// \returns when all address lists with this entry have expired, if it was
  /// removed from them at \p LeftAt.
  [[nodiscard]] base::Millis serveUntil(base::Millis LeftAt) const;

  /// Requests a read of the log to its end, for example for an order gate.
  void requestRead() { m_Follower.requestRead(); }

  /// \returns whether this node may admit requests according to view().
  [[nodiscard]] bool ready() const;
  /// \returns the newest view; null before the first.
  [[nodiscard]] catalogue::ViewPtr view() const { return m_View; }
  /// \returns the other processes that have sent a message recently.
  [[nodiscard]] std::vector<PeerStatus> peers() const;
  /// \returns on which processes \p Offset is in force.
  [[nodiscard]] catalogue::InForceReport inForce(std::uint64_t Offset) const;
  [[nodiscard]] const catalogue::Follower &follower() const {
    return m_Follower;
  }
  /// \returns the newest changes of an entry that came into force here since
  /// this process started, oldest first.
  [[nodiscard]] std::vector<PastChange> history(const std::string &Entry) const;
  /// \returns whether this entry was removed from the address lists.
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
  /// When each of the other entries was last seen, by peer address.
  std::map<std::string, base::Millis> m_Entries;
  std::map<std::string, std::deque<PastChange>> m_Histories;
  std::map<std::string, std::vector<PublishDone>> m_PublishCallbacks;
  base::Millis m_NextGossip{};
  std::uint64_t m_GossipRounds = 0;
  std::uint64_t m_GossipReplies = 0;
  /// Offsets of the newest catalogue changes that were sent to the entries and
  /// to the agents.
  std::uint64_t m_LastGossipedChange = 0;
  std::uint64_t m_AgentNotifiedChange = 0;
  bool m_WasReady = false;
  bool m_Leaving = false;
  /// The log's callbacks hold a weak reference, so that a late response is
  /// ignored after this object was destroyed.
  std::shared_ptr<ControlCore *> m_Self;
};

} // namespace corneldeck::node

#endif
