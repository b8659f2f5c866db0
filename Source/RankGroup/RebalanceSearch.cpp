#include "RankGroup/RebalanceSearch.h"

#include "RankGroup/RebalancePlanner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace corneldeck::rankgroup {

namespace {

/// Ranks to which the slowest one may give work; more find little more.
constexpr std::size_t Receivers = 12;
constexpr double SmallestGain = 1e-9;

double eighthPower(double Value) {
  const double Square = Value * Value;
  const double Fourth = Square * Square;
  return Fourth * Fourth;
}

} // namespace

RebalanceSearch::RebalanceSearch(ExpertMap Start,
                                 const std::vector<double> &Popularity,
                                 const std::vector<double> &Speeds,
                                 std::size_t SlotsPerRank)
    : m_Map(std::move(Start)), m_Popularity(Popularity), m_Speeds(Speeds),
      m_Slots(SlotsPerRank), m_Times(rankTimes(m_Map, Popularity, Speeds)),
      m_Held(m_Map.ranks()) {
  for (ExpertMap::Expert Which = 0; Which < m_Map.experts(); ++Which)
    for (const ExpertMap::Rank Where : m_Map.replicas(Which))
      m_Held[Where].push_back(Which);
}

double RebalanceSearch::norm() const {
  // A high norm follows the slowest rank and still sees the second one.
  const auto Count = static_cast<double>(m_Times.size());
  const double Mean =
      std::accumulate(m_Times.begin(), m_Times.end(), 0.0) / Count;
  double Sum = 0;
  for (const double Time : m_Times)
    Sum += eighthPower(Time / Mean);
  return std::pow(Sum / Count, 0.125);
}

double RebalanceSearch::share(ExpertMap::Expert Which) const {
  const auto Copies = static_cast<double>(m_Map.replicas(Which).size());
  return m_Popularity[Which] / Copies;
}

void RebalanceSearch::shift(ExpertMap::Expert Which, double Sign) {
  const double Share = share(Which);
  for (const ExpertMap::Rank Where : m_Map.replicas(Which))
    m_Times[Where] += Sign * Share / m_Speeds[Where];
}

void RebalanceSearch::edit(const Change &Wanted, bool Undo) {
  const auto Place = [&](ExpertMap::Expert Which, ExpertMap::Rank Where,
                         bool Add) {
    if (Add != Undo)
      m_Map.add(Which, Where);
    else
      m_Map.remove(Which, Where);
  };
  shift(Wanted.m_Expert, -1);
  if (Wanted.m_Evicts)
    shift(Wanted.m_Evicted, -1);
  // An expert must never be without a copy, so copies come before removals.
  Place(Wanted.m_Expert, Wanted.m_To, true);
  if (!Wanted.m_Keep)
    Place(Wanted.m_Expert, Wanted.m_From, false);
  if (Wanted.m_Swaps)
    Place(Wanted.m_Evicted, Wanted.m_From, true);
  if (Wanted.m_Evicts)
    Place(Wanted.m_Evicted, Wanted.m_To, false);
  shift(Wanted.m_Expert, 1);
  if (Wanted.m_Evicts)
    shift(Wanted.m_Evicted, 1);
}

void RebalanceSearch::weigh(Change Candidate, Change &Best) {
  ++m_EvaluatedChanges;
  const double Before = norm();
  edit(Candidate, false);
  Candidate.m_Gain = Before - norm();
  edit(Candidate, true);
  const auto PerCopy = [](const Change &One) {
    return One.m_Gain / static_cast<double>(One.m_Copies);
  };
  if (Candidate.m_Gain > SmallestGain && PerCopy(Candidate) > PerCopy(Best))
    Best = Candidate;
}

RebalanceSearch::Change RebalanceSearch::best() {
  Change Best;
  std::vector<ExpertMap::Rank> ByTime(m_Times.size());
  std::iota(ByTime.begin(), ByTime.end(), ExpertMap::Rank{0});
  std::sort(ByTime.begin(), ByTime.end(),
            [this](ExpertMap::Rank A, ExpertMap::Rank B) {
              return m_Times[A] != m_Times[B] ? m_Times[A] < m_Times[B] : A < B;
            });
  const std::size_t Count = std::min(Receivers, ByTime.size() - 1);
  for (std::size_t Index = 0; Index < Count; ++Index)
    tryRank(ByTime.back(), ByTime[Index], Best);
  return Best;
}

void RebalanceSearch::tryRank(ExpertMap::Rank From, ExpertMap::Rank To,
                              Change &Best) {
  const bool Free = m_Held[To].size() < m_Slots;
  for (const ExpertMap::Expert Which : m_Held[From]) {
    if (m_Map.holds(To, Which))
      continue;
    Change Candidate;
    Candidate.m_Expert = Which;
    Candidate.m_From = From;
    Candidate.m_To = To;
    for (const bool Keep : {true, false}) {
      Candidate.m_Keep = Keep;
      if (Free)
        weigh(Candidate, Best);
    }
    for (const ExpertMap::Expert Other : m_Held[To]) {
      Candidate.m_Evicts = true;
      Candidate.m_Evicted = Other;
      Candidate.m_Copies = 1;
      Candidate.m_Swaps = false;
      if (m_Map.replicas(Other).size() > 1) {
        Candidate.m_Keep = true;
        weigh(Candidate, Best);
        Candidate.m_Keep = false;
        weigh(Candidate, Best);
      }
      if (m_Map.holds(From, Other))
        continue;
      Candidate.m_Keep = false;
      Candidate.m_Swaps = true;
      Candidate.m_Copies = 2;
      weigh(Candidate, Best);
    }
  }
}

void RebalanceSearch::apply(const Change &Chosen) {
  const auto Drop = [this](ExpertMap::Rank Where, ExpertMap::Expert Which) {
    std::vector<ExpertMap::Expert> &Held = m_Held[Where];
    Held.erase(std::find(Held.begin(), Held.end(), Which));
  };
  edit(Chosen, false);
  m_Held[Chosen.m_To].push_back(Chosen.m_Expert);
  if (!Chosen.m_Keep)
    Drop(Chosen.m_From, Chosen.m_Expert);
  if (Chosen.m_Swaps)
    m_Held[Chosen.m_From].push_back(Chosen.m_Evicted);
  if (Chosen.m_Evicts)
    Drop(Chosen.m_To, Chosen.m_Evicted);
}

} // namespace corneldeck::rankgroup
