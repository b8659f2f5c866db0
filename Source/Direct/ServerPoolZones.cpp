#include "Direct/ServerPool.h"

#include <algorithm>

namespace corneldeck::direct {

std::vector<EvacuatedZones::Change>
ServerPool::evacuate(const std::set<std::string> &Zones, base::Millis Now) {
  auto Changes = m_EvacuatedZones.replace(Zones, Now);
  for (const EvacuatedZones::Change &Each : Changes)
    if (!Each.m_IsInForce)
      m_WarmUp.zoneReturned(Each.m_Zone, Now);
  return Changes;
}

bool ServerPool::isEvacuated(const std::string &Id) const {
  const auto Found = m_States.find(Id);
  return Found != m_States.end() &&
         m_EvacuatedZones.contains(Found->second.m_Server.m_Zone);
}

std::size_t ServerPool::serversInZone(const std::string &Zone) const {
  return static_cast<std::size_t>(std::count_if(
      m_States.begin(), m_States.end(), [&Zone](const auto &Each) {
        return Each.second.m_Server.m_Zone == Zone;
      }));
}

} // namespace corneldeck::direct
