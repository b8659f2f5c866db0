#include "RankAgent/PlannerElection.h"

#include <utility>

namespace corneldeck::rankagent {

PlannerElection::PlannerElection(const feed::KeyedLogClient &Log,
                                 ElectionSettings Settings, std::string Node,
                                 ElectedCallback OnElected)
    : m_Log(Log), m_Settings(std::move(Settings)), m_Node(std::move(Node)),
      m_OnElected(std::move(OnElected)) {}

void PlannerElection::tick(const std::string &Group, std::uint32_t Rank,
                           base::Millis LastContact, std::uint64_t KnownTerm,
                           base::Millis Now) {
  m_Group = Group;
  const base::Millis Due = LastContact + m_Settings.m_PlannerTimeout +
                           m_Settings.m_StaggerPerRank * Rank;
  if (m_CallInFlight || Now < m_NextAttempt || (m_HasReadLog && Now < Due))
    return;
  m_CallInFlight = true;
  readLog(KnownTerm);
}

void PlannerElection::readLog(std::uint64_t KnownTerm) {
  m_Log.m_ReadSnapshot(
      m_Settings.m_Topic, {},
      [this, KnownTerm](const base::Result<feed::SnapshotPage> &Page) {
        m_NextAttempt = m_Clock.now() + m_Settings.m_RetryDelay;
        if (Page && mayClaim(*Page, KnownTerm))
          appendClaim(Page->m_EndOffset);
        else
          m_CallInFlight = false;
      });
}

bool PlannerElection::mayClaim(const feed::SnapshotPage &Page,
                               std::uint64_t KnownTerm) {
  const feed::KeyedRecord *Latest = nullptr;
  for (const feed::KeyedRecord &Each : Page.m_Records)
    if (Each.m_Key == m_Group)
      Latest = &Each;
  const std::uint64_t Term = Latest ? Latest->m_Offset + 1 : 0;
  bool MustWait = Term > KnownTerm && Term != m_AwaitedTerm;
  if (!std::exchange(m_HasReadLog, true)) {
    const bool OwnClaim =
        Latest && Latest->m_Value && Latest->m_Value->starts_with(m_Node + " ");
    MustWait = Latest && !OwnClaim;
  }
  if (MustWait) {
    m_AwaitedTerm = Term;
    m_NextAttempt = m_Clock.now() + m_Settings.m_PlannerTimeout;
  }
  return !MustWait;
}

void PlannerElection::appendClaim(std::uint64_t EndOffset) {
  feed::KeyedRecord Record;
  Record.m_Key = m_Group;
  Record.m_Value = m_Node + " " + std::to_string(++m_ClaimCount);
  // If the reply is lost, the claim counts as failed and the next attempt reads
  // the log again.
  m_Log.m_Append(m_Settings.m_Topic, Record, EndOffset,
                 [this](const base::Result<std::uint64_t> &Offset) {
                   m_CallInFlight = false;
                   m_NextAttempt = m_Clock.now() + m_Settings.m_RetryDelay;
                   if (Offset)
                     m_OnElected(*Offset + 1);
                 });
}

} // namespace corneldeck::rankagent
