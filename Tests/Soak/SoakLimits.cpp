#include "Soak.h"

namespace corneldeck::tests {

void Soak::nameLimit(Server &Of, std::uint64_t PerSecond,
                     base::Millis Duration) {
  Of.m_LimitUntil = now() + Duration;
  Of.m_Server->m_NamedLimit = std::to_string(PerSecond);
  Of.m_Oracle.limitNamed(now(), static_cast<double>(PerSecond));
}

void Soak::endLimit(Server &Of, base::Millis Now) {
  if (Of.m_LimitUntil == base::Millis(0))
    return;
  Of.m_LimitUntil = {};
  Of.m_Server->m_NamedLimit.clear();
  Of.m_Oracle.limitEnded(Now);
}

void Soak::endLimits() {
  for (Server &Each : m_Servers)
    if (now() >= Each.m_LimitUntil)
      endLimit(Each, now());
}

void Soak::checkLimits() {
  fakes::RateLimitBound Bound;
  Bound.m_InformedEntriesOnly = false;
  for (const Server &Each : m_Servers) {
    const auto Worst = Each.m_Oracle.worstWindow(Bound);
    if (Worst.m_Requests > Worst.m_Allowed)
      violate(Promise::RateLimit,
              Each.m_Server->id() + " got " +
                  std::to_string(static_cast<int>(Worst.m_Requests)) +
                  " requests in 4 s, its rate limit allows " +
                  std::to_string(static_cast<int>(Worst.m_Allowed)));
  }
}

} // namespace corneldeck::tests
