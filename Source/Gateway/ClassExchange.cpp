#include "Gateway/ClassExchange.h"

#include <algorithm>
#include <map>
#include <utility>

namespace corneldeck::gateway {

namespace {

/// Reads the counts of one service. Those beyond the maximum number of classes
/// are ignored.
template <typename Message>
direct::ServiceClasses decode(const Message &Service) {
  direct::ServiceClasses Classes;
  for (const wire::ClassCount &Each : Service.classes()) {
    if (Classes.size() == direct::ClassShares::MaxClasses)
      break;
    Classes[Each.priority()] = {Each.in_flight(), Each.arrivals(),
                                Each.refused(), Each.waiting(),
                                base::Millis(Each.hold_ms())};
  }
  return Classes;
}

void subtract(unsigned &From, unsigned Count) { From -= std::min(From, Count); }

/// Removes the counts of one entry from a sum.
void subtract(direct::ServiceClasses &From, const wire::ClassNews &Own) {
  for (const wire::ClassCount &Each : Own.classes()) {
    const auto Found = From.find(Each.priority());
    if (Found == From.end())
      continue;
    subtract(Found->second.m_InFlight, Each.in_flight());
    subtract(Found->second.m_Arrivals, Each.arrivals());
    subtract(Found->second.m_Refused, Each.refused());
    subtract(Found->second.m_Waiting, Each.waiting());
  }
}

} // namespace

void ClassExchange::fillHeartbeat(wire::FleetBeat &Beat,
                                  base::Millis Now) const {
  Beat.set_reports_classes(true);
  for (const auto &[Service, Classes] : m_Shares.localReport(Now)) {
    wire::ClassNews &News = *Beat.add_classes();
    News.set_service(Service);
    for (const auto &[Class, Counted] : Classes) {
      wire::ClassCount &Added = *News.add_classes();
      Added.set_priority(Class);
      Added.set_in_flight(Counted.m_InFlight);
      Added.set_arrivals(Counted.m_Arrivals);
      Added.set_waiting(Counted.m_Waiting);
      Added.set_refused(Counted.m_Refused);
      Added.set_hold_ms(static_cast<std::uint32_t>(Counted.m_HoldTime.count()));
    }
  }
}

void ClassExchange::handleHeartbeat(const wire::FleetBeat &Beat,
                                    base::Millis Now) {
  if (!Beat.reports_classes())
    return;
  direct::ClassReport Report;
  for (const wire::ClassNews &Each : Beat.classes())
    Report[Each.service()] = decode(Each);
  m_Shares.setPeerReport(Beat.sender().node(), std::move(Report), Now);
}

void ClassExchange::handleSummary(const wire::FleetSummary &Summary,
                                  const wire::FleetBeat *Own,
                                  const std::string &Peer, base::Millis Now) {
  direct::ClassReport Report;
  for (const wire::ClassSum &Each : Summary.classes())
    Report[Each.service()] = decode(Each);
  std::uint32_t Entries = Summary.class_entries();
  if (Own && Own->reports_classes()) {
    Entries -= std::min(Entries, 1U);
    for (const wire::ClassNews &Each : Own->classes())
      subtract(Report[Each.service()], Each);
  }
  m_Shares.setPeerReport(Peer, std::move(Report),
                         Now - base::Millis(Summary.age_ms()), Entries);
}

} // namespace corneldeck::gateway
