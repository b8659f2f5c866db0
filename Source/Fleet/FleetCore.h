#ifndef CORNELDECK_FLEET_FLEETCORE_H
#define CORNELDECK_FLEET_FLEETCORE_H

#include "Base/Clock.h"
#include "Base/Error.h"
#include "Base/Random.h"
#include "Base/Timeline.h"
#include "Membership/Members.h"
#include "Metrics/Registry.h"
#include "Wire/Gossip.pb.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace corneldeck::fleet {

/// Settings of FleetCore.
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
  /// Interval between two heartbeats. A failed entry remains in the responses
  /// to callers for several intervals.
  base::Millis m_HeartbeatInterval = base::Millis(200);
  /// Every this many heartbeats, the node requests the list of nodes.
  unsigned m_HeartbeatsPerListRequest = 15;
  /// Number of known nodes that a heartbeat of an entry to each other entry
  /// contains. They rotate, so that the size of a datagram does not grow with
  /// the number of nodes.
  std::size_t m_NodesPerHeartbeat = 2;
  /// Maximum number of known nodes in one datagram of a requested list.
  std::size_t m_NodesPerListDatagram = 16;
  /// Up to this many entries, each sends its heartbeats to each other one. More
  /// entries exchange summaries over relays.
  std::size_t m_MaxDirectEntries = 64;
  /// The same for entries in several availability zones, since bytes between
  /// zones are charged. With three zones, 16 entries that send to each other
  /// send 170 messages between zones in an interval, and the relays 24.
  std::size_t m_MaxDirectEntriesAcrossZones = 16;
  std::size_t m_RelaysPerZone = 2;
  /// Every this many summaries, the lists of live nodes are sent even if they
  /// have not changed.
  unsigned m_SummariesPerRoster = 3;
  /// A relay that sends nothing for this long is replaced.
  base::Millis m_RelayTimeout = base::Millis(600);
  membership::MemberSettings m_Liveness = {base::Millis(1000),
                                           base::seconds(15)};
};

/// Maintains the membership of this process in the fleet, and exchanges the
/// data of all entries: the decisions without I/O.
///
/// In a small fleet every node sends a heartbeat to each entry. In a larger one
/// the cost of a node must not grow with the number of entries: each node sends
/// its heartbeats to the two relays of its availability zone. The relays of all
/// zones exchange summaries of their zones, and send summaries of all zones to
/// the entries of their own. A summary also lists the live nodes, by hashes of
/// their names; a node requests the descriptions of those that it does not
/// know.
///
/// Relays are ordinary entries, which all nodes choose by the same rule among
/// the entries that they know. Different choices are harmless: a relay serves
/// each node whose heartbeats it receives, and suggests better relays. A sum
/// never counts an entry twice, since a node uses one summary of each zone.
///
/// Membership is best effort and is not used for decisions that need agreement.
class FleetCore {
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
    /// Called with a summary and the own heartbeat that it includes, or null.
    std::function<void(const wire::FleetSummary &, const wire::FleetBeat *Own)>
        m_OnSummary;
    std::function<void(const wire::QuarantineNews &)> m_OnQuarantineNews;
  };

  /// Sends a datagram.
  using Sender = std::function<base::Result<void>(const std::string &Address,
                                                  std::string_view Bytes)>;

  /// Part of an entry in the exchange of data.
  enum class Role {
    Direct, ///< Exchanges heartbeats with all entries.
    Member, ///< Exchanges heartbeats and summaries with relays.
    Relay   ///< Is one of the relays of its zone.
  };

  FleetCore(FleetSettings Settings, base::Clock Time, Sender Send,
            base::Timeline &Events, metrics::Registry &Metrics,
            Hooks Callbacks);
  FleetCore(const FleetCore &) = delete;
  FleetCore &operator=(const FleetCore &) = delete;

  /// Sends what is due. Called periodically.
  /// \returns the time until the next call.
  base::Millis tick();

  /// Processes a received datagram.
  /// \param From the address of its sender.
  void handleDatagram(std::string_view Bytes, const std::string &From);

  /// Sets whether this node accepts callers, and announces a change at once.
  void setReady(bool Ready);
  /// Announces at once that this node leaves.
  void leave();
  /// Sets the rank group of this agent's engine.
  void setGroup(const std::string &Group) { m_Group = Group; }

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
  /// \returns the live entries other than this node.
  [[nodiscard]] std::vector<wire::NodeNews> liveEntries() const;
  /// \returns the known nodes that are not entries.
  [[nodiscard]] std::vector<wire::NodeNews> agents() const;
  /// \returns the description of a known node, or null.
  [[nodiscard]] const wire::NodeNews *findNode(const std::string &Node) const;
  [[nodiscard]] Role role() const { return m_Role; }

