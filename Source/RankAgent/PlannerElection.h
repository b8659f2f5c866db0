#ifndef CORNELDECK_RANKAGENT_PLANNERELECTION_H
#define CORNELDECK_RANKAGENT_PLANNERELECTION_H

#include "Base/Clock.h"
#include "Feed/LogPort.h"

#include <functional>
#include <string>

namespace corneldeck::rankagent {

/// Settings of PlannerElection.
struct ElectionSettings {
  std::string m_Topic;
  /// A planner that was not heard for longer may be replaced.
  base::Millis m_PlannerTimeout = base::Millis(1200);
  /// Added for each rank, so that successors do not come all at once.
  base::Millis m_StaggerPerRank = base::Millis(150);
  base::Millis m_RetryDelay = base::Millis(600);
};

/// Who plans a group's maps, agreed through the platform's log.
///
/// A claim is appended only if the topic still ends where the claimant read it,
/// so one claim wins; its place in the log is the planner's term. A planner
/// goes on without calls until a later term is seen; while the log is away
/// nobody can take over, and the present planner stays.
class PlannerElection {
public:
  /// Called with the term once this node is the planner.
  using ElectedCallback = std::function<void(std::uint64_t Term)>;

  PlannerElection(const feed::LogPort &Log, ElectionSettings Settings,
                  std::string Node, ElectedCallback OnElected);

  /// Looks whether to claim.
  /// \param Rank this node's place among the successors.
  /// \param Heard when the planner was last heard, or this node started.
  /// \param SeenTerm the latest term that this node knows of.
  void tick(const std::string &Group, std::uint32_t Rank,
            base::Millis LastContact, std::uint64_t KnownTerm,
            base::Millis Now);

private:
  /// Decides on what the log says. Right after the start a group that nobody
  /// has claimed may be claimed, and so may one whose planner was this node's
  /// process before; any other planner that this node does not know gets the
  /// time to be heard.
  bool mayClaim(const feed::NewestPage &Page, std::uint64_t KnownTerm);
  void readLog(std::uint64_t KnownTerm);
  void appendClaim(std::uint64_t EndOffset);

  const feed::LogPort &m_Log;
  const ElectionSettings m_Settings;
  const std::string m_Node;
  const ElectedCallback m_OnElected;
  const base::Clock m_Clock = base::steadyClock();
  std::string m_Group;
  /// The log was read since the start.
  bool m_HasReadLog = false;
  bool m_CallInFlight = false;
  std::uint64_t m_ClaimCount = 0;
  std::uint64_t m_AwaitedTerm = 0;
  base::Millis m_NextAttempt{};
};

} // namespace corneldeck::rankagent

#endif
