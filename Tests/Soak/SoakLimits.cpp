#include "Soak.h"

namespace corneldeck::tests {

void Soak::changeLimits() {
  // A planted mistake must show in one run: the check begins 7 s after a limit
  // was named first.
  const bool IsPlanted = m_Settings.m_Plant == Plant::LimitExceeded;
  const double LimitRate = IsPlanted ? 0.4 : 0.1;
  const base::Millis MinDuration =
      IsPlanted ? m_Settings.m_Length : base::seconds(5);
  for (Server &Each : m_Servers) {
    const bool IsLimited = Each.m_LimitUntil > base::Millis(0);
    if (IsLimited && now() >= Each.m_LimitUntil) {
      Each.m_LimitUntil = {};
      Each.m_Server->m_NamedLimit.clear();
      Each.m_Oracle.limitEnded(now());
    } else if (!IsLimited && m_LimitDraw.chance(LimitRate)) {
      const std::uint64_t PerSecond = 1 + m_LimitDraw.below(6);
      Each.m_LimitUntil =
          now() + MinDuration +
          base::Millis(static_cast<std::int64_t>(m_LimitDraw.below(5000)));
      Each.m_Server->m_NamedLimit = std::to_string(PerSecond);
      Each.m_Oracle.limitNamed(now(), static_cast<double>(PerSecond));
      m_Faults.push_back(Each.m_Server->id() + " names a limit of " +
                         std::to_string(PerSecond));
    }
  }
}

void Soak::checkLimits() {
  fakes::RateLimitBound Bound;
  Bound.m_InformedEntriesOnly = false;
  for (const Server &Each : m_Servers) {
    const auto Worst = Each.m_Oracle.worstWindow(Bound);
    if (Worst.m_Requests > Worst.m_Allowed)
      violate(Each.m_Server->id() + " got " +
              std::to_string(static_cast<int>(Worst.m_Requests)) +
              " requests in 4 s, its rate limit allows " +
              std::to_string(static_cast<int>(Worst.m_Allowed)));
  }
}

} // namespace corneldeck::tests
