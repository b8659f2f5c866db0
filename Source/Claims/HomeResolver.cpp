#include "Claims/HomeResolver.h"

#include <algorithm>

namespace corneldeck::claims {

HomeResolver::HomeResolver(std::string Self, base::Millis Wall,
                           ClaimSettings Settings)
    : m_Self(std::move(Self)), m_StartWall(Wall), m_Settings(Settings) {}

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
  m_Gone[Server] = Wall;
}

void HomeResolver::prune(base::Millis Now,
                         std::deque<Placement> &History) const {
  const base::Millis Keep =
      m_Settings.m_RetentionWindow + m_Settings.m_MaxDisconnectedTime;
  while (History.size() > 1 && *History.front().m_ReplacedAt + Keep < Now)
    History.pop_front();
}

bool HomeResolver::mayPredate(base::Millis Wall, base::Millis Created,
                              base::Millis Since) const {
  if (Created.count() == 0)
    return Wall - Since < m_Settings.m_RetentionWindow;
  return Created <= Since + m_Settings.m_MaxClockSkew;
}

bool HomeResolver::goneBefore(base::Millis Wall, const std::string &Server,
                              base::Millis Created) const {
  const auto Found = m_Gone.find(Server);
  return Found != m_Gone.end() && !mayPredate(Wall, Created, Found->second);
}

std::vector<std::string>
HomeResolver::formerHomes(base::Millis Now, const ClaimKey &Key,
                          const std::deque<Placement> &History) const {
  const base::Millis Keep =
      m_Settings.m_RetentionWindow + m_Settings.m_MaxDisconnectedTime;
  std::vector<std::string> Former;
  for (const Placement &Past : History) {
    if (!Past.m_ReplacedAt || *Past.m_ReplacedAt + Keep < Now)
      continue;
    const std::string Home = homeOf(Key, Past.m_Servers);
    const bool Listed =
        std::find(Former.begin(), Former.end(), Home) != Former.end();
    if (!Home.empty() && Home != m_Self && !Listed)
      Former.push_back(Home);
  }
  return Former;
}

HomeDecision HomeResolver::check(base::Millis Now, base::Millis Wall,
                                 const HomeQuery &Question) const {
  HomeDecision Decision;
  const auto Found = m_Placements.find(Question.m_Service);
  Decision.m_Offset = offset(Question.m_Service);
  if (Question.m_SenderCatalogueOffset > Decision.m_Offset ||
      Found == m_Placements.end()) {
    Decision.m_Verdict = HomeVerdict::CatalogueBehind;
    return Decision;
  }
  const std::deque<Placement> &History = Found->second;
  if (homeOf(Question.m_Key, History.back().m_Servers) != m_Self)
    return Decision;
  const base::Millis Created = Question.m_Created;
  if (Created.count() != 0 && Created + m_Settings.m_RetentionWindow < Wall) {
    Decision.m_Verdict = HomeVerdict::TooOld;
    return Decision;
  }
  if (mayPredate(Wall, Created, m_StartWall)) {
    Decision.m_Verdict = HomeVerdict::MayHaveRun;
    Decision.m_RetryAfter = std::max(
        m_StartWall + m_Settings.m_RetentionWindow - Wall, base::seconds(1));
    return Decision;
  }
  for (const std::string &Server : formerHomes(Now, Question.m_Key, History))
    if (!goneBefore(Wall, Server, Created))
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
