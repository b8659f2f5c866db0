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
  /// Layer sets of the group, and experts of each. They come from the published
  /// configuration of the service.
  std::size_t m_LayerSets = 0;
  std::size_t m_Experts = 0;
  PlacementLimits m_Placement;
  /// A report that is older is too stale to act on.
  base::Millis m_MaxReportAge = base::Millis(1000);
  /// Time between two planning attempts, each of which ends an interval of the
  /// popularity window.
  base::Millis m_PlanInterval = base::Millis(100);
  /// Passes from the newest one reported to the one at which the ranks switch,
  /// so that the orders arrive in time and no pass has to wait.
  std::uint64_t m_SwitchLeadSteps = 3;
  /// Load skew from which the next maps are limited to a few copies, so that
  /// they take effect sooner.
  double m_UrgentSkewThreshold = 1.5;
  /// Experts that one rank may copy for such urgent maps.
  std::size_t m_MaxNewPerRankIfUrgent = 2;
  /// New maps must lower the mean skew by at least m_MinGain, and by at least
  /// m_MinGainPerCopy for each copy.
  double m_MinGain = 0.05;
  double m_MinGainPerCopy = 0.0005;
  /// Slowdown from which a rank is assigned less load; smaller ones are
  /// ignored.
  float m_SlowdownThreshold = 1.2F;
  /// Upper bound of a rank's slowdown in planning.
  float m_MaxSlowdown = 6;
  /// Time after which the preparation of new maps is aborted.
  base::Millis m_PrepareTimeout = base::seconds(9);
};

/// Phases of a switch to new expert maps.
enum class SwitchPhase {
  Gather,  ///< Wait until all ranks report and follow this planner.
  Idle,    ///< No switch is in progress.
  Prepare, ///< The ranks copy the experts of the next maps.
  Hold,    ///< One rank is ordered not to start the step of the switch.
  Arm,     ///< All ranks are ordered to switch at that step.
  Release, ///< The held step is released.
  Settle   ///< Wait until all ranks have passed the step.
};

/// \returns the name of \p Phase, such as "prepare".
std::string_view name(SwitchPhase Phase);

/// Plans the expert maps of one rank group and coordinates the switch to them.
///
/// Invariant: no pass starts while two ranks use different maps. Engines do not
/// compare their maps and may execute orders seconds late. Therefore:
/// - A step is held before any rank is armed for it, and is released only after
///   every rank has reported that it is armed for it. If an order to arm is
///   executed later, its step has already started or the rank is already armed.
/// - Each version number is used by one planner for one set of maps only.
/// - A planner acts only while all ranks follow its term; the agent of a rank
///   rejects older terms. If a new planner finds a held step whose maps are
///   prepared on all ranks, it completes the switch, because orders to arm may
///   be in flight. If no step is held, no order to arm was sent or all of them
///   were executed.
///
/// The class has no clock or socket: it processes reports and returns commands.
/// Time is passed in.
class GroupPlanner {
public:
  GroupPlanner(std::string Group, std::string Address, std::uint64_t Term,
               PlannerSettings Settings, base::Timeline &Events);

  /// Processes the report of a rank.
  void onReport(const wire::RankReport &Report, base::Millis Now);

  /// Advances the switch according to the newest reports.
  /// \param Repeat whether commands that were sent before are sent again.
  /// \returns the commands to send now, each to the agent of its rank.
  std::vector<wire::RankCommand> tick(base::Millis Now, bool Repeat);

  /// \returns whether a report contained the term of a newer planner.
  [[nodiscard]] bool isSuperseded() const { return m_IsSuperseded; }
  [[nodiscard]] SwitchPhase phase() const { return m_Phase; }
  [[nodiscard]] std::uint64_t term() const { return m_Term; }
  /// \returns the peer address of the agent of \p Rank; empty if unknown.
  [[nodiscard]] std::string agentAddress(std::uint32_t Rank) const;
  /// \returns a summary of the ranks' reports for the log: how many ranks have
  /// reported, how many of them follow this planner and have prepared the next
  /// maps, and the age and rank of the oldest report.
  [[nodiscard]] std::string describeReports(base::Millis Now) const;
  /// \returns the mean skew at the last planning attempt.
  [[nodiscard]] double skew() const { return m_Skew; }

private:
  struct RankRecord {
    wire::RankReport m_Report;
    base::Millis m_ReceivedAt{};
    /// Number of the command that was sent last.
    std::uint64_t m_LastSentCommand = 0;
  };

  [[nodiscard]] bool allFresh(base::Millis Now) const;
  [[nodiscard]] bool allOpen() const;
  [[nodiscard]] std::uint64_t newestStep() const;
  [[nodiscard]] std::optional<std::uint32_t> heldRank() const;
  void enterPhase(SwitchPhase Phase, base::Millis Now);
  /// Determines from the reports of all ranks whether a switch is in progress,
  /// and enters the phase in which it continues.
  void resumeSwitch(base::Millis Now);
  void advancePhase(base::Millis Now);
  /// Releases steps that are held although no switch holds them.
  void releaseStaleHolds();
  void plan(base::Millis Now);
  [[nodiscard]] RankSlowdowns slowdowns() const;
  /// Reads the maps in use from the reports of all ranks.
  /// \returns false if the reports are incomplete, invalid or of different
  /// versions.
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
  /// Command to each rank in the current phase; none if it needs no order.
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
  /// Version of the maps in the current or last switch.
  std::uint64_t m_SwitchVersion = 0;
  /// Highest version that this planner has assigned.
  std::uint64_t m_LastVersion = 0;
  /// First step on the new maps, which m_HoldRank holds until all are armed.
  std::uint64_t m_SwitchStep = 0;
  std::uint32_t m_HoldRank = 0;
  std::uint64_t m_NextCommand = 1;
  double m_Skew = 1;
  bool m_IsSuperseded = false;
};

} // namespace corneldeck::rankgroup

#endif
