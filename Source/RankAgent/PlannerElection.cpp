#include "RankAgent/PlannerElection.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace corneldeck::rankagent {

namespace {

/// Number of low bits of a term that contain the era of the log.
constexpr unsigned EraBits = 8;

/// Returns the first term of the era \p Era that is later than \p Earlier.
std::uint64_t laterTerm(std::uint64_t Earlier, std::uint64_t Era) {
  constexpr std::uint64_t EraMask = (1U << EraBits) - 1;
  return ((Earlier >> EraBits) + 1) << EraBits | (Era & EraMask);
}

/// Returns the term that a claim states. Nodes of earlier releases state none;
/// theirs is the offset of the claim plus one.
std::uint64_t termOf(const feed::KeyedRecord &Claim) {
  const std::string Text = Claim.m_Value.value_or(std::string());
  const std::size_t First = Text.find(' ');
  const std::size_t Last = Text.rfind(' ');
  std::uint64_t Term = 0;
  if (First == Last ||
      std::from_chars(Text.data() + Last + 1, Text.data() + Text.size(), Term)
              .ec != std::errc())
    return Claim.m_Offset + 1;
  return Term;
}

} // namespace

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
      m_Settings.m_Topic, {}, {},
      [this, KnownTerm](const base::Result<feed::SnapshotPage> &Page) {
        m_NextAttempt = m_Clock.now() + m_Settings.m_RetryDelay;
        const feed::KeyedRecord *Latest = Page ? findClaim(*Page) : nullptr;
        if (!Page || !mayClaim(Latest, KnownTerm)) {
          m_CallInFlight = false;
          return;
        }
        const std::uint64_t LatestTerm = Latest ? termOf(*Latest) : 0;
        appendClaim({Page->m_Era, Page->m_EndOffset},
                    laterTerm(std::max(LatestTerm, KnownTerm), Page->m_Era));
      });
}

const feed::KeyedRecord *
PlannerElection::findClaim(const feed::SnapshotPage &Page) const {
  const auto Found = std::find_if(
      Page.m_Records.begin(), Page.m_Records.end(),
      [this](const feed::KeyedRecord &Each) { return Each.m_Key == m_Group; });
  return Found == Page.m_Records.end() ? nullptr : &*Found;
}

bool PlannerElection::mayClaim(const feed::KeyedRecord *Latest,
                               std::uint64_t KnownTerm) {
  const std::uint64_t Term = Latest ? termOf(*Latest) : 0;
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

void PlannerElection::appendClaim(feed::LogPosition End, std::uint64_t Term) {
  feed::KeyedRecord Record;
  Record.m_Key = m_Group;
  Record.m_Value = m_Node + " " + std::to_string(++m_ClaimCount) + " " +
                   std::to_string(Term);
  // If the reply is lost, the claim counts as failed and the next attempt reads
  // the log again. So it does if the log has returned with an older copy
  // meanwhile, which may lack a claim with the same term.
  m_Log.m_Append(
      m_Settings.m_Topic, Record, End.m_Offset,
      [this, End, Term](const base::Result<feed::LogPosition> &Appended) {
        m_CallInFlight = false;
        m_NextAttempt = m_Clock.now() + m_Settings.m_RetryDelay;
        if (Appended && Appended->m_Era == End.m_Era)
          m_OnElected(Term);
      });
}

} // namespace corneldeck::rankagent
