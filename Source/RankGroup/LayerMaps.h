#ifndef CORNELDECK_RANKGROUP_LAYERMAPS_H
#define CORNELDECK_RANKGROUP_LAYERMAPS_H

#include "RankGroup/ExpertMap.h"

#include <cstdint>
#include <vector>

namespace corneldeck::rankgroup {

/// One expert map for each layer set of a group.
using LayerMaps = std::vector<ExpertMap>;

/// Popularity of each expert, layer set by layer set.
using LayerPopularity = std::vector<std::vector<double>>;

/// \returns the maps that an engine starts with: experts in turn over the
/// ranks.
LayerMaps startMaps(std::size_t Sets, std::size_t Ranks, std::size_t Experts);

/// \returns \p Maps as numbers: sets, ranks, then the experts of each set and
/// rank after their number.
std::vector<std::uint32_t> packMaps(const LayerMaps &Maps);

/// Reads what packMaps() wrote.
/// \returns BadMessage if the numbers are no maps of \p Experts experts.
base::Result<LayerMaps> unpackMaps(const std::vector<std::uint32_t> &Numbers,
                                   std::size_t Experts);

/// \returns the mean over the layer sets of the fullest rank's load over the
/// mean rank's.
double meanSkew(const LayerMaps &Maps, const LayerPopularity &Popularity);

/// The bounds of one change of maps.
struct PlacementLimits {
  /// Experts that one rank holds of a layer set.
  std::size_t m_Slots = 0;
  /// Experts of a layer set that are new to one rank.
  std::size_t m_NewPerRank = 0;
  /// A change must lower the skew of its layer set by this for each copy.
  double m_GainPerCopy = 0.004;
  /// A layer set whose fullest rank has at most this over the mean is left.
  double m_GoodSkew = 1.05;
};

/// Moves and copies a few experts of one layer set so that its fullest ranks
/// have less to do.
///
/// Answers a shift of popularity: hot experts get copies, and the fullest rank
/// gives away or swaps others, as long as each copy pays.
/// \param Popularity what each expert is chosen, in any unit.
/// \returns the new map; \p Present if nothing pays.
ExpertMap improvePlacement(const ExpertMap &Present,
                           const std::vector<double> &Popularity,
                           const PlacementLimits &Limits);

} // namespace corneldeck::rankgroup

#endif
