#include "RankGroup/LayerMaps.h"

#include <algorithm>
#include <numeric>

namespace corneldeck::rankgroup {

namespace {

using Rank = ExpertMap::Rank;
using Expert = ExpertMap::Expert;

std::vector<double> rankLoads(const ExpertMap &Map,
                              const std::vector<double> &Popularity) {
  std::vector<double> Loads(Map.ranks(), 0.0);
  for (Expert Which = 0; Which < Map.experts(); ++Which) {
    const std::vector<Rank> &Copies = Map.replicas(Which);
    const double Share = Popularity[Which] / static_cast<double>(Copies.size());
    for (const Rank Where : Copies)
      Loads[Where] += Share;
  }
  return Loads;
}

double maxOverMean(const std::vector<double> &Loads) {
  const double Sum = std::accumulate(Loads.begin(), Loads.end(), 0.0);
  if (Sum <= 0)
    return 1;
  return *std::max_element(Loads.begin(), Loads.end()) *
         static_cast<double>(Loads.size()) / Sum;
}

/// One change of a map: an expert comes to a rank, and what goes for it.
struct Step {
  Expert m_Expert = 0;
  Rank m_From = 0;
  Rank m_To = 0;
  /// The source keeps its copy.
  bool m_Keep = false;
  /// An expert that makes room at m_To; a swap takes it to m_From.
  bool m_Evicts = false;
  bool m_Swaps = false;
  Expert m_Evicted = 0;
  unsigned m_Copies = 1;
  /// By how much the sum of the squared loads falls.
  double m_Gain = 0;
};

/// Searches the steps of one layer set.
class Placement {
public:
  Placement(const ExpertMap &Present, const std::vector<double> &Popularity,
            const PlacementLimits &Limits)
      : m_Start(Present), m_Map(Present), m_Popularity(Popularity),
        m_Limits(Limits), m_Loads(rankLoads(Present, Popularity)),
        m_Held(Present.ranks()), m_New(Present.ranks(), 0) {
    for (Expert Which = 0; Which < m_Map.experts(); ++Which)
      for (const Rank Where : m_Map.replicas(Which))
        m_Held[Where].push_back(Which);
  }

  /// Takes steps while they pay.
  ExpertMap run() {
    const std::size_t MostSteps = m_Loads.size() * m_Limits.m_Slots;
    for (std::size_t Count = 0; Count < MostSteps; ++Count) {
      const double Before = maxOverMean(m_Loads);
      if (Before <= m_Limits.m_GoodSkew)
        break;
      const Step Best = best();
      if (Best.m_Gain <= 0)
        break;
      apply(Best);
      m_Copies += Best.m_Copies;
      // Several ranks may be equally full, so one step need not show at once.
      if (maxOverMean(m_Loads) <
          m_BestSkew - m_Limits.m_GainPerCopy *
                           static_cast<double>(m_Copies - m_BestCopies)) {
        m_BestMap = m_Map;
        m_BestSkew = maxOverMean(m_Loads);
        m_BestCopies = m_Copies;
      }
    }
    return m_BestMap;
  }

private:
  [[nodiscard]] double share(Expert Which) const {
    return m_Popularity[Which] /
           static_cast<double>(m_Map.replicas(Which).size());
  }

  [[nodiscard]] bool isNew(Rank Where, Expert Which) const {
    return !m_Start.holds(Where, Which);
  }

  /// The change of the sum of squares if \p Where gets \p Added more.
  [[nodiscard]] double squareChange(Rank Where, double Added) const {
    return Added * (2 * m_Loads[Where] + Added);
  }

  Step best() {
    const auto Fullest = static_cast<Rank>(
        std::max_element(m_Loads.begin(), m_Loads.end()) - m_Loads.begin());
    Step Best;
    for (Rank To = 0; To < m_Loads.size(); ++To)
      if (To != Fullest && m_Loads[To] < m_Loads[Fullest])
        tryPair(Fullest, To, Best);
    return Best;
  }

  void tryPair(Rank From, Rank To, Step &Best) {
    for (const Expert Which : m_Held[From]) {
      if (m_Map.holds(To, Which))
        continue;
      Step Candidate;
      Candidate.m_Expert = Which;
      Candidate.m_From = From;
      Candidate.m_To = To;
      if (m_Held[To].size() < m_Limits.m_Slots) {
        weigh(Candidate, Best);
        Candidate.m_Keep = true;
        weigh(Candidate, Best);
      }
      tryRoom(Candidate, Best);
    }
  }

