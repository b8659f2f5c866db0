#include "Direct/RouteTable.h"

#include <algorithm>
#include <cctype>

namespace corneldeck::direct {

namespace {

std::string indexKey(std::string_view Host, std::string_view Prefix) {
  std::string Key;
  Key.reserve(Host.size() + Prefix.size() + 1);
  for (const unsigned char Character : Host)
    Key += static_cast<char>(std::tolower(Character));
  Key += ' ';
  Key += Prefix;
  return Key;
}

} // namespace

RouteTable::RouteTable(Configuration Published)
    : m_Configuration(std::move(Published)) {
  for (const Route &Each : m_Configuration.m_Routes)
    m_ByPrefix.emplace(indexKey(Each.m_Host, Each.m_PathPrefix), &Each);
  for (const Customer &Each : m_Configuration.m_Customers)
    for (const std::string &Key : Each.m_Keys)
      m_ByKey.emplace(Key, &Each);
}

const Route *RouteTable::findRoute(std::string_view Host,
                                   std::string_view Path) const {
  std::string Key = indexKey(Host, Path);
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

const Customer *RouteTable::findCustomer(std::string_view Key) const {
  const auto Found = m_ByKey.find(std::string(Key));
  return Found == m_ByKey.end() ? nullptr : Found->second;
}

std::string_view RouteTable::pickService(const Route &From, base::Random &Rng) {
  std::uint64_t Sum = 0;
  for (const ServiceShare &Each : From.m_Services)
    Sum += Each.m_Weight;
  if (Sum == 0)
    return From.m_Services.empty() ? std::string_view()
                                   : From.m_Services.front().m_Service;
  std::uint64_t Drawn = Rng.below(Sum);
  for (const ServiceShare &Each : From.m_Services) {
    if (Drawn < Each.m_Weight)
      return Each.m_Service;
    Drawn -= Each.m_Weight;
  }
  return From.m_Services.back().m_Service;
}

} // namespace corneldeck::direct
