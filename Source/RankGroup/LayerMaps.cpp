#include "RankGroup/LayerMaps.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace corneldeck::rankgroup {

namespace {

using Rank = ExpertMap::Rank;
using Expert = ExpertMap::Expert;

float paceOf(const RankSlowdowns &Paces, Rank Where) {
  return Where < Paces.size() ? Paces[Where] : 1.0F;
}

/// The time that each rank takes for its load, sample by sample.
class SampleLoads {
public:
  SampleLoads(const ExpertMap &Map, const ChoiceSamples &Samples,
              const RankSlowdowns &Paces)
      : m_Count(Samples.size()), m_Loads(Map.ranks() * m_Count, 0.0F) {
    for (std::size_t Index = 0; Index < m_Count; ++Index)
      for (Expert Which = 0; Which < Map.experts(); ++Which) {
        const std::vector<Rank> &Copies = Map.replicas(Which);
        const float Share =
            Samples[Index].m_Choices[Which] / static_cast<float>(Copies.size());
        for (const Rank Where : Copies)
          m_Loads[Where * m_Count + Index] += Share * paceOf(Paces, Where);
      }
  }

  [[nodiscard]] float *of(Rank Where) {
    return m_Loads.data() + Where * m_Count;
  }
  [[nodiscard]] const float *of(Rank Where) const {
    return m_Loads.data() + Where * m_Count;
  }
  [[nodiscard]] std::size_t samples() const { return m_Count; }

private:
  std::size_t m_Count;
  std::vector<float> m_Loads;
};

double setSkew(const ExpertMap &Map, const ChoiceSamples &Samples,
               const RankSlowdowns &Paces) {
  const SampleLoads Loads(Map, Samples, Paces);
  double Fullest = 0;
  double Mean = 0;
  for (std::size_t Index = 0; Index < Samples.size(); ++Index) {
    const std::vector<float> &Choices = Samples[Index].m_Choices;
    const double Sum = std::accumulate(Choices.begin(), Choices.end(), 0.0);
    double Max = 0;
    for (std::size_t Where = 0; Where < Map.ranks(); ++Where)
      Max = std::max<double>(Max, Loads.of(static_cast<Rank>(Where))[Index]);
    Fullest += Samples[Index].m_Weight * Max;
    Mean += Samples[Index].m_Weight * Sum / static_cast<double>(Map.ranks());
  }
  return Mean > 0 ? Fullest / Mean : 1;
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
  /// By how much the weighted sum of the squared loads falls.
  double m_Gain = 0;
};

/// Searches the steps of one layer set.
class Placement {
public:
  /// \param NewInAll counts the experts new to each rank over all layer sets.
  Placement(const ExpertMap &Present, const ChoiceSamples &Samples,
            const PlacementLimits &Limits, std::vector<std::size_t> &NewInAll)
      : m_Start(Present), m_Map(Present), m_Samples(Samples), m_Limits(Limits),
        m_NewInAll(NewInAll), m_Loads(Present, Samples, Limits.m_Paces),
        m_Held(Present.ranks()), m_New(Present.ranks(), 0),
        m_Choices(Present.experts() * Samples.size()) {
    for (std::size_t Index = 0; Index < Samples.size(); ++Index)
      for (Expert Which = 0; Which < Present.experts(); ++Which)
        m_Choices[Which * Samples.size() + Index] =
            Samples[Index].m_Choices[Which];
    for (Expert Which = 0; Which < m_Map.experts(); ++Which)
      for (const Rank Where : m_Map.replicas(Which))
        m_Held[Where].push_back(Which);
    for (const ChoiceSample &Each : Samples) {
      const double Mean =
          std::accumulate(Each.m_Choices.begin(), Each.m_Choices.end(), 0.0) /
          static_cast<double>(Present.ranks());
      m_Ideal +=
          Each.m_Weight * Mean * Mean * static_cast<double>(Present.ranks());
    }
  }

  /// Finds the step that gains most for each copy, unless the one found before
  /// still stands.
  /// \returns its gain as a share of the load, 0 if no step pays.
  double look() {
    if (!m_Best || !fits(*m_Best))
      m_Best = best();
    const double Gain =
        m_Best->m_Gain / (m_Ideal * static_cast<double>(m_Best->m_Copies));
    return Gain > m_Limits.m_GainPerCopy ? Gain : 0;
  }

