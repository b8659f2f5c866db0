#ifndef CORNELDECK_RANKGROUP_GROUPPLANNER_H
#define CORNELDECK_RANKGROUP_GROUPPLANNER_H

#include "Base/Timeline.h"
#include "RankGroup/EnginePort.h"
#include "RankGroup/PopularityWindow.h"
#include "Wire/Gossip.pb.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneldeck::rankgroup {

/// Settings of GroupPlanner.
struct PlannerSettings {
  /// Shape of the group's maps, as its service is published.
  std::size_t m_LayerSets = 0;
  std::size_t m_Experts = 0;
  PlacementLimits m_Placement;
  /// A report that is older says nothing of its rank.
  base::Millis m_MaxReportAge = base::Millis(1000);
  /// Between two turns of the popularity window.
  base::Millis m_PlanInterval = base::Millis(100);
  /// Passes between the newest one known and the one on which ranks switch, so
  /// that orders arrive before it and no pass waits.
  std::uint64_t m_SwitchLeadSteps = 3;
  /// From this skew of the mean choices on, the next map is one that is copied
  /// quickly.
  double m_UrgentSkewThreshold = 1.5;
  /// Experts that one rank copies for such a map.
  std::size_t m_MaxNewPerRankIfUrgent = 2;
  /// A new map must lower the mean skew by this share, and by this for each
  /// copy.
  double m_MinGain = 0.05;
  double m_MinGainPerCopy = 0.0005;
  /// From this pace on a rank gets less; smaller differences pass.
  float m_SlowdownThreshold = 1.2F;
  /// The most that a rank's pace counts.
  float m_MaxSlowdown = 6;
  /// A preparation that takes longer is given up.
  base::Millis m_PrepareTimeout = base::seconds(9);
};

/// Where a switch of maps stands.
enum class SwitchPhase {
  Gather,  ///< Learn the state of all ranks and make them follow.
  Idle,    ///< No switch is open.
  Prepare, ///< Ranks copy the experts of the next map.
  Hold,    ///< One rank is told not to begin the switch's step.
  Arm,     ///< All ranks are told to switch at that step.
  Release, ///< The held rank may go on.
  Settle   ///< Ranks are past the step.
};

/// \returns the name of \p Phase, such as "prepare".
std::string_view name(SwitchPhase Phase);

/// Plans the expert maps of one rank group and switches them.
///
/// Promise: no pass begins while two ranks have different maps. Ranks do not
/// compare maps and may carry out orders seconds late, so:
/// - A step is held before any rank is armed for it, and only released once
///   every rank says that it is armed for it. A late order to arm then finds
///   its step begun, or its rank armed already.
/// - Every version is used by one planner for one map only.
/// - A planner acts only while all ranks follow its term; a rank's agent
///   refuses older terms. A successor that finds a held step goes forward with
///   its map, since orders to arm may be on their way; one that finds none
///   knows that none were sent, or all were carried out.
///
/// It owns no clock or socket: it takes reports and times and gives commands.
class GroupPlanner {
public:
  GroupPlanner(std::string Group, std::string Address, std::uint64_t Term,
               PlannerSettings Settings, base::Timeline &Events);

  /// Takes a rank's report.
  void onReport(const wire::RankReport &Report, base::Millis Now);

  /// Moves on.
  /// \param Repeat whether agents are told again what they were told before.
  /// \returns the commands to send now, each to the agent of its rank.
  std::vector<wire::RankCommand> tick(base::Millis Now, bool Repeat);

  /// \returns whether a report showed a later planner.
  [[nodiscard]] bool isSuperseded() const { return m_IsSuperseded; }
  [[nodiscard]] SwitchPhase phase() const { return m_Phase; }
  [[nodiscard]] std::uint64_t term() const { return m_Term; }
  /// \returns the agent's peer address of \p Rank, empty if unknown.
  [[nodiscard]] std::string agentAddress(std::uint32_t Rank) const;
  /// \returns the mean skew at the last turn.
  [[nodiscard]] double skew() const { return m_Skew; }

private:
  struct RankRecord {
    wire::RankReport m_Report;
    base::Millis m_ReceivedAt{};
    /// The command that the agent was told last.
    std::uint64_t m_LastSentCommand = 0;
  };

  [[nodiscard]] bool allFresh(base::Millis Now) const;
  [[nodiscard]] bool allOpen() const;
  [[nodiscard]] std::uint64_t newestStep() const;
  [[nodiscard]] std::optional<std::uint32_t> heldRank() const;
  void enterPhase(SwitchPhase Phase, base::Millis Now);
  void resumeSwitch(base::Millis Now);
  void advancePhase(base::Millis Now);
  void releaseStaleHolds();
  void plan(base::Millis Now);
  [[nodiscard]] RankSlowdowns slowdowns() const;
  bool readCurrentMaps();
  void setCommandForAll(SwitchOrderKind Kind);
  void setCommand(std::uint32_t Rank, SwitchOrderKind Kind, std::uint64_t Step);
  void checkPrepared(base::Millis Now);
  void checkHeld(base::Millis Now);
  void checkArmed(base::Millis Now);
  void checkSettled(base::Millis Now);
  std::vector<wire::RankCommand> commandsToSend(bool Repeat);

  const std::string m_Group;
  const std::string m_Address;
  const std::uint64_t m_Term;
  const PlannerSettings m_Settings;
  base::Timeline &m_Events;
  std::map<std::uint32_t, RankRecord> m_Ranks;
  /// What each rank is told, until its report shows it.
  std::map<std::uint32_t, wire::RankCommand> m_PendingCommands;
  std::uint32_t m_Size = 0;
  std::uint64_t m_Epoch = 0;
  SwitchPhase m_Phase = SwitchPhase::Gather;
  base::Millis m_PhaseSince{};
  base::Millis m_PlannedAt{};
  PopularityWindow m_Window;
  LayerMaps m_CurrentMaps;
  std::uint64_t m_CurrentVersion = 0;
  LayerMaps m_NextMaps;
  std::uint64_t m_SwitchVersion = 0;
  std::uint64_t m_LastVersion = 0;
  std::uint64_t m_SwitchStep = 0;
  std::uint32_t m_HoldRank = 0;
  std::uint64_t m_NextCommand = 1;
  double m_Skew = 1;
  bool m_IsSuperseded = false;
};

} // namespace corneldeck::rankgroup

#endif
