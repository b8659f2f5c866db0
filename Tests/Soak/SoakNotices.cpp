#include "Soak.h"

#include <utility>

namespace corneldeck::tests {

namespace {

/// Time in which requests that were sent before a notice arrive.
constexpr base::Millis Transit(300);
/// The pause that refusals name, and what the users allow in it.
constexpr base::Millis PauseDuration(1500);
/// The pause that the check expects if it is a planted mistake that the servers
/// name a shorter one.
constexpr base::Millis PlantedDuration = base::seconds(8);
constexpr base::Millis PauseTransit(500);
constexpr int MostInPause = 2;

} // namespace

void Soak::changeNotices() {
  // A new start of a server ends its limit.
  if (m_Settings.m_Plant == Plant::LimitExceeded)
    return;
  // A server that says in its responses that it leaves gets no requests, also
  // if the list of servers does not show it.
  if (m_Settings.m_Plant == Plant::LeavingStillUsed) {
    if (!std::exchange(m_Planted, true))
      startLeaving(m_Servers.front());
    return;
  }
  // A planted mistake must show in one run.
  const double PauseRate =
      m_Settings.m_Plant == Plant::PauseIgnored ? 0.15 : 0.08;
  const double LeavingRate =
      m_Settings.m_Plant == Plant::NoticeIgnored ? 0.2 : 0.04;
  for (Server &Each : m_Servers) {
    if (m_NoticeDraw.chance(PauseRate) &&
        Each.m_Server->m_Behavior == Behavior::Serve) {
      Each.m_Server->m_Behavior = Behavior::NotRun;
      m_Faults.push_back(Each.m_Server->id() + " wants no requests");
    }
    const bool HasLeft = Each.m_StartsAgainAt > base::Millis(0);
    if (HasLeft && now() >= Each.m_StartsAgainAt) {
      Each.m_StartsAgainAt = {};
      Each.m_Leaving.clear();
      Each.m_Pauses.clear();
      if (Each.m_LeftAt > base::Millis(0))
        continue;
      Each.m_Server->restart(++Each.m_StartTime);
      if (Each.m_LimitUntil > base::Millis(0))
        Each.m_Oracle.limitEnded(now());
      Each.m_LimitUntil = {};
      registerServer(Each, "ready");
    } else if (!HasLeft && m_NoticeDraw.chance(LeavingRate)) {
      Each.m_StartsAgainAt =
          now() + base::Millis(2000 + static_cast<std::int64_t>(
                                          m_NoticeDraw.below(3000)));
      Each.m_Server->m_IsLeaving = m_Settings.m_Plant != Plant::NoticeIgnored;
      m_Faults.push_back(Each.m_Server->id() + " says that it leaves");
    }
  }
}

void Soak::recordLeaving(const Asked &Request) {
  const auto Signature =
      net::findHeader(Request.m_Headers, "Response-Signature");
  const auto Id = Signature.substr(0, Signature.find('.'));
  for (Server &Each : m_Servers) {
    const bool IsSaid =
        !net::findHeader(Request.m_Headers, "Server-Leaving").empty() ||
        (m_Settings.m_Plant == Plant::NoticeIgnored &&
         Each.m_StartsAgainAt > base::Millis(0));
    if (Each.m_Server->id() == Id && IsSaid &&
        Each.m_StartsAgainAt > base::Millis(0))
      Each.m_Leaving.try_emplace(Request.m_Entry,
                                 Notice{now(), Request.m_Start});
  }
}

void Soak::checkNotices(Server &Of, const ReceivedRequest &Received) {
  const std::size_t Index = std::stoul(Received.m_Headers.at("X-Entry"));
  const Entry &From = m_Entries[Index];
  const bool IsExcused =
      now() <= Of.m_HeldUntil || now() <= From.m_ExcusedUntil;
  const auto Left = Of.m_Leaving.find(Index);
  if (Left != Of.m_Leaving.end() && !IsExcused &&
      Left->second.m_EntryStart == From.m_Starts &&
      now() > Left->second.m_At + Transit)
    violate(Of.m_Server->id() + " got " + Received.m_Id + " from " +
            From.m_Name + " after it had said that it leaves");
  const bool IsPlanted = m_Settings.m_Plant == Plant::PauseIgnored;
  const base::Millis Pause = IsPlanted ? PlantedDuration : PauseDuration;
  if (const auto Paused = Of.m_Pauses.find(Index);
      Paused != Of.m_Pauses.end() && !IsExcused &&
      Paused->second.m_EntryStart == From.m_Starts &&
      now() > Paused->second.m_At + PauseTransit &&
      now() < Paused->second.m_At + Pause &&
      (Paused->second.m_Requests += IsPlanted ? 3 : 1) > MostInPause)
    violate(Of.m_Server->id() + " got " + Received.m_Id + " from " +
            From.m_Name + " in its pause");
  if (Received.m_NamesPause && !IsExcused &&
      !m_Cancelled.contains(Received.m_Id))
    Of.m_Pauses[Index] = {now(), From.m_Starts, 0};
}

} // namespace corneldeck::tests
