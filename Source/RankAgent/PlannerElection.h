#ifndef CORNELDECK_RANKAGENT_PLANNERELECTION_H
#define CORNELDECK_RANKAGENT_PLANNERELECTION_H

#include "Base/Clock.h"
#include "Feed/KeyedLogClient.h"

#include <functional>
#include <string>

namespace corneldeck::rankagent {

/// Settings of PlannerElection.
struct ElectionSettings {
  std::string m_Topic;
  /// A planner that was not heard for longer may be replaced.
  base::Millis m_SilentAfter = base::Millis(1200);
  /// Added for each rank, so that successors do not come all at once.
  base::Millis m_Stagger = base::Millis(150);
  base::Millis m_RetryPause = base::Millis(600);
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
  using Won = std::function<void(std::uint64_t Term)>;

  PlannerElection(const feed::KeyedLogClient &Log, ElectionSettings Terms,
                  std::string Node, Won OnWon);

  /// Looks whether to claim.
  /// \param Rank this node's place among the successors.
  /// \param Heard when the planner was last heard, or this node started.
  /// \param SeenTerm the latest term that this node knows of.
  void tick(const std::string &Group, std::uint32_t Rank, base::Millis Heard,
            std::uint64_t SeenTerm, base::Millis Now);

private:
  /// Decides on what the log says. Right after the start a group that nobody
  /// has claimed may be claimed, and so may one whose planner was this node's
  /// process before; any other planner that this node does not know gets the
  /// time to be heard.
  bool mayClaim(const feed::SnapshotPage &Page, std::uint64_t SeenTerm);
  void claim(std::uint64_t SeenTerm);
  void append(std::uint64_t At);

  const feed::KeyedLogClient &m_Log;
  const ElectionSettings m_Terms;
  const std::string m_Node;
  const Won m_OnWon;
  const base::Clock m_Clock = base::steadyClock();
  std::string m_Group;
  /// The log was read since the start.
  bool m_Begun = false;
  bool m_Busy = false;
  std::uint64_t m_Claims = 0;
  std::uint64_t m_WaitedFor = 0;
  base::Millis m_NotBefore{};
};

} // namespace corneldeck::rankagent

#endif
