#ifndef CORNELDECK_RANKGROUP_STRAGGLERDETECTOR_H
#define CORNELDECK_RANKGROUP_STRAGGLERDETECTOR_H

#include <cstddef>
#include <vector>

namespace corneldeck::rankgroup {

/// Distinguishes ranks with slow hardware from ranks with hot experts.
///
/// A hot expert makes the steps of a rank longer because it receives more
/// tokens; slow hardware increases the time for each token. Two thresholds and
/// a minimum number of windows provide hysteresis, so that a rank does not
/// oscillate between slow and normal.
class StragglerDetector {
public:
  struct Config {
    /// Time for each token, relative to the median of the ranks, from which a
    /// rank counts as slow.
    double m_SlowThreshold = 1.15;
    /// Relative time for each token below which a slow rank counts as normal.
    double m_NormalThreshold = 1.05;
    /// Consecutive windows that are needed for a change of state.
    int m_WindowsToSlow = 2;
    int m_WindowsToNormal = 4;
    /// Slowdown from which fewer experts on the rank do not help, and it has to
    /// be replaced.
    double m_ReplaceThreshold = 4;
  };

  StragglerDetector(std::size_t Ranks, Config Settings);

  /// Processes the measurements of one window.
  /// \param Tokens the tokens that each rank has processed.
  /// \param Times the time of each rank, in any unit.
  void observe(const std::vector<double> &Tokens,
               const std::vector<double> &Times);

  /// \returns the speed of each rank for planning, relative to normal speed; 1
  /// unless the rank counts as slow.
  [[nodiscard]] const std::vector<double> &speeds() const { return m_Speeds; }

  /// \returns true if \p Rank counts as slow.
  [[nodiscard]] bool isSlow(std::size_t Rank) const { return m_Slow[Rank]; }

  /// \returns true if a rank is so slow that the group should be drained and a
  /// replacement ordered.
  [[nodiscard]] bool needsReplacement() const;

private:
  void updateRank(std::size_t Rank, double Ratio);

  Config m_Config;
  std::vector<double> m_Speeds;
  std::vector<bool> m_Slow;
  /// Consecutive windows that contradict the current state of each rank.
  std::vector<int> m_ContraryWindows;
};

} // namespace corneldeck::rankgroup

#endif
