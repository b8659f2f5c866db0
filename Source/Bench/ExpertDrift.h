#ifndef CORNELDECK_BENCH_EXPERTDRIFT_H
#define CORNELDECK_BENCH_EXPERTDRIFT_H

#include "Base/Random.h"

#include <cstddef>
#include <string>
#include <vector>

namespace corneldeck::bench {

/// Seeded popularity of experts and speed of ranks, window by window.
class ExpertDrift {
public:
  /// \param Kind "slow", "sudden", "slow-rank", "both" or "none".
  ExpertDrift(const std::string &Kind, std::size_t Ranks, std::size_t Experts,
              std::uint64_t Seed);

  /// Moves on to the next window.
  void advance();

  /// \returns the share of all tokens that each expert gets in this window.
  [[nodiscard]] const std::vector<double> &popularity() const {
    return m_Popularity;
  }

  /// \returns how fast each rank is in this window; 1 is usual.
  [[nodiscard]] const std::vector<double> &speeds() const { return m_Speeds; }

  /// \returns one step's tokens by expert.
  std::vector<double> drawStep();

  /// \returns counts of this window as \p Coverage of the ranks report them.
  std::vector<double> drawCounts(double Coverage);

private:
  void normalize();

  bool m_Slow;
  bool m_Sudden;
  bool m_SlowRank;
  base::Random m_Random;
  base::Random m_Steps;
  int m_Window = 0;
  std::vector<double> m_Logs;
  std::vector<double> m_Popularity;
  std::vector<double> m_Speeds;
};

} // namespace corneldeck::bench

#endif
