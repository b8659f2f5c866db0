#include "RankGroup/ExpertMap.h"

#include <algorithm>
#include <string>

namespace corneldeck::rankgroup {

ExpertMap::ExpertMap(std::size_t Ranks, std::size_t Experts)
    : m_Ranks(Ranks), m_Replicas(Experts) {}

ExpertMap ExpertMap::contiguous(std::size_t Ranks, std::size_t Experts) {
  ExpertMap Map(Ranks, Experts);
  for (std::size_t ExpertId = 0; ExpertId < Experts; ++ExpertId)
    Map.add(static_cast<Expert>(ExpertId),
            static_cast<Rank>(ExpertId * Ranks / Experts));
  return Map;
}

bool ExpertMap::holds(Rank RankId, Expert ExpertId) const {
  const std::vector<Rank> &Copies = m_Replicas[ExpertId];
  return std::binary_search(Copies.begin(), Copies.end(), RankId);
}

void ExpertMap::add(Expert ExpertId, Rank RankId) {
  std::vector<Rank> &Copies = m_Replicas[ExpertId];
  const auto Position = std::lower_bound(Copies.begin(), Copies.end(), RankId);
  if (Position == Copies.end() || *Position != RankId)
    Copies.insert(Position, RankId);
}

void ExpertMap::remove(Expert ExpertId, Rank RankId) {
  std::vector<Rank> &Copies = m_Replicas[ExpertId];
  const auto Position = std::lower_bound(Copies.begin(), Copies.end(), RankId);
  if (Position != Copies.end() && *Position == RankId)
    Copies.erase(Position);
}

std::vector<std::vector<ExpertMap::Expert>> ExpertMap::expertsByRank() const {
  std::vector<std::vector<Expert>> Held(m_Ranks);
  for (Expert ExpertId = 0; ExpertId < experts(); ++ExpertId)
    for (const Rank RankId : m_Replicas[ExpertId])
      if (RankId < m_Ranks)
        Held[RankId].push_back(ExpertId);
  return Held;
}

std::vector<std::size_t> ExpertMap::slotsUsed() const {
  std::vector<std::size_t> Used(m_Ranks, 0);
  for (const std::vector<Rank> &Copies : m_Replicas)
    for (const Rank RankId : Copies)
      if (RankId < m_Ranks)
        ++Used[RankId];
  return Used;
}

std::vector<ExpertMap::Expert> ExpertMap::expertsToLoad(const ExpertMap &Old,
                                                        Rank RankId) const {
  std::vector<Expert> Result;
  for (Expert ExpertId = 0; ExpertId < experts(); ++ExpertId) {
    const bool Held = ExpertId < Old.experts() && Old.holds(RankId, ExpertId);
    if (!Held && holds(RankId, ExpertId))
      Result.push_back(ExpertId);
  }
  return Result;
}

std::size_t ExpertMap::copiesToLoad(const ExpertMap &Old) const {
  std::size_t Copies = 0;
  for (Expert ExpertId = 0; ExpertId < experts(); ++ExpertId)
    for (const Rank RankId : m_Replicas[ExpertId])
      if (ExpertId >= Old.experts() || !Old.holds(RankId, ExpertId))
        ++Copies;
  return Copies;
}

base::Result<void> ExpertMap::validate(std::size_t SlotsPerRank) const {
  const auto Invalid = [](const std::string &Reason) {
    return base::failure(base::ResultCode::RejectedInvalid,
                         "Expert map rejected: " + Reason + '.');
  };
  for (Expert ExpertId = 0; ExpertId < experts(); ++ExpertId) {
    const std::vector<Rank> &Copies = m_Replicas[ExpertId];
    if (Copies.empty())
      return Invalid("expert " + std::to_string(ExpertId) +
                     " has no copy; place it on a rank");
    if (Copies.back() >= m_Ranks)
      return Invalid("expert " + std::to_string(ExpertId) + " is on rank " +
                     std::to_string(Copies.back()) + " of a group of " +
                     std::to_string(m_Ranks));
  }
  const std::vector<std::size_t> Used = slotsUsed();
  for (std::size_t RankId = 0; RankId < m_Ranks; ++RankId)
    if (Used[RankId] > SlotsPerRank)
      return Invalid("rank " + std::to_string(RankId) + " needs " +
                     std::to_string(Used[RankId]) + " slots and has " +
                     std::to_string(SlotsPerRank));
  return {};
}

} // namespace corneldeck::rankgroup
