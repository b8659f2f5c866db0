#include "RankGroup/StoreBudget.h"

#include <algorithm>

namespace corneldeck::rankgroup {

std::size_t StoreBudget::grant(const std::string &Group, std::size_t Wanted,
                               base::Millis Now) {
  refill(Now);
  Share &Own = m_Shares[Group];
  Own.m_LastAsked = Now;
  const auto Granted = std::min(Wanted, static_cast<std::size_t>(Own.m_Saved));
  Own.m_Saved -= static_cast<double>(Granted);
  return Granted;
}

void StoreBudget::refill(base::Millis Now) {
  for (auto Next = m_Shares.begin(); Next != m_Shares.end();) {
    const bool Forgotten = Now - Next->second.m_LastAsked > m_Config.m_Forget;
    Next = Forgotten ? m_Shares.erase(Next) : std::next(Next);
  }
  const double Seconds =
      static_cast<double>((Now - m_Refilled).count()) / 1000.0;
  m_Refilled = Now;
  double Left = Seconds * m_Config.m_CopiesPerSecond;
  std::size_t Open = m_Shares.size();
  // Two rounds: what full groups leave goes to the others.
  for (int Round = 0; Round < 2 && Open > 0 && Left > 0; ++Round) {
    const double Part = Left / static_cast<double>(Open);
    Open = 0;
    for (auto &[Name, Own] : m_Shares) {
      const double Taken = std::min(Part, m_Config.m_BurstCopies - Own.m_Saved);
      Own.m_Saved += Taken;
      Left -= Taken;
      Open += Own.m_Saved < m_Config.m_BurstCopies ? 1 : 0;
    }
  }
}

} // namespace corneldeck::rankgroup
