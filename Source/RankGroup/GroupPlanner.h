#ifndef CORNELDECK_RANKGROUP_GROUPPLANNER_H
#define CORNELDECK_RANKGROUP_GROUPPLANNER_H

#include "Base/Timeline.h"
#include "RankGroup/EnginePort.h"
#include "RankGroup/GroupTraffic.h"
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
  /// Limits from which the interval of report requests and the number of relays
  /// are derived.
  TrafficLimits m_Traffic;
  /// Minimum time between two requests for reports. Each of them ends an
  /// interval of the popularity window and may be followed by a new plan.
  base::Millis m_MinRoundInterval = base::Millis(100);
  /// Time for the reply to a command, in addition to its distribution, after
  /// which it is repeated.
  base::Millis m_ReplyTimeout = base::Millis(150);
  /// The same for commands that a held pass waits for. They are short.
  base::Millis m_SwitchReplyTimeout = base::Millis(40);
  /// Expected time from the order to hold a step until all ranks are armed;
  /// replaced by the measured time after the first switch. The step is chosen
  /// so that no pass has to wait.
  base::Millis m_InitialArmTime = base::Millis(150);
  /// Load skew from which the next maps are limited to a few copies, so that
  /// they take effect sooner.
  double m_UrgentSkewThreshold = 1.5;
  /// Time in which a rank must be able to copy the experts for such urgent
  /// maps.
  base::Millis m_MaxUrgentCopyTime = base::Millis(200);
  /// Time that a rank needs to copy one expert.
  base::Millis m_CopyTime = base::Millis(100);
  /// New maps must lower the mean skew by at least m_MinGain, and by at least
  /// m_MinGainPerCopy for each copy.
  double m_MinGain = 0.05;
  double m_MinGainPerCopy = 0.0005;
  /// Slowdown from which a rank is assigned less load; smaller ones are
  /// ignored.
  float m_SlowdownThreshold = 1.2F;
  /// Upper bound of a rank's slowdown in planning.
  float m_MaxSlowdown = 6;
  /// Time after which the preparation of new maps is aborted, in addition to
  /// twice the expected time for the copies of one rank.
  base::Millis m_PrepareTimeout = base::seconds(9);
};

/// A command and the ranks that have to receive it.
struct AddressedCommand {
  wire::RankCommand m_Command;
  std::vector<std::uint32_t> m_Ranks;
  /// Number of times that the command was sent before, so that other relays are
  /// used if it was not confirmed.
  unsigned m_Repetitions = 0;
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
/// - Commands are numbered in ascending order. An agent ignores a command that
///   is older than another one of the same planner.
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

  /// Processes the reports of one or more ranks.
  void onReport(const wire::GroupReport &Message, base::Millis Now);

  /// Advances the switch according to the newest reports.
  /// \returns the commands and requests for reports to send now.
  std::vector<AddressedCommand> tick(base::Millis Now);

  /// Divides the receivers of \p Command between relays. Ranks that have not
  /// reported recently are not used as relays.
  /// \returns the messages to send, each with the ranks that its receiver has
  /// to forward it to.
  [[nodiscard]] std::vector<RelayBranch> route(const AddressedCommand &Command,
                                               base::Millis Now) const;

  /// \returns the fanout for relays of \p Command.
  [[nodiscard]] std::size_t fanout(const wire::RankCommand &Command) const;

