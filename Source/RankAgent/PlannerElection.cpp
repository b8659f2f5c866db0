#include "RankAgent/PlannerElection.h"

#include <utility>

namespace corneldeck::rankagent {

PlannerElection::PlannerElection(const feed::KeyedLogClient &Log,
                                 ElectionSettings Terms, std::string Node,
                                 Won OnWon)
    : m_Log(Log), m_Terms(std::move(Terms)), m_Node(std::move(Node)),
      m_OnWon(std::move(OnWon)) {}

void PlannerElection::tick(const std::string &Group, std::uint32_t Rank,
                           base::Millis Heard, std::uint64_t SeenTerm,
                           base::Millis Now) {
  m_Group = Group;
  const base::Millis Due =
      Heard + m_Terms.m_SilentAfter + m_Terms.m_Stagger * Rank;
  if (m_Busy || Now < m_NotBefore || (m_Begun && Now < Due))
    return;
  m_Busy = true;
  claim(SeenTerm);
}

void PlannerElection::claim(std::uint64_t SeenTerm) {
  m_Log.m_ReadSnapshot(
      m_Terms.m_Topic, {},
      [this, SeenTerm](const base::Result<feed::SnapshotPage> &Page) {
        m_NotBefore = m_Clock.now() + m_Terms.m_RetryPause;
        if (Page && mayClaim(*Page, SeenTerm))
          append(Page->m_EndOffset);
        else
          m_Busy = false;
      });
}

bool PlannerElection::mayClaim(const feed::SnapshotPage &Page,
                               std::uint64_t SeenTerm) {
  const feed::KeyedRecord *Latest = nullptr;
  for (const feed::KeyedRecord &Each : Page.m_Records)
    if (Each.m_Key == m_Group)
      Latest = &Each;
  const std::uint64_t Term = Latest ? Latest->m_Offset + 1 : 0;
  bool Waits = Term > SeenTerm && Term != m_WaitedFor;
  if (!std::exchange(m_Begun, true)) {
    const bool OwnClaim =
        Latest && Latest->m_Value && Latest->m_Value->starts_with(m_Node + " ");
    Waits = Latest && !OwnClaim;
  }
  if (Waits) {
    m_WaitedFor = Term;
    m_NotBefore = m_Clock.now() + m_Terms.m_SilentAfter;
  }
  return !Waits;
}

void PlannerElection::append(std::uint64_t At) {
  feed::KeyedRecord Record;
  Record.m_Key = m_Group;
  Record.m_Value = m_Node + " " + std::to_string(++m_Claims);
  // A lost answer counts as a lost claim: the next one reads the log again.
  m_Log.m_Append(m_Terms.m_Topic, Record, At,
                 [this](const base::Result<std::uint64_t> &Offset) {
                   m_Busy = false;
                   m_NotBefore = m_Clock.now() + m_Terms.m_RetryPause;
                   if (Offset)
                     m_OnWon(*Offset + 1);
                 });
}

} // namespace corneldeck::rankagent
