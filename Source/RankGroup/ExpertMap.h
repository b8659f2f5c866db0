#ifndef CORNELDECK_RANKGROUP_EXPERTMAP_H
#define CORNELDECK_RANKGROUP_EXPERTMAP_H

#include "Base/Error.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace corneldeck::rankgroup {

/// Assigns each expert to the ranks that hold a copy of it.
///
/// An expert may have several replicas, each on a different rank. One map
/// applies to all layers of a group, or to one layer set in LayerMaps.
class ExpertMap {
public:
  using Rank = std::uint16_t;
  using Expert = std::uint32_t;

  ExpertMap() = default;

  /// Creates a map in which no expert has a copy.
  ExpertMap(std::size_t Ranks, std::size_t Experts);

  /// \returns a map with one copy of each expert, in which every rank holds a
  /// contiguous range of experts of about equal length.
  static ExpertMap contiguous(std::size_t Ranks, std::size_t Experts);

  [[nodiscard]] std::size_t ranks() const { return m_Ranks; }
  [[nodiscard]] std::size_t experts() const { return m_Replicas.size(); }

  /// \returns the ranks that hold \p ExpertId, in ascending order.
  [[nodiscard]] const std::vector<Rank> &replicas(Expert ExpertId) const {
    return m_Replicas[ExpertId];
  }

  /// \returns true if \p RankId holds a copy of \p ExpertId.
  [[nodiscard]] bool holds(Rank RankId, Expert ExpertId) const;

  /// Adds a copy. Does nothing if the rank already holds the expert.
  void add(Expert ExpertId, Rank RankId);

  /// Removes a copy. Does nothing if the rank does not hold the expert.
  void remove(Expert ExpertId, Rank RankId);

  /// \returns the experts of each rank, in ascending order.
  [[nodiscard]] std::vector<std::vector<Expert>> expertsByRank() const;

  /// \returns the number of memory slots that each rank uses.
  [[nodiscard]] std::vector<std::size_t> slotsUsed() const;

  /// \returns the experts that \p RankId must load to switch from \p Old to
  /// this map.
  [[nodiscard]] std::vector<Expert> expertsToLoad(const ExpertMap &Old,
                                                  Rank RankId) const;

  /// \returns the number of copies that all ranks together must load to switch
  /// from \p Old to this map.
  [[nodiscard]] std::size_t copiesToLoad(const ExpertMap &Old) const;

  /// Checks that every expert has a copy, that each copy is on a rank of the
  /// group and that no rank needs more than \p SlotsPerRank slots.
  /// \returns RejectedInvalid with the first violation found.
  [[nodiscard]] base::Result<void> validate(std::size_t SlotsPerRank) const;

  bool operator==(const ExpertMap &) const = default;

private:
  std::size_t m_Ranks = 0;
  std::vector<std::vector<Rank>> m_Replicas;
};

} // namespace corneldeck::rankgroup

#endif
