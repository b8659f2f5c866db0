#ifndef CORNELDECK_RANKGROUP_EXPERTMAP_H
#define CORNELDECK_RANKGROUP_EXPERTMAP_H

#include "Base/Error.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace corneldeck::rankgroup {

/// Says which ranks hold a copy of each expert.
///
/// An expert may have several replicas, each on another rank. Every layer of
/// the group uses the same map.
class ExpertMap {
public:
  using Rank = std::uint16_t;
  using Expert = std::uint32_t;

  ExpertMap() = default;

  /// Makes a map without any copy.
  ExpertMap(std::size_t Ranks, std::size_t Experts);

  /// \returns the map that a group starts with: equal runs of neighbouring
  /// experts, one copy each.
  static ExpertMap contiguous(std::size_t Ranks, std::size_t Experts);

  [[nodiscard]] std::size_t ranks() const { return m_Ranks; }
  [[nodiscard]] std::size_t experts() const { return m_Replicas.size(); }

  /// \returns the ranks that hold \p Which, in ascending order.
  [[nodiscard]] const std::vector<Rank> &replicas(Expert ExpertId) const {
    return m_Replicas[ExpertId];
  }

  /// \returns true if \p Where holds a copy of \p Which.
  [[nodiscard]] bool holds(Rank RankId, Expert ExpertId) const;

  /// Adds a copy; a copy that is there already stays the only one.
  void add(Expert ExpertId, Rank RankId);

  /// Removes a copy, if there is one.
  void remove(Expert ExpertId, Rank RankId);

  /// \returns how many memory slots each rank uses.
  [[nodiscard]] std::vector<std::size_t> slotsUsed() const;

  /// \returns the experts that \p Where must load to go from \p Old to this.
  [[nodiscard]] std::vector<Expert> expertsToLoad(const ExpertMap &Old,
                                                  Rank RankId) const;

  /// \returns how many copies all ranks together load to go from \p Old to
  /// this.
  [[nodiscard]] std::size_t copiesToLoad(const ExpertMap &Old) const;

  /// Checks that every expert has a copy, that each copy names a rank of the
  /// group and that no rank needs more than \p SlotsPerRank slots.
  /// \returns RejectedInvalid with the first fault found.
  [[nodiscard]] base::Result<void> validate(std::size_t SlotsPerRank) const;

  bool operator==(const ExpertMap &) const = default;

private:
  std::size_t m_Ranks = 0;
  std::vector<std::vector<Rank>> m_Replicas;
};

} // namespace corneldeck::rankgroup

#endif
