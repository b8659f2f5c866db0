#include "RankGroup/StragglerDetector.h"

#include <algorithm>
#include <cmath>

namespace corneldeck::rankgroup {

namespace {

/// Speeds are rounded to multiples of this value, so that noise does not cause
/// moves.
constexpr double SpeedQuantum = 0.05;

double quantizeSpeed(double Value) {
  const long Quanta = std::lround(Value / SpeedQuantum);
  return std::max(SpeedQuantum, static_cast<double>(Quanta) * SpeedQuantum);
}

} // namespace

StragglerDetector::StragglerDetector(std::size_t Ranks, Config Settings)
    : m_Config(Settings), m_Speeds(Ranks, 1.0), m_Slow(Ranks, false),
      m_ContraryWindows(Ranks, 0) {}

void StragglerDetector::observe(const std::vector<double> &Tokens,
                                const std::vector<double> &Times) {
  std::vector<double> PerToken;
  for (std::size_t Rank = 0; Rank < m_Speeds.size(); ++Rank)
    if (Tokens[Rank] > 0)
      PerToken.push_back(Times[Rank] / Tokens[Rank]);
  if (PerToken.empty())
    return;
  const auto Median =
      PerToken.begin() + static_cast<std::ptrdiff_t>(PerToken.size() / 2);
  std::nth_element(PerToken.begin(), Median, PerToken.end());
  for (std::size_t Rank = 0; Rank < m_Speeds.size(); ++Rank)
    if (Tokens[Rank] > 0 && *Median > 0)
      updateRank(Rank, Times[Rank] / Tokens[Rank] / *Median);
}

void StragglerDetector::updateRank(std::size_t Rank, double Ratio) {
  const bool Contrary = m_Slow[Rank] ? Ratio < m_Config.m_NormalThreshold
                                     : Ratio >= m_Config.m_SlowThreshold;
  m_ContraryWindows[Rank] = Contrary ? m_ContraryWindows[Rank] + 1 : 0;
  const int Needed =
      m_Slow[Rank] ? m_Config.m_WindowsToNormal : m_Config.m_WindowsToSlow;
  if (m_ContraryWindows[Rank] < Needed)
    return;
  m_ContraryWindows[Rank] = 0;
  m_Slow[Rank] = !m_Slow[Rank];
  m_Speeds[Rank] = m_Slow[Rank] ? quantizeSpeed(1 / Ratio) : 1.0;
}

bool StragglerDetector::needsReplacement() const {
  return std::any_of(m_Speeds.begin(), m_Speeds.end(), [this](double Speed) {
    return Speed <= 1 / m_Config.m_ReplaceThreshold;
  });
}

} // namespace corneldeck::rankgroup
