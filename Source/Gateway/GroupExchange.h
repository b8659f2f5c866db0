#ifndef CORNELDECK_GATEWAY_GROUPEXCHANGE_H
#define CORNELDECK_GATEWAY_GROUPEXCHANGE_H

#include "Base/Timeline.h"
#include "Direct/ConcurrencyLimiter.h"
#include "Direct/GroupCapacity.h"
#include "Direct/RouteTable.h"
#include "Metrics/Registry.h"
#include "Wire/Gossip.pb.h"

#include <functional>
#include <map>
#include <string>

namespace corneldeck::gateway {

/// Receives the state and the servers of the rank groups, from the heartbeats
/// of agents or the summaries of relays, and exchanges the pass time ratios
/// with the other entries. Logs changes.
class GroupExchange {
public:
  /// Objects used by GroupExchange; they must outlive it.
  struct Dependencies {
    direct::RankGroups &m_Groups;
    direct::GroupAvailability &m_Availability;
    direct::ConcurrencyLimiter &m_Limiter;
    base::Timeline &m_Events;
    metrics::Registry &m_Metrics;
  };

  /// \param AvailabilityChanged called when a service became available or
  /// unavailable.
  GroupExchange(Dependencies Objects,
                std::function<void()> AvailabilityChanged);

  /// Discards expired reports, logs changes of the groups and updates the
  /// metrics. Called several times a second.
  /// \param Routes the routes in force, or null.
  void update(const direct::RouteTable *Routes,
              const direct::GroupCapacity &Capacity, base::Millis Now);

  /// Processes the heartbeat of an agent.
  void handleAgent(const wire::FleetBeat &Beat, base::Millis Now);
  /// Adds the pass time ratios of this entry.
  void fillHeartbeat(wire::FleetBeat &Beat) const;
  /// Processes the pass time ratios of another entry.
  void handleRatios(const wire::FleetBeat &Beat);
  /// Processes the rank groups and pass time ratios of a summary.
  /// \param Peer the name of the sums.
  void handleSummary(const std::string &Peer, const wire::FleetSummary &Summary,
                     base::Millis Now);

private:
  void recordState(const std::string &Reporter,
                   const direct::GroupAvailability::Report &Latest,
                   base::Millis Now);
  void recordSizes();
  void recordLimits(const direct::RouteTable &Routes,
                    const direct::GroupCapacity &Capacity, base::Millis Now);
  void recordLimit(const std::string &Service,
                   const direct::GroupCapacity::GroupState &State);

  Dependencies m_Dependencies;
  const std::function<void()> m_AvailabilityChanged;
  metrics::Gauge &m_KnownGroups;
  metrics::Gauge &m_KnownServers;
  /// Number of servers by group, as logged last.
  std::map<direct::RankGroup, unsigned> m_LoggedSizes;
  base::Millis m_LoggedAt{};
  /// Limits by group, as logged last, in whole requests.
  std::map<direct::RankGroup, unsigned> m_LoggedLimits;
};

} // namespace corneldeck::gateway

#endif
