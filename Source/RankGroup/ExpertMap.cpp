#include "RankGroup/ExpertMap.h"

#include <algorithm>
#include <string>

namespace corneldeck::rankgroup {

ExpertMap::ExpertMap(std::size_t Ranks, std::size_t Experts)
    : m_Ranks(Ranks), m_Replicas(Experts) {}

ExpertMap ExpertMap::contiguous(std::size_t Ranks, std::size_t Experts) {
  ExpertMap Map(Ranks, Experts);
  for (std::size_t Which = 0; Which < Experts; ++Which)
    Map.add(static_cast<Expert>(Which),
            static_cast<Rank>(Which * Ranks / Experts));
  return Map;
}

bool ExpertMap::holds(Rank Where, Expert Which) const {
  const std::vector<Rank> &Copies = m_Replicas[Which];
  return std::binary_search(Copies.begin(), Copies.end(), Where);
}

void ExpertMap::add(Expert Which, Rank Where) {
  std::vector<Rank> &Copies = m_Replicas[Which];
  const auto Place = std::lower_bound(Copies.begin(), Copies.end(), Where);
  if (Place == Copies.end() || *Place != Where)
    Copies.insert(Place, Where);
}

void ExpertMap::remove(Expert Which, Rank Where) {
  std::vector<Rank> &Copies = m_Replicas[Which];
  const auto Place = std::lower_bound(Copies.begin(), Copies.end(), Where);
  if (Place != Copies.end() && *Place == Where)
    Copies.erase(Place);
}

std::vector<std::size_t> ExpertMap::slotsUsed() const {
  std::vector<std::size_t> Used(m_Ranks, 0);
  for (const std::vector<Rank> &Copies : m_Replicas)
    for (const Rank Where : Copies)
      if (Where < m_Ranks)
        ++Used[Where];
  return Used;
}

std::vector<ExpertMap::Expert> ExpertMap::expertsToLoad(const ExpertMap &Old,
                                                        Rank Where) const {
  std::vector<Expert> Result;
  for (Expert Which = 0; Which < experts(); ++Which) {
    const bool Had = Which < Old.experts() && Old.holds(Where, Which);
    if (!Had && holds(Where, Which))
      Result.push_back(Which);
  }
  return Result;
}

std::size_t ExpertMap::copiesToLoad(const ExpertMap &Old) const {
  std::size_t Copies = 0;
  for (std::size_t Where = 0; Where < m_Ranks; ++Where)
    Copies += expertsToLoad(Old, static_cast<Rank>(Where)).size();
  return Copies;
}

base::Result<void> ExpertMap::check(std::size_t SlotsPerRank) const {
  const auto Invalid = [](const std::string &Fault) {
    return base::failure(base::ResultCode::RejectedInvalid,
                         "Expert map refused: " + Fault + '.');
  };
  for (Expert Which = 0; Which < experts(); ++Which) {
    const std::vector<Rank> &Copies = m_Replicas[Which];
    if (Copies.empty())
      return Invalid("expert " + std::to_string(Which) +
                     " has no copy; place it on a rank");
    if (Copies.back() >= m_Ranks)
      return Invalid("expert " + std::to_string(Which) + " is on rank " +
                     std::to_string(Copies.back()) + " of a group of " +
                     std::to_string(m_Ranks));
  }
  const std::vector<std::size_t> Used = slotsUsed();
  for (std::size_t Where = 0; Where < m_Ranks; ++Where)
    if (Used[Where] > SlotsPerRank)
      return Invalid("rank " + std::to_string(Where) + " needs " +
                     std::to_string(Used[Where]) + " slots and has " +
                     std::to_string(SlotsPerRank));
  return {};
}

} // namespace corneldeck::rankgroup
