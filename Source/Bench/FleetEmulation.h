#ifndef CORNELDECK_BENCH_FLEETEMULATION_H
#define CORNELDECK_BENCH_FLEETEMULATION_H

#include "Base/Random.h"
#include "Fleet/FleetCore.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace corneldeck::bench {

/// Dimensions and links of an emulated fleet.
struct FleetEmulationOptions {
  std::size_t m_Entries = 46;
  std::size_t m_Agents = 63;
  std::size_t m_Zones = 3;
  /// Number of backend servers to which each entry has requests in flight, and
  /// of all backend servers.
  std::size_t m_ServersPerEntry = 5;
  std::size_t m_Servers = 66;
  /// Largest number of entries that exchange heartbeats without relays.
  std::size_t m_MaxDirectEntries = 64;
  /// The same if they are in several availability zones.
  std::size_t m_MaxDirectEntriesAcrossZones = 16;
  /// Number of seeds that are down.
  std::size_t m_DeadSeeds = 0;
  double m_LossRate = 0.002;
  std::uint64_t m_Seed = 1;
};

/// Runs the membership and the exchange of loads of a whole fleet in virtual
/// time: the product's FleetCore for each entry and agent, over links with a
/// bandwidth, a delay and losses.
class FleetEmulation {
public:
  explicit FleetEmulation(FleetEmulationOptions Options);
  FleetEmulation(const FleetEmulation &) = delete;
  FleetEmulation &operator=(const FleetEmulation &) = delete;
  ~FleetEmulation();

  void run(base::Millis Duration);
  /// Runs until \p Done returns true.
  /// \returns the time that it took, or \p Limit.
  base::Millis runUntil(const std::function<bool()> &Done, base::Millis Limit);

  /// Ends a process without notice. Entries have the lower indexes.
  void kill(std::size_t Node);
  /// Starts a new process.
  void start(std::size_t Node);
  /// Begins a planned stop; the process keeps running.
  void stop(std::size_t Node);
  /// Lets a process neither send nor receive, and back.
  void freeze(std::size_t Node, bool Frozen);
  /// Cuts all links between the nodes of \p Zones and others, and back.
  void cutZones(std::size_t Zones, bool Cut);

  /// \returns the number of zones.
  [[nodiscard]] std::size_t zones() const { return m_Options.m_Zones; }
  [[nodiscard]] std::size_t zoneOf(std::size_t Node) const;
  /// \returns the entries that are relays.
  [[nodiscard]] std::vector<std::size_t> relays() const;
  /// \returns whether each running entry offers exactly the entries that run,
  /// do not stop and can be reached.
  [[nodiscard]] bool allAgree() const;
  /// \returns whether each running agent knows all agents of its rank group.
  [[nodiscard]] bool agentsKnowEachOther() const;
  /// \returns whether any running entry that can reach \p Node offers it.
  [[nodiscard]] bool isOfferedAnywhere(std::size_t Node) const;

  /// Traffic of the entries and agents since the last call.
  struct Traffic {
    double m_MeanMessages = 0; ///< Sent and received by an entry, per second.
    double m_MaxMessages = 0;
    double m_MeanBytes = 0; ///< Sent and received by an entry, per second.
    double m_MaxBytes = 0;
    double m_AgentMessages = 0; ///< Mean of the agents, per second.
    double m_AgentBytes = 0;
    double m_CrossingBytes = 0; ///< Between zones, per second, all nodes.
  };
  Traffic takeTraffic();

  /// Begins to collect the ages of the loads that entries know.
  void collectAges() { m_Ages.clear(); }
  /// \returns the age in milliseconds that the fraction \p Quantile of the
  /// known loads does not exceed.
  [[nodiscard]] double ageQuantile(double Quantile) const;
  /// \returns the number of times that a sum counted an entry more than once.
  [[nodiscard]] std::size_t doubleCounts() const { return m_DoubleCounts; }

private:
  struct Process;
  struct Node {
    std::unique_ptr<Process> m_Process;
    std::uint64_t m_Incarnation = 0;
    bool m_Frozen = false;
    bool m_Stopping = false;
    double m_UplinkFreeAt = 0;
    double m_DownlinkFreeAt = 0;
    double m_BytesPerMs = 0;
    std::uint64_t m_Messages = 0;
    std::uint64_t m_Bytes = 0;
  };
  struct Event {
    double m_At = 0;
    std::uint64_t m_Number = 0;
    std::size_t m_Node = 0;
    /// Process for whose tick the event is; 0 for the arrival of a datagram.
    std::uint64_t m_Incarnation = 0;
    std::string m_Bytes;
    std::size_t m_From = 0;
    bool operator>(const Event &Other) const {
      return m_At != Other.m_At ? m_At > Other.m_At : m_Number > Other.m_Number;
    }
  };

  [[nodiscard]] bool isEntry(std::size_t Node) const {
    return Node < m_Options.m_Entries;
  }
  [[nodiscard]] bool isReachable(std::size_t From, std::size_t To) const;
  [[nodiscard]] static std::string addressOf(std::size_t Node);
  [[nodiscard]] std::string nameOf(std::size_t Node) const;
  [[nodiscard]] fleet::FleetSettings settingsOf(std::size_t Node) const;
  void send(std::size_t From, const std::string &To, std::string_view Bytes);
  void process(Event Next);
  void fillHeartbeat(std::size_t Node, wire::FleetBeat &Beat);
  void handleBeat(std::size_t Node, const wire::FleetBeat &Beat);
  void handleSummary(std::size_t Node, const wire::FleetSummary &Summary,
                     const wire::FleetBeat *Own);

  const FleetEmulationOptions m_Options;
  base::Random m_Rng;
  double m_Now = 1000;
  std::vector<Node> m_Nodes;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_Events;
  std::uint64_t m_NextEvent = 0;
  std::uint64_t m_NextIncarnation = 0;
  std::size_t m_CutZones = 0;
  std::size_t m_LastCutZones = 0;
  double m_TrafficSince = 1000;
  double m_CrossingBytes = 0;
  std::vector<double> m_Ages;
  std::size_t m_DoubleCounts = 0;
};

} // namespace corneldeck::bench

#endif
