#include "Direct/ServerNotices.h"

#include <algorithm>
#include <utility>

namespace corneldeck::direct {

std::string_view name(ServerNotices::Change::Type Type) {
  using Change = ServerNotices::Change::Type;
  switch (Type) {
  case Change::Leaving:
    return "leaving";
  case Change::Returned:
    return "returned";
  case Change::Paused:
    return "paused";
  case Change::Resumed:
    return "resumed";
  case Change::Invalid:
    return "invalid";
  }
  return "unknown";
}

void ServerNotices::replaceServers(
    std::map<std::string, std::uint64_t> StartTimes, base::Millis Now) {
  // An older list may name an earlier start.
  for (auto &[Server, StartTime] : StartTimes)
    if (const auto Seen = m_StartTimes.find(Server); Seen != m_StartTimes.end())
      StartTime = std::max(StartTime, Seen->second);
  endExtensions(StartTimes);
  m_StartTimes = std::move(StartTimes);
  std::vector<Change> Changes;
  for (auto &[Server, Notice] : m_Leaving)
    if (m_StartTimes.contains(Server))
      Notice.m_RetainedSince = Now;
  std::erase_if(m_Leaving, [&](const auto &Each) {
    const auto &[Server, Notice] = Each;
    const auto Listed = m_StartTimes.find(Server);
    if (Listed == m_StartTimes.end())
      return Now - Notice.m_RetainedSince > m_Settings.m_UnlistedRetention;
    if (Listed->second <= Notice.m_StartTime)
      return false;
    Changes.push_back({Change::Type::Returned, Server, Listed->second});
    return true;
  });
  std::erase_if(m_Pauses, [&](const auto &Each) {
    return Each.second.m_Until <= Now && !m_StartTimes.contains(Each.first);
  });
  std::erase_if(m_InvalidTexts, [&](const auto &Each) {
    return !m_StartTimes.contains(Each.first);
  });
  for (const Change &Each : Changes)
    report(Each);
}

void ServerNotices::endExtensions(
    const std::map<std::string, std::uint64_t> &StartTimes) {
  for (auto &[Server, State] : m_Pauses) {
    const auto Listed = StartTimes.find(Server);
    if (Listed == StartTimes.end() || Listed->second <= startTime(Server))
      continue;
    State.m_Until = State.m_NamedUntil;
    State.m_Repetitions = 0;
  }
}

void ServerNotices::recordResponse(const std::string &Server,
                                   std::uint64_t StartTime,
                                   const ServerNotice &Notice,
                                   base::Millis SentAt, base::Millis Now) {
  if (Notice.m_IsLeaving)
    recordLeaving(Server, StartTime, {}, Now);
  recordPause(Server, Notice.m_Pause, Now);
  const auto Found = m_Pauses.find(Server);
  if (Notice.m_IsAccepted && isOnTrial(Server) &&
      SentAt >= Found->second.m_Until) {
    Found->second.m_IsOnTrial = false;
    report({Change::Type::Resumed, Server, StartTime});
  }
}

void ServerNotices::recordLeaving(const std::string &Server,
                                  std::uint64_t StartTime,
                                  const std::string &From, base::Millis Now) {
  const auto Listed = m_StartTimes.find(Server);
  if (Listed != m_StartTimes.end() && Listed->second > StartTime)
    return;
  const auto [Found, IsNew] = m_Leaving.try_emplace(Server);
  Leaving &Notice = Found->second;
  if (!IsNew && Notice.m_StartTime > StartTime)
    return;
  const bool IsKnown = !IsNew && Notice.m_StartTime == StartTime;
  Notice.m_FirstHand = From.empty() || (IsKnown && Notice.m_FirstHand);
  Notice.m_StartTime = StartTime;
  Notice.m_RetainedSince = Now;
  if (!IsKnown)
    report({Change::Type::Leaving, Server, StartTime, {}, From});
}

void ServerNotices::recordPause(const std::string &Server,
                                const PauseField &Field, base::Millis Now) {
  switch (Field.m_Kind) {
  case PauseField::Kind::Absent:
    return;
  case PauseField::Kind::Invalid: {
    const auto [Last, IsFirst] =
        m_InvalidTexts.try_emplace(Server, Field.m_Text);
    if (IsFirst || Last->second != Field.m_Text)
      report({Change::Type::Invalid, Server, 0, {}, {}, Field.m_Text});
    Last->second = Field.m_Text;
    return;
  }
  case PauseField::Kind::Named:
    if (Field.m_Duration <= base::Millis(0))
      return;
    Pause &Updated = m_Pauses[Server];
    const base::Millis NamedEnd = namedEnd(Field, Now);
    Updated.m_Until =
        std::max(Updated.m_Until, NamedEnd + extension(Updated, Now));
    Updated.m_NamedUntil = std::max(Updated.m_NamedUntil, NamedEnd);
    Updated.m_LastTrial.reset();
    Updated.m_IsOnTrial = true;
    report({Change::Type::Paused, Server, 0, Updated.m_Until - Now});
    return;
  }
}

base::Millis ServerNotices::namedEnd(const PauseField &Field,
                                     base::Millis Now) const {
  // The clock rounds down.
  return Now + std::min(Field.m_Duration, m_Settings.m_MaxPause) +
         base::Millis(1);
}

base::Millis ServerNotices::extension(Pause &Last, base::Millis Now) const {
  const bool IsFirst = Last.m_Until == base::Millis(0) ||
                       Now - Last.m_Until > m_Settings.m_PauseMemory;
  if (IsFirst)
    Last.m_Repetitions = 0;
  if (IsFirst || Now < Last.m_Until)
    return base::Millis(0);
  constexpr unsigned MaxDoublings = 10;
  const std::int64_t Factor = std::int64_t{1}
                              << std::min(Last.m_Repetitions, MaxDoublings);
  ++Last.m_Repetitions;
  return std::min(m_Settings.m_PauseExtension * Factor,
                  m_Settings.m_MaxPauseExtension);
}

void ServerNotices::applyStatement(const LeavingStatement &Statement,
                                   const std::string &From, base::Millis Now) {
  recordLeaving(Statement.m_Server, Statement.m_StartTime, From, Now);
}

std::vector<LeavingStatement> ServerNotices::statements() const {
  std::vector<LeavingStatement> Statements;
  for (const auto &[Server, Notice] : m_Leaving)
    if (Notice.m_FirstHand && m_StartTimes.contains(Server) &&
        Statements.size() < m_Settings.m_MaxStatements)
      Statements.push_back({Server, Notice.m_StartTime});
  return Statements;
}

std::uint64_t ServerNotices::startTime(const std::string &Server) const {
  const auto Found = m_StartTimes.find(Server);
  return Found == m_StartTimes.end() ? 0 : Found->second;
}

bool ServerNotices::isLeaving(const std::string &Server) const {
  const auto Found = m_Leaving.find(Server);
  const auto Listed = m_StartTimes.find(Server);
  return Found != m_Leaving.end() &&
         (Listed == m_StartTimes.end() ||
          Listed->second <= Found->second.m_StartTime);
}

base::Millis ServerNotices::pauseRemaining(const std::string &Server,
                                           base::Millis Now) const {
  const auto Found = m_Pauses.find(Server);
  return Found == m_Pauses.end()
             ? base::Millis(0)
             : std::max(Found->second.m_Until - Now, base::Millis(0));
}

bool ServerNotices::isOnTrial(const std::string &Server) const {
  const auto Found = m_Pauses.find(Server);
  return Found != m_Pauses.end() && Found->second.m_IsOnTrial;
}

bool ServerNotices::permits(const std::string &Server, base::Millis Now) const {
  if (isLeaving(Server))
    return false;
  const auto Found = m_Pauses.find(Server);
  if (Found == m_Pauses.end() || !Found->second.m_IsOnTrial)
    return true;
  const Pause &State = Found->second;
  return State.m_Until <= Now &&
         (!State.m_LastTrial ||
          Now - *State.m_LastTrial >= m_Settings.m_TrialInterval);
}

void ServerNotices::recordAttempt(const std::string &Server, base::Millis Now) {
  if (const auto Found = m_Pauses.find(Server); Found != m_Pauses.end())
    Found->second.m_LastTrial = Now;
}

std::size_t ServerNotices::leavingCount() const {
  return static_cast<std::size_t>(
      std::count_if(m_Leaving.begin(), m_Leaving.end(), [&](const auto &Each) {
        return m_StartTimes.contains(Each.first);
      }));
}

std::size_t ServerNotices::pausedCount(base::Millis Now) const {
  return static_cast<std::size_t>(
      std::count_if(m_Pauses.begin(), m_Pauses.end(), [Now](const auto &Each) {
        return Each.second.m_Until > Now;
      }));
}

void ServerNotices::report(const Change &Reported) const {
  if (m_OnChange)
    m_OnChange(Reported);
}

} // namespace corneldeck::direct
