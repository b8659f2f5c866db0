#include "Direct/UnframedResponses.h"

#include <utility>

namespace corneldeck::direct {

UnframedResponses::UnframedResponses(StartTime Listed, Check CheckPort,
                                     Decided OnServed, Decided OnEnded,
                                     UnframedResponseSettings Settings)
    : m_Listed(std::move(Listed)), m_CheckPort(std::move(CheckPort)),
      m_OnServed(std::move(OnServed)), m_OnEnded(std::move(OnEnded)),
      m_Settings(Settings) {}

void UnframedResponses::checked(UnframedResponse Ended, ServerLife Life) {
  if (Life == ServerLife::Ended)
    ended(Ended);
  else if (Life == ServerLife::Alive)
    wait({std::move(Ended), false, std::nullopt});
}

void UnframedResponses::recordResponse(const ServerStart &Start,
                                       base::Millis SentAt, base::Millis Now) {
  for (Waiting &Each : m_Waiting)
    if (!Each.m_RespondedAt && Each.m_Response.m_Start == Start &&
        Each.m_Response.m_EndedAt <= SentAt)
      Each.m_RespondedAt = Now;
}

void UnframedResponses::decide(base::Millis Now) {
  for (Waiting &Each : std::exchange(m_Waiting, {})) {
    const UnframedResponse &Response = Each.m_Response;
    const base::Millis Age = Now - Response.m_EndedAt;
    const auto Listed = m_Listed(Response.m_Start.m_Server);
    const bool IsConfirmed =
        Each.m_RespondedAt &&
        Now - *Each.m_RespondedAt >= m_Settings.m_ConfirmationTime;
    if (Listed && *Listed > Response.m_Start.m_StartTime)
      ended(Response);
    else if (IsConfirmed && Listed)
      m_OnServed(Response);
    else if (Age >= m_Settings.m_MaxWait)
      continue;
    else if (!Each.m_IsCheckedAgain && Age >= m_Settings.m_SecondCheck)
      checkAgain(std::move(Each));
    else
      m_Waiting.push_back(std::move(Each));
  }
}

void UnframedResponses::checkAgain(Waiting Due) {
  const UnframedResponse Response = Due.m_Response;
  Due.m_IsCheckedAgain = true;
  m_CheckPort(Response, [this, Due = std::move(Due),
                         Lifetime = std::weak_ptr<const bool>(m_Lifetime)](
                            ServerLife Life) mutable {
    if (Lifetime.expired())
      return;
    if (Life == ServerLife::Ended)
      ended(Due.m_Response);
    else if (Life == ServerLife::Alive)
      wait(std::move(Due));
  });
}

void UnframedResponses::wait(Waiting Added) {
  if (m_Waiting.size() >= m_Settings.m_MaxResponses)
    m_Waiting.erase(m_Waiting.begin());
  m_Waiting.push_back(std::move(Added));
}

void UnframedResponses::ended(const UnframedResponse &Response) const {
  if (Response.m_MayBeCause)
    m_OnEnded(Response);
}

} // namespace corneldeck::direct
