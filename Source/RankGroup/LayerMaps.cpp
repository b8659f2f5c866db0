#include "RankGroup/LayerMaps.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace corneldeck::rankgroup {

namespace {

using Rank = ExpertMap::Rank;
using Expert = ExpertMap::Expert;

float slowdownOf(const RankSlowdowns &Slowdowns, Rank RankId) {
  return RankId < Slowdowns.size() ? Slowdowns[RankId] : 1.0F;
}

/// Time of each rank for its load in each sample.
class SampleLoads {
public:
  SampleLoads(const ExpertMap &Map, const ChoiceSamples &Samples,
              const RankSlowdowns &Slowdowns)
      : m_Count(Samples.size()), m_Loads(Map.ranks() * m_Count, 0.0F) {
    for (std::size_t Index = 0; Index < m_Count; ++Index)
      for (Expert ExpertId = 0; ExpertId < Map.experts(); ++ExpertId) {
        const std::vector<Rank> &Copies = Map.replicas(ExpertId);
        const float Share = Samples[Index].m_Choices[ExpertId] /
                            static_cast<float>(Copies.size());
        for (const Rank RankId : Copies)
          m_Loads[RankId * m_Count + Index] +=
              Share * slowdownOf(Slowdowns, RankId);
      }
  }

  [[nodiscard]] float *forRank(Rank RankId) {
    return m_Loads.data() + RankId * m_Count;
  }
  [[nodiscard]] const float *forRank(Rank RankId) const {
    return m_Loads.data() + RankId * m_Count;
  }
  [[nodiscard]] std::size_t samples() const { return m_Count; }

private:
  std::size_t m_Count;
  std::vector<float> m_Loads;
};

double layerSetSkew(const ExpertMap &Map, const ChoiceSamples &Samples,
                    const RankSlowdowns &Slowdowns) {
  const SampleLoads Loads(Map, Samples, Slowdowns);
  double MaxLoad = 0;
  double MeanLoad = 0;
  for (std::size_t Index = 0; Index < Samples.size(); ++Index) {
    const std::vector<float> &Choices = Samples[Index].m_Choices;
    const double Sum = std::accumulate(Choices.begin(), Choices.end(), 0.0);
    double SampleMax = 0;
    for (std::size_t RankId = 0; RankId < Map.ranks(); ++RankId)
      SampleMax = std::max<double>(
          SampleMax, Loads.forRank(static_cast<Rank>(RankId))[Index]);
    MaxLoad += Samples[Index].m_Weight * SampleMax;
    MeanLoad +=
        Samples[Index].m_Weight * Sum / static_cast<double>(Map.ranks());
  }
  return MeanLoad > 0 ? MaxLoad / MeanLoad : 1;
}

/// One change of a map: a rank receives a copy of an expert, and may give up
/// another one in exchange.
struct MapChange {
  Expert m_Expert = 0;
  Rank m_From = 0;
  Rank m_To = 0;
  /// Whether m_From keeps its copy.
  bool m_KeepsSource = false;
  /// Whether m_Evicted is removed from m_To, and in a swap moved to m_From.
  bool m_Evicts = false;
  bool m_Swaps = false;
  Expert m_Evicted = 0;
  unsigned m_Copies = 1;
  /// Decrease of the weighted sum of the squared loads.
  double m_Gain = 0;
};

/// Searches for changes of the map of one layer set by greedy search.
class LayerSetOptimizer {
public:
  /// \param NewInAllSets the number of experts over all layer sets that are new
  /// to each rank; shared by the optimizers of all sets.
  LayerSetOptimizer(const ExpertMap &Present, const ChoiceSamples &Samples,
                    const PlacementLimits &Limits,
                    std::vector<std::size_t> &NewInAllSets)
      : m_Initial(Present), m_Map(Present), m_Samples(Samples),
        m_Limits(Limits), m_NewInAllSets(NewInAllSets),
        m_Loads(Present, Samples, Limits.m_Slowdowns),
        m_ExpertsByRank(Present.ranks()), m_NewByRank(Present.ranks(), 0),
        m_Choices(Present.experts() * Samples.size()) {
    for (std::size_t Index = 0; Index < Samples.size(); ++Index)
      for (Expert ExpertId = 0; ExpertId < Present.experts(); ++ExpertId)
        m_Choices[ExpertId * Samples.size() + Index] =
            Samples[Index].m_Choices[ExpertId];
    for (Expert ExpertId = 0; ExpertId < m_Map.experts(); ++ExpertId)
      for (const Rank RankId : m_Map.replicas(ExpertId))
        m_ExpertsByRank[RankId].push_back(ExpertId);
    for (const ChoiceSample &Each : Samples) {
      const double MeanLoad =
          std::accumulate(Each.m_Choices.begin(), Each.m_Choices.end(), 0.0) /
          static_cast<double>(Present.ranks());
      m_MeanSquare += Each.m_Weight * MeanLoad * MeanLoad;
    }
  }

