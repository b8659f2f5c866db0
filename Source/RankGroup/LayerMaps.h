#ifndef CORNELDECK_RANKGROUP_LAYERMAPS_H
#define CORNELDECK_RANKGROUP_LAYERMAPS_H

#include "RankGroup/ExpertMap.h"

#include <cstdint>
#include <limits>
#include <vector>

namespace corneldeck::rankgroup {

/// One expert map for each layer set of a group.
using LayerMaps = std::vector<ExpertMap>;

/// What some requests chose in one layer set: a number for each expert.
struct ChoiceSample {
  std::vector<float> m_Choices;
  /// How much the sample counts beside others.
  float m_Weight = 1;
};

/// Samples of one layer set. Their sum says what is popular; their differences
/// say which experts are wanted at the same time.
using ChoiceSamples = std::vector<ChoiceSample>;

/// Samples, layer set by layer set.
using LayerSamples = std::vector<ChoiceSamples>;

/// \returns the maps that an engine starts with: experts in turn over the
/// ranks.
LayerMaps initialMaps(std::size_t Sets, std::size_t Ranks, std::size_t Experts);

/// \returns \p Maps as numbers: sets, ranks, then the experts of each set and
/// rank after their number.
std::vector<std::uint32_t> encodeMaps(const LayerMaps &Maps);

/// Reads what packMaps() wrote.
/// \returns BadMessage if the numbers are no maps of \p Experts experts.
base::Result<LayerMaps> decodeMaps(const std::vector<std::uint32_t> &Numbers,
                                   std::size_t Experts);

/// How much longer than the others each rank takes for the same work; empty if
/// all are equal.
using RankSlowdowns = std::vector<float>;

/// \returns the mean over the layer sets of how much longer the slowest rank is
/// expected to take than evenly loaded ranks of usual pace, sample by sample.
double expectedSkew(const LayerMaps &Maps, const LayerSamples &Samples,
                    const RankSlowdowns &Slowdowns = {});

/// The bounds of one change of maps.
struct PlacementLimits {
  /// Experts that one rank holds of a layer set.
  std::size_t m_SlotsPerRank = 0;
  /// Experts of a layer set that are new to one rank.
  std::size_t m_MaxNewPerRank = 0;
  /// Experts of all layer sets together that are new to one rank; it copies
  /// them one after the other.
  std::size_t m_MaxNewPerRankInAllSets =
      std::numeric_limits<std::size_t>::max();
  /// A change must lower the mean square of the ranks' loads, as a share of the
  /// square of the mean load, by this for each copy.
  double m_MinGainPerCopy = 0.004;
  /// Ranks that are weighed as receivers, the emptiest first.
  std::size_t m_MaxReceivers = 12;
  RankSlowdowns m_Slowdowns;
};

/// Moves and copies a few experts so that the fullest ranks have less to do.
///
/// Answers a shift of popularity, prompts of which each wants other experts,
/// and slow ranks: hot experts get copies, experts that are wanted at the same
/// time go to different ranks, and slow ranks get less, as long as each copy
/// pays. \param Samples for each layer set of \p Present. \returns the new
/// maps; \p Present if nothing pays.
LayerMaps improveMaps(const LayerMaps &Present, const LayerSamples &Samples,
                      const PlacementLimits &Limits);

} // namespace corneldeck::rankgroup

#endif