  /// Takes the step that look() found.
  void step() {
    apply(*m_Best);
    m_Best.reset();
  }

  [[nodiscard]] const ExpertMap &map() const { return m_Map; }

private:
  /// An expert and the part of its choices that a rank gets or loses.
  struct Part {
    Expert m_Expert = 0;
    float m_Share = 0;
  };

  [[nodiscard]] const float *choices(Expert Which) const {
    return m_Choices.data() + Which * m_Samples.size();
  }

  [[nodiscard]] float copies(Expert Which) const {
    return static_cast<float>(m_Map.replicas(Which).size());
  }

  [[nodiscard]] bool isNew(Rank Where, Expert Which) const {
    return !m_Start.holds(Where, Which);
  }

  /// \returns the change of the weighted sum of squares at \p Where.
  [[nodiscard]] double squareChange(Rank Where, Part A, Part B) const {
    const float *Load = m_Loads.of(Where);
    const float *OfA = choices(A.m_Expert);
    const float *OfB = choices(B.m_Expert);
    const float Pace = paceOf(m_Limits.m_Paces, Where);
    float Sum = 0;
    for (std::size_t Index = 0; Index < m_Samples.size(); ++Index) {
      const float Added =
          Pace * (A.m_Share * OfA[Index] + B.m_Share * OfB[Index]);
      Sum += m_Samples[Index].m_Weight * Added * (2 * Load[Index] + Added);
    }
    return Sum;
  }

  [[nodiscard]] double square(Rank Where) const {
    const float *Load = m_Loads.of(Where);
    double Sum = 0;
    for (std::size_t Index = 0; Index < m_Samples.size(); ++Index)
      Sum += m_Samples[Index].m_Weight * Load[Index] * Load[Index];
    return Sum;
  }

  Step best() {
    std::vector<std::pair<double, Rank>> ByLoad;
    for (std::size_t Where = 0; Where < m_New.size(); ++Where)
      ByLoad.emplace_back(square(static_cast<Rank>(Where)),
                          static_cast<Rank>(Where));
    std::sort(ByLoad.begin(), ByLoad.end());
    Step Best;
    const std::size_t Receivers =
        std::min(m_Limits.m_Receivers, ByLoad.size() - 1);
    for (std::size_t Index = 0; Index < Receivers; ++Index)
      tryPair(ByLoad.back().second, ByLoad[Index].second, Best);
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
    if (!fits(Wanted.m_To, New))
      return false;
    if (!Wanted.m_Swaps)
      return true;
    std::size_t NewBack = m_New[Wanted.m_From];
    NewBack += isNew(Wanted.m_From, Wanted.m_Evicted) ? 1 : 0;
    if (isNew(Wanted.m_From, Wanted.m_Expert))
      --NewBack;
    return fits(Wanted.m_From, NewBack);
  }

  /// \returns whether \p Where may have \p New new experts of this layer set.
  [[nodiscard]] bool fits(Rank Where, std::size_t New) const {
    return New <= m_Limits.m_NewPerRank &&
           m_NewInAll[Where] - m_New[Where] + New <= m_Limits.m_NewPerRankInAll;
  }

  /// \returns by how much the weighted sum of squared loads falls.
  [[nodiscard]] double gain(const Step &Wanted) const {
    const Expert In = Wanted.m_Expert;
    const Expert Out = Wanted.m_Evicts ? Wanted.m_Evicted : In;
    Part InTo{In, 1 / copies(In)};
    Part InFrom{In, -1 / copies(In)};
    Part InOthers{In, 0};
    if (Wanted.m_Keep) {
      InTo.m_Share = 1 / (copies(In) + 1);
      InFrom.m_Share = InTo.m_Share - 1 / copies(In);
      InOthers.m_Share = InFrom.m_Share;
    }
    Part OutTo{Out, 0};
    Part OutFrom{Out, 0};
    Part OutOthers{Out, 0};
    if (Wanted.m_Evicts)
      OutTo.m_Share = -1 / copies(Out);
    if (Wanted.m_Swaps)
      OutFrom.m_Share = 1 / copies(Out);
    else if (Wanted.m_Evicts)
      OutOthers.m_Share = 1 / (copies(Out) - 1) - 1 / copies(Out);
    double Change = squareChange(Wanted.m_To, InTo, OutTo);
    if (OutOthers.m_Share != 0 && m_Map.holds(Wanted.m_From, Out))
      OutFrom.m_Share = OutOthers.m_Share;
    Change += squareChange(Wanted.m_From, InFrom, OutFrom);
    if (InOthers.m_Share != 0)
      Change += othersChange(Wanted, InOthers, OutOthers);
    if (OutOthers.m_Share != 0)
      Change += evictedChange(Wanted, InOthers, OutOthers);
    return -Change;
  }

