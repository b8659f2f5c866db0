#include "RankGroup/StragglerDetector.h"

#include <algorithm>
#include <cmath>

namespace corneldeck::rankgroup {

namespace {

/// Speeds are kept to this grid, so that noise does not cause moves.
constexpr double SpeedGrid = 0.05;

double toGrid(double Value) {
  const long Cells = std::lround(Value / SpeedGrid);
  return std::max(SpeedGrid, static_cast<double>(Cells) * SpeedGrid);
}

} // namespace

StragglerDetector::StragglerDetector(std::size_t Ranks, Config Settings)
    : m_Config(Settings), m_Speeds(Ranks, 1.0), m_Slow(Ranks, false),
      m_Against(Ranks, 0) {}

void StragglerDetector::observe(const std::vector<double> &Tokens,
                                const std::vector<double> &Times) {
  std::vector<double> PerToken;
  for (std::size_t Rank = 0; Rank < m_Speeds.size(); ++Rank)
    if (Tokens[Rank] > 0)
      PerToken.push_back(Times[Rank] / Tokens[Rank]);
  if (PerToken.empty())
    return;
  const auto Middle =
      PerToken.begin() + static_cast<std::ptrdiff_t>(PerToken.size() / 2);
  std::nth_element(PerToken.begin(), Middle, PerToken.end());
  for (std::size_t Rank = 0; Rank < m_Speeds.size(); ++Rank)
    if (Tokens[Rank] > 0 && *Middle > 0)
      judge(Rank, Times[Rank] / Tokens[Rank] / *Middle);
}

void StragglerDetector::judge(std::size_t Rank, double Ratio) {
  const bool Against = m_Slow[Rank] ? Ratio < m_Config.m_UsualBelow
                                    : Ratio >= m_Config.m_SlowFrom;
  m_Against[Rank] = Against ? m_Against[Rank] + 1 : 0;
  const int Needed =
      m_Slow[Rank] ? m_Config.m_WindowsToUsual : m_Config.m_WindowsToSlow;
  if (m_Against[Rank] < Needed)
    return;
  m_Against[Rank] = 0;
  m_Slow[Rank] = !m_Slow[Rank];
  m_Speeds[Rank] = m_Slow[Rank] ? toGrid(1 / Ratio) : 1.0;
}

bool StragglerDetector::hopeless() const {
  return std::any_of(m_Speeds.begin(), m_Speeds.end(), [this](double Speed) {
    return Speed <= 1 / m_Config.m_HopelessFrom;
  });
}

} // namespace corneldeck::rankgroup
