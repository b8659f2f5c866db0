#include "Soak.h"

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

void Soak::endNotices() {
  for (Server &Each : m_Servers)
    if (Each.m_StartsAgainAt > base::Millis(0) &&
        now() >= Each.m_StartsAgainAt && Each.m_RevivesAt == base::Millis(0))
      startAgain(Each);
}

void Soak::startAgain(Server &Of) {
  Of.m_StartsAgainAt = {};
  Of.m_Leaving.clear();
  Of.m_Pauses.clear();
  if (Of.m_LeftAt > base::Millis(0))
    return;
  Of.m_Server->restart(++Of.m_StartTime);
  endLimit(Of, now());
  registerServer(Of, "ready");
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
    violate(Promise::LeavingNotice, Of.m_Server->id() + " got " +
                                        Received.m_Id + " from " + From.m_Name +
                                        " after it had said that it leaves");
  const bool IsPlanted = m_Settings.m_Plant == Plant::PauseIgnored;
  const base::Millis Pause = IsPlanted ? PlantedDuration : PauseDuration;
  if (const auto Paused = Of.m_Pauses.find(Index);
      Paused != Of.m_Pauses.end() && !IsExcused &&
      Paused->second.m_EntryStart == From.m_Starts &&
      now() > Paused->second.m_At + PauseTransit &&
      now() < Paused->second.m_At + Pause &&
      (Paused->second.m_Requests += IsPlanted ? 3 : 1) > MostInPause)
    violate(Promise::PauseNotice, Of.m_Server->id() + " got " + Received.m_Id +
                                      " from " + From.m_Name + " in its pause");
  if (Received.m_NamesPause && !IsExcused &&
      !m_Cancelled.contains(Received.m_Id))
    Of.m_Pauses[Index] = {now(), From.m_Starts, 0};
}

} // namespace corneldeck::tests
