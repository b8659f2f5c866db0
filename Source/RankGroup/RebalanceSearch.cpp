#include "RankGroup/RebalanceSearch.h"

#include "RankGroup/RebalancePlanner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace corneldeck::rankgroup {

namespace {

/// Number of ranks, from the least loaded on, that are considered as receivers.
/// More of them hardly improve the result.
constexpr std::size_t MaxReceivers = 12;
constexpr double MinGain = 1e-9;

double eighthPower(double Value) {
  const double Square = Value * Value;
  const double Fourth = Square * Square;
  return Fourth * Fourth;
}

} // namespace

RebalanceSearch::RebalanceSearch(ExpertMap Initial,
                                 const std::vector<double> &Popularity,
                                 const std::vector<double> &Speeds,
                                 std::size_t SlotsPerRank)
    : m_Map(std::move(Initial)), m_Popularity(Popularity), m_Speeds(Speeds),
      m_SlotsPerRank(SlotsPerRank),
      m_Times(rankTimes(m_Map, Popularity, Speeds)),
      m_ExpertsByRank(m_Map.ranks()) {
  for (ExpertMap::Expert ExpertId = 0; ExpertId < m_Map.experts(); ++ExpertId)
    for (const ExpertMap::Rank RankId : m_Map.replicas(ExpertId))
      m_ExpertsByRank[RankId].push_back(ExpertId);
}

double RebalanceSearch::loadNorm() const {
  // Smoothed skew: an eighth-power mean is dominated by the slowest rank but
  // still reflects the second slowest, which the maximum would ignore.
  const auto Count = static_cast<double>(m_Times.size());
  const double Mean =
      std::accumulate(m_Times.begin(), m_Times.end(), 0.0) / Count;
  double Sum = 0;
  for (const double Time : m_Times)
    Sum += eighthPower(Time / Mean);
  return std::pow(Sum / Count, 0.125);
}

double RebalanceSearch::sharePerReplica(ExpertMap::Expert ExpertId) const {
  const auto Copies = static_cast<double>(m_Map.replicas(ExpertId).size());
  return m_Popularity[ExpertId] / Copies;
}

void RebalanceSearch::addLoad(ExpertMap::Expert ExpertId, double Sign) {
  const double Share = sharePerReplica(ExpertId);
  for (const ExpertMap::Rank RankId : m_Map.replicas(ExpertId))
    m_Times[RankId] += Sign * Share / m_Speeds[RankId];
}

void RebalanceSearch::applyToMap(const Change &Applied, bool Undo) {
  const auto AddOrRemove = [&](ExpertMap::Expert ExpertId,
                               ExpertMap::Rank RankId, bool Add) {
    if (Add != Undo)
      m_Map.add(ExpertId, RankId);
    else
      m_Map.remove(ExpertId, RankId);
  };
  addLoad(Applied.m_Expert, -1);
  if (Applied.m_Evicts)
    addLoad(Applied.m_Evicted, -1);
  // Copies are added before others are removed, so that an expert is never
  // without a copy.
  AddOrRemove(Applied.m_Expert, Applied.m_To, true);
  if (!Applied.m_KeepsSource)
    AddOrRemove(Applied.m_Expert, Applied.m_From, false);
  if (Applied.m_Swaps)
    AddOrRemove(Applied.m_Evicted, Applied.m_From, true);
  if (Applied.m_Evicts)
    AddOrRemove(Applied.m_Evicted, Applied.m_To, false);
  addLoad(Applied.m_Expert, 1);
  if (Applied.m_Evicts)
    addLoad(Applied.m_Evicted, 1);
}

void RebalanceSearch::evaluate(Change Candidate, Change &Best) {
  ++m_EvaluatedChanges;
  const double Before = loadNorm();
  applyToMap(Candidate, false);
  Candidate.m_Gain = Before - loadNorm();
  applyToMap(Candidate, true);
  const auto PerCopy = [](const Change &One) {
    return One.m_Gain / static_cast<double>(One.m_Copies);
  };
  if (Candidate.m_Gain > MinGain && PerCopy(Candidate) > PerCopy(Best))
    Best = Candidate;
}

RebalanceSearch::Change RebalanceSearch::findBestChange() {
  Change Best;
  std::vector<ExpertMap::Rank> ByTime(m_Times.size());
  std::iota(ByTime.begin(), ByTime.end(), ExpertMap::Rank{0});
  std::sort(ByTime.begin(), ByTime.end(),
            [this](ExpertMap::Rank A, ExpertMap::Rank B) {
              return m_Times[A] != m_Times[B] ? m_Times[A] < m_Times[B] : A < B;
            });
  const std::size_t Count = std::min(MaxReceivers, ByTime.size() - 1);
  for (std::size_t Index = 0; Index < Count; ++Index)
    evaluateReceiver(ByTime.back(), ByTime[Index], Best);
  return Best;
}

void RebalanceSearch::evaluateReceiver(ExpertMap::Rank From, ExpertMap::Rank To,
                                       Change &Best) {
  const bool HasFreeSlot = m_ExpertsByRank[To].size() < m_SlotsPerRank;
  for (const ExpertMap::Expert ExpertId : m_ExpertsByRank[From]) {
    if (m_Map.holds(To, ExpertId))
      continue;
    Change Candidate;
    Candidate.m_Expert = ExpertId;
    Candidate.m_From = From;
    Candidate.m_To = To;
    for (const bool KeepsSource : {true, false}) {
      Candidate.m_KeepsSource = KeepsSource;
      if (HasFreeSlot)
        evaluate(Candidate, Best);
    }
    for (const ExpertMap::Expert Evicted : m_ExpertsByRank[To]) {
      Candidate.m_Evicts = true;
      Candidate.m_Evicted = Evicted;
      Candidate.m_Copies = 1;
      Candidate.m_Swaps = false;
      if (m_Map.replicas(Evicted).size() > 1) {
        Candidate.m_KeepsSource = true;
        evaluate(Candidate, Best);
        Candidate.m_KeepsSource = false;
        evaluate(Candidate, Best);
      }
      if (m_Map.holds(From, Evicted))
        continue;
      Candidate.m_KeepsSource = false;
      Candidate.m_Swaps = true;
      Candidate.m_Copies = 2;
      evaluate(Candidate, Best);
    }
  }
}

void RebalanceSearch::apply(const Change &Chosen) {
  const auto Remove = [this](ExpertMap::Rank RankId,
                             ExpertMap::Expert ExpertId) {
    std::vector<ExpertMap::Expert> &Held = m_ExpertsByRank[RankId];
    Held.erase(std::find(Held.begin(), Held.end(), ExpertId));
  };
  applyToMap(Chosen, false);
  m_ExpertsByRank[Chosen.m_To].push_back(Chosen.m_Expert);
  if (!Chosen.m_KeepsSource)
    Remove(Chosen.m_From, Chosen.m_Expert);
  if (Chosen.m_Swaps)
    m_ExpertsByRank[Chosen.m_From].push_back(Chosen.m_Evicted);
  if (Chosen.m_Evicts)
    Remove(Chosen.m_To, Chosen.m_Evicted);
}

} // namespace corneldeck::rankgroup