  void tryRoom(Step Candidate, Step &Best) {
    Candidate.m_Evicts = true;
    for (const Expert Other : m_Held[Candidate.m_To]) {
      Candidate.m_Evicted = Other;
      Candidate.m_Swaps = false;
      Candidate.m_Copies = 1;
      if (m_Map.replicas(Other).size() > 1) {
        Candidate.m_Keep = true;
        weigh(Candidate, Best);
        Candidate.m_Keep = false;
        weigh(Candidate, Best);
      }
      if (m_Map.holds(Candidate.m_From, Other))
        continue;
      Candidate.m_Keep = false;
      Candidate.m_Swaps = true;
      Candidate.m_Copies = isNew(Candidate.m_From, Other) ? 2 : 1;
      weigh(Candidate, Best);
    }
  }

  void weigh(Step Candidate, Step &Best) {
    if (!fits(Candidate))
      return;
    Candidate.m_Gain = gain(Candidate);
    const auto PerCopy = [](const Step &One) {
      return One.m_Gain / static_cast<double>(One.m_Copies);
    };
    if (Candidate.m_Gain > 0 && PerCopy(Candidate) > PerCopy(Best))
      Best = Candidate;
  }

  /// \returns whether the ranks may take that many new experts.
  [[nodiscard]] bool fits(const Step &Wanted) const {
    std::size_t New = m_New[Wanted.m_To];
    New += isNew(Wanted.m_To, Wanted.m_Expert) ? 1 : 0;
    if (Wanted.m_Evicts && isNew(Wanted.m_To, Wanted.m_Evicted))
      --New;
    if (New > m_Limits.m_NewPerRank)
      return false;
    if (!Wanted.m_Swaps)
      return true;
    std::size_t NewBack = m_New[Wanted.m_From];
    NewBack += isNew(Wanted.m_From, Wanted.m_Evicted) ? 1 : 0;
    if (isNew(Wanted.m_From, Wanted.m_Expert))
      --NewBack;
    return NewBack <= m_Limits.m_NewPerRank;
  }

  /// \returns by how much the sum of squared loads falls.
  [[nodiscard]] double gain(const Step &Wanted) const {
    double To = 0;
    double From = 0;
    double Others = 0;
    if (Wanted.m_Keep) {
      const auto Copies =
          static_cast<double>(m_Map.replicas(Wanted.m_Expert).size());
      const double Before = m_Popularity[Wanted.m_Expert] / Copies;
      const double After = m_Popularity[Wanted.m_Expert] / (Copies + 1);
      To += After;
      for (const Rank Where : m_Map.replicas(Wanted.m_Expert)) {
        if (Where == Wanted.m_From)
          From += After - Before;
        else
          Others += squareChange(Where, After - Before);
      }
    } else {
      To += share(Wanted.m_Expert);
      From -= share(Wanted.m_Expert);
    }
    if (Wanted.m_Swaps) {
      To -= share(Wanted.m_Evicted);
      From += share(Wanted.m_Evicted);
    } else if (Wanted.m_Evicts) {
      const auto Copies =
          static_cast<double>(m_Map.replicas(Wanted.m_Evicted).size());
      const double Before = m_Popularity[Wanted.m_Evicted] / Copies;
      const double After = m_Popularity[Wanted.m_Evicted] / (Copies - 1);
      To -= Before;
      for (const Rank Where : m_Map.replicas(Wanted.m_Evicted)) {
        if (Where == Wanted.m_From)
          From += After - Before;
        else if (Where != Wanted.m_To)
          Others += squareChange(Where, After - Before);
      }
    }
    return -(squareChange(Wanted.m_To, To) + squareChange(Wanted.m_From, From) +
             Others);
  }

  void place(Expert Which, Rank Where) {
    m_Map.add(Which, Where);
    m_Held[Where].push_back(Which);
    m_New[Where] += isNew(Where, Which) ? 1 : 0;
  }