  /// Finds the change with the largest gain for each copy. Reuses the result of
  /// the previous call while it is still within the limits.
  /// \returns the gain for each copy, relative to the square of the mean load;
  /// 0 if no change is worthwhile.
  double findBestChange() {
    if (!m_BestChange || !fits(*m_BestChange))
      m_BestChange = searchChanges();
    const double Gain =
        m_BestChange->m_Gain /
        (m_MeanSquare * static_cast<double>(m_BestChange->m_Copies));
    return Gain > m_Limits.m_MinGainPerCopy ? Gain : 0;
  }

  /// Applies the change that findBestChange() found.
  void applyBestChange() {
    apply(*m_BestChange);
    m_BestChange.reset();
  }

  [[nodiscard]] const ExpertMap &map() const { return m_Map; }

private:
  /// An expert and the change of the share of its load that a rank has.
  struct ShareDelta {
    Expert m_Expert = 0;
    float m_Share = 0;
  };

  [[nodiscard]] const float *choices(Expert ExpertId) const {
    return m_Choices.data() + ExpertId * m_Samples.size();
  }

  [[nodiscard]] float copies(Expert ExpertId) const {
    return static_cast<float>(m_Map.replicas(ExpertId).size());
  }

  [[nodiscard]] bool isNew(Rank RankId, Expert ExpertId) const {
    return !m_Initial.holds(RankId, ExpertId);
  }

  /// \returns the change of the weighted sum of squared loads of \p RankId.
  [[nodiscard]] double squareChange(Rank RankId, ShareDelta A,
                                    ShareDelta B) const {
    const float *Load = m_Loads.forRank(RankId);
    const float *OfA = choices(A.m_Expert);
    const float *OfB = choices(B.m_Expert);
    const float Slowdown = slowdownOf(m_Limits.m_Slowdowns, RankId);
    float Sum = 0;
    for (std::size_t Index = 0; Index < m_Samples.size(); ++Index) {
      const float Added =
          Slowdown * (A.m_Share * OfA[Index] + B.m_Share * OfB[Index]);
      Sum += m_Samples[Index].m_Weight * Added * (2 * Load[Index] + Added);
    }
    return Sum;
  }

  [[nodiscard]] double square(Rank RankId) const {
    const float *Load = m_Loads.forRank(RankId);
    double Sum = 0;
    for (std::size_t Index = 0; Index < m_Samples.size(); ++Index)
      Sum += m_Samples[Index].m_Weight * Load[Index] * Load[Index];
    return Sum;
  }

  MapChange searchChanges() {
    std::vector<std::pair<double, Rank>> ByLoad;
    for (std::size_t RankId = 0; RankId < m_NewByRank.size(); ++RankId)
      ByLoad.emplace_back(square(static_cast<Rank>(RankId)),
                          static_cast<Rank>(RankId));
    std::sort(ByLoad.begin(), ByLoad.end());
    MapChange Best;
    const std::size_t Receivers =
        std::min(m_Limits.m_MaxReceivers, ByLoad.size() - 1);
    for (std::size_t Index = 0; Index < Receivers; ++Index)
      evaluatePair(ByLoad.back().second, ByLoad[Index].second, Best);
    return Best;
  }

