#ifndef CORNELDECK_GATEWAY_SERVERNOTICEEXCHANGE_H
#define CORNELDECK_GATEWAY_SERVERNOTICEEXCHANGE_H

#include "Base/Timeline.h"
#include "Direct/ServerPool.h"
#include "Metrics/Registry.h"
#include "Wire/Gossip.pb.h"

namespace corneldeck::gateway {

/// Exchanges with the other entries which backend servers leave. Logs and
/// counts each notice of a server.
class ServerNoticeExchange {
public:
  ServerNoticeExchange(direct::ServerPool &Pool, base::Timeline &Events,
                       metrics::Registry &Metrics);

  /// Updates the metrics. Called several times a second.
  void update();

  void fillHeartbeat(wire::FleetBeat &Beat) const;
  void handleHeartbeat(const wire::FleetBeat &Beat);

private:
  void recordChange(const direct::ServerNotices::Change &Change);

  direct::ServerPool &m_Pool;
  base::Timeline &m_Events;
  const base::Clock m_Clock = base::steadyClock();
  metrics::Gauge &m_LeavingServers;
  metrics::Gauge &m_PausedServers;
  metrics::Counter &m_Notices;
};

} // namespace corneldeck::gateway

#endif
