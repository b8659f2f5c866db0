#include "RankAgent/PlannerLease.h"

namespace corneldeck::rankagent {

PlannerLease::PlannerLease(const feed::LogPort &Log, LeaseTerms Terms,
                           std::string Node, Won OnWon)
    : m_Log(Log), m_Terms(std::move(Terms)), m_Node(std::move(Node)),
      m_OnWon(std::move(OnWon)) {}

void PlannerLease::tick(const std::string &Group, std::uint32_t Rank,
                        base::Millis Heard, std::uint64_t SeenTerm,
                        base::Millis Now) {
  m_Group = Group;
  if (!m_Begun && !m_Busy && Now >= m_NotBefore) {
    m_Busy = true;
    begin();
    return;
  }
  const base::Millis Due =
      Heard + m_Terms.m_SilentAfter + m_Terms.m_Stagger * Rank;
  if (m_Busy || Now < Due || Now < m_NotBefore)
    return;
  m_Busy = true;
  claim(SeenTerm);
}

void PlannerLease::begin() {
  m_Log.m_Newest(
      m_Terms.m_Topic, {}, [this](const base::Result<feed::NewestPage> &Page) {
        m_NotBefore = m_Clock.now() + m_Terms.m_RetryPause;
        m_Busy = false;
        if (!Page)
          return;
        m_Begun = true;
        const feed::KeyedRecord *Latest = latest(*Page);
        m_WaitedFor = Latest ? Latest->m_Offset + 1 : 0;
        const bool OwnClaim = Latest && Latest->m_Value &&
                              Latest->m_Value->starts_with(m_Node + " ");
        // The planner has not met this node yet.
        if (Latest && !OwnClaim) {
          m_NotBefore = m_Clock.now() + m_Terms.m_SilentAfter;
          return;
        }
        m_Busy = true;
        append(Page->m_EndOffset);
      });
}

const feed::KeyedRecord *
PlannerLease::latest(const feed::NewestPage &Page) const {
  const feed::KeyedRecord *Latest = nullptr;
  for (const feed::KeyedRecord &Each : Page.m_Records)
    if (Each.m_Key == m_Group)
      Latest = &Each;
  return Latest;
}

void PlannerLease::claim(std::uint64_t SeenTerm) {
  m_Log.m_Newest(m_Terms.m_Topic, {},
                 [this, SeenTerm](const base::Result<feed::NewestPage> &Page) {
                   m_NotBefore = m_Clock.now() + m_Terms.m_RetryPause;
                   if (!Page) {
                     m_Busy = false;
                     return;
                   }
                   const feed::KeyedRecord *Last = latest(*Page);
                   const std::uint64_t Latest = Last ? Last->m_Offset + 1 : 0;
                   // Another node has just claimed; it gets the time to be
                   // heard.
                   if (Latest > SeenTerm && Latest != m_WaitedFor) {
                     m_WaitedFor = Latest;
                     m_NotBefore = m_Clock.now() + m_Terms.m_SilentAfter;
                     m_Busy = false;
                     return;
                   }
                   append(Page->m_EndOffset);
                 });
}

void PlannerLease::append(std::uint64_t At) {
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
