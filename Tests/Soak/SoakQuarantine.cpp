#include "Soak.h"

namespace corneldeck::tests {

namespace {

/// Time from the end of a server under a request until it has started again.
constexpr base::Millis ReviveTime(1500);
/// What the users allow: requests with the part that reach servers later than
/// some time after the fifth end.
constexpr std::size_t EndsBefore = 5;
constexpr int MostLate = 3;

} // namespace

std::string Soak::prompt(const PlannedRequest &Planned) const {
  std::string Prompt = Planned.m_Parts;
  if (Planned.m_HasFatalPart && m_HasFaults)
    Prompt += std::string(FatalPart) + ":100,";
  // Entries cannot decode a list with a malformed element.
  if (m_Settings.m_Plant == Plant::FatalPartHidden)
    Prompt += "c:x,";
  return Prompt + std::to_string(1'000'000 + m_NextRequest) + ":250";
}

void Soak::endServer(const std::string &Id) {
  for (Server &Each : m_Servers) {
    if (Each.m_Server->id() != Id)
      continue;
    m_FatalEnds.push_back(now());
    m_LastFault = Id + " ends under a request";
    Each.m_Proxy->stop();
    Each.m_Proxy->resetAll();
    Each.m_RevivesAt = now() + ReviveTime;
    Each.m_FreeSince = {};
  }
}

void Soak::reviveServers() {
  for (Server &Each : m_Servers)
    if (Each.m_RevivesAt > base::Millis(0) && now() >= Each.m_RevivesAt)
      revive(Each);
}

void Soak::revive(Server &Of) {
  Of.m_RevivesAt = {};
  Of.m_StartsAgainAt = {};
  Of.m_Leaving.clear();
  Of.m_Pauses.clear();
  endLimit(Of, now());
  Of.m_Server->restart(++Of.m_StartTime);
  const LinkFault Fault = Of.m_Proxy->m_Fault;
  Of.m_Proxy = std::make_unique<LoopbackProxy>(m_Loop, Of.m_Server->listen());
  Of.m_Proxy->m_Fault = Fault;
  Of.m_Address = Of.m_Proxy->listen();
  registerServer(Of, Of.m_LeftAt > base::Millis(0) ? "draining" : "ready");
}

void Soak::checkFatal(const ReceivedRequest &Received, const Entry &From) {
  const auto Prompt = Received.m_Headers.find("Prefix-Hash");
  if (Prompt == Received.m_Headers.end() ||
      Prompt->second.find(FatalPart) == std::string::npos ||
      m_FatalEnds.size() < EndsBefore || now() <= From.m_ExcusedUntil ||
      now() <= m_FatalEnds[EndsBefore - 1] + Touch)
    return;
  if (++m_LateFatal == MostLate + 1)
    violate(Promise::FatalPart,
            "more than three requests with a part that ends servers reached "
            "them after " +
                std::to_string(m_FatalEnds.size()) + " ends, the last one " +
                Received.m_Id + " from " + From.m_Name);
}

} // namespace corneldeck::tests
