#ifndef CORNELDECK_LOG_EVENTLOG_H
#define CORNELDECK_LOG_EVENTLOG_H

#include "Base/Timeline.h"

#include <string>

namespace corneldeck::log {

/// Selects the events that are logged.
struct LogOptions {
  /// Whether to log the events of individual requests. The time line contains
  /// them in any case. At thousands of requests per second, logging them would
  /// cost more than the requests themselves.
  bool m_IncludeRequests = false;
};

/// Starts logging of this process to standard error.
///
/// \param Program the name of the program.
void startLog(const std::string &Program);

/// Logs all future events of \p Events.
void attachLog(base::Timeline &Events, LogOptions Options = {});

/// \returns the event as one line of key=value fields, the first of which are
/// its number and name.
std::string formatEvent(const base::TimelineEvent &Event);

} // namespace corneldeck::log

#endif
