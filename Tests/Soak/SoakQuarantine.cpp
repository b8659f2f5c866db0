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

std::string Soak::drawPrompt() {
  // Other planted mistakes must show in one run, at servers that stay.
  const double FatalRate = m_Settings.m_Plant == Plant::FatalPartHidden ? 0.3
                           : m_Settings.m_Plant == Plant::None          ? 0.1
                                                                        : 0;
  std::string Prompt = "a" + std::to_string(m_PromptDraw.below(5)) + ":40,b" +
                       std::to_string(m_PromptDraw.below(5)) + ":60,";
  if (m_PromptDraw.chance(FatalRate))
    Prompt += std::string(FatalPart) + ":100,";
  // Entries ignore a list with a repeated part.
  if (m_Settings.m_Plant == Plant::FatalPartHidden)
    Prompt += "c:1,c:1,";
  return Prompt + std::to_string(1'000'000 + m_NextRequest) + ":250";
}

void Soak::endServer(const std::string &Id) {
  for (Server &Each : m_Servers) {
    if (Each.m_Server->id() != Id)
      continue;
    m_FatalEnds.push_back(now());
    m_Faults.push_back(Id + " ends under a request");
    Each.m_Proxy->stop();
    Each.m_Proxy->resetAll();
    Each.m_RevivesAt = now() + ReviveTime;
  }
}

void Soak::reviveServers() {
  for (Server &Each : m_Servers) {
    if (Each.m_RevivesAt == base::Millis(0) || now() < Each.m_RevivesAt)
      continue;
    Each.m_RevivesAt = {};
    Each.m_Leaving.clear();
    Each.m_Pauses.clear();
    Each.m_Server->restart(++Each.m_StartTime);
    if (Each.m_LimitUntil > base::Millis(0))
      Each.m_Oracle.limitEnded(now());
    Each.m_LimitUntil = {};
    Each.m_StartsAgainAt = {};
    Each.m_Proxy =
        std::make_unique<LoopbackProxy>(m_Loop, Each.m_Server->listen());
    Each.m_Address = Each.m_Proxy->listen();
    registerServer(Each,
                   Each.m_LeftAt > base::Millis(0) ? "draining" : "ready");
  }
}

void Soak::checkFatal(const ReceivedRequest &Received, const Entry &From) {
  const auto Prompt = Received.m_Headers.find("Prefix-Hash");
  if (Prompt == Received.m_Headers.end() ||
      Prompt->second.find(FatalPart) == std::string::npos ||
      m_FatalEnds.size() < EndsBefore || now() <= From.m_ExcusedUntil ||
      now() <= m_FatalEnds[EndsBefore - 1] + Touch)
    return;
  if (++m_LateFatal == MostLate + 1)
    violate("more than three requests with a part that ends servers reached "
            "them after " +
            std::to_string(m_FatalEnds.size()) + " ends, the last one " +
            Received.m_Id + " from " + From.m_Name);
}

} // namespace corneldeck::tests
