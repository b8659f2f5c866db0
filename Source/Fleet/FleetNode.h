#ifndef CORNELDECK_FLEET_FLEETNODE_H
#define CORNELDECK_FLEET_FLEETNODE_H

#include "Base/Clock.h"
#include "Base/Random.h"
#include "Base/Timeline.h"
#include "Membership/Members.h"
#include "Metrics/Registry.h"
#include "Net/DatagramSocket.h"
#include "Wire/Gossip.pb.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace corneldeck::fleet {

/// Settings of FleetNode.
struct FleetSettings {
  std::string m_Node;
  std::uint64_t m_Incarnation = 0;
  /// Address for datagrams and for the feeds that this node serves, "ip:port".
  std::string m_PeerAddress;
  /// Address for callers, "ip:port"; empty for an agent.
  std::string m_CallerAddress;
  std::string m_Zone;
  /// Bandwidth of this VM's link in kbit/s; zero if unknown.
  std::uint32_t m_LinkKbps = 0;
  /// Addresses of the seed nodes for discovery. Some may be stale or down.
  std::vector<std::string> m_Seeds;
  /// Interval between two heartbeats to each entry. A failed entry remains in
  /// the responses to callers for several intervals.
  base::Millis m_HeartbeatInterval = base::Millis(200);
  /// Every this many heartbeats, the node requests the list of all known nodes
  /// from the seeds.
  unsigned m_HeartbeatsPerListRequest = 15;
  /// Number of known nodes that a heartbeat of an entry contains. They rotate,
  /// so that neither the size of a datagram nor the bytes sent at once grow
  /// with the number of nodes.
  std::size_t m_NodesPerHeartbeat = 2;
  /// Maximum number of known nodes in one datagram of a requested list.
  std::size_t m_NodesPerListDatagram = 16;
  membership::MemberSettings m_Liveness = {base::Millis(1000),
                                           base::seconds(15)};
};

/// Maintains the membership of this process in the fleet: sends heartbeats, and
/// tracks the other nodes and their state.
///
/// Every node sends a small datagram to each entry several times a second.
/// Membership is best effort and is not used for decisions that need agreement.
class FleetNode {
public:
  /// Callbacks. All are optional.
  struct Hooks {
    /// Adds this node's data to an outgoing heartbeat.
    std::function<void(wire::FleetBeat &)> m_FillHeartbeat;
    std::function<void(const wire::FleetBeat &)> m_OnHeartbeat;
    std::function<void(const wire::GroupReport &)> m_OnGroupReport;
    std::function<void(const wire::RankCommand &)> m_OnRankCommand;
    std::function<void(const wire::RateToken &)> m_OnRateToken;
    /// Called when an entry is lost or leaves.
    std::function<void(const std::string &Node)> m_OnEntryLost;
    /// Called with the description of an entry and its news.
    std::function<void(const wire::NodeNews &, const wire::FeedNews &)>
        m_OnFeedNews;
  };

  FleetNode(boost::asio::io_context &Context, FleetSettings Settings,
            base::Timeline &Events, metrics::Registry &Metrics,
            Hooks Callbacks);

  base::Result<void> start();

  /// Sets whether this node accepts callers, and announces a change at once.
  void setReady(bool Ready);
  /// Announces at once that this node leaves.
  void leave();

  /// Sends heartbeats now, since this node's data has changed.
  void announce() { sendHeartbeats(); }

  /// Adds a node known from another source, such as the log or another node.
  /// Ignored unless its incarnation is newer than the known one.
  void addNode(const wire::NodeNews &News);

  /// Sends one datagram; it may be lost.
  void send(const std::string &Address, const wire::Datagram &Message);
  /// Sends one datagram to a node. Ignored if its address is not known.
  void sendTo(const std::string &Node, const wire::Datagram &Message);

  /// Sends one datagram to each live entry, or to some that are drawn at random
  /// if there are more than \p MaxCount.
  void sendToEntries(const wire::Datagram &Message, std::size_t MaxCount,
                     base::Random &Rng);

  /// \returns the description of this node that its heartbeats carry.
  [[nodiscard]] wire::NodeNews self() const;
  /// \returns the entries, including this node if it is an entry.
  [[nodiscard]] const membership::Members &entries() const { return m_Entries; }
  /// \returns the entries whose heartbeats are recent.
  [[nodiscard]] std::vector<wire::NodeNews> liveEntries() const;
  /// \returns the known nodes that are not entries.
  [[nodiscard]] std::vector<wire::NodeNews> agents() const;

private:
  void tick();
  /// Sends a heartbeat to each known entry, and to the seeds if no entry has
  /// responded yet or the member list is due.
  /// \returns whether a heartbeat from any entry has been received.
  bool sendHeartbeats();
  /// \param Listed the known nodes to include.
  void sendHeartbeat(const std::string &Address,
                     const std::vector<wire::NodeNews> &Listed,
                     bool RequestMemberList);
  /// Sends all nodes that this node has received heartbeats from, in several
  /// datagrams.
  void sendMemberList(const std::string &Address);
  /// \returns the nodes that this node has received heartbeats from.
  [[nodiscard]] std::vector<wire::NodeNews> directlyHeardNodes() const;
  /// Counters of the datagrams of one type.
  struct TypeCounters {
    metrics::Counter *m_Sent = nullptr;
    metrics::Counter *m_SentBytes = nullptr;
    metrics::Counter *m_SendErrors = nullptr;
    metrics::Counter *m_Received = nullptr;
    metrics::Counter *m_ReceivedBytes = nullptr;
  };
  [[nodiscard]] const TypeCounters &
  counters(const wire::Datagram &Message) const;
  void onDatagram(std::string_view Bytes, const std::string &From);
  void onHeartbeat(const wire::FleetBeat &Beat, const std::string &From);
  void onFeedNews(const wire::FeedNews &News);
  /// Records this node as alive in m_Entries, if it is an entry.
  void refreshSelf();

  const FleetSettings m_Settings;
  base::Timeline &m_Events;
  const Hooks m_Hooks;
  const base::Clock m_Clock = base::steadyClock();
  /// Counters by the number of the field of wire::Datagram that is set.
  std::map<int, TypeCounters> m_Counters;
  /// Whether the last datagram was sent without an error.
  bool m_CanSend = true;
  net::DatagramSocket m_Socket;
  boost::asio::steady_timer m_Timer;
  membership::Members m_Entries;
  /// A known node, entry or agent, and the time of the last news about it.
  struct Known {
    wire::NodeNews m_News;
    base::Millis m_LastHeard{};
    /// Whether a heartbeat from the node itself was received.
    bool m_DirectlyHeard = false;
  };
  std::map<std::string, Known> m_Known;
  bool m_Ready = false;
  bool m_Leaving = false;
  unsigned m_HeartbeatRounds = 0;
  /// Number of nodes that heartbeats have listed so far.
  std::size_t m_ListedNodes = 0;
};

} // namespace corneldeck::fleet

#endif
