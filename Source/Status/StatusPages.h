#ifndef CORNELDECK_STATUS_STATUSPAGES_H
#define CORNELDECK_STATUS_STATUSPAGES_H

#include "Base/Timeline.h"
#include "Metrics/Registry.h"
#include "Net/HttpExchange.h"

#include <functional>
#include <string>
#include <vector>

namespace corneldeck::status {

/// Whether a process may receive requests.
struct Readiness {
  bool m_Ready = false;
  /// Why the process is not ready.
  std::string m_Reason;
};

/// Serves the pages that every process provides: /health, /ready, /metrics and
/// /timeline.
///
/// /health reports that the process runs, /ready whether it may receive
/// requests. This distinguishes a process that starts or stops from one that
/// has failed.
class StatusPages {
public:
  /// \param Metrics must outlive this object.
  /// \param Events must outlive this object.
  /// \param Ready is called for each request for /ready.
  StatusPages(const metrics::Registry &Metrics, const base::Timeline &Events,
              std::function<Readiness()> Ready);

  /// Responds to \p Exchange if its path is one of the pages.
  /// \returns whether it is.
  bool handle(net::HttpExchange &Exchange) const;

private:
  const metrics::Registry &m_Metrics;
  const base::Timeline &m_Events;
  const std::function<Readiness()> m_Ready;
};

/// \returns the events as the JSON body of /timeline.
std::string timelineToJson(const std::vector<base::TimelineEvent> &Events);

/// Parses the body of /timeline.
/// \returns the events, or BadMessage. The numbers of unknown events are kept.
base::Result<std::vector<base::TimelineEvent>>
timelineFromJson(const std::string &Body);

} // namespace corneldeck::status

#endif
