#include "Direct/RankGroups.h"

#include "Base/RendezvousHash.h"

namespace corneldeck::direct {

std::uint32_t RankGroups::addressHash(std::string_view Address) {
  return static_cast<std::uint32_t>(base::hash64(Address));
}

void RankGroups::update(std::string_view Service, const std::string &Group,
                        const std::vector<std::uint32_t> &Servers,
                        base::Millis Now) {
  discardExpired(Now);
  if (Group.empty() || Servers.empty())
    return;
  ServiceGroups &Groups = m_Services[std::string(Service)];
  for (const std::uint32_t Each : Servers) {
    const auto [Found, IsNew] = Groups.m_Members.try_emplace(Each);
    Member &Reported = Found->second;
    Reported.m_ReportedAt = Now;
    if (!IsNew && Reported.m_Group == Group)
      continue;
    if (!IsNew)
      removeFromGroup(Groups, Reported.m_Group);
    Reported.m_Group = Group;
    ++Groups.m_Sizes[Group];
  }
}

void RankGroups::discardExpired(base::Millis Now) {
  for (auto &[Service, Groups] : m_Services)
    std::erase_if(Groups.m_Members, [&, &State = Groups](const auto &Each) {
      if (Now - Each.second.m_ReportedAt <= m_Settings.m_ReportLifetime)
        return false;
      removeFromGroup(State, Each.second.m_Group);
      return true;
    });
  std::erase_if(m_Services,
                [](const auto &Each) { return Each.second.m_Members.empty(); });
}

void RankGroups::removeFromGroup(ServiceGroups &Groups,
                                 const std::string &Group) {
  const auto Found = Groups.m_Sizes.find(Group);
  if (Found != Groups.m_Sizes.end() && --Found->second == 0)
    Groups.m_Sizes.erase(Found);
}

bool RankGroups::isDivided(std::string_view Service) const {
  const auto Found = m_Services.find(Service);
  return Found != m_Services.end() && Found->second.m_Sizes.size() > 1;
}

const std::string &RankGroups::groupOf(std::string_view Service,
                                       std::uint32_t Server) const {
  static const std::string Unknown;
  const auto Found = m_Services.find(Service);
  if (Found == m_Services.end() || Found->second.m_Sizes.size() < 2)
    return Unknown;
  const auto Known = Found->second.m_Members.find(Server);
  return Known == Found->second.m_Members.end() ? Unknown
                                                : Known->second.m_Group;
}

std::map<std::string, RankGroups::GroupSizes, std::less<>>
RankGroups::sizes() const {
  std::map<std::string, GroupSizes, std::less<>> Sizes;
  for (const auto &[Service, Groups] : m_Services)
    Sizes[Service] = Groups.m_Sizes;
  return Sizes;
}

} // namespace corneldeck::direct