private:
  /// A known node, entry or agent.
  struct Known {
    wire::NodeNews m_News;
    std::uint32_t m_Hash = 0;
    /// Time of the last news about it.
    base::Millis m_LastHeard{};
    /// Time of the last datagram from the node itself.
    std::optional<base::Millis> m_LastDirect;
    /// Last heartbeat that this node has received as a relay.
    wire::FleetBeat m_Beat;
    std::optional<base::Millis> m_BeatAt;
  };
  /// A summary of another zone.
  struct ZoneReport {
    wire::FleetSummary m_Summary;
    base::Millis m_ReceivedAt{};
  };
  /// States of the live nodes of a zone by hash, as listed by one relay.
  struct Roster {
    std::map<std::uint32_t, std::uint8_t> m_States;
    base::Millis m_ReceivedAt{};
  };
  /// Counters of the datagrams of one type.
  struct TypeCounters {
    metrics::Counter *m_Sent = nullptr;
    metrics::Counter *m_SentBytes = nullptr;
    metrics::Counter *m_SendErrors = nullptr;
    metrics::Counter *m_Received = nullptr;
    metrics::Counter *m_ReceivedBytes = nullptr;
  };

  [[nodiscard]] bool isEntry() const {
    return !m_Settings.m_CallerAddress.empty();
  }
  [[nodiscard]] bool usesRelays() const { return m_Role != Role::Direct; }
  [[nodiscard]] const TypeCounters &
  counters(const wire::Datagram &Message) const;
  void sendBytes(const std::string &Address, const wire::Datagram &Message,
                 const std::string &Bytes);

  // Membership.
  /// Records this node as alive in m_Entries, if it is an entry.
  void refreshSelf();
  /// Logs what has changed since the last call.
  void recordChanges();
  void recordNodes(base::EventId Event, const std::vector<std::string> &Nodes);
  void removeExpired();
  Known &updateKnown(const wire::NodeNews &News);
  void updateEntry(const wire::NodeNews &News, base::Millis SilenceTimeout);
  /// \returns the time for which a node that others list is taken for alive.
  [[nodiscard]] base::Millis listedTimeout() const;
  [[nodiscard]] bool heardDirectly(const Known &Node, base::Millis Age) const;
  [[nodiscard]] bool heardDirectly(const std::string &Node,
                                   base::Millis Age) const;

  // Relays.
  /// Returns the number of entries up to which each sends its heartbeats to
  /// each other one.
  [[nodiscard]] std::size_t maxDirectEntries() const;
  /// Chooses the relays and this node's role.
  void updateRole();
  [[nodiscard]] std::map<std::string, std::vector<std::string>>
  chooseRelays(bool WithoutSuspected) const;
  /// \returns the relays of this node's zone other than itself.
  [[nodiscard]] std::vector<std::string> ownRelaysIn(
      const std::map<std::string, std::vector<std::string>> &Relays) const;
  [[nodiscard]] std::string choosePrimary() const;
  /// Replaces a relay that sends no summaries.
  void checkPrimary();
  [[nodiscard]] std::set<std::string> heartbeatTargets() const;

  // Heartbeats.
  /// Sends heartbeats, and asks the seeds for nodes if this is due.
  /// \returns whether this node has contact with the fleet.
  bool sendHeartbeats();
  [[nodiscard]] wire::Datagram makeHeartbeat(bool RequestMemberList) const;
  void sendDirectHeartbeats();
  void sendHeartbeatsToRelays();
  void askSeeds(bool HasContact);
  /// Sends a heartbeat that lists \p Listed.
  void sendHeartbeat(const std::string &Address,
                     const std::vector<wire::NodeNews> &Listed,
                     bool RequestMemberList);
  void handleHeartbeat(const wire::FleetBeat &Beat, const std::string &From);
  void handleFeedNews(const wire::FeedNews &News);
  /// Sends the descriptions of nodes, in several datagrams.
  void sendNodes(const std::string &Address,
                 const std::vector<wire::NodeNews> &Nodes);
  /// \returns the live nodes that \p Asker needs to know.
  [[nodiscard]] std::vector<wire::NodeNews>
  nodesFor(const wire::NodeNews &Asker) const;
  /// Sends the hashes of the nodes that an agent needs to know.
  void sendRosters(const std::string &Address, const wire::NodeNews &Asker);
  void suggestRelays(const wire::NodeNews &Node, const std::string &Address);

  // Summaries.
  void sendSummaries();
  /// \returns the relays that get the summary of this zone.
  [[nodiscard]] std::set<std::string> otherRelays() const;
  /// \returns the sums over the heartbeats that this node has received from
  /// nodes of its zone, and its own.
  [[nodiscard]] wire::FleetSummary makeZoneSummary() const;
  /// Adds the nodes of this zone that this relay hears itself.
  void addHeardNodes(wire::FleetSummary &Summary, bool WithAgents) const;
  /// Adds the live entries of this zone, or of the others.
  void addLiveEntries(wire::FleetSummary &Summary) const;
  void addOtherRosters(wire::FleetSummary &Summary) const;
  /// \returns the summary of \p Zone to use, or null.
  [[nodiscard]] const ZoneReport *zoneReport(const std::string &Zone) const;
  void handleSummary(const wire::FleetSummary &Summary,
                     const std::string &From);
  void applyRoster(const std::string &Relay, const std::string &From,
                   const wire::ZoneRoster &Listed);
  /// Marks entries of \p Zone that no relay lists as silent.
  void removeUnlisted(const std::string &Zone);
  [[nodiscard]] const wire::FleetBeat *
  includedBeat(const wire::FleetSummary &Summary) const;
  void requestUnknownNodes();
  void handleNodeRequest(const wire::NodeRequest &Request,
                         const std::string &From);

  const FleetSettings m_Settings;
  const base::Clock m_Clock;
  const Sender m_Send;
  base::Timeline &m_Events;
  const Hooks m_Hooks;
  /// Counters by the number of the field of wire::Datagram that is set.
  std::map<int, TypeCounters> m_Counters;
  /// Whether the last datagram was sent without an error.
  bool m_CanSend = true;
  membership::Members m_Entries;
  std::map<std::string, Known> m_Known;
  std::unordered_map<std::uint32_t, std::string> m_NodeByHash;
  std::string m_Group;
  bool m_Ready = false;
  bool m_Leaving = false;
  unsigned m_HeartbeatRounds = 0;
  /// Number of nodes that heartbeats have listed so far.
  std::size_t m_ListedNodes = 0;

  Role m_Role = Role::Direct;
  /// Relays of this node's zone other than itself, suspected or not.
  std::vector<std::string> m_RegularRelays;
  /// Names of the relays by zone, best first.
  std::map<std::string, std::vector<std::string>> m_Relays;
  /// Relays that sent no summaries, and until when they are not used.
  std::map<std::string, base::Millis> m_Suspected;
  /// Relay from which this node expects summaries, and since when.
  std::string m_Primary;
  base::Millis m_PrimarySince{};
  std::optional<base::Millis> m_LastSummaryAt;
  /// Own heartbeats that a summary may include, by number.
  std::deque<std::pair<std::uint32_t, wire::FleetBeat>> m_SentBeats;
  std::uint32_t m_BeatNumber = 0;
  std::uint32_t m_SummaryNumber = 0;
  base::Millis m_SummariesSentAt{};
  bool m_RosterChanged = false;
  /// Reports of other zones, by zone and relay.
  std::map<std::string, std::map<std::string, ZoneReport>> m_ZoneReports;
  /// Rosters by zone and relay.
  std::map<std::string, std::map<std::string, Roster>> m_Rosters;
  /// Hashes of nodes that are listed but not known, and who listed them.
  std::map<std::uint32_t, std::string> m_Unknown;
  base::Millis m_UnknownRequestedAt{};
};

} // namespace corneldeck::fleet

#endif
