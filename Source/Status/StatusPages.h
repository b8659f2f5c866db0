#ifndef CORNELDECK_STATUS_STATUSPAGES_H
#define CORNELDECK_STATUS_STATUSPAGES_H

#include "Base/Timeline.h"
#include "Metrics/Registry.h"
#include "Net/HttpExchange.h"

#include <functional>
#include <string>
#include <vector>

namespace corneldeck::status {

/// Whether a process may get requests, and why not.
struct Readiness {
  bool m_Ready = false;
  std::string m_Reason;
};

/// Serves the pages that every process has: /health, /ready, /metrics and
/// /timeline.
///
/// Health says that the process runs; readiness says that it may get requests,
/// so that a scraper or an operator can tell a starting or stopping process
/// from a broken one.
class StatusPages {
public:
  /// \param Metrics, Events must outlive this object.
  /// \param Ready is asked at each request for /ready.
  StatusPages(const metrics::Registry &Metrics, const base::Timeline &Events,
              std::function<Readiness()> Ready);

  /// Answers \p Exchange if its path is one of the pages.
  /// \returns whether it was.
  bool handle(net::HttpExchange &Exchange) const;

private:
  const metrics::Registry &m_Metrics;
  const base::Timeline &m_Events;
  const std::function<Readiness()> m_Ready;
};

/// \returns the events as the JSON body of /timeline.
std::string timelineToJson(const std::vector<base::TimelineEvent> &Events);

/// Reads the body of /timeline.
/// \returns the events, or BadMessage. Numbers of unknown events are kept.
base::Result<std::vector<base::TimelineEvent>>
timelineFromJson(const std::string &Body);

} // namespace corneldeck::status

#endif
