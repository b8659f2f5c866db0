#ifndef CORNELDECK_GATEWAY_GROUPEXCHANGE_H
#define CORNELDECK_GATEWAY_GROUPEXCHANGE_H

#include "Base/Timeline.h"
#include "Direct/GroupAvailability.h"
#include "Direct/RankGroups.h"
#include "Metrics/Registry.h"
#include "Wire/Gossip.pb.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace corneldeck::gateway {

/// Receives the state and the servers of the rank groups, from the heartbeats
/// of agents or the summaries of relays. Logs changes.
class GroupExchange {
public:
  /// Objects used by GroupExchange; they must outlive it.
  struct Dependencies {
    direct::RankGroups &m_Groups;
    direct::GroupAvailability &m_Availability;
    base::Timeline &m_Events;
    metrics::Registry &m_Metrics;
  };

  /// \param AvailabilityChanged called when a service became available or
  /// unavailable.
  GroupExchange(Dependencies Objects,
                std::function<void()> AvailabilityChanged);

  /// Discards expired reports, logs changes of the groups and updates the
  /// metrics. Called several times a second.
  void update(base::Millis Now);

  /// Processes the heartbeat of an agent.
  void handleAgent(const wire::FleetBeat &Beat, base::Millis Now);
  /// Processes the rank groups of a summary.
  /// \param Peer the name of the sums.
  void handleSummary(const std::string &Peer, const wire::FleetSummary &Summary,
                     base::Millis Now);

private:
  void recordState(const std::string &Reporter,
                   const direct::GroupAvailability::Report &Latest,
                   base::Millis Now);
  void recordSizes();

  Dependencies m_Dependencies;
  const std::function<void()> m_AvailabilityChanged;
  metrics::Gauge &m_KnownGroups;
  metrics::Gauge &m_KnownServers;
  /// Number of servers by service and group, as logged last.
  std::map<std::pair<std::string, std::string>, unsigned> m_LoggedSizes;
  base::Millis m_LoggedAt{};
};

} // namespace corneldeck::gateway

#endif
