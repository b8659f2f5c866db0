#ifndef CORNELDECK_DIRECT_LEVELDRAW_H
#define CORNELDECK_DIRECT_LEVELDRAW_H

#include "Base/Random.h"

#include <cstddef>
#include <vector>

namespace corneldeck::direct {

/// A server or a rank group that a request may go to.
struct LoadOption {
  /// The lowest is the best.
  double m_Score = 0;
  /// Increase of the score by one more request.
  double m_ScorePerRequest = 0;
};

/// Result of drawByLevel().
struct LevelDraw {
  std::size_t m_Index = 0;
  /// The part of the unreported requests that the option takes.
  double m_Requests = 0;
};

/// Draws an option, so that entries with the same reports do not all choose the
/// same one: the unreported requests are distributed so that they even out the
/// scores, and an option is drawn with a probability in proportion to its part.
/// \param Options at least one.
/// \param Unreported requests that other entries are expected to have sent
/// since their last reports; above 0.
LevelDraw drawByLevel(const std::vector<LoadOption> &Options, double Unreported,
                      base::Random &Rng);

} // namespace corneldeck::direct

#endif
