#include "Direct/RetryAllowance.h"

#include <algorithm>

namespace corneldeck::direct {

namespace {

/// The part of the allowance that is used; the rest is for entries that start
/// again within a window and for requests that two entries count differently.
constexpr double UsedPart = 0.5;

} // namespace

void RetryAllowance::setEntries(std::size_t Entries) {
  m_Entries = std::max<std::size_t>(1, Entries);
  m_MostEntries = std::max(m_MostEntries, m_Entries);
}

void RetryAllowance::request(const std::string &Service, base::Millis Now) {
  Window &Of = m_Windows[Service];
  drop(Of, Now);
  Of.m_Requests.push_back(Now);
}

bool RetryAllowance::take(const std::string &Service, base::Millis Now) {
  Window &Of = m_Windows[Service];
  drop(Of, Now);
  const double Allowed =
      UsedPart * (m_Terms.m_Ratio * static_cast<double>(Of.m_Requests.size()) +
                  m_Terms.m_Extra / static_cast<double>(m_MostEntries));
  if (static_cast<double>(Of.m_Retries.size()) + 1 > Allowed)
    return false;
  Of.m_Retries.push_back(Now);
  return true;
}

void RetryAllowance::drop(Window &Of, base::Millis Now) const {
  const auto Trim = [&](std::deque<base::Millis> &Times) {
    while (!Times.empty() && Times.front() + m_Terms.m_Window < Now)
      Times.pop_front();
  };
  Trim(Of.m_Requests);
  Trim(Of.m_Retries);
}

} // namespace corneldeck::direct
