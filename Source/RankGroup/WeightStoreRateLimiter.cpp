#include "RankGroup/WeightStoreRateLimiter.h"

#include <algorithm>

namespace corneldeck::rankgroup {

std::size_t WeightStoreRateLimiter::grant(const std::string &Group,
                                          std::size_t Requested,
                                          base::Millis Now) {
  refill(Now);
  Bucket &Own = m_Buckets[Group];
  Own.m_LastRequest = Now;
  const auto Granted =
      std::min(Requested, static_cast<std::size_t>(Own.m_Copies));
  Own.m_Copies -= static_cast<double>(Granted);
  return Granted;
}

void WeightStoreRateLimiter::refill(base::Millis Now) {
  for (auto Next = m_Buckets.begin(); Next != m_Buckets.end();) {
    const bool Idle = Now - Next->second.m_LastRequest > m_Config.m_IdleTimeout;
    Next = Idle ? m_Buckets.erase(Next) : std::next(Next);
  }
  const double Seconds =
      static_cast<double>((Now - m_RefilledAt).count()) / 1000.0;
  m_RefilledAt = Now;
  double Left = Seconds * m_Config.m_CopiesPerSecond;
  std::size_t NotFull = m_Buckets.size();
  // The second round distributes what did not fit into full buckets.
  for (int Round = 0; Round < 2 && NotFull > 0 && Left > 0; ++Round) {
    const double Part = Left / static_cast<double>(NotFull);
    NotFull = 0;
    for (auto &[Name, Own] : m_Buckets) {
      const double Added =
          std::min(Part, m_Config.m_BurstCopies - Own.m_Copies);
      Own.m_Copies += Added;
      Left -= Added;
      NotFull += Own.m_Copies < m_Config.m_BurstCopies ? 1 : 0;
    }
  }
}

} // namespace corneldeck::rankgroup