  /// The change at the other ranks that hold the expert that comes.
  [[nodiscard]] double othersChange(const Step &Wanted, Part In,
                                    Part Out) const {
    double Change = 0;
    for (const Rank Where : m_Map.replicas(In.m_Expert)) {
      if (Where == Wanted.m_From || Where == Wanted.m_To)
        continue;
      const bool Both = Out.m_Share != 0 && m_Map.holds(Where, Out.m_Expert);
      Change += squareChange(Where, In, Both ? Out : Part{Out.m_Expert, 0});
    }
    return Change;
  }

  /// The change at the other ranks that hold only the expert that goes.
  [[nodiscard]] double evictedChange(const Step &Wanted, Part In,
                                     Part Out) const {
    double Change = 0;
    for (const Rank Where : m_Map.replicas(Out.m_Expert)) {
      if (Where == Wanted.m_From || Where == Wanted.m_To)
        continue;
      if (In.m_Share != 0 && m_Map.holds(Where, In.m_Expert))
        continue;
      Change += squareChange(Where, Part{In.m_Expert, 0}, Out);
    }
    return Change;
  }

  void place(Expert Which, Rank Where) {
    m_Map.add(Which, Where);
    m_Held[Where].push_back(Which);
    m_New[Where] += isNew(Where, Which) ? 1 : 0;
    m_NewInAll[Where] += isNew(Where, Which) ? 1 : 0;
  }

  void take(Expert Which, Rank Where) {
    m_Map.remove(Which, Where);
    std::erase(m_Held[Where], Which);
    m_New[Where] -= isNew(Where, Which) ? 1 : 0;
    m_NewInAll[Where] -= isNew(Where, Which) ? 1 : 0;
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
    m_Loads = SampleLoads(m_Map, m_Samples, m_Limits.m_Paces);
  }

  const ExpertMap &m_Start;
  ExpertMap m_Map;
  const ChoiceSamples &m_Samples;
  const PlacementLimits &m_Limits;
  std::vector<std::size_t> &m_NewInAll;
  SampleLoads m_Loads;
  std::vector<std::vector<Expert>> m_Held;
  std::vector<std::size_t> m_New;
  /// The samples, expert by expert.
  std::vector<float> m_Choices;
  /// The weighted sum of squares if all ranks had the same load.
  double m_Ideal = 0;
  std::optional<Step> m_Best;
};

} // namespace

LayerMaps initialMaps(std::size_t Sets, std::size_t Ranks,
                      std::size_t Experts) {
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

double expectedSkew(const LayerMaps &Maps, const LayerSamples &Samples,
                    const RankSlowdowns &Paces) {
  if (Maps.empty())
    return 1;
  double Sum = 0;
  for (std::size_t Set = 0; Set < Maps.size(); ++Set)
    Sum += setSkew(Maps[Set], Samples[Set], Paces);
  return Sum / static_cast<double>(Maps.size());
}

LayerMaps improveMaps(const LayerMaps &Present, const LayerSamples &Samples,
                      const PlacementLimits &Limits) {
  const std::size_t Ranks = Present.empty() ? 0 : Present.front().ranks();
  std::vector<std::size_t> NewInAll(Ranks, 0);
  std::vector<Placement> Sets;
  Sets.reserve(Present.size());
  for (std::size_t Set = 0; Set < Present.size(); ++Set)
    Sets.emplace_back(Present[Set], Samples[Set], Limits, NewInAll);
  // The layer sets take turns, so that none uses up what the ranks may copy.
  const std::size_t MostSteps = Present.size() * Ranks * Limits.m_Slots;
  for (std::size_t Count = 0; Count < MostSteps; ++Count) {
    Placement *Best = nullptr;
    double Gain = 0;
    for (Placement &Each : Sets)
      if (const double Found = Each.look(); Found > Gain) {
        Gain = Found;
        Best = &Each;
      }
    if (!Best)
      break;
    Best->step();
  }
  LayerMaps Better;
  for (const Placement &Each : Sets)
    Better.push_back(Each.map());
  return Better;
}

} // namespace corneldeck::rankgroup
