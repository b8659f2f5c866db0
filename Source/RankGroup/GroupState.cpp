#include "RankGroup/GroupState.h"

namespace corneldeck::rankgroup {

GroupState::GroupState(Config Settings)
    : m_Config(Settings), m_Ranks(Settings.m_Ranks) {}

void GroupState::onStatus(base::Millis Now, RankIndex From,
                          const Status &Heard) {
  if (From < m_Ranks.size())
    m_Ranks[From] = {Heard.m_Epoch, Heard.m_Joined, Now};
}

std::optional<Note> GroupState::judge(base::Millis Now,
                                      const EngineState &Own) {
  m_Reason = fault(Now, Own);
  const bool In = m_Reason.empty();
  if (In == m_In)
    return std::nullopt;
  m_In = In;
  return Note{In ? base::EventId::GroupBack : base::EventId::GroupOut,
              Own.m_Map, m_Reason};
}

std::string GroupState::fault(base::Millis Now, const EngineState &Own) const {
  if (!Own.m_Joined)
    return "rank " + std::to_string(m_Config.m_Rank) + " has not joined";
  for (RankIndex Rank = 0; Rank < m_Config.m_Ranks; ++Rank) {
    if (Rank == m_Config.m_Rank)
      continue;
    const Heard &Other = m_Ranks[Rank];
    const std::string Who = "rank " + std::to_string(Rank);
    if (!Other.m_At || Now - *Other.m_At > m_Config.m_SilentAfter)
      return Who + " is silent";
    if (!Other.m_Joined || !(Other.m_Epoch == Own.m_Formation.m_Epoch))
      return Who + " is not in this epoch";
  }
  return {};
}

} // namespace corneldeck::rankgroup
