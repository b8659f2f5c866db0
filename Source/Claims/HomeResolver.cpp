#include "Claims/HomeResolver.h"

#include <algorithm>

namespace corneldeck::claims {

HomeResolver::HomeResolver(std::string Server, base::Millis Wall,
                           ClaimSettings Settings)
    : m_Server(std::move(Server)), m_StartWallTime(Wall), m_Settings(Settings) {
}

void HomeResolver::onPlacement(base::Millis Now, const std::string &Service,
                               std::uint64_t Offset,
                               std::vector<std::string> Servers) {
  std::deque<Placement> &History = m_Placements[Service];
  if (!History.empty()) {
    if (Offset <= History.back().m_Offset)
      return;
    History.back().m_ReplacedAt = Now;
  }
  History.push_back({Offset, std::move(Servers), std::nullopt});
  prune(Now, History);
}

void HomeResolver::onServerRemoved(const std::string &Server,
                                   base::Millis Wall) {
  m_RemovedServers[Server] = Wall;
}

void HomeResolver::prune(base::Millis Now,
                         std::deque<Placement> &History) const {
  const base::Millis Retention =
      m_Settings.m_RetentionWindow + m_Settings.m_MaxDisconnectedTime;
  while (History.size() > 1 && *History.front().m_ReplacedAt + Retention < Now)
    History.pop_front();
}

bool HomeResolver::mayPredate(base::Millis Wall, base::Millis Created,
                              base::Millis Since) const {
  if (Created.count() == 0)
    return Wall - Since < m_Settings.m_RetentionWindow;
  return Created <= Since + m_Settings.m_MaxClockSkew;
}

bool HomeResolver::wasRemovedBefore(base::Millis Wall,
                                    const std::string &Server,
                                    base::Millis Created) const {
  const auto Found = m_RemovedServers.find(Server);
  return Found != m_RemovedServers.end() &&
         !mayPredate(Wall, Created, Found->second);
}

std::vector<std::string>
HomeResolver::formerHomes(base::Millis Now, const ClaimKey &Key,
                          const std::deque<Placement> &History) const {
  const base::Millis Retention =
      m_Settings.m_RetentionWindow + m_Settings.m_MaxDisconnectedTime;
  std::vector<std::string> Former;
  for (const Placement &Old : History) {
    if (!Old.m_ReplacedAt || *Old.m_ReplacedAt + Retention < Now)
      continue;
    const std::string Home = homeOf(Key, Old.m_Servers);
    const bool Listed =
        std::find(Former.begin(), Former.end(), Home) != Former.end();
    if (!Home.empty() && Home != m_Server && !Listed)
      Former.push_back(Home);
  }
  return Former;
}

HomeDecision HomeResolver::check(base::Millis Now, base::Millis Wall,
                                 const HomeQuery &Query) const {
  HomeDecision Decision;
  const auto Found = m_Placements.find(Query.m_Service);
  Decision.m_Offset = offset(Query.m_Service);
  if (Query.m_SenderCatalogueOffset > Decision.m_Offset ||
      Found == m_Placements.end()) {
    Decision.m_Verdict = HomeVerdict::CatalogueBehind;
    return Decision;
  }
  const std::deque<Placement> &History = Found->second;
  if (homeOf(Query.m_Key, History.back().m_Servers) != m_Server)
    return Decision;
  const base::Millis Created = Query.m_Created;
  if (Created.count() != 0 && Created + m_Settings.m_RetentionWindow < Wall) {
    Decision.m_Verdict = HomeVerdict::TooOld;
    return Decision;
  }
  if (mayPredate(Wall, Created, m_StartWallTime)) {
    Decision.m_Verdict = HomeVerdict::MayHaveRun;
    Decision.m_RetryAfter =
        std::max(m_StartWallTime + m_Settings.m_RetentionWindow - Wall,
                 base::seconds(1));
    return Decision;
  }
  for (const std::string &Server : formerHomes(Now, Query.m_Key, History))
    if (!wasRemovedBefore(Wall, Server, Created))
      Decision.m_FormerHomes.push_back(Server);
  Decision.m_Verdict = Decision.m_FormerHomes.empty()
                           ? HomeVerdict::Home
                           : HomeVerdict::FenceRequired;
  return Decision;
}

std::uint64_t HomeResolver::offset(const std::string &Service) const {
  const auto Found = m_Placements.find(Service);
  return Found == m_Placements.end() ? 0 : Found->second.back().m_Offset;
}

} // namespace corneldeck::claims
