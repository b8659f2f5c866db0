#include "RankGroup/GroupReadiness.h"

namespace corneldeck::rankgroup {

GroupReadiness::GroupReadiness(Config Settings)
    : m_Config(Settings), m_Ranks(Settings.m_Ranks) {}

void GroupReadiness::onStatus(base::Millis Now, RankIndex From,
                              const Status &Received) {
  if (From < m_Ranks.size())
    m_Ranks[From] = {Received.m_Epoch, Received.m_Joined, Now};
}

std::optional<TimelineEntry>
GroupReadiness::update(base::Millis Now, const EngineState &OwnEngine) {
  m_Reason = unreadyReason(Now, OwnEngine);
  const bool Routable = m_Reason.empty();
  if (Routable == m_Routable)
    return std::nullopt;
  m_Routable = Routable;
  return TimelineEntry{Routable ? base::EventId::GroupBack
                                : base::EventId::GroupOut,
                       OwnEngine.m_Map, m_Reason};
}

std::string GroupReadiness::unreadyReason(base::Millis Now,
                                          const EngineState &OwnEngine) const {
  if (!OwnEngine.m_Joined)
    return "rank " + std::to_string(m_Config.m_Rank) + " has not joined";
  for (RankIndex Rank = 0; Rank < m_Config.m_Ranks; ++Rank) {
    if (Rank == m_Config.m_Rank)
      continue;
    const PeerStatus &Other = m_Ranks[Rank];
    const std::string Peer = "rank " + std::to_string(Rank);
    if (!Other.m_ReceivedAt ||
        Now - *Other.m_ReceivedAt > m_Config.m_PeerTimeout)
      return Peer + " is silent";
    if (!Other.m_Joined || !(Other.m_Epoch == OwnEngine.m_Formation.m_Epoch))
      return Peer + " is not in this epoch";
  }
  return {};
}

} // namespace corneldeck::rankgroup
