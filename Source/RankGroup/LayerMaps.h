#ifndef CORNELDECK_RANKGROUP_LAYERMAPS_H
#define CORNELDECK_RANKGROUP_LAYERMAPS_H

#include "RankGroup/ExpertMap.h"

#include <cstdint>
#include <limits>
#include <vector>

namespace corneldeck::rankgroup {

/// One expert map for each layer set of a group. A layer set is a group of
/// model layers that share a map.
using LayerMaps = std::vector<ExpertMap>;

/// Numbers of tokens that some requests routed to each expert of one layer set.
struct ChoiceSample {
  std::vector<float> m_Choices;
  /// Weight of the sample relative to others.
  float m_Weight = 1;
};

/// Samples of one layer set. Their sum gives the popularity of the experts, and
/// their differences show which experts are used at the same time.
using ChoiceSamples = std::vector<ChoiceSample>;

/// Samples for each layer set.
using LayerSamples = std::vector<ChoiceSamples>;

/// \returns the maps that an engine starts with: the experts are assigned to
/// the ranks round-robin.
LayerMaps initialMaps(std::size_t Sets, std::size_t Ranks, std::size_t Experts);

/// \returns \p Maps as a list of numbers: the number of sets, the number of
/// ranks, then for each set and rank the number of experts and the experts.
std::vector<std::uint32_t> encodeMaps(const LayerMaps &Maps);

/// Decodes the output of encodeMaps().
/// \returns BadMessage if \p Numbers does not encode maps of \p Experts
/// experts.
base::Result<LayerMaps> decodeMaps(const std::vector<std::uint32_t> &Numbers,
                                   std::size_t Experts);

/// \returns for each rank the number of experts of all layer sets that it must
/// copy to use \p Next instead of \p Present.
std::vector<std::size_t> copiesPerRank(const LayerMaps &Next,
                                       const LayerMaps &Present);

/// Each rank's time for a unit of work relative to a rank at normal speed.
/// Empty if all ranks run at normal speed.
using RankSlowdowns = std::vector<float>;

/// \returns the expected load skew, as the mean over the layer sets. The skew
/// of a set is the weighted sum of the slowest rank's time in each sample,
/// relative to the same sum if the load were even and all ranks ran at normal
/// speed.
double expectedSkew(const LayerMaps &Maps, const LayerSamples &Samples,
                    const RankSlowdowns &Slowdowns = {});

/// Limits on the maps that improveMaps() may return.
struct PlacementLimits {
  /// Maximum number of experts of a layer set on one rank.
  std::size_t m_SlotsPerRank = 0;
  /// Maximum number of experts of a layer set that are new to one rank.
  std::size_t m_MaxNewPerRank = 0;
  /// Maximum number of experts of all layer sets together that are new to one
  /// rank, which copies them one after the other.
  std::size_t m_MaxNewPerRankInAllSets =
      std::numeric_limits<std::size_t>::max();
  /// Minimum gain of a change for each copy that it needs. The gain is the
  /// decrease of the sum of the squared loads of all ranks, relative to the
  /// square of the mean load. It does not depend on the number of ranks that a
  /// change does not affect.
  double m_MinGainPerCopy = 0.05;
  /// Number of ranks, from the least loaded on, that are considered as
  /// receivers of an expert.
  std::size_t m_MaxReceivers = 12;
  RankSlowdowns m_Slowdowns;
};

/// Moves and copies a few experts to reduce the load of the most loaded ranks.
///
/// Hot experts get more copies, experts that are used at the same time are
/// placed on different ranks, and slow ranks get less load, as long as the gain
/// of each copy reaches the limit.
/// \param Samples the samples of each layer set of \p Present.
/// \returns the new maps; \p Present if no change is worthwhile.
LayerMaps improveMaps(const LayerMaps &Present, const LayerSamples &Samples,
                      const PlacementLimits &Limits);

} // namespace corneldeck::rankgroup

#endif
