#ifndef CORNELDECK_RANKGROUP_GROUPTRAFFIC_H
#define CORNELDECK_RANKGROUP_GROUPTRAFFIC_H

#include "Base/Millis.h"
#include "Wire/Gossip.pb.h"

#include <cstddef>
#include <vector>

namespace corneldeck::rankgroup {

/// Limits on the traffic that the coordination of a rank group causes on the
/// link of each VM. Sizes and intervals are derived from them.
struct TrafficLimits {
  /// Bandwidth of a VM's link in bytes per millisecond.
  double m_LinkBytesPerMs = 2500;
  /// Maximum time for which messages that are sent or requested together occupy
  /// a link.
  base::Millis m_MaxBurst = base::Millis(40);
  /// Maximum share of the bandwidth for periodic reports.
  double m_MaxReportShare = 0.2;
  /// Maximum number of agents to which one agent forwards a message.
  std::size_t m_MaxFanout = 16;

  /// \returns how many messages of \p Bytes an agent may send or receive
  /// together, at least 2 and at most m_MaxFanout.
  [[nodiscard]] std::size_t fanout(std::size_t Bytes) const;

  /// \returns the shortest interval at which an agent may receive \p Messages
  /// messages of \p Bytes each.
  [[nodiscard]] base::Millis reportInterval(std::size_t Messages,
                                            std::size_t Bytes) const;

  /// \returns the time in which a message of \p Bytes reaches \p Agents agents
  /// over relays, without latency.
  [[nodiscard]] base::Millis distributionTime(std::size_t Agents,
                                              std::size_t Bytes) const;
};

/// One agent to send a message to, and the agents to which it forwards it.
struct RelayBranch {
  wire::RankAddress m_Relay;
  std::vector<wire::RankAddress> m_Descendants;
};

/// Divides agents into at most \p Fanout branches of about equal size. Each
/// branch is a contiguous part of \p Targets, and its first agent is the relay.
std::vector<RelayBranch>
divideIntoBranches(const std::vector<wire::RankAddress> &Targets,
                   std::size_t Fanout);

/// \returns the length of the longest chain of relays, including the last
/// receiver, over which a message reaches \p Agents agents.
std::size_t relayDepth(std::size_t Agents, std::size_t Fanout);

} // namespace corneldeck::rankgroup

#endif
