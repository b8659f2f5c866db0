#include "RankGroup/RebalancePlanner.h"

#include "RankGroup/RebalanceSearch.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace corneldeck::rankgroup {

namespace {

/// Change of popularity, as a sum of absolute differences of shares, from which
/// a placement is stale.
constexpr double StaleChangeThreshold = 0.5;
constexpr double MaxStableWindows = 20;
/// Share of reporting ranks from which counts have full weight.
constexpr double FullWeightCoverage = 0.5;
/// Weight of the newest change in the moving average of changes.
constexpr double ChangeSmoothing = 0.3;

} // namespace

std::vector<double> rankTimes(const ExpertMap &Map,
                              const std::vector<double> &Popularity,
                              const std::vector<double> &Speeds) {
  std::vector<double> Times(Map.ranks(), 0.0);
  for (ExpertMap::Expert ExpertId = 0; ExpertId < Map.experts(); ++ExpertId) {
    const std::vector<ExpertMap::Rank> &Copies = Map.replicas(ExpertId);
    const double Share =
        Popularity[ExpertId] / static_cast<double>(Copies.size());
    for (const ExpertMap::Rank RankId : Copies)
      Times[RankId] += Share / Speeds[RankId];
  }
  return Times;
}

double skew(const std::vector<double> &Times) {
  const double Sum = std::accumulate(Times.begin(), Times.end(), 0.0);
  if (Sum <= 0)
    return 1;
  return *std::max_element(Times.begin(), Times.end()) *
         static_cast<double>(Times.size()) / Sum;
}

ExpertMap repack(std::size_t Ranks, const std::vector<double> &Popularity,
                 const std::vector<double> &Speeds, std::size_t SlotsPerRank) {
  std::vector<ExpertMap::Expert> ByLoad(Popularity.size());
  std::iota(ByLoad.begin(), ByLoad.end(), ExpertMap::Expert{0});
  std::stable_sort(ByLoad.begin(), ByLoad.end(),
                   [&](ExpertMap::Expert A, ExpertMap::Expert B) {
                     return Popularity[A] > Popularity[B];
                   });
  ExpertMap Map(Ranks, Popularity.size());
  std::vector<double> Times(Ranks, 0.0);
  std::vector<std::size_t> Used(Ranks, 0);
  for (const ExpertMap::Expert ExpertId : ByLoad) {
    std::size_t Best = Ranks;
    for (std::size_t RankId = 0; RankId < Ranks; ++RankId) {
      const bool HasFreeSlot = Used[RankId] < SlotsPerRank;
      if (HasFreeSlot && (Best == Ranks || Times[RankId] < Times[Best]))
        Best = RankId;
    }
    Map.add(ExpertId, static_cast<ExpertMap::Rank>(Best));
    Times[Best] += Popularity[ExpertId] / Speeds[Best];
    ++Used[Best];
  }
  return Map;
}

RebalancePlanner::RebalancePlanner(Config Settings)
    : m_Config(Settings), m_CopyAllowance(Settings.m_BurstCopies) {}

void RebalancePlanner::observe(const std::vector<double> &Counts,
                               double Coverage) {
  const double Total = std::accumulate(Counts.begin(), Counts.end(), 0.0);
  if (Total <= 0 || Coverage <= 0)
    return;
  if (m_Popularity.empty())
    m_Popularity.assign(Counts.size(),
                        1.0 / static_cast<double>(Counts.size()));
  double Change = 0;
  for (std::size_t ExpertId = 0; ExpertId < Counts.size(); ++ExpertId)
    Change += std::abs(Counts[ExpertId] / Total - m_Popularity[ExpertId]);
  m_ChangePerWindow += ChangeSmoothing * (Change - m_ChangePerWindow);
  // While the popularity is stable, a longer average reduces the noise.
  const bool Stable = expectedStableWindows() >= MaxStableWindows;
  const double Smoothing =
      Stable ? m_Config.m_SmoothingIfStable : m_Config.m_Smoothing;
  // Counts of few ranks are noisy, so they get less weight.
  const double Weight =
      Smoothing * std::min(1.0, Coverage / FullWeightCoverage);
  for (std::size_t ExpertId = 0; ExpertId < Counts.size(); ++ExpertId)
    m_Popularity[ExpertId] +=
        Weight * (Counts[ExpertId] / Total - m_Popularity[ExpertId]);
}

double RebalancePlanner::expectedStableWindows() const {
  if (m_ChangePerWindow <= StaleChangeThreshold / MaxStableWindows)
    return MaxStableWindows;
  return std::max(1.0, StaleChangeThreshold / m_ChangePerWindow);
}

RebalancePlanner::Plan RebalancePlanner::plan(const ExpertMap &Present,
                                              const std::vector<double> &Speeds,
                                              bool Blocked) {
  m_CopyAllowance = std::min(m_Config.m_BurstCopies,
                             m_CopyAllowance + m_Config.m_CopiesPerWindow);
  Plan Result;
  Result.m_Map = Present;
  if (m_Popularity.empty())
    return Result;
  Result.m_SkewBefore = skew(rankTimes(Present, m_Popularity, Speeds));
  Result.m_SkewAfter = Result.m_SkewBefore;
  if (Blocked) {
    Result.m_Reason = "moves are blocked in the open bidding window";
    return Result;
  }
  RebalanceSearch Search(Present, m_Popularity, Speeds,
                         m_Config.m_SlotsPerRank);
  const double StableSteps =
      m_Config.m_StepsPerWindow * expectedStableWindows();
  const double AllowanceBefore = m_CopyAllowance;
  double TotalGain = 0;
  while (true) {
    const RebalanceSearch::Change Next = Search.findBestChange();
    const auto Copies = static_cast<double>(Next.m_Copies);
    const double Gain = Next.m_Gain * StableSteps * m_Config.m_SkewWeight;
    const double Cost =
        Copies * m_Config.m_StepsPerCopy * m_Config.m_CostWeight;
    if (Next.m_Gain <= 0 || Gain <= Cost || Copies > m_CopyAllowance)
      break;
    m_CopyAllowance -= Copies;
    TotalGain += Next.m_Gain;
    Search.apply(Next);
  }
  Result.m_EvaluatedChanges = Search.evaluatedChanges();
  if (TotalGain < m_Config.m_MinGain) {
    m_CopyAllowance = AllowanceBefore;
    Result.m_Reason = "no change outweighs the cost of its copies";
    return Result;
  }
  Result.m_Map = Search.map();
  Result.m_Copies = Result.m_Map.copiesToLoad(Present);
  Result.m_SkewAfter = skew(rankTimes(Result.m_Map, m_Popularity, Speeds));
  Result.m_Reason = "the removed skew outweighs the cost of the copies";
  return Result;
}

} // namespace corneldeck::rankgroup
