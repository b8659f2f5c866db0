#ifndef CORNELDECK_FLEET_FLEETNODE_H
#define CORNELDECK_FLEET_FLEETNODE_H

#include "Base/Clock.h"
#include "Base/Timeline.h"
#include "Membership/Members.h"
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
  /// Where this node takes datagrams and serves its feeds.
  std::string m_PeerAddress;
  /// Where callers connect; empty for an agent.
  std::string m_CallerAddress;
  std::string m_Zone;
  /// Nodes to ask first; they may be stale or down.
  std::vector<std::string> m_Seeds;
  /// Between two beats to each entry. An entry that dies stays in the answers
  /// to callers for some beats.
  base::Millis m_HeartbeatInterval = base::Millis(200);
  /// Beats between two that name all known nodes.
  unsigned m_HeartbeatsPerMemberList = 15;
  membership::MemberSettings m_Liveness = {base::Millis(1000),
                                           base::seconds(15)};
};

/// This process among the others: who is there, and what each says of itself.
///
/// Every node sends a small datagram to each entry several times a second.
/// Nothing that must be agreed rests on it.
class FleetNode {
public:
  /// Hooks; unset ones are skipped.
  struct Hooks {
    /// Adds to a beat what this node has to say.
    std::function<void(wire::FleetBeat &)> m_FillHeartbeat;
    std::function<void(const wire::FleetBeat &)> m_OnHeartbeat;
    std::function<void(const wire::RankReport &)> m_OnRankReport;
    std::function<void(const wire::RankCommand &)> m_OnRankCommand;
    /// An entry was lost or left.
    std::function<void(const std::string &Node)> m_OnEntryLost;
  };

  FleetNode(boost::asio::io_context &Context, FleetSettings Settings,
            base::Timeline &Events, Hooks Callbacks);

  base::Result<void> start();

  void setReady(bool Ready);
  /// Tells the others at once that this node leaves.
  void leave();

  /// Sends a beat now, as what this node has to say has changed.
  void announce() { sendHeartbeats(); }

  /// Adds a node that was found elsewhere, such as in the log.
  void addNode(const wire::NodeNews &News);

  void send(const std::string &Address, const wire::Datagram &Message);

  /// \returns what this node says of itself.
  [[nodiscard]] wire::NodeNews self() const;
  /// The entries, this one among them if it is an entry.
  [[nodiscard]] const membership::Members &entries() const { return m_Entries; }
  /// \returns the entries that were heard lately and take callers.
  [[nodiscard]] std::vector<wire::NodeNews> liveEntries() const;
  /// \returns the known nodes that take no callers.
  [[nodiscard]] std::vector<wire::NodeNews> agents() const;

private:
  void tick();
  /// \returns whether an entry has answered so far.
  bool sendHeartbeats();
  void sendHeartbeat(const std::string &Address, bool WithMemberList,
                     bool RequestMemberList);
  void onDatagram(std::string_view Bytes, const std::string &From);
  void onHeartbeat(const wire::FleetBeat &Beat, const std::string &From);
  void refreshSelf();

  const FleetSettings m_Settings;
  base::Timeline &m_Events;
  const Hooks m_Hooks;
  const base::Clock m_Clock = base::steadyClock();
  net::DatagramSocket m_Socket;
  boost::asio::steady_timer m_Timer;
  membership::Members m_Entries;
  /// All known nodes, agents too, with the time of the last sign of life.
  struct Known {
    wire::NodeNews m_News;
    base::Millis m_LastHeard{};
    bool m_DirectlyHeard = false;
  };
  std::map<std::string, Known> m_Known;
  bool m_Ready = false;
  bool m_Leaving = false;
  unsigned m_HeartbeatRounds = 0;
};

} // namespace corneldeck::fleet

#endif
