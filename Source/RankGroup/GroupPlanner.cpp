#include "RankGroup/GroupPlanner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace corneldeck::rankgroup {

namespace {

/// Upper bound on the versions of one term, so that all versions of a later
/// term are higher.
constexpr std::uint64_t VersionsPerTerm = 1'000'000;
/// Smoothing factors of the moving averages of the durations.
constexpr double PassSmoothing = 0.3;
constexpr double ArmSmoothing = 0.3;
/// A rank whose last report is older than this many rounds is not a relay.
constexpr std::int64_t MaxMissedRounds = 3;
/// Bytes of a report without choices, and of an encoded count.
constexpr std::size_t ReportBaseBytes = 512;
constexpr double BytesPerCount = 1.5;

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

void GroupPlanner::checkPrepared(base::Millis Now) {
  bool All = true;
  bool Rejected = false;
  for (const auto &[Index, Each] : m_Ranks) {
    const wire::RankReport &Report = Each.m_Report;
    const bool HasPrepared = Report.prepared_version() == m_SwitchVersion;
    All = All && HasPrepared;
    // An order to release a stale hold replaces the order to prepare.
    if (!HasPrepared && !m_PendingCommands.contains(Index))
      setCommand(Index, SwitchOrderKind::Prepare, m_SwitchStep);
    const auto Found = m_PendingCommands.find(Index);
    Rejected =
        Rejected || (!HasPrepared && Found != m_PendingCommands.end() &&
                     Report.command() == Found->second.m_Number &&
                     Report.command_result() ==
                         1 + static_cast<std::uint32_t>(OrderResult::Rejected));
  }
  if (Rejected || Now - m_PhaseSince > m_PrepareTimeout) {
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
  m_SwitchStep = chooseSwitchStep(Now);
  m_HoldStartedAt = Now;
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
    m_SwitchStep = chooseSwitchStep(Now);
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
  if (m_HoldStartedAt > base::Millis(0))
    m_ArmMillis +=
        ArmSmoothing *
        (static_cast<double>((Now - m_HoldStartedAt).count()) - m_ArmMillis);
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

std::uint64_t GroupPlanner::chooseSwitchStep(base::Millis Now) const {
  const std::uint64_t Next = newestStep() + 1;
  if (m_PassMillis <= 0)
    return Next + 1;
  const double NextStartsIn =
      m_PassMillis - static_cast<double>((Now - m_MeasuredAt).count());
  const double Passes = std::ceil((m_ArmMillis - NextStartsIn) / m_PassMillis);
  return Next + static_cast<std::uint64_t>(std::max(Passes, 0.0));
}

bool GroupPlanner::isResponsive(const RankRecord &Rank,
                                base::Millis Now) const {
  return Now - Rank.m_ReceivedAt <= roundInterval() * MaxMissedRounds;
}

std::size_t GroupPlanner::reportBytes() const {
  return ReportBaseBytes +
         static_cast<std::size_t>(BytesPerCount *
                                  static_cast<double>(m_Settings.m_LayerSets *
                                                      m_Settings.m_Experts));
}

base::Millis GroupPlanner::roundInterval() const {
  const std::size_t Bytes = reportBytes();
  const std::size_t Messages =
      std::min<std::size_t>(m_Size, m_Settings.m_Traffic.fanout(Bytes));
  return std::max(m_Settings.m_MinRoundInterval,
                  m_Settings.m_Traffic.reportInterval(Messages, Bytes));
}

base::Millis
GroupPlanner::repeatInterval(const wire::RankCommand &Command) const {
  return m_Settings.m_ReplyTimeout +
         m_Settings.m_Traffic.distributionTime(m_Size, Command.ByteSizeLong());
}

std::size_t GroupPlanner::fanout(const wire::RankCommand &Command) const {
  // A request is answered with the choices of all experts.
  return m_Settings.m_Traffic.fanout(
      Command.round() != 0 ? reportBytes() : Command.ByteSizeLong());
}

std::vector<RelayBranch> GroupPlanner::route(const AddressedCommand &Command,
                                             base::Millis Now) const {
  std::vector<RelayBranch> Branches;
  std::vector<wire::RankAddress> Responsive;
  std::vector<wire::RankAddress> Silent;
  // Ranks of a zone are neighbours, so that most messages of a relay stay in
  // its zone.
  std::vector<std::pair<std::string, std::uint32_t>> ByZone;
  for (const std::uint32_t Rank : Command.m_Ranks)
    if (const auto Found = m_Ranks.find(Rank); Found != m_Ranks.end())
      ByZone.emplace_back(Found->second.m_Report.zone(), Rank);
  std::sort(ByZone.begin(), ByZone.end());
  for (const auto &[Zone, Rank] : ByZone) {
    const RankRecord &Record = m_Ranks.at(Rank);
    wire::RankAddress Address;
    Address.set_rank(Rank);
    Address.set_agent(Record.m_Report.agent());
    // The planner's link already carries the messages to all relays.
    if (Address.agent() == m_Address)
      Branches.push_back({Address, {}});
    else
      (isResponsive(Record, Now) ? Responsive : Silent).push_back(Address);
  }
  const std::size_t Fanout = fanout(Command.m_Command);
  for (std::vector<wire::RankAddress> *Targets : {&Responsive, &Silent}) {
    if (!Targets->empty())
      std::rotate(Targets->begin(),
                  Targets->begin() +
                      static_cast<std::ptrdiff_t>(Command.m_Repetitions %
                                                  Targets->size()),
                  Targets->end());
    for (RelayBranch &Each : divideIntoBranches(*Targets, Fanout))
      Branches.push_back(std::move(Each));
  }
  return Branches;
}

wire::RankCommand
GroupPlanner::makeCommand(const PendingCommand &Pending) const {
  wire::RankCommand Command;
  Command.set_group(m_Group);
  Command.set_epoch(m_Epoch);
  Command.set_planner_term(m_Term);
  Command.set_planner(m_Address);
  Command.set_oldest_valid(m_OldestValidCommand);
  Command.set_command(Pending.m_Number);
  Command.set_kind(static_cast<std::uint32_t>(Pending.m_Kind));
  Command.set_version(Pending.m_Version);
  Command.set_step(Pending.m_Step);
  if (Pending.m_Kind == SwitchOrderKind::Prepare) {
    Command.set_experts(static_cast<std::uint32_t>(m_Settings.m_Experts));
    Command.mutable_map()->Add(m_EncodedMaps.begin(), m_EncodedMaps.end());
  }
  return Command;
}

void GroupPlanner::addPending(std::vector<AddressedCommand> &Commands,
                              base::Millis Now) {
  std::map<std::uint64_t, AddressedCommand> ByNumber;
  for (const auto &[Rank, Pending] : m_PendingCommands) {
    AddressedCommand &Command = ByNumber[Pending.m_Number];
    if (Command.m_Command.command() == 0)
      Command.m_Command = makeCommand(Pending);
    RankRecord &Record = m_Ranks[Rank];
    const bool IsNew = Record.m_SentCommand != Pending.m_Number;
    const bool Confirmed = Record.m_Report.command() == Pending.m_Number;
    if (!IsNew && (Confirmed ||
                   Now - Record.m_SentAt < repeatInterval(Command.m_Command)))
      continue;
    Record.m_TimesSent = IsNew ? 1 : Record.m_TimesSent + 1;
    Record.m_SentCommand = Pending.m_Number;
    Record.m_SentAt = Now;
    Command.m_Ranks.push_back(Rank);
    Command.m_Repetitions =
        std::max(Command.m_Repetitions, Record.m_TimesSent - 1);
  }
  for (auto &[Number, Each] : ByNumber)
    if (!Each.m_Ranks.empty())
      Commands.push_back(std::move(Each));
}

void GroupPlanner::addRound(std::vector<AddressedCommand> &Commands,
                            base::Millis Now) {
  // After a shift of popularity the next round starts at once: its choices are
  // the first ones without the old popularity.
  const bool IsDue =
      Now - m_RoundStartedAt >= roundInterval() || (m_Shifted && !m_RoundOpen);
  if (!IsDue || m_Ranks.empty())
    return;
  m_RoundStartedAt = Now;
  m_RoundOpen = true;
  m_Shifted = false;
  ++m_Round;
  AddressedCommand &Request = Commands.emplace_back();
  Request.m_Command = makeCommand({});
  Request.m_Command.set_round(m_Round);
  Request.m_Command.set_with_experts(m_Phase == SwitchPhase::Gather);
  for (const auto &[Rank, Each] : m_Ranks)
    Request.m_Ranks.push_back(Rank);
}

} // namespace corneldeck::rankgroup
