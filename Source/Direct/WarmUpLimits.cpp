#include "Direct/WarmUpLimits.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace corneldeck::direct {

namespace {

/// Part of the requests beyond the rate that stored and held tokens may make
/// up. While a partition heals, two granters may have tokens at a time, and a
/// connection that is established slowly moves a request into a later second.
constexpr double TokenPart = 0.4;

} // namespace

std::string_view name(WarmUpLimits::Cause Cause) {
  switch (Cause) {
  case WarmUpLimits::Cause::Record:
    return "record";
  case WarmUpLimits::Cause::Start:
    return "start";
  case WarmUpLimits::Cause::Return:
    return "evacuation-ended";
  }
  return "unknown";
}

void WarmUpLimits::setRules(std::map<std::string, WarmUpRule> Rules,
                            base::Millis Now) {
  m_Rules = std::move(Rules);
  update(Now);
}

void WarmUpLimits::replaceServers(const std::map<std::string, Listed> &Servers,
                                  base::Millis Now, std::uint64_t WallTime) {
  std::map<std::string, State> Next;
  for (const auto &[Id, Each] : Servers) {
    State &Added = Next[Id];
    const auto Old = m_States.find(Id);
    const bool IsSameStart =
        Old != m_States.end() &&
        Old->second.m_Listed.m_Address == Each.m_Address &&
        Old->second.m_Listed.m_StartTime == Each.m_StartTime;
    if (IsSameStart && Old->second.m_Listed == Each) {
      Added = Old->second;
      continue;
    }
    if (Old != m_States.end())
      Added.m_IsCold = Old->second.m_IsCold;
    // A start that is unknown or in the future counts as one just now.
    const bool IsPast = Each.m_StartTime > 0 && Each.m_StartTime < WallTime;
    Added.m_StartedAt =
        IsSameStart ? Old->second.m_StartedAt
                    : Now - base::Millis(static_cast<std::int64_t>(
                                IsPast ? WallTime - Each.m_StartTime : 0));
    if (IsSameStart)
      Added.m_ReturnedAt = Old->second.m_ReturnedAt;
    if (Each.m_Remaining) {
      Added.m_NamedUntil = Now + *Each.m_Remaining;
      Added.m_ReturnedAt.reset();
    }
    Added.m_Listed = Each;
  }
  m_States = std::move(Next);
  update(Now);
}

void WarmUpLimits::zoneReturned(std::string_view Zone, base::Millis Now) {
  for (auto &[Id, Each] : m_States)
    if (Each.m_Listed.m_Zone == Zone)
      Each.m_ReturnedAt = Now;
  update(Now);
}

void WarmUpLimits::update(base::Millis Now) {
  m_Cold.clear();
  std::vector<Change> Changes;
  for (auto &[Id, Each] : m_States) {
    const WarmUpRule *Rule = rule(Each);
    const Span Cold = Rule ? coldSpan(Each, *Rule) : Span();
    const bool IsCold = Cold.m_Until > Now;
    if (IsCold)
      m_Cold.emplace(Id, Rule->m_PerSecond);
    if (std::exchange(Each.m_IsCold, IsCold) != IsCold)
      Changes.push_back({Id, Each.m_Listed.m_Service, Each.m_Listed.m_Zone,
                         IsCold, Cold.m_Cause,
                         IsCold ? Cold.m_Until - Now : base::Millis(0),
                         Rule ? Rule->m_PerSecond : 0});
  }
  if (m_OnChange)
    for (const Change &Each : Changes)
      m_OnChange(Each);
}

WarmUpLimits::Span WarmUpLimits::coldSpan(const State &Of,
                                          const WarmUpRule &Rule) {
  Span Cold = Of.m_Listed.m_Remaining
                  ? Span{Of.m_NamedUntil, Cause::Record}
                  : Span{Of.m_StartedAt + Rule.m_Duration, Cause::Start};
  if (Of.m_ReturnedAt && *Of.m_ReturnedAt + Rule.m_Duration > Cold.m_Until)
    Cold = {*Of.m_ReturnedAt + Rule.m_Duration, Cause::Return};
  return Cold;
}

const WarmUpRule *WarmUpLimits::rule(const State &Of) const {
  const auto Found = m_Rules.find(Of.m_Listed.m_Service);
  return Found != m_Rules.end() && Found->second.isBounded() ? &Found->second
                                                             : nullptr;
}

std::optional<double> WarmUpLimits::limit(const std::string &Server) const {
  const auto Found = m_Cold.find(Server);
  return Found == m_Cold.end() ? std::nullopt : std::optional(Found->second);
}

std::uint64_t WarmUpLimits::startTime(const std::string &Server) const {
  const auto Found = m_States.find(Server);
  return Found == m_States.end() ? 0 : Found->second.m_Listed.m_StartTime;
}

double WarmUpLimits::maxTokens(double PerSecond) const {
  const double Beyond =
      PerSecond * (m_Bounds.m_Overshoot - 1) + m_Bounds.m_Tolerance;
  // Without a whole token nothing could be sent.
  return std::max(1.0, TokenPart * Beyond);
}

double WarmUpLimits::tokensPerSecond(double PerSecond) const {
  const double Bound = PerSecond * m_Bounds.m_Overshoot + m_Bounds.m_Tolerance;
  return std::clamp(Bound - maxTokens(PerSecond), 0.0, PerSecond);
}

} // namespace corneldeck::direct
