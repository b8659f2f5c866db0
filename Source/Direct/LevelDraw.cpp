#include "Direct/LevelDraw.h"

#include <algorithm>
#include <numeric>

namespace corneldeck::direct {

LevelDraw drawByLevel(const std::vector<LoadOption> &Options, double Unreported,
                      base::Random &Rng) {
  std::vector<std::size_t> Order(Options.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::sort(Order.begin(), Order.end(), [&](std::size_t A, std::size_t B) {
    return Options[A].m_Score < Options[B].m_Score;
  });
  // The score up to which the unreported requests raise the best options.
  double Level = 0;
  double RequestsPerScore = 0;
  double BaseRequests = 0;
  std::size_t Count = 0;
  for (const std::size_t Index : Order) {
    const LoadOption &Each = Options[Index];
    if (Count > 0 && Each.m_Score >= Level)
      break;
    RequestsPerScore += 1 / Each.m_ScorePerRequest;
    BaseRequests += Each.m_Score / Each.m_ScorePerRequest;
    Level = (Unreported + BaseRequests) / RequestsPerScore;
    ++Count;
  }
  const auto PartOf = [&](std::size_t Index) {
    const LoadOption &Each = Options[Index];
    return (Level - Each.m_Score) / Each.m_ScorePerRequest;
  };
  double Drawn = Unreported * Rng.uniform();
  for (std::size_t Rank = 0; Rank + 1 < Count; ++Rank) {
    Drawn -= PartOf(Order[Rank]);
    if (Drawn <= 0)
      return {Order[Rank], PartOf(Order[Rank])};
  }
  return {Order[Count - 1], PartOf(Order[Count - 1])};
}

} // namespace corneldeck::direct