  void evaluatePair(Rank From, Rank To, MapChange &Best) {
    for (const Expert ExpertId : m_ExpertsByRank[From]) {
      if (m_Map.holds(To, ExpertId))
        continue;
      MapChange Candidate;
      Candidate.m_Expert = ExpertId;
      Candidate.m_From = From;
      Candidate.m_To = To;
      if (m_ExpertsByRank[To].size() < m_Limits.m_SlotsPerRank) {
        evaluate(Candidate, Best);
        Candidate.m_KeepsSource = true;
        evaluate(Candidate, Best);
      }
      evaluateEvictions(Candidate, Best);
    }
  }

  void evaluateEvictions(MapChange Candidate, MapChange &Best) {
    Candidate.m_Evicts = true;
    for (const Expert Evicted : m_ExpertsByRank[Candidate.m_To]) {
      Candidate.m_Evicted = Evicted;
      Candidate.m_Swaps = false;
      Candidate.m_Copies = 1;
      if (m_Map.replicas(Evicted).size() > 1) {
        Candidate.m_KeepsSource = true;
        evaluate(Candidate, Best);
        Candidate.m_KeepsSource = false;
        evaluate(Candidate, Best);
      }
      if (m_Map.holds(Candidate.m_From, Evicted))
        continue;
      Candidate.m_KeepsSource = false;
      Candidate.m_Swaps = true;
      Candidate.m_Copies = isNew(Candidate.m_From, Evicted) ? 2 : 1;
      evaluate(Candidate, Best);
    }
  }

  void evaluate(MapChange Candidate, MapChange &Best) {
    if (!fits(Candidate))
      return;
    Candidate.m_Gain = gain(Candidate);
    const auto GainPerCopy = [](const MapChange &One) {
      return One.m_Gain / static_cast<double>(One.m_Copies);
    };
    if (Candidate.m_Gain > 0 && GainPerCopy(Candidate) > GainPerCopy(Best))
      Best = Candidate;
  }

  /// \returns whether the ranks stay within the limits on new experts.
  [[nodiscard]] bool fits(const MapChange &Change) const {
    std::size_t New = m_NewByRank[Change.m_To];
    New += isNew(Change.m_To, Change.m_Expert) ? 1 : 0;
    if (Change.m_Evicts && isNew(Change.m_To, Change.m_Evicted))
      --New;
    if (!fits(Change.m_To, New))
      return false;
    if (!Change.m_Swaps)
      return true;
    std::size_t NewBack = m_NewByRank[Change.m_From];
    NewBack += isNew(Change.m_From, Change.m_Evicted) ? 1 : 0;
    if (isNew(Change.m_From, Change.m_Expert))
      --NewBack;
    return fits(Change.m_From, NewBack);
  }

  /// \returns whether \p RankId may hold \p New new experts of this layer set.
  [[nodiscard]] bool fits(Rank RankId, std::size_t New) const {
    return New <= m_Limits.m_MaxNewPerRank &&
           m_NewInAllSets[RankId] - m_NewByRank[RankId] + New <=
               m_Limits.m_MaxNewPerRankInAllSets;
  }

  /// \returns the decrease of the weighted sum of squared loads.
  [[nodiscard]] double gain(const MapChange &Change) const {
    const Expert In = Change.m_Expert;
    const Expert Out = Change.m_Evicts ? Change.m_Evicted : In;
    ShareDelta InTo{In, 1 / copies(In)};
    ShareDelta InFrom{In, -1 / copies(In)};
    ShareDelta InOthers{In, 0};
    if (Change.m_KeepsSource) {
      InTo.m_Share = 1 / (copies(In) + 1);
      InFrom.m_Share = InTo.m_Share - 1 / copies(In);
      InOthers.m_Share = InFrom.m_Share;
    }
    ShareDelta OutTo{Out, 0};
    ShareDelta OutFrom{Out, 0};
    ShareDelta OutOthers{Out, 0};
    if (Change.m_Evicts)
      OutTo.m_Share = -1 / copies(Out);
    if (Change.m_Swaps)
      OutFrom.m_Share = 1 / copies(Out);
    else if (Change.m_Evicts)
      OutOthers.m_Share = 1 / (copies(Out) - 1) - 1 / copies(Out);
    double Delta = squareChange(Change.m_To, InTo, OutTo);
    if (OutOthers.m_Share != 0 && m_Map.holds(Change.m_From, Out))
      OutFrom.m_Share = OutOthers.m_Share;
    Delta += squareChange(Change.m_From, InFrom, OutFrom);
    if (InOthers.m_Share != 0)
      Delta += othersChange(Change, InOthers, OutOthers);
    if (OutOthers.m_Share != 0)
      Delta += evictedChange(Change, InOthers, OutOthers);
    return -Delta;
  }

