#include "RankGroup/GroupPlanner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace corneldeck::rankgroup {

namespace {

/// Upper bound on the versions of one term, so that all versions of a later
/// term are higher.
constexpr std::uint64_t VersionsPerTerm = 1'000'000;
/// Smoothing factor of the moving average of the duration of a pass.
constexpr double PassSmoothing = 0.3;

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
      m_LastVersion(Term * VersionsPerTerm),
      m_ArmMillis(static_cast<double>(m_Settings.m_InitialArmTime.count())) {}

void GroupPlanner::onReport(const wire::GroupReport &Message,
                            base::Millis Now) {
  for (const wire::RankReport &Report : Message.ranks()) {
    if (Report.planner_term() > m_Term) {
      m_IsSuperseded = true;
      return;
    }
    m_Size = Report.size();
    if (Report.epoch() > m_Epoch) {
      // A new epoch starts on the initial maps, with nothing prepared or held.
      m_Epoch = Report.epoch();
      m_Ranks.clear();
      m_MeasuredStep = 0;
      enterPhase(SwitchPhase::Gather, Now);
    }
    if (Report.epoch() < m_Epoch || Report.rank() >= m_Size)
      continue;
    RankRecord &Record = m_Ranks[Report.rank()];
    Record.m_Report = Report;
    Record.m_ReceivedAt = Now;
    if (Report.held_size() > 0) {
      Record.m_Held.assign(Report.held().begin(), Report.held().end());
      Record.m_HeldVersion = Report.map_version();
      Record.m_Report.clear_held();
    }
  }
  measurePass(Now);
  if (Message.chosen_size() > 0)
    m_Window.addReport(Message.sender(),
                       {Message.chosen().begin(), Message.chosen().end()});
}

void GroupPlanner::measurePass(base::Millis Now) {
  const std::uint64_t Step = newestStep();
  if (Step <= m_MeasuredStep)
    return;
  if (m_MeasuredStep != 0) {
    const double Millis = static_cast<double>((Now - m_MeasuredAt).count()) /
                          static_cast<double>(Step - m_MeasuredStep);
    m_PassMillis = m_PassMillis <= 0
                       ? Millis
                       : m_PassMillis + PassSmoothing * (Millis - m_PassMillis);
  }
  m_MeasuredStep = Step;
  m_MeasuredAt = Now;
}

bool GroupPlanner::knows(const std::string &Address) const {
  return std::any_of(m_Ranks.begin(), m_Ranks.end(), [&](const auto &Each) {
    return Each.second.m_Report.agent() == Address &&
           Each.second.m_Report.planner_term() == m_Term;
  });
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
  m_OldestValidCommand = m_NextCommand;
}

std::vector<AddressedCommand> GroupPlanner::tick(base::Millis Now) {
  if (m_IsSuperseded || m_Size == 0)
    return {};
  closeRound(Now);
  if (m_Phase == SwitchPhase::Gather) {
    if (allFresh(Now) && allOpen())
      resumeSwitch(Now);
  } else {
    advancePhase(Now);
  }
  std::vector<AddressedCommand> Commands;
  addPending(Commands, Now);
  addRound(Commands, Now);
  return Commands;
}

void GroupPlanner::closeRound(base::Millis Now) {
  if (!m_RoundOpen)
    return;
  const bool AllReplied =
      m_Ranks.size() == m_Size &&
      std::all_of(m_Ranks.begin(), m_Ranks.end(), [this](const auto &Each) {
        return Each.second.m_Report.round() == m_Round;
      });
  if (!AllReplied && Now - m_RoundStartedAt < roundInterval())
    return;
  m_RoundOpen = false;
  m_Shifted = m_Window.endInterval(m_Settings.m_LayerSets);
  m_PlanDue = true;
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
    const std::vector<std::uint32_t> &Held = Each.m_Held;
    if (Report.map_version() != Version || Each.m_HeldVersion != Version)
      return false;
    std::size_t Position = 0;
    for (ExpertMap &Map : Maps) {
      if (Position >= Held.size() ||
          Held[Position] > Held.size() - Position - 1)
        return false;
      const std::size_t End = Position + 1 + Held[Position];
      for (++Position; Position < End; ++Position)
        if (Held[Position] < m_Settings.m_Experts)
          Map.add(Held[Position], static_cast<ExpertMap::Rank>(Index));
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
             Found->second.m_Kind == SwitchOrderKind::Release)
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
  if (!m_PlanDue)
    return;
  m_PlanDue = false;
  // The interval in which popularity shifts mixes old and new choices.
  if (m_Shifted || !m_Window.hasData() || m_CurrentMaps.empty())
    return;
  PlacementLimits Limits = m_Settings.m_Placement;
  Limits.m_Slowdowns = slowdowns();
  const LayerSamples Means = m_Window.means();
  const bool Urgent = expectedSkew(m_CurrentMaps, Means, Limits.m_Slowdowns) >=
                      m_Settings.m_UrgentSkewThreshold;
  const LayerSamples Samples = Urgent ? Means : m_Window.samples();
  if (Urgent)
    Limits.m_MaxNewPerRankInAllSets =
        static_cast<std::size_t>(std::max<std::int64_t>(
            1, m_Settings.m_MaxUrgentCopyTime.count() /
                   std::max<std::int64_t>(1, m_Settings.m_CopyTime.count())));
  m_Skew = expectedSkew(m_CurrentMaps, Samples, Limits.m_Slowdowns);
  LayerMaps Improved = improveMaps(m_CurrentMaps, Samples, Limits);
  const std::vector<std::size_t> RankCopies =
      copiesPerRank(Improved, m_CurrentMaps);
  const std::size_t Copies =
      std::accumulate(RankCopies.begin(), RankCopies.end(), std::size_t{0});
  const double After = expectedSkew(Improved, Samples, Limits.m_Slowdowns);
  const double Gain = m_Skew - After;
  const bool Worthwhile =
      Gain >= m_Settings.m_MinGain &&
      Gain >= m_Settings.m_MinGainPerCopy * static_cast<double>(Copies);
  if (!Worthwhile)
    return;
  m_NextMaps = std::move(Improved);
  m_IsUrgent = Urgent;
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
  m_EncodedMaps = encodeMaps(m_NextMaps);
  const auto MostCopies = static_cast<std::int64_t>(
      *std::max_element(RankCopies.begin(), RankCopies.end()));
  m_PrepareTimeout =
      m_Settings.m_PrepareTimeout + m_Settings.m_CopyTime * (2 * MostCopies);
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
  const auto HasSameContent = [&](const PendingCommand &Other) {
    return Other.m_Number != 0 && Other.m_Kind == Kind &&
           Other.m_Step == Step && Other.m_Version == m_SwitchVersion;
  };
  PendingCommand &Command = m_PendingCommands[Rank];
  if (HasSameContent(Command))
    return;
  Command = {m_NextCommand, Kind, m_SwitchVersion, Step};
  // Ranks with the same command share its number, so that one message serves
  // all of them. Agents ignore a number that is not higher than their last one.
  for (const auto &[Other, Each] : m_PendingCommands)
    if (Other != Rank && HasSameContent(Each) &&
        Each.m_Number > m_Ranks[Rank].m_SentCommand)
      Command.m_Number = Each.m_Number;
  if (Command.m_Number == m_NextCommand)
    ++m_NextCommand;
}

} // namespace corneldeck::rankgroup
