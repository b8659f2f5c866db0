#ifndef CORNELDECK_NODE_CONTROLCORE_H
#define CORNELDECK_NODE_CONTROLCORE_H

#include "Base/Clock.h"
#include "Base/Events.h"
#include "Base/Timeline.h"
#include "Catalogue/Follower.h"
#include "Catalogue/InForce.h"
#include "Catalogue/InForceBarrier.h"
#include "Catalogue/Publisher.h"
#include "Catalogue/View.h"
#include "Lease/LeaseHolder.h"
#include "Membership/Members.h"
#include "Wire/Peer.pb.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace corneldeck::node {

/// What a process is.
enum class Role { Entry, Agent };

/// A process that shares the control state.
struct Peer {
  std::string m_Node;
  /// Where it takes control messages, as "IP:PORT".
  std::string m_Address;
};

/// How the control state of one process is set.
struct ControlSettings {
  Role m_Role = Role::Entry;
  std::string m_Node;
  /// Higher at each start of the process.
  std::uint64_t m_Incarnation = 1;
  std::string m_Zone;
  /// Where this process takes control messages, as "IP:PORT".
  std::string m_ControlAddress;
  /// Where callers reach an entry; "" for an agent.
  std::string m_CallerAddress;
  /// The entries, without this process.
  std::vector<Peer> m_Entries;
  base::Millis m_GossipEvery = base::Millis(250);
  /// An agent tells its offset to this many entries, which may then take the
  /// catalogue from it when all entries were replaced.
  std::size_t m_AgentTells = 3;
  base::Millis m_AgentTellsEvery = base::seconds(1);
  catalogue::FollowerSettings m_Follower;
  catalogue::PublisherSettings m_Publisher;
  membership::MemberSettings m_Members;
  catalogue::BarrierSettings m_Barrier;
};

/// What the control state needs of the process around it.
struct ControlHooks {
  catalogue::LogClient m_Log;
  /// Sends a message to a peer; it may get lost.
  std::function<void(const Peer &, const wire::PeerMessage &)> m_Send;
  /// Takes each new picture of the catalogue, and null when the node must
  /// not admit requests.
  std::function<void(catalogue::ViewPtr)> m_ViewChanged;
  /// Adds what the traffic side has to tell the other entries.
  std::function<void(wire::EntryGossip &)> m_FillGossip;
  std::function<void(base::EventId, std::vector<base::EventField>)> m_Event;
};

/// What operators see of one node.
struct ControlStatus {
  std::string m_Node;
  std::uint64_t m_Offset = 0;
  std::uint64_t m_HeardOffset = 0;
  bool m_LogReachable = false;
  bool m_Ready = false;
  bool m_TooOld = false;
  bool m_Gap = false;
  std::map<std::string, std::string> m_Unreadable;
  /// Offset in force at each node, as last told.
  std::map<std::string, std::uint64_t> m_Nodes;
};

/// The control state of one process: follower, publisher, leases and members.
///
/// Owns no thread and no socket. All members are called from one thread;
/// answers of the log come on that thread too.
class ControlCore {
public:
  using PublishDone = std::function<void(const catalogue::PublishAnswer &)>;

  ControlCore(ControlSettings Settings, ControlHooks Hooks, base::Clock Clock);
  ~ControlCore();
  ControlCore(const ControlCore &) = delete;
  ControlCore &operator=(const ControlCore &) = delete;

  /// Does what is due; call it every 50 ms or so.
  void tick();

  /// Takes a message of another process.
  void heard(const wire::PeerMessage &Message);

  /// Takes what another process said of its catalogue outside of gossip, such
  /// as on a connection between an entry and an agent.
  void heardOffset(const std::string &Node, std::uint64_t CatalogueOffset);

  /// Publishes an operator's changes; \p Done is called once.
  void publish(const catalogue::PublishRequest &Request, PublishDone Done);

  /// Adds a contender for a lease. The holder's name gets this incarnation.
  std::shared_ptr<lease::LeaseHolder> contend(lease::LeaseSettings Settings);

  /// Takes this entry out of the answers to "which address".
  void leave();

  /// Replaces the other entries that this process knows of.
  void setEntries(std::vector<Peer> Entries);

  /// \returns whether this node may admit requests by view().
  [[nodiscard]] bool ready() const;
  /// \returns the newest picture of the catalogue; null before the first.
  [[nodiscard]] catalogue::ViewPtr view() const { return m_View; }
  [[nodiscard]] ControlStatus status() const;
  [[nodiscard]] const catalogue::Follower &follower() const {
    return m_Follower;
  }
  /// Asks for a read of the log to its end, for an order gate.
  void requestRead() { m_Follower.requestRead(); }
  [[nodiscard]] const catalogue::InForce &inForce() const { return m_InForce; }
  /// \returns the entries, as told by gossip, with this one.
  [[nodiscard]] membership::Members &members() { return m_Members; }

private:
  void run(const catalogue::FollowerActions &Actions);
  void run(const catalogue::PublisherActions &Actions);
  void stateChanged();
  void updateView();
  void peerHeard(const std::string &Node, std::uint64_t CatalogueOffset,
                 std::uint64_t LogOffset);
  void append(const wire::LogRecord &Record);
  void tickLeases();
  void gossip();
  [[nodiscard]] std::vector<Peer> gossipTargets() const;
  void hearSelf();
  void tellEvents(const std::vector<catalogue::FollowerEvent> &Events);
  void tellMembers();
  void event(base::EventId Id, std::vector<base::EventField> Fields = {});
  wire::PeerMessage message() const;
  void sendTo(const std::string &Node, const wire::PeerMessage &Message);
  [[nodiscard]] std::string holderName() const;

  const ControlSettings m_Settings;
  const ControlHooks m_Hooks;
  const base::Clock m_Clock;
  std::vector<Peer> m_Entries;
  /// Where to answer each process that was heard.
  std::map<std::string, std::string> m_ReplyAddresses;
  catalogue::Follower m_Follower;
  catalogue::Publisher m_Publisher;
  catalogue::ViewBuilder m_ViewBuilder;
  catalogue::ViewPtr m_View;
  catalogue::InForce m_InForce;
  catalogue::InForceBarrier m_Barrier;
  membership::Members m_Members;
  std::vector<std::shared_ptr<lease::LeaseHolder>> m_Holders;
  std::map<std::string, std::vector<PublishDone>> m_Asked;
  base::Millis m_NextGossip{};
  bool m_Leaving = false;
  bool m_WasReady = false;
  std::uint64_t m_GossipedChange = 0;
  /// Callbacks of the log hold a weak reference, so that late answers find
  /// out that this object is gone.
  std::shared_ptr<ControlCore *> m_Self;
};

} // namespace corneldeck::node

#endif
