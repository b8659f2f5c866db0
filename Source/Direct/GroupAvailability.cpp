#include "Direct/GroupAvailability.h"

#include <algorithm>

namespace corneldeck::direct {

bool GroupAvailability::update(const std::string &Agent, Report Latest,
                               base::Millis Now) {
  const std::string Service = Latest.m_Service;
  const bool WasUnavailable = outageDuration(Service, Now).has_value();
  m_Reports[Agent] = {std::move(Latest), Now};
  std::erase_if(m_Reports, [&](const auto &Each) {
    return Now - Each.second.m_ReceivedAt > m_Settings.m_ReportLifetime;
  });
  const bool Unavailable = isUnavailable(Service, Now);
  if (Unavailable && !WasUnavailable)
    m_OutageStart[Service] = Now;
  else if (!Unavailable)
    m_OutageStart.erase(Service);
  return Unavailable != WasUnavailable;
}

void GroupAvailability::ReportCounts::add(const Report &Latest) {
  // A partitioned rank may not know of a later epoch.
  if (Latest.m_Epoch < m_Epoch)
    return;
  if (Latest.m_Epoch > m_Epoch)
    *this = {Latest.m_Epoch, 0, 0};
  (Latest.m_Open ? m_Open : m_Closed) += static_cast<int>(Latest.m_Agents);
}

bool GroupAvailability::isCurrent(const TimedReport &Each,
                                  base::Millis Now) const {
  return Now - Each.m_ReceivedAt <= m_Settings.m_ReportLifetime;
}

bool GroupAvailability::isUnavailable(const std::string &Service,
                                      base::Millis Now) const {
  std::map<std::string, ReportCounts> Groups;
  for (const auto &[Agent, Each] : m_Reports)
    if (Each.m_Report.m_Service == Service && isCurrent(Each, Now))
      Groups[Each.m_Report.m_Group].add(Each.m_Report);
  return !Groups.empty() &&
         std::all_of(Groups.begin(), Groups.end(),
                     [](const auto &Each) { return Each.second.isClosed(); });
}

bool GroupAvailability::isGroupClosed(const std::string &Service,
                                      const std::string &Group,
                                      base::Millis Now) const {
  ReportCounts Counts;
  for (const auto &[Agent, Each] : m_Reports)
    if (Each.m_Report.m_Group == Group && Each.m_Report.m_Service == Service &&
        isCurrent(Each, Now))
      Counts.add(Each.m_Report);
  return Counts.isClosed();
}

std::optional<base::Millis>
GroupAvailability::outageDuration(const std::string &Service,
                                  base::Millis Now) const {
  const auto Found = m_OutageStart.find(Service);
  if (Found == m_OutageStart.end() || !isUnavailable(Service, Now))
    return std::nullopt;
  return Now - Found->second;
}

base::Millis GroupAvailability::expectedRecoveryTime(const std::string &Service,
                                                     base::Millis FormationTime,
                                                     base::Millis Now) const {
  const auto Unavailable = outageDuration(Service, Now);
  if (!Unavailable)
    return base::Millis(0);
  return std::max(base::Millis(0),
                  m_Settings.m_RankWait + FormationTime - *Unavailable);
}

} // namespace corneldeck::direct
