#ifndef CORNELDECK_RANKGROUP_REBALANCESEARCH_H
#define CORNELDECK_RANKGROUP_REBALANCESEARCH_H

#include "RankGroup/ExpertMap.h"

#include <cstdint>
#include <vector>

namespace corneldeck::rankgroup {

/// Evaluates single changes of an expert map that reduce the load of the
/// slowest rank.
class RebalanceSearch {
public:
  /// One change: an expert is copied to a rank, and another one may be evicted
  /// from it.
  struct Change {
    ExpertMap::Expert m_Expert = 0;
    ExpertMap::Rank m_From = 0;
    ExpertMap::Rank m_To = 0;
    /// Whether m_From keeps its copy, so that the expert gets another replica.
    bool m_KeepsSource = false;
    /// Whether m_Evicted is removed from m_To, and in a swap moved to m_From.
    bool m_Evicts = false;
    bool m_Swaps = false;
    ExpertMap::Expert m_Evicted = 0;
    /// Decrease of the smoothed skew.
    double m_Gain = 0;
    std::size_t m_Copies = 1;
  };

  RebalanceSearch(ExpertMap Initial, const std::vector<double> &Popularity,
                  const std::vector<double> &Speeds, std::size_t SlotsPerRank);

  /// \returns the change with the largest gain for each copy; its gain is zero
  /// if no change improves the map.
  Change findBestChange();

  void apply(const Change &Chosen);

  [[nodiscard]] const ExpertMap &map() const { return m_Map; }
  [[nodiscard]] std::uint64_t evaluatedChanges() const {
    return m_EvaluatedChanges;
  }

private:
  void evaluateReceiver(ExpertMap::Rank From, ExpertMap::Rank To, Change &Best);
  void evaluate(Change Candidate, Change &Best);
  [[nodiscard]] double loadNorm() const;
  [[nodiscard]] double sharePerReplica(ExpertMap::Expert ExpertId) const;
  void addLoad(ExpertMap::Expert ExpertId, double Sign);
  void applyToMap(const Change &Applied, bool Undo);

  ExpertMap m_Map;
  const std::vector<double> &m_Popularity;
  const std::vector<double> &m_Speeds;
  std::size_t m_SlotsPerRank;
  std::vector<double> m_Times;
  std::vector<std::vector<ExpertMap::Expert>> m_ExpertsByRank;
  std::uint64_t m_EvaluatedChanges = 0;
};

} // namespace corneldeck::rankgroup

#endif
