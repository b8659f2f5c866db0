#ifndef CORNELDECK_FLEET_CLASSSUMS_H
#define CORNELDECK_FLEET_CLASSSUMS_H

#include "Wire/Gossip.pb.h"

#include <cstdint>
#include <map>
#include <string>

namespace corneldeck::fleet {

/// Maximum number of classes of one service in a message. Less urgent ones are
/// added to the last of them.
inline constexpr std::size_t MaxClassesPerService = 8;

/// Adds \p Added to \p Sum. The time that a place is held is averaged over the
/// arrivals.
void addClassCount(wire::ClassCount &Sum, const wire::ClassCount &Added);

/// Sums up the requests of each service and class over several entries.
class ClassSums {
public:
  /// Adds the heartbeat of an entry. Those of earlier releases have no classes
  /// and are not counted.
  void addEntry(const wire::FleetBeat &Beat);
  /// Adds the summary of another relay.
  void addSummary(const wire::FleetSummary &Summary);
  void write(wire::FleetSummary &Target) const;

private:
  std::uint32_t m_Entries = 0;
  std::map<std::string, std::map<int, wire::ClassCount>> m_Services;
};

} // namespace corneldeck::fleet

#endif
