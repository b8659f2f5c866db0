// The part of ServerPool that concerns rank groups.
#include "Direct/ServerPool.h"

#include <algorithm>

namespace corneldeck::direct {

namespace {

/// Rates a group by its requests in flight relative to its capacity.
LoadOption rateByCapacity(const GroupLoad &Load) {
  const double PerRequest = 1.0 / std::max(1U, Load.m_Capacity);
  return {(Load.m_Requests + 1) * PerRequest, PerRequest};
}

} // namespace

const std::string &ServerPool::groupOf(const ServerState &Member) const {
  return m_Groups.groupOf(Member.m_Server.m_Service, Member.m_AddressHash);
}

const std::string *ServerPool::groupOf(const std::string &Id) const {
  const auto Found = m_States.find(Id);
  return Found == m_States.end() ? nullptr : &groupOf(Found->second);
}

std::set<std::string> ServerPool::groupsOf(std::string_view Service) const {
  std::set<std::string> Groups;
  if (!m_Groups.isDivided(Service))
    return {std::string()};
  for (const ServerState *Each : serversOf(Service))
    Groups.insert(groupOf(*Each));
  return Groups;
}

double ServerPool::keepBestGroup(std::string_view Service,
                                 std::vector<Candidate> &Candidates,
                                 double Unreported, base::Random &Rng) const {
  struct Group {
    GroupLoad m_Load;
    double m_Penalty = 0;
  };
  std::map<std::string, Group> Groups;
  for (const Candidate &Each : Candidates) {
    const auto [Found, IsNew] = Groups.try_emplace(groupOf(*Each.m_Server));
    Group &Known = Found->second;
    Known.m_Penalty =
        IsNew ? Each.m_Penalty : std::min(Known.m_Penalty, Each.m_Penalty);
    ++Known.m_Load.m_Servers;
    Known.m_Load.m_Capacity += Each.m_Server->m_Server.m_Capacity;
  }
  for (const ServerState *Each : serversOf(Service))
    if (const auto Found = Groups.find(groupOf(*Each)); Found != Groups.end()) {
      const ServerLoad Load = load(Each->m_Server.m_Id);
      Found->second.m_Load.m_Requests +=
          Load.m_Requests + Load.m_PromptTokens / m_Settings.m_TokensPerRequest;
    }
  std::vector<const std::string *> Names;
  std::vector<LoadOption> Options;
  for (const auto &[Name, Each] : Groups) {
    auto Rated = m_RateGroup
                     ? m_RateGroup({std::string(Service), Name}, Each.m_Load)
                     : std::optional(rateByCapacity(Each.m_Load));
    if (!Rated)
      continue;
    Rated->m_Score += Each.m_Penalty;
    Names.push_back(&Name);
    Options.push_back(*Rated);
  }
  if (Options.empty())
    return Unreported;
  const LevelDraw Drawn = drawByLevel(Options, Unreported, Rng);
  std::erase_if(Candidates, [&](const Candidate &Each) {
    return groupOf(*Each.m_Server) != *Names[Drawn.m_Index];
  });
  return std::max(m_Settings.m_MinUnreported, Drawn.m_Requests);
}

} // namespace corneldeck::direct