  /// \returns the change of the sum at the other ranks that hold the expert
  /// that is copied or moved.
  [[nodiscard]] double othersChange(const MapChange &Change, ShareDelta In,
                                    ShareDelta Out) const {
    double Delta = 0;
    for (const Rank RankId : m_Map.replicas(In.m_Expert)) {
      if (RankId == Change.m_From || RankId == Change.m_To)
        continue;
      const bool Both = Out.m_Share != 0 && m_Map.holds(RankId, Out.m_Expert);
      Delta +=
          squareChange(RankId, In, Both ? Out : ShareDelta{Out.m_Expert, 0});
    }
    return Delta;
  }

  /// \returns the change of the sum at the other ranks that hold the evicted
  /// expert but not the one that is copied or moved.
  [[nodiscard]] double evictedChange(const MapChange &Change, ShareDelta In,
                                     ShareDelta Out) const {
    double Delta = 0;
    for (const Rank RankId : m_Map.replicas(Out.m_Expert)) {
      if (RankId == Change.m_From || RankId == Change.m_To)
        continue;
      if (In.m_Share != 0 && m_Map.holds(RankId, In.m_Expert))
        continue;
      Delta += squareChange(RankId, ShareDelta{In.m_Expert, 0}, Out);
    }
    return Delta;
  }

  void addCopy(Expert ExpertId, Rank RankId) {
    m_Map.add(ExpertId, RankId);
    m_ExpertsByRank[RankId].push_back(ExpertId);
    m_NewByRank[RankId] += isNew(RankId, ExpertId) ? 1 : 0;
    m_NewInAllSets[RankId] += isNew(RankId, ExpertId) ? 1 : 0;
  }

  void removeCopy(Expert ExpertId, Rank RankId) {
    m_Map.remove(ExpertId, RankId);
    std::erase(m_ExpertsByRank[RankId], ExpertId);
    m_NewByRank[RankId] -= isNew(RankId, ExpertId) ? 1 : 0;
    m_NewInAllSets[RankId] -= isNew(RankId, ExpertId) ? 1 : 0;
  }

  void apply(const MapChange &Chosen) {
    // Copies are added before others are removed, so that an expert is never
    // without a copy.
    addCopy(Chosen.m_Expert, Chosen.m_To);
    if (!Chosen.m_KeepsSource)
      removeCopy(Chosen.m_Expert, Chosen.m_From);
    if (Chosen.m_Swaps)
      addCopy(Chosen.m_Evicted, Chosen.m_From);
    if (Chosen.m_Evicts)
      removeCopy(Chosen.m_Evicted, Chosen.m_To);
    m_Loads = SampleLoads(m_Map, m_Samples, m_Limits.m_Slowdowns);
  }

  const ExpertMap &m_Initial;
  ExpertMap m_Map;
  const ChoiceSamples &m_Samples;
  const PlacementLimits &m_Limits;
  std::vector<std::size_t> &m_NewInAllSets;
  SampleLoads m_Loads;
  std::vector<std::vector<Expert>> m_ExpertsByRank;
  std::vector<std::size_t> m_NewByRank;
  /// Choices of all samples, grouped by expert.
  std::vector<float> m_Choices;
  /// Weighted sum of the squared mean loads of the samples.
  double m_MeanSquare = 0;
  std::optional<MapChange> m_BestChange;
};

} // namespace

LayerMaps initialMaps(std::size_t Sets, std::size_t Ranks,
                      std::size_t Experts) {
  ExpertMap Map(Ranks, Experts);
  for (std::size_t ExpertId = 0; ExpertId < Experts; ++ExpertId)
    Map.add(static_cast<Expert>(ExpertId), static_cast<Rank>(ExpertId % Ranks));
  return LayerMaps(Sets, Map);
}

