#include "Direct/GroupCapacity.h"

#include <algorithm>

namespace corneldeck::direct {

namespace {

/// Upper bound of the relative pass time in a rating. Below 1, so that each
/// request raises the score.
constexpr double MaxPassTime = 0.9;

} // namespace

void GroupCapacity::applyLimit(ServerPool::ServiceUsage &Usage,
                               const RankGroup &Group,
                               const EngineProfile &Engine,
                               base::Millis TargetInterval) const {
  const double Limit = m_Limiter.limit(Group, Engine, TargetInterval);
  Usage.m_Capacity = std::min(Usage.m_Capacity,
                              static_cast<unsigned>(Limit * Usage.m_Servers));
}

ServerPool::ServiceUsage GroupCapacity::usage(const std::string &Service,
                                              const EngineProfile &Engine,
                                              base::Millis TargetInterval,
                                              base::Millis Now) const {
  ServerPool::ServiceUsage Total = m_Pool.usage(Service, Now);
  if (!m_Pool.groups().isDivided(Service)) {
    applyLimit(Total, {Service}, Engine, TargetInterval);
    return Total;
  }
  Total.m_Servers = 0;
  Total.m_Capacity = 0;
  Total.m_InFlight = 0;
  Total.m_LimitedServers = 0;
  Total.m_LimitedCapacity = 0;
  for (const std::string &Group : m_Pool.groupsOf(Service)) {
    if (m_Availability.isGroupClosed(Service, Group, Now))
      continue;
    ServerPool::ServiceUsage Part = m_Pool.usage(Service, Now, &Group);
    applyLimit(Part, {Service, Group}, Engine, TargetInterval);
    Total.m_Servers += Part.m_Servers;
    Total.m_Capacity += Part.m_Capacity;
    Total.m_InFlight += std::min(Part.m_InFlight, Part.totalCapacity());
    Total.m_LimitedServers += Part.m_LimitedServers;
    Total.m_LimitedCapacity += Part.m_LimitedCapacity;
  }
  return Total;
}

std::optional<LoadOption> GroupCapacity::rate(const RankGroup &Group,
                                              const GroupLoad &Load,
                                              const EngineProfile *Engine,
                                              base::Millis TargetInterval,
                                              base::Millis Now) const {
  if (m_Availability.isGroupClosed(Group.m_Service, Group.m_Name, Now))
    return std::nullopt;
  const double Servers = std::max(1U, Load.m_Servers);
  const double Limit =
      Engine ? std::min<double>(
                   Load.m_Capacity,
                   Servers * m_Limiter.limit(Group, *Engine, TargetInterval))
             : Load.m_Capacity;
  LoadOption Rated;
  Rated.m_ScorePerRequest = 1 / std::max(1.0, Limit);
  Rated.m_Score = (Load.m_Requests + 1) * Rated.m_ScorePerRequest;
  if (!Engine || TargetInterval <= base::Millis(0))
    return Rated;
  const auto Target = static_cast<double>(TargetInterval.count());
  const auto Score = [&](double Requests) {
    const double Used = Requests * Rated.m_ScorePerRequest;
    const double PassTime = std::min(
        MaxPassTime,
        m_Limiter.passMillis(Group, *Engine, Requests / Servers) / Target);
    return Used + PassTime * std::max(0.0, 1 - Used);
  };
  const double Before = Score(Load.m_Requests);
  Rated.m_Score = Score(Load.m_Requests + 1);
  Rated.m_ScorePerRequest = Rated.m_Score - Before;
  return Rated;
}

std::vector<GroupCapacity::GroupState>
GroupCapacity::states(const std::string &Service, const EngineProfile &Engine,
                      base::Millis TargetInterval, base::Millis Now) const {
  std::vector<GroupState> States;
  for (const std::string &Group : m_Pool.groupsOf(Service)) {
    const auto Usage = m_Pool.usage(Service, Now, &Group);
    States.push_back(
        {Group, m_Availability.isGroupClosed(Service, Group, Now),
         Usage.m_Servers, Usage.m_InFlight,
         m_Limiter.limit({Service, Group}, Engine, TargetInterval)});
  }
  return States;
}

std::optional<RankGroup>
GroupCapacity::groupOf(const std::string &Service,
                       const std::string &Server) const {
  if (!m_Pool.groups().isDivided(Service))
    return RankGroup{Service};
  const std::string *Group = m_Pool.groupOf(Server);
  return Group ? std::optional(RankGroup{Service, *Group}) : std::nullopt;
}

double GroupCapacity::recordInterval(const std::string &Service,
                                     const std::string &Server,
                                     const EngineProfile &Engine,
                                     base::Millis Interval, base::Millis Now) {
  const auto Group = groupOf(Service, Server);
  if (!Group)
    return 0;
  const auto Usage = m_Pool.usage(Service, Now, &Group->m_Name);
  // Servers with a rate limit or a notice take part in every pass of their
  // group.
  const unsigned Servers =
      Usage.m_Servers + Usage.m_LimitedServers + Usage.m_ServersWithNotice;
  if (Servers == 0)
    return 0;
  return m_Limiter.recordInterval(
      *Group, Engine, Interval, static_cast<double>(Usage.m_InFlight) / Servers,
      Now);
}

void GroupCapacity::recordStream(const std::string &Service,
                                 const std::string &Server,
                                 double LargestRatio) {
  if (const auto Group = groupOf(Service, Server))
    m_Limiter.recordStream(*Group, LargestRatio);
}

} // namespace corneldeck::direct
