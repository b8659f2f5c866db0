#include "RankGroup/GroupPlanner.h"

#include <algorithm>
#include <cmath>

namespace corneldeck::rankgroup {

namespace {

/// Upper bound on the versions of one term, so that all versions of a later
/// term are higher.
constexpr std::uint64_t VersionsPerTerm = 1'000'000;

std::string number(std::uint64_t Value) { return std::to_string(Value); }

/// \returns \p Value with three decimal places.
std::string formatDecimal(double Value) {
  constexpr double Thousand = 1000;
  constexpr std::int64_t Places = 1000;
  const std::int64_t Thousandths = std::llround(Value * Thousand);
  std::string Digits = std::to_string(Thousandths % Places);
  Digits.insert(0, 3 - Digits.size(), '0');
  return std::to_string(Thousandths / Places) + "." + Digits;
}

} // namespace

std::string_view name(SwitchOrderKind Kind) {
  switch (Kind) {
  case SwitchOrderKind::None:
    return "none";
  case SwitchOrderKind::Prepare:
    return "prepare";
  case SwitchOrderKind::Arm:
    return "arm";
  case SwitchOrderKind::Hold:
    return "hold";
  case SwitchOrderKind::Release:
    return "release";
  }
  return "unknown";
}

std::string_view name(SwitchPhase Phase) {
  switch (Phase) {
  case SwitchPhase::Gather:
    return "gather";
  case SwitchPhase::Idle:
    return "idle";
  case SwitchPhase::Prepare:
    return "prepare";
  case SwitchPhase::Hold:
    return "hold";
  case SwitchPhase::Arm:
    return "arm";
  case SwitchPhase::Release:
    return "release";
  case SwitchPhase::Settle:
    return "settle";
  }
  return "unknown";
}

GroupPlanner::GroupPlanner(std::string Group, std::string Address,
                           std::uint64_t Term, PlannerSettings Settings,
                           base::Timeline &Events)
    : m_Group(std::move(Group)), m_Address(std::move(Address)), m_Term(Term),
      m_Settings(std::move(Settings)), m_Events(Events),
      m_LastVersion(Term * VersionsPerTerm) {}

void GroupPlanner::onReport(const wire::RankReport &Report, base::Millis Now) {
  if (Report.planner_term() > m_Term) {
    m_IsSuperseded = true;
    return;
  }
  m_Size = Report.size();
  if (Report.epoch() > m_Epoch) {
    // A new epoch starts on the initial maps, with nothing prepared or held.
    m_Epoch = Report.epoch();
    m_Ranks.clear();
    enterPhase(SwitchPhase::Gather, Now);
  }
  if (Report.epoch() < m_Epoch || Report.rank() >= m_Size)
    return;
  RankRecord &Record = m_Ranks[Report.rank()];
  Record.m_Report = Report;
  Record.m_ReceivedAt = Now;
  if (Report.chosen_size() > 0)
    m_Window.addReport(Report.rank(),
                       {Report.chosen().begin(), Report.chosen().end()});
}

std::string GroupPlanner::agentAddress(std::uint32_t Rank) const {
  const auto Found = m_Ranks.find(Rank);
  return Found == m_Ranks.end() ? std::string()
                                : Found->second.m_Report.agent();
}

bool GroupPlanner::allFresh(base::Millis Now) const {
  if (m_Size == 0 || m_Ranks.size() != m_Size)
    return false;
  return std::all_of(m_Ranks.begin(), m_Ranks.end(), [&](const auto &Each) {
    return Now - Each.second.m_ReceivedAt <= m_Settings.m_MaxReportAge &&
           Each.second.m_Report.planner_term() == m_Term;
  });
}

bool GroupPlanner::allOpen() const {
  return std::all_of(m_Ranks.begin(), m_Ranks.end(), [](const auto &Each) {
    return Each.second.m_Report.open();
  });
}

std::string GroupPlanner::describeReports(base::Millis Now) const {
  std::size_t Following = 0;
  std::size_t Prepared = 0;
  base::Millis OldestAge{};
  std::uint32_t OldestRank = 0;
  for (const auto &[Index, Each] : m_Ranks) {
    Following += Each.m_Report.planner_term() == m_Term ? 1 : 0;
    Prepared += m_SwitchVersion != 0 &&
                        Each.m_Report.prepared_version() == m_SwitchVersion
                    ? 1
                    : 0;
    if (Now - Each.m_ReceivedAt >= OldestAge) {
      OldestAge = Now - Each.m_ReceivedAt;
      OldestRank = Index;
    }
  }
  return "size=" + number(m_Size) + " reported=" + number(m_Ranks.size()) +
         " following=" + number(Following) + " prepared=" + number(Prepared) +
         " oldest_ms=" + std::to_string(OldestAge.count()) +
         " oldest_rank=" + number(OldestRank);
}

std::uint64_t GroupPlanner::newestStep() const {
  std::uint64_t Newest = 0;
  for (const auto &[Index, Each] : m_Ranks)
    Newest = std::max(Newest, Each.m_Report.step());
  return Newest;
}

std::optional<std::uint32_t> GroupPlanner::heldRank() const {
  for (const auto &[Index, Each] : m_Ranks)
    if (Each.m_Report.held_step() != 0)
      return Index;
  return std::nullopt;
}

void GroupPlanner::enterPhase(SwitchPhase Phase, base::Millis Now) {
  m_Phase = Phase;
  m_PhaseSince = Now;
  m_PendingCommands.clear();
}

std::vector<wire::RankCommand> GroupPlanner::tick(base::Millis Now,
                                                  bool Repeat) {
  if (m_IsSuperseded || m_Size == 0)
    return {};
  if (m_Phase == SwitchPhase::Gather) {
    if (allFresh(Now) && allOpen())
      resumeSwitch(Now);
  } else {
    advancePhase(Now);
  }
  return commandsToSend(Repeat);
}

void GroupPlanner::resumeSwitch(base::Millis Now) {
  if (!readCurrentMaps())
    return;
  const auto HeldRank = heldRank();
  if (!HeldRank) {
    const bool Armed =
        std::any_of(m_Ranks.begin(), m_Ranks.end(), [](const auto &Each) {
          return Each.second.m_Report.armed_version() != 0;
        });
    if (Armed) {
      m_SwitchVersion = m_Ranks.begin()->second.m_Report.armed_version();
      m_NextMaps.clear();
    }
    enterPhase(Armed ? SwitchPhase::Settle : SwitchPhase::Idle, Now);
    return;
  }
  m_HoldRank = *HeldRank;
  m_SwitchStep = m_Ranks[*HeldRank].m_Report.held_step();
  m_SwitchVersion = 0;
  bool AllPrepared = true;
  for (const auto &[Index, Each] : m_Ranks) {
    const wire::RankReport &Report = Each.m_Report;
    const std::uint64_t RankVersion = Report.armed_version() != 0
                                          ? Report.armed_version()
                                          : Report.prepared_version();
    if (m_SwitchVersion == 0)
      m_SwitchVersion = RankVersion;
    AllPrepared =
        AllPrepared && RankVersion != 0 && RankVersion == m_SwitchVersion;
  }
  m_NextMaps.clear();
  m_Events.record(base::EventId::GroupHeld,
                  {{"group", m_Group},
                   {"by", "a previous planner"},
                   {"step", number(m_SwitchStep)},
                   {"version", number(m_SwitchVersion)},
                   {"forward", AllPrepared ? "true" : "false"}});
  // If a rank has not prepared the maps, no rank was ordered to arm, so the
  // switch can be abandoned.
  enterPhase(AllPrepared ? SwitchPhase::Arm : SwitchPhase::Release, Now);
}

bool GroupPlanner::readCurrentMaps() {
  LayerMaps Maps(m_Settings.m_LayerSets,
                 ExpertMap(m_Size, m_Settings.m_Experts));
  const std::uint64_t Version = m_Ranks.begin()->second.m_Report.map_version();
  for (const auto &[Index, Each] : m_Ranks) {
    const wire::RankReport &Report = Each.m_Report;
    if (Report.map_version() != Version)
      return false;
    int Position = 0;
    for (ExpertMap &Map : Maps) {
      if (Position >= Report.held_size())
        return false;
      const int End = Position + 1 + static_cast<int>(Report.held(Position));
      if (End > Report.held_size())
        return false;
      for (++Position; Position < End; ++Position)
        if (Report.held(Position) < m_Settings.m_Experts)
          Map.add(Report.held(Position), static_cast<ExpertMap::Rank>(Index));
    }
  }
  for (const ExpertMap &Map : Maps)
    if (!Map.validate(m_Settings.m_Placement.m_SlotsPerRank))
      return false;
  m_CurrentMaps = std::move(Maps);
  m_CurrentVersion = Version;
  return true;
}

void GroupPlanner::advancePhase(base::Millis Now) {
  switch (m_Phase) {
  case SwitchPhase::Gather:
    return;
  case SwitchPhase::Idle:
    releaseStaleHolds();
    if (allFresh(Now) && allOpen() && !heldRank())
      plan(Now);
    return;
  case SwitchPhase::Prepare:
    releaseStaleHolds();
    checkPrepared(Now);
    return;
  case SwitchPhase::Hold:
    checkHeld(Now);
    return;
  case SwitchPhase::Arm:
    checkArmed(Now);
    return;
  case SwitchPhase::Release:
    if (m_Ranks[m_HoldRank].m_Report.held_step() == 0)
      enterPhase(SwitchPhase::Settle, Now);
    else
      setCommand(m_HoldRank, SwitchOrderKind::Release, m_SwitchStep);
    return;
  case SwitchPhase::Settle:
    releaseStaleHolds();
    checkSettled(Now);
    return;
  }
}

void GroupPlanner::releaseStaleHolds() {
  // An order to hold may be executed after its switch was aborted. No rank was
  // ordered to arm for that step, since arming waits for the hold.
  for (const auto &[Index, Each] : m_Ranks)
    if (const std::uint64_t Step = Each.m_Report.held_step(); Step != 0)
      setCommand(Index, SwitchOrderKind::Release, Step);
    else if (const auto Found = m_PendingCommands.find(Index);
             Found != m_PendingCommands.end() &&
             Found->second.kind() ==
                 static_cast<std::uint32_t>(SwitchOrderKind::Release))
      m_PendingCommands.erase(Found);
}

void GroupPlanner::plan(base::Millis Now) {
  const bool MapChanged =
      std::any_of(m_Ranks.begin(), m_Ranks.end(), [this](const auto &Each) {
        return Each.second.m_Report.map_version() != m_CurrentVersion;
      });
  if (MapChanged) {
    enterPhase(SwitchPhase::Gather, Now);
    return;
  }
  if (Now - m_PlannedAt < m_Settings.m_PlanInterval)
    return;
  m_PlannedAt = Now;
  const bool Shifted = m_Window.endInterval(m_Settings.m_LayerSets);
  // The interval in which popularity shifts mixes old and new choices.
  if (Shifted || !m_Window.hasData() || m_CurrentMaps.empty())
    return;
  PlacementLimits Limits = m_Settings.m_Placement;
  Limits.m_Slowdowns = slowdowns();
  const LayerSamples Means = m_Window.means();
  const bool Urgent = expectedSkew(m_CurrentMaps, Means, Limits.m_Slowdowns) >=
                      m_Settings.m_UrgentSkewThreshold;
  const LayerSamples Samples = Urgent ? Means : m_Window.samples();
  if (Urgent)
    Limits.m_MaxNewPerRankInAllSets = m_Settings.m_MaxNewPerRankIfUrgent;
  m_Skew = expectedSkew(m_CurrentMaps, Samples, Limits.m_Slowdowns);
  LayerMaps Improved = improveMaps(m_CurrentMaps, Samples, Limits);
  std::size_t Copies = 0;
  for (std::size_t Set = 0; Set < m_CurrentMaps.size(); ++Set)
    Copies += Improved[Set].copiesToLoad(m_CurrentMaps[Set]);
  const double After = expectedSkew(Improved, Samples, Limits.m_Slowdowns);
  const double Gain = m_Skew - After;
  const bool Worthwhile =
      Gain >= m_Settings.m_MinGain &&
      Gain >= m_Settings.m_MinGainPerCopy * static_cast<double>(Copies);
  if (!Worthwhile)
    return;
  m_NextMaps = std::move(Improved);
  m_SwitchVersion = ++m_LastVersion;
  m_Events.record(base::EventId::RebalancePlanned,
                  {{"group", m_Group},
                   {"version", number(m_SwitchVersion)},
                   {"urgent", Urgent ? "true" : "false"},
                   {"skew", formatDecimal(m_Skew)},
                   {"skew_after", formatDecimal(After)},
                   {"copies", number(Copies)},
                   {"slowest_pace",
                    formatDecimal(*std::max_element(Limits.m_Slowdowns.begin(),
                                                    Limits.m_Slowdowns.end()))},
                   {"step", number(newestStep())},
                   {"reports", describeReports(Now)}});
  enterPhase(SwitchPhase::Prepare, Now);
  setCommandForAll(SwitchOrderKind::Prepare);
}

RankSlowdowns GroupPlanner::slowdowns() const {
  RankSlowdowns Slowdowns(m_Size, 1.0F);
  for (const auto &[Index, Each] : m_Ranks)
    if (const auto Slowdown = static_cast<float>(Each.m_Report.pace());
        Slowdown >= m_Settings.m_SlowdownThreshold)
      Slowdowns[Index] = std::min(Slowdown, m_Settings.m_MaxSlowdown);
  return Slowdowns;
}

void GroupPlanner::setCommandForAll(SwitchOrderKind Kind) {
  for (const auto &[Index, Each] : m_Ranks)
    setCommand(Index, Kind, m_SwitchStep);
}

void GroupPlanner::setCommand(std::uint32_t Rank, SwitchOrderKind Kind,
                              std::uint64_t Step) {
  wire::RankCommand &Command = m_PendingCommands[Rank];
  const bool Unchanged = Command.command() != 0 &&
                         Command.kind() == static_cast<std::uint32_t>(Kind) &&
                         Command.step() == Step &&
                         Command.version() == m_SwitchVersion;
  if (Unchanged)
    return;
  Command.set_command(m_NextCommand++);
  Command.set_kind(static_cast<std::uint32_t>(Kind));
  Command.set_version(m_SwitchVersion);
  Command.set_step(Step);
  Command.clear_map();
  if (Kind == SwitchOrderKind::Prepare)
    for (const std::uint32_t Each : encodeMaps(m_NextMaps))
      Command.add_map(Each);
}

void GroupPlanner::checkPrepared(base::Millis Now) {
  bool All = true;
  bool Rejected = false;
  for (const auto &[Index, Each] : m_Ranks) {
    const wire::RankReport &Report = Each.m_Report;
    const bool HasPrepared = Report.prepared_version() == m_SwitchVersion;
    All = All && HasPrepared;
    const auto Found = m_PendingCommands.find(Index);
    Rejected =
        Rejected || (!HasPrepared && Found != m_PendingCommands.end() &&
                     Report.command() == Found->second.command() &&
                     Report.command_result() ==
                         1 + static_cast<std::uint32_t>(OrderResult::Rejected));
  }
  if (Rejected || Now - m_PhaseSince > m_Settings.m_PrepareTimeout) {
    m_Events.record(base::EventId::MapAborted,
                    {{"group", m_Group},
                     {"version", number(m_SwitchVersion)},
                     {"why", Rejected ? "a rank rejected the order to prepare"
                                      : "preparation timed out"},
                     {"reports", describeReports(Now)}});
    enterPhase(SwitchPhase::Gather, Now);
    return;
  }
  if (!All || !allFresh(Now))
    return;
  m_SwitchStep = newestStep() + m_Settings.m_SwitchLeadSteps;
  m_HoldRank = m_Ranks.begin()->first;
  for (const auto &[Index, Each] : m_Ranks)
    if (Each.m_Report.agent() == m_Address)
      m_HoldRank = Index;
  enterPhase(SwitchPhase::Hold, Now);
  setCommand(m_HoldRank, SwitchOrderKind::Hold, m_SwitchStep);
}

void GroupPlanner::checkHeld(base::Millis Now) {
  const std::uint64_t HeldStep = m_Ranks[m_HoldRank].m_Report.held_step();
  if (HeldStep == m_SwitchStep) {
    enterPhase(SwitchPhase::Arm, Now);
    setCommandForAll(SwitchOrderKind::Arm);
    return;
  }
  // The step has passed, or an earlier hold was executed late: use another
  // step.
  if (HeldStep != 0) {
    setCommand(m_HoldRank, SwitchOrderKind::Release, HeldStep);
    return;
  }
  if (newestStep() >= m_SwitchStep)
    m_SwitchStep = newestStep() + m_Settings.m_SwitchLeadSteps;
  setCommand(m_HoldRank, SwitchOrderKind::Hold, m_SwitchStep);
}

void GroupPlanner::checkArmed(base::Millis Now) {
  if (m_PendingCommands.empty())
    setCommandForAll(SwitchOrderKind::Arm);
  bool All = m_Ranks.size() == m_Size;
  for (const auto &[Index, Each] : m_Ranks) {
    const wire::RankReport &Report = Each.m_Report;
    All = All && Report.armed_version() == m_SwitchVersion &&
          Report.armed_step() == m_SwitchStep &&
          Report.planner_term() == m_Term;
  }
  if (!All)
    return;
  m_Events.record(base::EventId::GroupReleased,
                  {{"group", m_Group},
                   {"version", number(m_SwitchVersion)},
                   {"step", number(m_SwitchStep)},
                   {"newest_step", number(newestStep())},
                   {"ms", std::to_string((Now - m_PhaseSince).count())}});
  enterPhase(SwitchPhase::Release, Now);
  setCommand(m_HoldRank, SwitchOrderKind::Release, m_SwitchStep);
}

void GroupPlanner::checkSettled(base::Millis Now) {
  if (!allFresh(Now))
    return;
  const bool AnyArmed =
      std::any_of(m_Ranks.begin(), m_Ranks.end(), [](const auto &Each) {
        return Each.second.m_Report.armed_version() != 0;
      });
  if (AnyArmed)
    return;
  const bool All =
      std::all_of(m_Ranks.begin(), m_Ranks.end(), [this](const auto &Each) {
        return Each.second.m_Report.map_version() == m_SwitchVersion;
      });
  if (All && !m_NextMaps.empty()) {
    m_CurrentMaps = std::move(m_NextMaps);
    m_CurrentVersion = m_SwitchVersion;
    m_Events.record(base::EventId::MapCommitted,
                    {{"group", m_Group}, {"version", number(m_SwitchVersion)}});
    enterPhase(SwitchPhase::Idle, Now);
    return;
  }
  enterPhase(SwitchPhase::Gather, Now);
}

std::vector<wire::RankCommand> GroupPlanner::commandsToSend(bool Repeat) {
  std::vector<wire::RankCommand> All;
  for (auto &[Index, Each] : m_Ranks) {
    const auto Found = m_PendingCommands.find(Index);
    const std::uint64_t CommandNumber =
        Found == m_PendingCommands.end() ? 0 : Found->second.command();
    if (!Repeat && CommandNumber == Each.m_LastSentCommand)
      continue;
    Each.m_LastSentCommand = CommandNumber;
    wire::RankCommand &Command = All.emplace_back();
    if (Found != m_PendingCommands.end())
      Command = Found->second;
    Command.set_group(m_Group);
    Command.set_epoch(m_Epoch);
    Command.set_rank(Index);
    Command.set_planner_term(m_Term);
    Command.set_planner(m_Address);
  }
  return All;
}

} // namespace corneldeck::rankgroup