  /// \returns whether a report contained the term of a newer planner.
  [[nodiscard]] bool isSuperseded() const { return m_IsSuperseded; }
  [[nodiscard]] SwitchPhase phase() const { return m_Phase; }
  [[nodiscard]] std::uint64_t term() const { return m_Term; }
  /// \returns whether the agent at \p Address has reported and follows this
  /// planner.
  [[nodiscard]] bool knows(const std::string &Address) const;
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
    /// Experts of the rank under the maps of version m_HeldVersion.
    std::vector<std::uint32_t> m_Held;
    std::uint64_t m_HeldVersion = 0;
    /// Number of the command that was sent last, when, and how often.
    std::uint64_t m_SentCommand = 0;
    base::Millis m_SentAt{};
    unsigned m_TimesSent = 0;
  };

  /// Command that a rank has to execute in the current phase.
  struct PendingCommand {
    std::uint64_t m_Number = 0;
    SwitchOrderKind m_Kind = SwitchOrderKind::None;
    std::uint64_t m_Version = 0;
    std::uint64_t m_Step = 0;
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
  /// Ends the current round if all ranks have replied or the next one is due,
  /// and adds the choices of the round to the popularity window.
  void closeRound(base::Millis Now);
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
  /// Updates the duration of a pass after new reports.
  void measurePass(base::Millis Now);
  /// \returns the first step that is expected to start after a hold that is
  /// ordered now, and all orders to arm, have been executed.
  [[nodiscard]] std::uint64_t chooseSwitchStep(base::Millis Now) const;
  [[nodiscard]] bool isResponsive(const RankRecord &Rank,
                                  base::Millis Now) const;
  [[nodiscard]] std::size_t reportBytes() const;
  [[nodiscard]] base::Millis roundInterval() const;
  [[nodiscard]] base::Millis
  repeatInterval(const wire::RankCommand &Command) const;
  void addRound(std::vector<AddressedCommand> &Commands, base::Millis Now);
  void addPending(std::vector<AddressedCommand> &Commands, base::Millis Now);
  /// \returns a command of \p Pending with the fields common to all messages.
  [[nodiscard]] wire::RankCommand
  makeCommand(const PendingCommand &Pending) const;

  const std::string m_Group;
  const std::string m_Address;
  const std::uint64_t m_Term;
  const PlannerSettings m_Settings;
  base::Timeline &m_Events;
  std::map<std::uint32_t, RankRecord> m_Ranks;
  /// Command to each rank in the current phase; none if it needs no order.
  std::map<std::uint32_t, PendingCommand> m_PendingCommands;
  std::uint32_t m_Size = 0;
  std::uint64_t m_Epoch = 0;
  SwitchPhase m_Phase = SwitchPhase::Gather;
  base::Millis m_PhaseSince{};
  /// Time after which the current preparation is aborted.
  base::Millis m_PrepareTimeout{};
  /// Current request for reports.
  std::uint64_t m_Round = 0;
  base::Millis m_RoundStartedAt{};
  bool m_RoundOpen = false;
  /// Whether a round has ended since the last planning attempt.
  bool m_PlanDue = false;
  /// Whether the popularity shifted in the last round.
  bool m_Shifted = false;
  PopularityWindow m_Window;
  LayerMaps m_CurrentMaps;
  std::uint64_t m_CurrentVersion = 0;
  LayerMaps m_NextMaps;
  /// Whether the next maps are to take effect as soon as possible.
  bool m_IsUrgent = false;
  /// Version of the maps in the current or last switch.
  std::uint64_t m_SwitchVersion = 0;
  /// Highest version that this planner has assigned.
  std::uint64_t m_LastVersion = 0;
  /// First step on the new maps, which m_HoldRank holds until all are armed.
  std::uint64_t m_SwitchStep = 0;
  std::uint32_t m_HoldRank = 0;
  std::uint64_t m_NextCommand = 1;
  /// Number of the first command of the current phase.
  std::uint64_t m_OldestValidCommand = 1;
  /// Encoding of m_NextMaps for the commands to prepare them.
  std::vector<std::uint32_t> m_EncodedMaps;
  /// Moving average of the duration of a pass in milliseconds; 0 if unknown.
  double m_PassMillis = 0;
  std::uint64_t m_MeasuredStep = 0;
  base::Millis m_MeasuredAt{};
  /// Moving average of the time in milliseconds to hold a step and arm all
  /// ranks.
  double m_ArmMillis;
  base::Millis m_HoldStartedAt{};
  double m_Skew = 1;
  bool m_IsSuperseded = false;
};

} // namespace corneldeck::rankgroup

#endif