  void take(Expert Which, Rank Where) {
    m_Map.remove(Which, Where);
    std::erase(m_Held[Where], Which);
    m_New[Where] -= isNew(Where, Which) ? 1 : 0;
  }

  void apply(const Step &Chosen) {
    // An expert must never be without a copy, so copies come before removals.
    place(Chosen.m_Expert, Chosen.m_To);
    if (!Chosen.m_Keep)
      take(Chosen.m_Expert, Chosen.m_From);
    if (Chosen.m_Swaps)
      place(Chosen.m_Evicted, Chosen.m_From);
    if (Chosen.m_Evicts)
      take(Chosen.m_Evicted, Chosen.m_To);
    m_Loads = rankLoads(m_Map, m_Popularity);
  }

  const ExpertMap &m_Start;
  ExpertMap m_Map;
  const std::vector<double> &m_Popularity;
  const PlacementLimits &m_Limits;
  std::vector<double> m_Loads;
  std::vector<std::vector<Expert>> m_Held;
  std::vector<std::size_t> m_New;
  std::size_t m_Copies = 0;
  ExpertMap m_BestMap = m_Map;
  double m_BestSkew = maxOverMean(m_Loads);
  std::size_t m_BestCopies = 0;
};

} // namespace

LayerMaps startMaps(std::size_t Sets, std::size_t Ranks, std::size_t Experts) {
  ExpertMap Map(Ranks, Experts);
  for (std::size_t Which = 0; Which < Experts; ++Which)
    Map.add(static_cast<Expert>(Which), static_cast<Rank>(Which % Ranks));
  return LayerMaps(Sets, Map);
}

std::vector<std::uint32_t> packMaps(const LayerMaps &Maps) {
  const std::size_t Ranks = Maps.empty() ? 0 : Maps.front().ranks();
  std::vector<std::uint32_t> Numbers = {static_cast<std::uint32_t>(Maps.size()),
                                        static_cast<std::uint32_t>(Ranks)};
  for (const ExpertMap &Map : Maps)
    for (std::size_t Where = 0; Where < Ranks; ++Where) {
      const std::size_t Length = Numbers.size();
      Numbers.push_back(0);
      for (Expert Which = 0; Which < Map.experts(); ++Which)
        if (Map.holds(static_cast<Rank>(Where), Which))
          Numbers.push_back(Which);
      Numbers[Length] = static_cast<std::uint32_t>(Numbers.size() - Length - 1);
    }
  return Numbers;
}

base::Result<LayerMaps> unpackMaps(const std::vector<std::uint32_t> &Numbers,
                                   std::size_t Experts) {
  constexpr std::size_t HeadNumbers = 2;
  constexpr std::uint32_t MostSets = 1024;
  constexpr std::uint32_t MostRanks = 4096;
  const auto Bad = [] {
    return base::failure(base::ResultCode::BadMessage,
                         "the numbers are no expert maps");
  };
  if (Numbers.size() < HeadNumbers || Numbers[0] > MostSets ||
      Numbers[1] > MostRanks)
    return Bad();
  LayerMaps Maps(Numbers[0], ExpertMap(Numbers[1], Experts));
  std::size_t At = HeadNumbers;
  for (ExpertMap &Map : Maps)
    for (Rank Where = 0; Where < Numbers[1]; ++Where) {
      if (At >= Numbers.size() || Numbers[At] > Numbers.size() - At - 1)
        return Bad();
      const std::size_t End = At + 1 + Numbers[At];
      for (++At; At < End; ++At) {
        if (Numbers[At] >= Experts)
          return Bad();
        Map.add(Numbers[At], Where);
      }
    }
  if (At != Numbers.size())
    return Bad();
  return Maps;
}

double meanSkew(const LayerMaps &Maps, const LayerPopularity &Popularity) {
  if (Maps.empty())
    return 1;
  double Sum = 0;
  for (std::size_t Set = 0; Set < Maps.size(); ++Set)
    Sum += maxOverMean(rankLoads(Maps[Set], Popularity[Set]));
  return Sum / static_cast<double>(Maps.size());
}

ExpertMap improvePlacement(const ExpertMap &Present,
                           const std::vector<double> &Popularity,
                           const PlacementLimits &Limits) {
  return Placement(Present, Popularity, Limits).run();
}

} // namespace corneldeck::rankgroup
