#include "Direct/ServerRateLimits.h"

namespace corneldeck::direct {

std::string_view name(ServerRateLimits::Change::Type Type) {
  using Change = ServerRateLimits::Change::Type;
  switch (Type) {
  case Change::Learned:
    return "learned";
  case Change::Changed:
    return "changed";
  case Change::Ended:
    return "ended";
  case Change::Invalid:
    return "invalid";
  }
  return "unknown";
}

void ServerRateLimits::replaceServers(std::map<std::string, Instance> Instances,
                                      base::Millis) {
  const auto IsUnchanged = [&](const std::string &Server) {
    const auto Old = m_Instances.find(Server);
    const auto New = Instances.find(Server);
    return Old != m_Instances.end() && New != Instances.end() &&
           Old->second == New->second;
  };
  for (auto Each = m_Limits.begin(); Each != m_Limits.end();) {
    if (IsUnchanged(Each->first)) {
      ++Each;
      continue;
    }
    report({Change::Type::Ended, Each->first, Each->second.m_PerSecond});
    Each = m_Limits.erase(Each);
  }
  std::erase_if(m_InvalidTexts,
                [&](const auto &Each) { return !IsUnchanged(Each.first); });
  m_Instances = std::move(Instances);
}

void ServerRateLimits::recordResponse(const std::string &Server,
                                      const RateLimitField &Field,
                                      bool IsConclusive, base::Millis SentAt,
                                      base::Millis Now) {
  if (!m_Instances.contains(Server))
    return;
  const auto Known = m_Limits.find(Server);
  switch (Field.m_Kind) {
  case RateLimitField::Kind::Invalid: {
    const auto [Last, IsFirst] =
        m_InvalidTexts.try_emplace(Server, Field.m_Text);
    if (IsFirst || Last->second != Field.m_Text)
      report({Change::Type::Invalid, Server, 0, Field.m_Text});
    Last->second = Field.m_Text;
    return;
  }
  case RateLimitField::Kind::Absent:
    if (Known == m_Limits.end() || !IsConclusive ||
        SentAt <= Known->second.m_NamedAt)
      return;
    report({Change::Type::Ended, Server, Known->second.m_PerSecond});
    m_Limits.erase(Known);
    return;
  case RateLimitField::Kind::Named:
    break;
  }
  if (Known == m_Limits.end() || Known->second.m_PerSecond != Field.m_PerSecond)
    report({Known == m_Limits.end() ? Change::Type::Learned
                                    : Change::Type::Changed,
            Server, Field.m_PerSecond});
  m_Limits[Server] = {Field.m_PerSecond, Now};
}

void ServerRateLimits::report(const Change &Reported) const {
  if (m_OnChange)
    m_OnChange(Reported);
}

} // namespace corneldeck::direct
