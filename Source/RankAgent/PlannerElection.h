#ifndef CORNELDECK_RANKAGENT_PLANNERELECTION_H
#define CORNELDECK_RANKAGENT_PLANNERELECTION_H

#include "Base/Clock.h"
#include "Feed/KeyedLogClient.h"

#include <functional>
#include <string>

namespace corneldeck::rankagent {

/// Settings of PlannerElection.
struct ElectionSettings {
  /// Topic of the log to which claims are appended.
  std::string m_Topic;
  /// Time without contact after which a planner may be replaced.
  base::Millis m_PlannerTimeout = base::Millis(1200);
  /// Additional time for each rank, so that candidates do not claim at the same
  /// time.
  base::Millis m_StaggerPerRank = base::Millis(150);
  /// Minimum time between two attempts.
  base::Millis m_RetryDelay = base::Millis(600);
};

/// Elects the planner of a rank group through the platform's log.
///
/// A claim is appended only if the topic still ends at the offset at which the
/// candidate has read it, so only one of several concurrent claims succeeds.
/// Its term is later than that of the latest claim and any in a message that
/// the candidate has received. A planner makes no further calls to the log and
/// stays the planner until it receives a message with a later term. While the
/// log is unavailable no other node can become the planner.
///
/// The log may return with an older copy that lacks the latest claims. A term
/// contains the era of the log, so that a later claim never has the term of one
/// that was lost.
class PlannerElection {
public:
  /// Called with the term when this node has been elected.
  using ElectedCallback = std::function<void(std::uint64_t Term)>;

  PlannerElection(const feed::KeyedLogClient &Log, ElectionSettings Settings,
                  std::string Node, ElectedCallback OnElected);

  /// Starts a claim if the planner has timed out, or if the log was not read
  /// since the start of the process. Does nothing while a call is in flight.
  /// \param Rank the rank of this node, which delays its claim.
  /// \param LastContact the time of the last command from the planner, or of
  /// the start of this node. \param KnownTerm the latest term that this node
  /// knows.
  void tick(const std::string &Group, std::uint32_t Rank,
            base::Millis LastContact, std::uint64_t KnownTerm,
            base::Millis Now);

private:
  /// \returns whether this node may claim the group, according to the newest
  /// records of the log. On the first read, it may if no node has claimed the
  /// group or the latest claim is from an earlier process of this node. Later,
  /// it may unless the latest claim has a term that is new to this node. In
  /// that case the claimant first gets the planner timeout to make contact.
  bool mayClaim(const feed::KeyedRecord *Latest, std::uint64_t KnownTerm);
  /// Returns the latest claim of the group, or null.
  [[nodiscard]] const feed::KeyedRecord *
  findClaim(const feed::SnapshotPage &Page) const;
  void readLog(std::uint64_t KnownTerm);
  /// \param End the end of the topic without the claim.
  void appendClaim(feed::LogPosition End, std::uint64_t Term);

  const feed::KeyedLogClient &m_Log;
  const ElectionSettings m_Settings;
  const std::string m_Node;
  const ElectedCallback m_OnElected;
  const base::Clock m_Clock = base::steadyClock();
  std::string m_Group;
  /// Whether the log was read since the start.
  bool m_HasReadLog = false;
  bool m_CallInFlight = false;
  std::uint64_t m_ClaimCount = 0;
  /// Latest term whose planner was given time to make contact.
  std::uint64_t m_AwaitedTerm = 0;
  base::Millis m_NextAttempt{};
};

} // namespace corneldeck::rankagent

#endif
