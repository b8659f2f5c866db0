#ifndef CORNELDECK_RANKGROUP_REBALANCESEARCH_H
#define CORNELDECK_RANKGROUP_REBALANCESEARCH_H

#include "RankGroup/ExpertMap.h"

#include <cstdint>
#include <vector>

namespace corneldeck::rankgroup {

/// Weighs single changes of an expert map that relieve its slowest rank.
class RebalanceSearch {
public:
  /// One change: an expert is copied to a rank, and what makes room for it.
  struct Change {
    ExpertMap::Expert m_Expert = 0;
    ExpertMap::Rank m_From = 0;
    ExpertMap::Rank m_To = 0;
    /// The source keeps its copy, so the expert gets one replica more.
    bool m_Keep = false;
    /// An expert that leaves m_To, to m_From if it goes the other way.
    bool m_Evicts = false;
    bool m_Swaps = false;
    ExpertMap::Expert m_Evicted = 0;
    /// By how much the smoothed skew falls.
    double m_Gain = 0;
    std::size_t m_Copies = 1;
  };

  RebalanceSearch(ExpertMap Start, const std::vector<double> &Popularity,
                  const std::vector<double> &Speeds, std::size_t SlotsPerRank);

  /// \returns the change with the largest gain a copy; its gain is zero if
  /// nothing helps.
  Change best();

  void apply(const Change &Chosen);

  [[nodiscard]] const ExpertMap &map() const { return m_Map; }
  [[nodiscard]] std::uint64_t evaluatedChanges() const {
    return m_EvaluatedChanges;
  }

private:
  void tryRank(ExpertMap::Rank From, ExpertMap::Rank To, Change &Best);
  void weigh(Change Candidate, Change &Best);
  [[nodiscard]] double norm() const;
  [[nodiscard]] double share(ExpertMap::Expert Which) const;
  void shift(ExpertMap::Expert Which, double Sign);
  void edit(const Change &Wanted, bool Undo);

  ExpertMap m_Map;
  const std::vector<double> &m_Popularity;
  const std::vector<double> &m_Speeds;
  std::size_t m_Slots;
  std::vector<double> m_Times;
  std::vector<std::vector<ExpertMap::Expert>> m_Held;
  std::uint64_t m_EvaluatedChanges = 0;
};

} // namespace corneldeck::rankgroup

#endif
