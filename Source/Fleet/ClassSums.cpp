#include "Fleet/ClassSums.h"

#include <algorithm>
#include <cmath>

namespace corneldeck::fleet {

void addClassCount(wire::ClassCount &Sum, const wire::ClassCount &Added) {
  const double Before = Sum.hold_ms() == 0 ? 0 : Sum.arrivals();
  const double Weight =
      Added.hold_ms() == 0 ? 0 : std::max(Added.arrivals(), 1U);
  if (Before + Weight > 0)
    Sum.set_hold_ms(static_cast<std::uint32_t>(
        std::lround((Sum.hold_ms() * Before + Added.hold_ms() * Weight) /
                    (Before + Weight))));
  Sum.set_in_flight(Sum.in_flight() + Added.in_flight());
  Sum.set_arrivals(Sum.arrivals() + Added.arrivals());
  Sum.set_waiting(Sum.waiting() + Added.waiting());
  Sum.set_refused(Sum.refused() + Added.refused());
}

void ClassSums::addEntry(const wire::FleetBeat &Beat) {
  if (!Beat.reports_classes())
    return;
  ++m_Entries;
  for (const wire::ClassNews &Service : Beat.classes())
    for (const wire::ClassCount &Each : Service.classes())
      addClassCount(m_Services[Service.service()][Each.priority()], Each);
}

void ClassSums::addSummary(const wire::FleetSummary &Summary) {
  m_Entries += Summary.class_entries();
  for (const wire::ClassSum &Service : Summary.classes())
    for (const wire::ClassCount &Each : Service.classes())
      addClassCount(m_Services[Service.service()][Each.priority()], Each);
}

void ClassSums::write(wire::FleetSummary &Target) const {
  Target.set_class_entries(m_Entries);
  for (const auto &[Service, Classes] : m_Services) {
    wire::ClassSum &Added = *Target.add_classes();
    Added.set_service(Service);
    for (const auto &[Priority, Each] : Classes) {
      const bool IsFull =
          Added.classes_size() == static_cast<int>(MaxClassesPerService);
      wire::ClassCount &Sum =
          IsFull ? *Added.mutable_classes(Added.classes_size() - 1)
                 : *Added.add_classes();
      if (!IsFull)
        Sum.set_priority(Priority);
      addClassCount(Sum, Each);
    }
  }
}

} // namespace corneldeck::fleet
