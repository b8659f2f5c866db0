#include "Direct/ServerRateLimits.h"

#include <algorithm>
#include <utility>

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
  case Change::Expired:
    return "expired";
  case Change::Forgotten:
    return "forgotten";
  case Change::Invalid:
    return "invalid";
  }
  return "unknown";
}

void ServerRateLimits::replaceServers(std::map<std::string, Instance> Instances,
                                      base::Millis Now) {
  const auto IsUnchanged = [&](const std::string &Server) {
    const auto Old = m_Instances.find(Server);
    const auto New = Instances.find(Server);
    return Old != m_Instances.end() && New != Instances.end() &&
           Old->second == New->second;
  };
  std::vector<Change> Changes;
  std::erase_if(m_Known, [&](const auto &Each) {
    const auto &[Server, Limit] = Each;
    if (IsUnchanged(Server))
      return false;
    if (Limit.m_PerSecond)
      Changes.push_back({Change::Type::Forgotten,
                         Server,
                         *Limit.m_PerSecond,
                         {},
                         Now - Limit.m_StatedAt});
    return true;
  });
  std::erase_if(m_InvalidTexts,
                [&](const auto &Each) { return !IsUnchanged(Each.first); });
  m_Instances = std::move(Instances);
  for (const Change &Each : Changes)
    report(Each);
}

void ServerRateLimits::recordResponse(const std::string &Server,
                                      const RateLimitField &Field,
                                      bool IsConclusive, base::Millis SentAt,
                                      base::Millis Now) {
  if (!m_Instances.contains(Server))
    return;
  switch (Field.m_Kind) {
  case RateLimitField::Kind::Invalid: {
    const auto [Last, IsFirst] =
        m_InvalidTexts.try_emplace(Server, Field.m_Text);
    if (IsFirst || Last->second != Field.m_Text)
      report({Change::Type::Invalid,
              Server,
              limit(Server).value_or(0),
              {},
              {},
              Field.m_Text});
    Last->second = Field.m_Text;
    return;
  }
  case RateLimitField::Kind::Absent:
    if (IsConclusive && limit(Server))
      apply(Server, std::nullopt, SentAt, {}, Now);
    return;
  case RateLimitField::Kind::Named:
    apply(Server, Field.m_PerSecond, Now, {}, Now);
    return;
  }
}

void ServerRateLimits::applyStatement(const RateLimitStatement &Statement,
                                      const std::string &From,
                                      base::Millis Now) {
  const auto Found = m_Instances.find(Statement.m_Server);
  if (Found == m_Instances.end() ||
      Found->second.m_StartTime != Statement.m_StartTime ||
      Statement.m_Age > m_Settings.m_ConfirmationTimeout)
    return;
  apply(Statement.m_Server, Statement.m_PerSecond, Now - Statement.m_Age, From,
        Now);
}

void ServerRateLimits::apply(const std::string &Server,
                             std::optional<double> PerSecond,
                             base::Millis StatedAt, const std::string &From,
                             base::Millis Now) {
  const auto Found = m_Known.find(Server);
  if (Found == m_Known.end() && !PerSecond)
    return;
  if (Found != m_Known.end() && StatedAt < Found->second.m_StatedAt)
    return;
  // A response to a request that was sent in the millisecond in which the limit
  // was named may be older.
  if (!PerSecond && StatedAt == Found->second.m_StatedAt)
    return;
  Known &Updated = m_Known[Server];
  const std::optional<double> Before = Updated.m_PerSecond;
  Updated = {PerSecond, StatedAt, From.empty()};
  if (Before == PerSecond)
    return;
  Change::Type Type = Change::Type::Learned;
  if (Before)
    Type = PerSecond ? Change::Type::Changed : Change::Type::Ended;
  report({Type, Server, PerSecond.value_or(Before.value_or(0)), From,
          Now - StatedAt});
}

std::vector<RateLimitStatement> ServerRateLimits::statements(
    base::Millis Now,
    const std::function<bool(const std::string &)> &IsGranter) const {
  std::vector<RateLimitStatement> Statements;
  for (const auto &[Server, Limit] : m_Known) {
    const base::Millis Age = Now - Limit.m_StatedAt;
    const bool IsRecent = Limit.m_FirstHand && Age <= m_Settings.m_FirstHandAge;
    const bool IsRepeated =
        Limit.m_PerSecond || Age <= m_Settings.m_EndRetention;
    if (IsRecent || (IsRepeated && IsGranter(Server)))
      Statements.push_back(
          {Server, m_Instances.at(Server).m_StartTime, Limit.m_PerSecond, Age});
  }
  if (Statements.size() > m_Settings.m_MaxStatements) {
    std::sort(Statements.begin(), Statements.end(),
              [](const RateLimitStatement &A, const RateLimitStatement &B) {
                return A.m_Age < B.m_Age;
              });
    Statements.resize(m_Settings.m_MaxStatements);
  }
  return Statements;
}

std::optional<RateLimitStatement>
ServerRateLimits::statement(const std::string &Server, base::Millis Now) const {
  const auto Found = m_Known.find(Server);
  if (Found == m_Known.end() || !Found->second.m_PerSecond)
    return std::nullopt;
  return RateLimitStatement{Server, m_Instances.at(Server).m_StartTime,
                            Found->second.m_PerSecond,
                            Now - Found->second.m_StatedAt};
}

void ServerRateLimits::dropExpired(base::Millis Now) {
  std::vector<Change> Changes;
  std::erase_if(m_Known, [&](const auto &Each) {
    const auto &[Server, Limit] = Each;
    const base::Millis Age = Now - Limit.m_StatedAt;
    if (Age <= m_Settings.m_ConfirmationTimeout)
      return false;
    if (Limit.m_PerSecond)
      Changes.push_back(
          {Change::Type::Expired, Server, *Limit.m_PerSecond, {}, Age});
    return true;
  });
  for (const Change &Each : Changes)
    report(Each);
}

std::optional<double> ServerRateLimits::limit(const std::string &Server) const {
  const auto Found = m_Known.find(Server);
  return Found == m_Known.end() ? std::nullopt : Found->second.m_PerSecond;
}

std::vector<std::string> ServerRateLimits::limitedServers() const {
  std::vector<std::string> Servers;
  for (const auto &[Server, Limit] : m_Known)
    if (Limit.m_PerSecond)
      Servers.push_back(Server);
  return Servers;
}

void ServerRateLimits::report(const Change &Reported) const {
  if (m_OnChange)
    m_OnChange(Reported);
}

} // namespace corneldeck::direct
