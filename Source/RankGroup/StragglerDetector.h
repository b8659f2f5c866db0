#ifndef CORNELDECK_RANKGROUP_STRAGGLERDETECTOR_H
#define CORNELDECK_RANKGROUP_STRAGGLERDETECTOR_H

#include <cstddef>
#include <vector>

namespace corneldeck::rankgroup {

/// Tells a rank with slow hardware from one with hot experts.
///
/// A hot expert makes a rank's step long because it has more tokens; slow
/// hardware makes it long for each token. The two limits and the number of
/// windows between them keep a rank from going in and out.
class StragglerDetector {
public:
  struct Config {
    /// Time a token over the median at which a rank counts as slow.
    double m_SlowThreshold = 1.15;
    /// Time a token below which it counts as usual again.
    double m_NormalThreshold = 1.05;
    /// Windows in a row for a verdict.
    int m_WindowsToSlow = 2;
    int m_WindowsToNormal = 4;
    /// A rank slower than this can't be helped by giving it fewer experts.
    double m_ReplaceThreshold = 4;
  };

  StragglerDetector(std::size_t Ranks, Config Settings);

  /// Takes one window's measurements.
  /// \param Tokens by rank. \param Times by rank, in any one unit.
  void observe(const std::vector<double> &Tokens,
               const std::vector<double> &Times);

  /// \returns each rank's speed for planning: 1 unless it counts as slow.
  [[nodiscard]] const std::vector<double> &speeds() const { return m_Speeds; }

  /// \returns true if \p Rank counts as slow.
  [[nodiscard]] bool isSlow(std::size_t Rank) const { return m_Slow[Rank]; }

  /// \returns true if the group should be drained and a replacement ordered.
  [[nodiscard]] bool needsReplacement() const;

private:
  void updateRank(std::size_t Rank, double Ratio);

  Config m_Config;
  std::vector<double> m_Speeds;
  std::vector<bool> m_Slow;
  /// Windows in a row that speak against the present verdict.
  std::vector<int> m_ContraryWindows;
};

} // namespace corneldeck::rankgroup

#endif
