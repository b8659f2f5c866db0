#include "RankGroup/GroupTraffic.h"

#include <algorithm>
#include <cmath>

namespace corneldeck::rankgroup {

namespace {

constexpr std::size_t MinFanout = 2;

} // namespace

std::size_t TrafficLimits::fanout(std::size_t Bytes) const {
  const double BurstBytes =
      m_LinkBytesPerMs * static_cast<double>(m_MaxBurst.count());
  const auto Messages = static_cast<std::size_t>(
      BurstBytes / static_cast<double>(std::max<std::size_t>(Bytes, 1)));
  return std::clamp(Messages, MinFanout, std::max(MinFanout, m_MaxFanout));
}

base::Millis TrafficLimits::reportInterval(std::size_t Messages,
                                           std::size_t Bytes) const {
  return base::Millis(static_cast<std::int64_t>(
      std::ceil(static_cast<double>(Messages * Bytes) /
                (m_LinkBytesPerMs * m_MaxReportShare))));
}

base::Millis TrafficLimits::distributionTime(std::size_t Agents,
                                             std::size_t Bytes) const {
  const std::size_t Fanout = fanout(Bytes);
  const std::size_t PerRelay = std::min(Agents, Fanout);
  return base::Millis(static_cast<std::int64_t>(std::ceil(
      static_cast<double>(relayDepth(Agents, Fanout) * PerRelay * Bytes) /
      m_LinkBytesPerMs)));
}

std::vector<RelayBranch>
divideIntoBranches(const std::vector<wire::RankAddress> &Targets,
                   std::size_t Fanout) {
  std::vector<RelayBranch> Branches;
  const std::size_t Count =
      std::min(std::max(Fanout, MinFanout), Targets.size());
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const std::size_t Begin = Index * Targets.size() / Count;
    const std::size_t End = (Index + 1) * Targets.size() / Count;
    RelayBranch &Branch = Branches.emplace_back();
    Branch.m_Relay = Targets[Begin];
    Branch.m_Descendants.assign(
        Targets.begin() + static_cast<std::ptrdiff_t>(Begin + 1),
        Targets.begin() + static_cast<std::ptrdiff_t>(End));
  }
  return Branches;
}

std::size_t relayDepth(std::size_t Agents, std::size_t Fanout) {
  std::size_t Depth = 0;
  // The largest branch has one relay and an equal share of the other agents.
  for (std::size_t Left = Agents; Left > 0; ++Depth)
    Left = (Left - 1) / std::max(Fanout, MinFanout);
  return Depth;
}

} // namespace corneldeck::rankgroup
