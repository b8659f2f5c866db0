#ifndef CORNELDECK_RANKGROUP_REBALANCEPLANNER_H
#define CORNELDECK_RANKGROUP_REBALANCEPLANNER_H

#include "RankGroup/ExpertMap.h"

#include <cstdint>
#include <string>
#include <vector>

namespace corneldeck::rankgroup {

/// Selects the few copies of experts that are worth loading next.
///
/// The popularity is a moving average of counts that may be late and
/// incomplete. A change is made only if the skew that it removes, over the
/// steps for which the popularity is expected to stay valid, outweighs the cost
/// of its copies.
class RebalancePlanner {
public:
  struct Config {
    std::size_t m_SlotsPerRank = 8;
    /// Weights of skew and copy cost from the catalogue entry of the service.
    double m_SkewWeight = 1;
    double m_CostWeight = 1;
    /// Number of steps in one window of counts.
    double m_StepsPerWindow = 1000;
    /// Cost of one copy in steps of the group.
    double m_StepsPerCopy = 20;
    /// Rate and burst of the token bucket that limits the copies: copies added
    /// for each window, and the maximum that accumulates.
    double m_CopiesPerWindow = 8;
    double m_BurstCopies = 32;
    /// Minimum decrease of the smoothed skew for a plan, so that noise in the
    /// counts causes no moves.
    double m_MinGain = 0.0005;
    /// Weight of the newest counts in the moving average, and its value while
    /// the popularity is stable.
    double m_Smoothing = 0.8;
    double m_SmoothingIfStable = 0.3;
  };

  struct Plan {
    ExpertMap m_Map;
    /// Copies to load; zero if the present map is kept.
    std::size_t m_Copies = 0;
    double m_SkewBefore = 1;
    double m_SkewAfter = 1;
    /// Number of changes that the search evaluated.
    std::uint64_t m_EvaluatedChanges = 0;
    std::string m_Reason;
  };

  explicit RebalancePlanner(Config Settings);

  /// Adds the counts of one window to the popularity estimate.
  /// \param Counts the tokens of each expert, from the ranks that reported.
  /// \param Coverage the share of ranks that reported, from 0 to 1. The counts
  /// are ignored if it is 0.
  void observe(const std::vector<double> &Counts, double Coverage);

  /// Plans the next map and takes its copies out of the token bucket.
  /// \param Present the map in use.
  /// \param Speeds the speed of each rank relative to normal speed, 1.
  /// \param Blocked true while no move may start, as in an open bidding window.
  Plan plan(const ExpertMap &Present, const std::vector<double> &Speeds,
            bool Blocked = false);

  /// \returns the number of windows for which the popularity is expected to
  /// stay valid.
  [[nodiscard]] double expectedStableWindows() const;

  /// \returns the estimated share of each expert; empty before the first
  /// counts.
  [[nodiscard]] const std::vector<double> &popularity() const {
    return m_Popularity;
  }

private:
  Config m_Config;
  std::vector<double> m_Popularity;
  double m_ChangePerWindow = 0;
  double m_CopyAllowance = 0;
};

/// \returns each rank's time for one step if the replicas of an expert share
/// its tokens equally.
std::vector<double> rankTimes(const ExpertMap &Map,
                              const std::vector<double> &Popularity,
                              const std::vector<double> &Speeds);

/// \returns the time of the slowest rank divided by the mean time; 1 if all are
/// zero.
double skew(const std::vector<double> &Times);

/// \returns a new placement of all experts without replicas, computed by
/// longest processing time first.
/// \pre the ranks together have at least one slot for each expert.
ExpertMap repack(std::size_t Ranks, const std::vector<double> &Popularity,
                 const std::vector<double> &Speeds, std::size_t SlotsPerRank);

} // namespace corneldeck::rankgroup

#endif
