#include "RankGroup/RebalancePlanner.h"

#include "RankGroup/RebalanceSearch.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace corneldeck::rankgroup {

namespace {

/// A change of popularity by this share makes a placement stale.
constexpr double StaleChange = 0.5;
constexpr double LongestLasting = 20;
/// Share of reporting ranks from which counts have their full weight.
constexpr double SoundCoverage = 0.5;
/// Weight of the newest change in the average change.
constexpr double NewestChange = 0.3;

} // namespace

std::vector<double> rankTimes(const ExpertMap &Map,
                              const std::vector<double> &Popularity,
                              const std::vector<double> &Speeds) {
  std::vector<double> Times(Map.ranks(), 0.0);
  for (ExpertMap::Expert Which = 0; Which < Map.experts(); ++Which) {
    const std::vector<ExpertMap::Rank> &Copies = Map.replicas(Which);
    const double Share = Popularity[Which] / static_cast<double>(Copies.size());
    for (const ExpertMap::Rank Where : Copies)
      Times[Where] += Share / Speeds[Where];
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
  for (const ExpertMap::Expert Which : ByLoad) {
    std::size_t Best = Ranks;
    for (std::size_t Where = 0; Where < Ranks; ++Where) {
      const bool Room = Used[Where] < SlotsPerRank;
      if (Room && (Best == Ranks || Times[Where] < Times[Best]))
        Best = Where;
    }
    Map.add(Which, static_cast<ExpertMap::Rank>(Best));
    Times[Best] += Popularity[Which] / Speeds[Best];
    ++Used[Best];
  }
  return Map;
}

RebalancePlanner::RebalancePlanner(Config Settings)
    : m_Config(Settings), m_Allowance(Settings.m_BurstCopies) {}

void RebalancePlanner::observe(const std::vector<double> &Counts,
                               double Coverage) {
  const double Total = std::accumulate(Counts.begin(), Counts.end(), 0.0);
  if (Total <= 0 || Coverage <= 0)
    return;
  if (m_Popularity.empty())
    m_Popularity.assign(Counts.size(),
                        1.0 / static_cast<double>(Counts.size()));
  double Change = 0;
  for (std::size_t Which = 0; Which < Counts.size(); ++Which)
    Change += std::abs(Counts[Which] / Total - m_Popularity[Which]);
  m_ChangePerWindow += NewestChange * (Change - m_ChangePerWindow);
  // Where popularity lasts, a longer average holds less noise.
  const bool Steady = lastingWindows() >= LongestLasting;
  const double Newest = Steady ? m_Config.m_NewestIfSteady : m_Config.m_Newest;
  // Counts of very few ranks are noisy, so they weigh less.
  const double Weight = Newest * std::min(1.0, Coverage / SoundCoverage);
  for (std::size_t Which = 0; Which < Counts.size(); ++Which)
    m_Popularity[Which] +=
        Weight * (Counts[Which] / Total - m_Popularity[Which]);
}

double RebalancePlanner::lastingWindows() const {
  if (m_ChangePerWindow <= StaleChange / LongestLasting)
    return LongestLasting;
  return std::max(1.0, StaleChange / m_ChangePerWindow);
}

RebalancePlanner::Plan RebalancePlanner::plan(const ExpertMap &Present,
                                              const std::vector<double> &Speeds,
                                              bool Blocked) {
  m_Allowance = std::min(m_Config.m_BurstCopies,
                         m_Allowance + m_Config.m_CopiesPerWindow);
  Plan Result;
  Result.m_Map = Present;
  if (m_Popularity.empty())
    return Result;
  Result.m_SkewBefore = skew(rankTimes(Present, m_Popularity, Speeds));
  Result.m_SkewAfter = Result.m_SkewBefore;
  if (Blocked) {
    Result.m_Reason = "no moves during the open window";
    return Result;
  }
  RebalanceSearch Search(Present, m_Popularity, Speeds,
                         m_Config.m_SlotsPerRank);
  const double StepsItLasts = m_Config.m_StepsPerWindow * lastingWindows();
  const double Allowance = m_Allowance;
  double Gained = 0;
  while (true) {
    const RebalanceSearch::Change Next = Search.best();
    const auto Copies = static_cast<double>(Next.m_Copies);
    const double Gain = Next.m_Gain * StepsItLasts * m_Config.m_SkewWeight;
    const double Cost =
        Copies * m_Config.m_StepsPerCopy * m_Config.m_CostWeight;
    if (Next.m_Gain <= 0 || Gain <= Cost || Copies > m_Allowance)
      break;
    m_Allowance -= Copies;
    Gained += Next.m_Gain;
    Search.apply(Next);
  }
  Result.m_EvaluatedChanges = Search.evaluatedChanges();
  if (Gained < m_Config.m_SmallestGain) {
    m_Allowance = Allowance;
    Result.m_Reason = "no change is worth its cost";
    return Result;
  }
  Result.m_Map = Search.map();
  Result.m_Copies = Result.m_Map.copiesToLoad(Present);
  Result.m_SkewAfter = skew(rankTimes(Result.m_Map, m_Popularity, Speeds));
  Result.m_Reason = "the skew outweighs the copies";
  return Result;
}

} // namespace corneldeck::rankgroup
