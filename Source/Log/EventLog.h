#ifndef CORNELDECK_LOG_EVENTLOG_H
#define CORNELDECK_LOG_EVENTLOG_H

#include "Base/Timeline.h"

#include <string>

namespace corneldeck::log {

/// What goes to the log.
struct LogOptions {
  /// Writes the events of single requests too, which the time line keeps in
  /// any case. At thousands of requests a second they would cost more than the
  /// requests.
  bool m_IncludeRequests = false;
};

/// Starts the log of this process on standard error.
///
/// \param Program the name of the program.
void startLog(const std::string &Program);

/// Writes each event of \p Events to the log from now on.
void attachLog(base::Timeline &Events, LogOptions Options = {});

/// \returns the event as one line of key=value fields, starting with its
/// number and name.
std::string formatEvent(const base::TimelineEvent &Event);

} // namespace corneldeck::log

#endif
