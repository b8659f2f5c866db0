#include "Gateway/ZoneEvacuations.h"

#include <algorithm>

namespace corneldeck::gateway {

namespace {

/// Maximum number of lines for one change of the records, and the longest part
/// of their text. Operators evacuate a few zones at a time.
constexpr std::size_t MaxEvents = 16;
constexpr std::size_t MaxLoggedText = 160;

} // namespace

ZoneEvacuations::ZoneEvacuations(direct::ServerPool &Pool,
                                 base::Timeline &Events,
                                 metrics::Registry &Metrics)
    : m_Pool(Pool), m_Events(Events),
      m_Zones(Metrics.gauge("corneldeck_evacuated_zones",
                            "Availability zones to whose backend servers "
                            "nothing is sent, by order of operators.")) {}

void ZoneEvacuations::apply(const direct::EvacuationRecords &Ordered,
                            const SharedFeed &Feed) {
  const std::string Offset =
      std::to_string(Feed.state().contentPosition().m_Offset);
  const auto Changes = m_Pool.evacuate(Ordered.m_Zones, m_Clock.now());
  m_Zones.set(static_cast<double>(m_Pool.evacuatedZones().size()));
  for (std::size_t Index = 0; Index < std::min(Changes.size(), MaxEvents);
       ++Index) {
    const direct::EvacuatedZones::Change &Each = Changes[Index];
    m_Events.record(
        Each.m_IsInForce ? base::EventId::ZoneEvacuated
                         : base::EventId::ZoneEvacuationEnded,
        {{"zone", Each.m_Zone.substr(0, MaxLoggedText)},
         {"servers", std::to_string(m_Pool.serversInZone(Each.m_Zone))},
         {"offset", Offset},
         {"log_age_ms", std::to_string(Feed.staleness().count())},
         {"duration_ms", std::to_string(Each.m_Duration.count())},
         {"zones", std::to_string(m_Pool.evacuatedZones().size())}});
  }
  recordErrors(Ordered.m_Errors, Offset);
}

void ZoneEvacuations::recordErrors(const std::vector<std::string> &Errors,
                                   const std::string &Offset) {
  if (Errors == m_Errors)
    return;
  m_Errors = Errors;
  for (std::size_t Index = 0; Index < std::min(Errors.size(), MaxEvents);
       ++Index)
    m_Events.record(base::EventId::RecordUnreadable,
                    {{"feed", "configuration"},
                     {"offset", Offset},
                     {"why", Errors[Index].substr(0, MaxLoggedText)}});
}

} // namespace corneldeck::gateway
