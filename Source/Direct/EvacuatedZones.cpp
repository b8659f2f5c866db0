#include "Direct/EvacuatedZones.h"

namespace corneldeck::direct {

std::vector<EvacuatedZones::Change>
EvacuatedZones::replace(const std::set<std::string> &Zones, base::Millis Now) {
  std::vector<Change> Changes;
  std::erase_if(m_Since, [&](const auto &Each) {
    if (Zones.contains(Each.first))
      return false;
    Changes.push_back({Each.first, false, Now - Each.second});
    return true;
  });
  for (const std::string &Zone : Zones)
    if (m_Since.try_emplace(Zone, Now).second)
      Changes.push_back({Zone, true, {}});
  return Changes;
}

} // namespace corneldeck::direct
