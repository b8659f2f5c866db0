#include "Bench/ExpertDrift.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace corneldeck::bench {

namespace {

/// Spread of the logarithm of popularity.
constexpr double Spread = 0.9;
/// Correlation of popularity's logarithm from one window to the next.
constexpr double Memory = 0.97;
constexpr int FirstChange = 20;
constexpr int SecondChange = 40;
/// Share of the experts that a change of topic draws anew.
constexpr double ChangedShare = 0.25;
constexpr int SlowFrom = 15;
constexpr int SlowUntil = 45;
constexpr double SlowSpeed = 0.7;
constexpr double TokensPerStep = 32 * 128 * 8;
/// Relative error of a window's counts when all ranks report.
constexpr double CountError = 0.01;

} // namespace

ExpertDrift::ExpertDrift(const std::string &Kind, std::size_t Ranks,
                         std::size_t Experts, std::uint64_t Seed)
    : m_Slow(Kind == "slow" || Kind == "both"),
      m_Sudden(Kind == "sudden" || Kind == "both"),
      m_SlowRank(Kind == "slow-rank" || Kind == "both"), m_Random(Seed),
      m_Steps(Seed + 1), m_Speeds(Ranks, 1.0) {
  for (std::size_t Which = 0; Which < Experts; ++Which)
    m_Logs.push_back(m_Random.normal(0, Spread));
  normalize();
}

void ExpertDrift::normalize() {
  m_Popularity.clear();
  for (const double Log : m_Logs)
    m_Popularity.push_back(std::exp(Log));
  const double Sum =
      std::accumulate(m_Popularity.begin(), m_Popularity.end(), 0.0);
  for (double &Share : m_Popularity)
    Share /= Sum;
}

void ExpertDrift::advance() {
  ++m_Window;
  const double Fresh = Spread * std::sqrt(1 - Memory * Memory);
  const bool Changes =
      m_Sudden && (m_Window == FirstChange || m_Window == SecondChange);
  for (double &Log : m_Logs) {
    if (m_Slow)
      Log = Memory * Log + m_Random.normal(0, Fresh);
    if (Changes && m_Random.chance(ChangedShare))
      Log = m_Random.normal(0, Spread);
  }
  const bool IsSlow =
      m_SlowRank && m_Window >= SlowFrom && m_Window < SlowUntil;
  m_Speeds[m_Speeds.size() / 3] = IsSlow ? SlowSpeed : 1.0;
  normalize();
}

std::vector<double> ExpertDrift::drawStep() {
  std::vector<double> Tokens;
  for (const double Share : m_Popularity) {
    const double Mean = Share * TokensPerStep;
    Tokens.push_back(std::max(0.0, m_Steps.normal(Mean, std::sqrt(Mean))));
  }
  return Tokens;
}

std::vector<double> ExpertDrift::drawCounts(double Coverage) {
  std::vector<double> Counts;
  const double Error = CountError / std::sqrt(Coverage);
  for (const double Share : m_Popularity)
    Counts.push_back(
        std::max(0.0, Share * Coverage * (1 + m_Steps.normal(0, Error))));
  return Counts;
}

} // namespace corneldeck::bench
