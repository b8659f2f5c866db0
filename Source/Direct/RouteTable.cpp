#include "Direct/RouteTable.h"

#include <algorithm>

namespace corneldeck::direct {

RouteTable::RouteTable(Configuration Published)
    : m_Configuration(std::move(Published)) {
  m_ByPrefix.reserve(m_Configuration.m_Routes.size());
  for (const std::shared_ptr<const Route> &Each : m_Configuration.m_Routes) {
    m_ByPrefix.emplace(Each->m_LookupKey, Each.get());
    if (!Each->m_Stream || Each->m_Services.empty())
      continue;
    base::Millis &Interval =
        m_TargetEventIntervals[Each->m_Services.front().m_Service];
    Interval = std::max(Interval, Each->m_TargetEventInterval);
  }
  for (const Customer &Each : m_Configuration.m_Customers)
    for (const std::string &Key : Each.m_Keys)
      m_ByKey.emplace(Key, &Each);
}

const Route *RouteTable::findRoute(std::string_view Host,
                                   std::string_view Path) const {
  std::string Key = routeLookupKey(Host, Path);
  const std::size_t PathStart = Host.size() + 1;
  // Path prefixes end with a slash, so only substrings up to a slash can match.
  while (true) {
    const std::size_t Slash = Key.rfind('/');
    if (Slash == std::string::npos || Slash < PathStart)
      return nullptr;
    Key.resize(Slash + 1);
    if (const auto Found = m_ByPrefix.find(Key); Found != m_ByPrefix.end())
      return Found->second;
    Key.resize(Slash);
  }
}

base::Millis RouteTable::targetEventInterval(const std::string &Service) const {
  const auto Found = m_TargetEventIntervals.find(Service);
  return Found == m_TargetEventIntervals.end() ? base::Millis(0)
                                               : Found->second;
}

const Customer *RouteTable::findCustomer(std::string_view Key) const {
  const auto Found = m_ByKey.find(std::string(Key));
  return Found == m_ByKey.end() ? nullptr : Found->second;
}

bool RouteTable::permitsKey(const Route &To, std::string_view Key) const {
  if (To.m_Public)
    return true;
  if (Key.empty())
    return !m_Configuration.m_RequiresKey;
  return findCustomer(Key) != nullptr;
}

std::string_view RouteTable::pickService(const Route &From, base::Random &Rng) {
  double Sum = 0;
  for (const ServiceShare &Each : From.m_Services)
    Sum += Each.m_Weight;
  double Drawn = Rng.uniform() * Sum;
  std::string_view Last;
  for (const ServiceShare &Each : From.m_Services) {
    if (Each.m_Weight <= 0)
      continue;
    Last = Each.m_Service;
    if (Drawn < Each.m_Weight)
      break;
    Drawn -= Each.m_Weight;
  }
  return Last;
}

} // namespace corneldeck::direct