std::vector<std::uint32_t> encodeMaps(const LayerMaps &Maps) {
  const std::size_t Ranks = Maps.empty() ? 0 : Maps.front().ranks();
  std::vector<std::uint32_t> Numbers = {static_cast<std::uint32_t>(Maps.size()),
                                        static_cast<std::uint32_t>(Ranks)};
  for (const ExpertMap &Map : Maps)
    for (const std::vector<Expert> &Held : Map.expertsByRank()) {
      Numbers.push_back(static_cast<std::uint32_t>(Held.size()));
      Numbers.insert(Numbers.end(), Held.begin(), Held.end());
    }
  return Numbers;
}

base::Result<LayerMaps> decodeMaps(const std::vector<std::uint32_t> &Numbers,
                                   std::size_t Experts) {
  constexpr std::size_t HeaderLength = 2;
  constexpr std::uint32_t MaxSets = 1024;
  constexpr std::uint32_t MaxRanks = 4096;
  const auto Malformed = [] {
    return base::failure(base::ResultCode::BadMessage,
                         "malformed encoding of expert maps");
  };
  if (Numbers.size() < HeaderLength || Numbers[0] > MaxSets ||
      Numbers[1] > MaxRanks)
    return Malformed();
  LayerMaps Maps(Numbers[0], ExpertMap(Numbers[1], Experts));
  std::size_t Position = HeaderLength;
  for (ExpertMap &Map : Maps)
    for (Rank RankId = 0; RankId < Numbers[1]; ++RankId) {
      if (Position >= Numbers.size() ||
          Numbers[Position] > Numbers.size() - Position - 1)
        return Malformed();
      const std::size_t End = Position + 1 + Numbers[Position];
      for (++Position; Position < End; ++Position) {
        if (Numbers[Position] >= Experts)
          return Malformed();
        Map.add(Numbers[Position], RankId);
      }
    }
  if (Position != Numbers.size())
    return Malformed();
  return Maps;
}

std::vector<std::size_t> copiesPerRank(const LayerMaps &Next,
                                       const LayerMaps &Present) {
  std::vector<std::size_t> Copies;
  for (std::size_t Set = 0; Set < Next.size(); ++Set) {
    Copies.resize(std::max(Copies.size(), Next[Set].ranks()));
    for (Expert ExpertId = 0; ExpertId < Next[Set].experts(); ++ExpertId)
      for (const Rank RankId : Next[Set].replicas(ExpertId))
        if (!Present[Set].holds(RankId, ExpertId))
          ++Copies[RankId];
  }
  return Copies;
}

double expectedSkew(const LayerMaps &Maps, const LayerSamples &Samples,
                    const RankSlowdowns &Slowdowns) {
  if (Maps.empty())
    return 1;
  double Sum = 0;
  for (std::size_t Set = 0; Set < Maps.size(); ++Set)
    Sum += layerSetSkew(Maps[Set], Samples[Set], Slowdowns);
  return Sum / static_cast<double>(Maps.size());
}

LayerMaps improveMaps(const LayerMaps &Present, const LayerSamples &Samples,
                      const PlacementLimits &Limits) {
  const std::size_t Ranks = Present.empty() ? 0 : Present.front().ranks();
  std::vector<std::size_t> NewInAllSets(Ranks, 0);
  std::vector<LayerSetOptimizer> Sets;
  Sets.reserve(Present.size());
  for (std::size_t Set = 0; Set < Present.size(); ++Set)
    Sets.emplace_back(Present[Set], Samples[Set], Limits, NewInAllSets);
  // Always applies the best change of all layer sets, so that one set does not
  // use up the copies that the ranks may make.
  const std::size_t MaxChanges = Present.size() * Ranks * Limits.m_SlotsPerRank;
  for (std::size_t Count = 0; Count < MaxChanges; ++Count) {
    LayerSetOptimizer *Best = nullptr;
    double Gain = 0;
    for (LayerSetOptimizer &Each : Sets)
      if (const double Found = Each.findBestChange(); Found > Gain) {
        Gain = Found;
        Best = &Each;
      }
    if (!Best)
      break;
    Best->applyBestChange();
  }
  LayerMaps Improved;
  for (const LayerSetOptimizer &Each : Sets)
    Improved.push_back(Each.map());
  return Improved;
}

} // namespace corneldeck::rankgroup
