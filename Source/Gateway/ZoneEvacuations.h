#ifndef CORNELDECK_GATEWAY_ZONEEVACUATIONS_H
#define CORNELDECK_GATEWAY_ZONEEVACUATIONS_H

#include "Base/Clock.h"
#include "Base/Timeline.h"
#include "Direct/ServerPool.h"
#include "Gateway/SharedFeed.h"
#include "Metrics/Registry.h"

#include <string>
#include <vector>

namespace corneldeck::gateway {

/// Puts the evacuations that operators order into force. Logs when each begins
/// and ends.
class ZoneEvacuations {
public:
  /// The other objects must outlive this one.
  ZoneEvacuations(direct::ServerPool &Pool, base::Timeline &Events,
                  metrics::Registry &Metrics);

  /// Applies the evacuations in the state of \p Feed.
  void apply(const direct::EvacuationRecords &Ordered, const SharedFeed &Feed);

private:
  void recordErrors(const std::vector<std::string> &Errors,
                    const std::string &Offset);

  direct::ServerPool &m_Pool;
  base::Timeline &m_Events;
  const base::Clock m_Clock = base::steadyClock();
  metrics::Gauge &m_Zones;
  /// The errors that were logged last.
  std::vector<std::string> m_Errors;
};

} // namespace corneldeck::gateway

#endif
