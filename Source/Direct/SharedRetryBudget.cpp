#include "Direct/SharedRetryBudget.h"

#include <algorithm>

namespace corneldeck::direct {

namespace {

/// Fraction of the budget that is used. The rest is a reserve for entries that
/// restart within a window and for requests that entries count differently.
constexpr double UsableFraction = 0.5;

} // namespace

void SharedRetryBudget::setEntryCount(std::size_t Entries) {
  m_Entries = std::max<std::size_t>(1, Entries);
  m_MaxEntries = std::max(m_MaxEntries, m_Entries);
}

void SharedRetryBudget::recordRequest(const std::string &Service,
                                      base::Millis Now) {
  Window &Recent = m_Windows[Service];
  removeExpired(Recent, Now);
  Recent.m_Requests.push_back(Now);
}

bool SharedRetryBudget::tryAcquire(const std::string &Service,
                                   base::Millis Now) {
  Window &Recent = m_Windows[Service];
  removeExpired(Recent, Now);
  const double Allowed =
      UsableFraction *
      (m_Settings.m_Ratio * static_cast<double>(Recent.m_Requests.size()) +
       m_Settings.m_ExtraRetries / static_cast<double>(m_MaxEntries));
  if (static_cast<double>(Recent.m_Retries.size()) + 1 > Allowed)
    return false;
  Recent.m_Retries.push_back(Now);
  return true;
}

void SharedRetryBudget::removeExpired(Window &Recent, base::Millis Now) const {
  const auto Trim = [&](std::deque<base::Millis> &Times) {
    while (!Times.empty() && Times.front() + m_Settings.m_Window < Now)
      Times.pop_front();
  };
  Trim(Recent.m_Requests);
  Trim(Recent.m_Retries);
}

} // namespace corneldeck::direct
