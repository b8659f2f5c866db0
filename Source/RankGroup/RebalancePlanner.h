#ifndef CORNELDECK_RANKGROUP_REBALANCEPLANNER_H
#define CORNELDECK_RANKGROUP_REBALANCEPLANNER_H

#include "RankGroup/ExpertMap.h"

#include <cstdint>
#include <string>
#include <vector>

namespace corneldeck::rankgroup {

/// Chooses the few copies of experts that are worth loading next.
///
/// Popularity is a moving average of late and partial counts. A change is
/// taken only if the skew that it removes, over the steps for which the
/// popularity is likely to last, outweighs what its copies cost.
class RebalancePlanner {
public:
  struct Config {
    std::size_t m_SlotsPerRank = 8;
    /// The catalogue entry's weights.
    double m_SkewWeight = 1;
    double m_CostWeight = 1;
    /// Steps of one window of counts.
    double m_StepsPerWindow = 1000;
    /// What one copy costs, in steps of the group.
    double m_StepsPerCopy = 20;
    /// Copies allowed a window in the long run, and saved up at most.
    double m_CopiesPerWindow = 8;
    double m_BurstCopies = 32;
    /// Plans that lower the smoothed skew by less are left, so that noise in
    /// the counts moves nothing.
    double m_MinGain = 0.0005;
    /// Weight of the newest counts in the average.
    double m_Smoothing = 0.8;
    double m_SmoothingIfStable = 0.3;
  };

  struct Plan {
    ExpertMap m_Map;
    /// Copies to load; zero if the present map stays.
    std::size_t m_Copies = 0;
    double m_SkewBefore = 1;
    double m_SkewAfter = 1;
    /// Changes that were weighed against each other.
    std::uint64_t m_EvaluatedChanges = 0;
    std::string m_Reason;
  };

  explicit RebalancePlanner(Config Settings);

  /// Takes the counts of one window.
  /// \param Counts tokens by expert, from the ranks that reported.
  /// \param Coverage the share of the ranks that reported, over 0 to 1.
  void observe(const std::vector<double> &Counts, double Coverage);

  /// Plans the next map and counts its copies against the allowance.
  /// \param Present the map in use.
  /// \param Speeds how fast each rank is; 1 is usual.
  /// \param Blocked true while no move may begin, as in an open bidding window.
  Plan plan(const ExpertMap &Present, const std::vector<double> &Speeds,
            bool Blocked = false);

  /// \returns the windows for which popularity is likely to last.
  [[nodiscard]] double expectedStableWindows() const;

  /// \returns the popularity estimate by expert; empty before any count.
  [[nodiscard]] const std::vector<double> &popularity() const {
    return m_Popularity;
  }

private:
  Config m_Config;
  std::vector<double> m_Popularity;
  double m_ChangePerWindow = 0;
  double m_CopyAllowance = 0;
};

/// \returns each rank's time for one step, if every replica of an expert takes
/// an equal share of its tokens.
std::vector<double> rankTimes(const ExpertMap &Map,
                              const std::vector<double> &Popularity,
                              const std::vector<double> &Speeds);

/// \returns the slowest rank's time over the mean.
double skew(const std::vector<double> &Times);

/// Places all experts anew, longest processing time first, without replicas.
ExpertMap repack(std::size_t Ranks, const std::vector<double> &Popularity,
                 const std::vector<double> &Speeds, std::size_t SlotsPerRank);

} // namespace corneldeck::rankgroup

#endif
