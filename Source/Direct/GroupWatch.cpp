#include "Direct/GroupWatch.h"

#include <algorithm>

namespace corneldeck::direct {

bool GroupWatch::take(const std::string &Agent, News Told, base::Millis Now) {
  const std::string Service = Told.m_Service;
  const bool WasOut = outFor(Service, Now).has_value();
  m_Reports[Agent] = {std::move(Told), Now};
  std::erase_if(m_Reports, [&](const auto &Each) {
    return Now - Each.second.m_At > m_Settings.m_FreshFor;
  });
  const bool Out = isOut(Service, Now);
  if (Out && !WasOut)
    m_OutSince[Service] = Now;
  else if (!Out)
    m_OutSince.erase(Service);
  return Out != WasOut;
}

bool GroupWatch::isOut(const std::string &Service, base::Millis Now) const {
  struct Votes {
    std::uint64_t m_Epoch = 0;
    int m_Open = 0;
    int m_Closed = 0;
  };
  std::map<std::string, Votes> Groups;
  for (const auto &[Agent, Each] : m_Reports) {
    const News &Told = Each.m_News;
    if (Told.m_Service != Service || Now - Each.m_At > m_Settings.m_FreshFor)
      continue;
    Votes &Of = Groups[Told.m_Group];
    // A rank that was cut off may not know of a later epoch.
    if (Told.m_Epoch < Of.m_Epoch)
      continue;
    if (Told.m_Epoch > Of.m_Epoch)
      Of = {Told.m_Epoch, 0, 0};
    ++(Told.m_Open ? Of.m_Open : Of.m_Closed);
  }
  return !Groups.empty() &&
         std::all_of(Groups.begin(), Groups.end(), [](const auto &Each) {
           return Each.second.m_Closed > Each.second.m_Open;
         });
}

std::optional<base::Millis> GroupWatch::outFor(const std::string &Service,
                                               base::Millis Now) const {
  const auto Found = m_OutSince.find(Service);
  if (Found == m_OutSince.end() || !isOut(Service, Now))
    return std::nullopt;
  return Now - Found->second;
}

base::Millis GroupWatch::expectedWait(const std::string &Service,
                                      base::Millis FormTime,
                                      base::Millis Now) const {
  const auto Out = outFor(Service, Now);
  if (!Out)
    return base::Millis(0);
  return std::max(base::Millis(0), m_Settings.m_WaitForRank + FormTime - *Out);
}

} // namespace corneldeck::direct
