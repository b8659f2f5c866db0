#include "RankGroup/PopularityWindow.h"

#include <cmath>
#include <numeric>

namespace corneldeck::rankgroup {

namespace {

double sum(const std::vector<double> &Values) {
  return std::accumulate(Values.begin(), Values.end(), 0.0);
}

/// \returns half the sum of the differences of two distributions, 0 to 1.
double distance(const std::vector<double> &A, const std::vector<double> &B) {
  const double SumA = sum(A);
  const double SumB = sum(B);
  if (SumA <= 0 || SumB <= 0)
    return 0;
  double Difference = 0;
  for (std::size_t Index = 0; Index < A.size(); ++Index)
    Difference += std::abs(A[Index] / SumA - B[Index] / SumB);
  return Difference / 2;
}

} // namespace

PopularityWindow::PopularityWindow(WindowSettings Settings)
    : m_Settings(Settings) {}

void PopularityWindow::take(std::uint32_t Rank,
                            const std::vector<std::uint64_t> &Counts) {
  std::vector<std::uint64_t> &Last = m_Last[Rank];
  if (m_Newest.size() != Counts.size()) {
    m_Newest.assign(Counts.size(), 0);
    m_Popularity.clear();
  }
  const bool Comparable = Last.size() == Counts.size();
  for (std::size_t Index = 0; Comparable && Index < Counts.size(); ++Index)
    if (Counts[Index] >= Last[Index])
      m_Newest[Index] += static_cast<double>(Counts[Index] - Last[Index]);
  Last = Counts;
}

bool PopularityWindow::turn(std::size_t Sets) {
  if (Sets == 0 || m_Newest.empty() || m_Newest.size() % Sets != 0)
    return false;
  const std::size_t Experts = m_Newest.size() / Sets;
  // Too few choices wait for the next turn.
  if (sum(m_Newest) < m_Settings.m_LeastChoices * static_cast<double>(Sets))
    return false;
  LayerPopularity Turn(Sets);
  for (std::size_t Set = 0; Set < Sets; ++Set) {
    const auto Begin =
        m_Newest.begin() + static_cast<std::ptrdiff_t>(Set * Experts);
    Turn[Set].assign(Begin, Begin + static_cast<std::ptrdiff_t>(Experts));
  }
  std::fill(m_Newest.begin(), m_Newest.end(), 0.0);
  m_Sound = true;
  if (m_Popularity.size() != Sets) {
    m_Popularity = std::move(Turn);
    return true;
  }
  double Distance = 0;
  for (std::size_t Set = 0; Set < Sets; ++Set)
    Distance += distance(m_Popularity[Set], Turn[Set]);
  if (Distance / static_cast<double>(Sets) > m_Settings.m_ShiftDistance) {
    m_Popularity = std::move(Turn);
    return true;
  }
  for (std::size_t Set = 0; Set < Sets; ++Set)
    for (std::size_t Which = 0; Which < Experts; ++Which)
      m_Popularity[Set][Which] =
          m_Popularity[Set][Which] * m_Settings.m_Keep + Turn[Set][Which];
  return false;
}

} // namespace corneldeck::rankgroup
