#ifndef CORNELDECK_GATEWAY_WARMUPREPORT_H
#define CORNELDECK_GATEWAY_WARMUPREPORT_H

#include "Base/Clock.h"
#include "Base/Timeline.h"
#include "Direct/ServerPool.h"
#include "Metrics/Registry.h"

namespace corneldeck::gateway {

/// Ends the warm-up of cold backend servers in time. Logs when one becomes cold
/// and when it is warm again.
class WarmUpReport {
public:
  /// The other objects must outlive this one.
  WarmUpReport(direct::ServerPool &Pool, base::Timeline &Events,
               metrics::Registry &Metrics);

  /// Called several times a second.
  void update();

private:
  void recordChange(const direct::WarmUpLimits::Change &Change);

  direct::ServerPool &m_Pool;
  base::Timeline &m_Events;
  const base::Clock m_Clock = base::steadyClock();
  metrics::Gauge &m_ColdServers;
  metrics::Counter &m_Unlogged;
  /// Lines since the last update.
  std::size_t m_Lines = 0;
};

} // namespace corneldeck::gateway

#endif
