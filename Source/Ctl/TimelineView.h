#ifndef CORNELDECK_CTL_TIMELINEVIEW_H
#define CORNELDECK_CTL_TIMELINEVIEW_H

#include "Base/Timeline.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::ctl {

/// Which events to show; unset members let all through.
struct TimelineFilter {
  std::optional<std::string> m_Request;
  std::optional<std::string> m_Group;
  std::optional<std::string> m_Offset;
  std::optional<std::string> m_Node;

  [[nodiscard]] bool lets(const base::TimelineEvent &Event) const;
};

/// \returns the wall time of a stamp in milliseconds since 1970.
base::Millis wallTimeOf(std::uint64_t Stamp);

/// Writes one line an event: time, node, number, name and fields.
void writeTimelineText(const std::vector<base::TimelineEvent> &Events,
                       std::ostream &Out);

/// Writes one HTML page that needs nothing else, with a lane for each process
/// and a table that can be filtered.
void writeTimelineHtml(const std::vector<base::TimelineEvent> &Events,
                       std::ostream &Out);

} // namespace corneldeck::ctl

#endif
