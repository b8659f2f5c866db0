#include "RankGroup/GroupPlanner.h"

#include <algorithm>
#include <cmath>

namespace corneldeck::rankgroup {

namespace {

/// Versions of one term; a later term's versions are all higher.
constexpr std::uint64_t VersionsPerTerm = 1'000'000;

std::string number(std::uint64_t Value) { return std::to_string(Value); }

std::string fraction(double Value) {
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

GroupPlanner::GroupPlanner(std::string Group, std::string Self,
                           std::uint64_t Term, PlannerSettings Settings,
                           base::Timeline &Events)
    : m_Group(std::move(Group)), m_Self(std::move(Self)), m_Term(Term),
      m_Settings(std::move(Settings)), m_Events(Events),
      m_LastVersion(Term * VersionsPerTerm) {}

void GroupPlanner::take(const wire::RankReport &Report, base::Millis Now) {
  if (Report.planner_term() > m_Term) {
    m_Superseded = true;
    return;
  }
  m_Size = Report.size();
  if (Report.epoch() > m_Epoch) {
    // A new epoch begins with the start map and nothing prepared or held.
    m_Epoch = Report.epoch();
    m_Ranks.clear();
    enter(SwitchPhase::Gather, Now);
  }
  if (Report.epoch() < m_Epoch || Report.rank() >= m_Size)
    return;
  Rank &Known = m_Ranks[Report.rank()];
  Known.m_Report = Report;
  Known.m_At = Now;
  if (Report.chosen_size() > 0)
    m_Window.take(Report.rank(),
                  {Report.chosen().begin(), Report.chosen().end()});
}

std::string GroupPlanner::agentOf(std::uint32_t Rank) const {
  const auto Found = m_Ranks.find(Rank);
  return Found == m_Ranks.end() ? std::string()
                                : Found->second.m_Report.agent();
}

bool GroupPlanner::allFresh(base::Millis Now) const {
  if (m_Size == 0 || m_Ranks.size() != m_Size)
    return false;
  return std::all_of(m_Ranks.begin(), m_Ranks.end(), [&](const auto &Each) {
    return Now - Each.second.m_At <= m_Settings.m_FreshFor &&
           Each.second.m_Report.planner_term() == m_Term;
  });
}

bool GroupPlanner::allOpen() const {
  return std::all_of(m_Ranks.begin(), m_Ranks.end(), [](const auto &Each) {
    return Each.second.m_Report.open();
  });
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

void GroupPlanner::enter(SwitchPhase Phase, base::Millis Now) {
  m_Phase = Phase;
  m_PhaseSince = Now;
  m_Wanted.clear();
}

std::vector<wire::RankCommand> GroupPlanner::tick(base::Millis Now,
                                                  bool Repeat) {
  if (m_Superseded || m_Size == 0)
    return {};
  if (m_Phase == SwitchPhase::Gather) {
    if (allFresh(Now) && allOpen())
      gather(Now);
  } else {
    advance(Now);
  }
  return commands(Repeat);
}

void GroupPlanner::gather(base::Millis Now) {
  if (!learnMaps())
    return;
  const auto Held = heldRank();
  if (!Held) {
    const bool Armed =
        std::any_of(m_Ranks.begin(), m_Ranks.end(), [](const auto &Each) {
          return Each.second.m_Report.armed_version() != 0;
        });
    if (Armed) {
      m_Version = m_Ranks.begin()->second.m_Report.armed_version();
      m_Next.clear();
    }
    enter(Armed ? SwitchPhase::Settle : SwitchPhase::Idle, Now);
    return;
  }
  m_Holder = *Held;
  m_Step = m_Ranks[*Held].m_Report.held_step();
  m_Version = 0;
  bool AllHaveIt = true;
  for (const auto &[Index, Each] : m_Ranks) {
    const wire::RankReport &Report = Each.m_Report;
    const std::uint64_t Has = Report.armed_version() != 0
                                  ? Report.armed_version()
                                  : Report.prepared_version();
    if (m_Version == 0)
      m_Version = Has;
    AllHaveIt = AllHaveIt && Has != 0 && Has == m_Version;
  }
  m_Next.clear();
  m_Events.record(base::EventId::GroupHeld,
                  {{"group", m_Group},
                   {"by", "a planner before"},
                   {"step", number(m_Step)},
                   {"version", number(m_Version)},
                   {"forward", AllHaveIt ? "true" : "false"}});
  // Without the map on all ranks no rank was told to arm, so nothing is open.
  enter(AllHaveIt ? SwitchPhase::Arm : SwitchPhase::Release, Now);
}

bool GroupPlanner::learnMaps() {
  LayerMaps Maps(m_Settings.m_Sets, ExpertMap(m_Size, m_Settings.m_Experts));
  const std::uint64_t Version = m_Ranks.begin()->second.m_Report.map_version();
  for (const auto &[Index, Each] : m_Ranks) {
    const wire::RankReport &Report = Each.m_Report;
    if (Report.map_version() != Version)
      return false;
    int At = 0;
    for (ExpertMap &Map : Maps) {
      if (At >= Report.held_size())
        return false;
      const int End = At + 1 + static_cast<int>(Report.held(At));
      if (End > Report.held_size())
        return false;
      for (++At; At < End; ++At)
        if (Report.held(At) < m_Settings.m_Experts)
          Map.add(Report.held(At), static_cast<ExpertMap::Rank>(Index));
    }
  }
  for (const ExpertMap &Map : Maps)
    if (!Map.check(m_Settings.m_Placement.m_Slots))
      return false;
  m_Present = std::move(Maps);
  m_PresentVersion = Version;
  return true;
}

void GroupPlanner::advance(base::Millis Now) {
  switch (m_Phase) {
  case SwitchPhase::Gather:
    return;
  case SwitchPhase::Idle:
    releaseStray();
    if (allFresh(Now) && allOpen() && !heldRank())
      plan(Now);
    return;
  case SwitchPhase::Prepare:
    releaseStray();
    checkPrepared(Now);
    return;
  case SwitchPhase::Hold:
    checkHeld(Now);
    return;
  case SwitchPhase::Arm:
    checkArmed(Now);
    return;
  case SwitchPhase::Release:
    if (m_Ranks[m_Holder].m_Report.held_step() == 0)
      enter(SwitchPhase::Settle, Now);
    else
      order(m_Holder, SwitchOrderKind::Release, m_Step);
    return;
  case SwitchPhase::Settle:
    releaseStray();
    checkSettled(Now);
    return;
  }
}

void GroupPlanner::releaseStray() {
  // An order to hold that came late, after its switch was given up. No rank was
  // told to arm for it, since that waits for the hold.
  for (const auto &[Index, Each] : m_Ranks)
    if (const std::uint64_t Step = Each.m_Report.held_step(); Step != 0)
      order(Index, SwitchOrderKind::Release, Step);
    else if (const auto Found = m_Wanted.find(Index);
             Found != m_Wanted.end() &&
             Found->second.kind() ==
                 static_cast<std::uint32_t>(SwitchOrderKind::Release))
      m_Wanted.erase(Found);
}

void GroupPlanner::plan(base::Millis Now) {
  const bool OtherMap =
      std::any_of(m_Ranks.begin(), m_Ranks.end(), [this](const auto &Each) {
        return Each.second.m_Report.map_version() != m_PresentVersion;
      });
  if (OtherMap) {
    enter(SwitchPhase::Gather, Now);
    return;
  }
  if (Now - m_TurnedAt < m_Settings.m_TurnPeriod)
    return;
  m_TurnedAt = Now;
  const bool Shifted = m_Window.turn(m_Settings.m_Sets);
  // The turn in which popularity shifts holds choices of before and after.
  if (Shifted || !m_Window.isSound() || m_Present.empty())
    return;
  PlacementLimits Limits = m_Settings.m_Placement;
  Limits.m_Paces = paces();
  const LayerSamples Means = m_Window.means();
  const bool Urgent =
      expectedSkew(m_Present, Means, Limits.m_Paces) >= m_Settings.m_UrgentSkew;
  const LayerSamples Samples = Urgent ? Means : m_Window.samples();
  if (Urgent)
    Limits.m_NewPerRankInAll = m_Settings.m_NewPerRankIfUrgent;
  m_Skew = expectedSkew(m_Present, Samples, Limits.m_Paces);
  LayerMaps Better = improveMaps(m_Present, Samples, Limits);
  std::size_t Copies = 0;
  for (std::size_t Set = 0; Set < m_Present.size(); ++Set)
    Copies += Better[Set].copiesToLoad(m_Present[Set]);
  const double After = expectedSkew(Better, Samples, Limits.m_Paces);
  const double Gain = m_Skew - After;
  const bool Pays =
      Gain >= m_Settings.m_LeastGain &&
      Gain >= m_Settings.m_LeastGainPerCopy * static_cast<double>(Copies);
  if (!Pays)
    return;
  m_Next = std::move(Better);
  m_Version = ++m_LastVersion;
  m_Events.record(
      base::EventId::RebalancePlanned,
      {{"group", m_Group},
       {"version", number(m_Version)},
       {"urgent", Urgent ? "true" : "false"},
       {"skew", fraction(m_Skew)},
       {"skew_after", fraction(After)},
       {"copies", number(Copies)},
       {"slowest_pace", fraction(*std::max_element(Limits.m_Paces.begin(),
                                                   Limits.m_Paces.end()))},
       {"step", number(newestStep())}});
  enter(SwitchPhase::Prepare, Now);
  orderAll(SwitchOrderKind::Prepare);
}

RankSlowdowns GroupPlanner::paces() const {
  RankSlowdowns Paces(m_Size, 1.0F);
  for (const auto &[Index, Each] : m_Ranks)
    if (const auto Told = static_cast<float>(Each.m_Report.pace());
        Told >= m_Settings.m_SlowPace)
      Paces[Index] = std::min(Told, m_Settings.m_MostPace);
  return Paces;
}

void GroupPlanner::orderAll(SwitchOrderKind Kind) {
  for (const auto &[Index, Each] : m_Ranks)
    order(Index, Kind, m_Step);
}

void GroupPlanner::order(std::uint32_t Rank, SwitchOrderKind Kind,
                         std::uint64_t Step) {
  wire::RankCommand &Wanted = m_Wanted[Rank];
  const bool Same = Wanted.command() != 0 &&
                    Wanted.kind() == static_cast<std::uint32_t>(Kind) &&
                    Wanted.step() == Step && Wanted.version() == m_Version;
  if (Same)
    return;
  Wanted.set_command(m_NextCommand++);
  Wanted.set_kind(static_cast<std::uint32_t>(Kind));
  Wanted.set_version(m_Version);
  Wanted.set_step(Step);
  Wanted.clear_map();
  if (Kind == SwitchOrderKind::Prepare)
    for (const std::uint32_t Each : packMaps(m_Next))
      Wanted.add_map(Each);
}

void GroupPlanner::checkPrepared(base::Millis Now) {
  bool All = true;
  bool Unfit = false;
  for (const auto &[Index, Each] : m_Ranks) {
    const wire::RankReport &Report = Each.m_Report;
    const bool Has = Report.prepared_version() == m_Version;
    All = All && Has;
    const auto Found = m_Wanted.find(Index);
    Unfit =
        Unfit || (!Has && Found != m_Wanted.end() &&
                  Report.command() == Found->second.command() &&
                  Report.command_result() ==
                      1 + static_cast<std::uint32_t>(OrderResult::Rejected));
  }
  if (Unfit || Now - m_PhaseSince > m_Settings.m_PrepareTimeout) {
    m_Events.record(
        base::EventId::MapAborted,
        {{"group", m_Group},
         {"version", number(m_Version)},
         {"why", Unfit ? "a rank refused it" : "it took too long"}});
    enter(SwitchPhase::Gather, Now);
    return;
  }
  if (!All || !allFresh(Now))
    return;
  m_Step = newestStep() + m_Settings.m_StepsAhead;
  m_Holder = m_Ranks.begin()->first;
  for (const auto &[Index, Each] : m_Ranks)
    if (Each.m_Report.agent() == m_Self)
      m_Holder = Index;
  enter(SwitchPhase::Hold, Now);
  order(m_Holder, SwitchOrderKind::Hold, m_Step);
}

void GroupPlanner::checkHeld(base::Millis Now) {
  const std::uint64_t Held = m_Ranks[m_Holder].m_Report.held_step();
  if (Held == m_Step) {
    enter(SwitchPhase::Arm, Now);
    orderAll(SwitchOrderKind::Arm);
    return;
  }
  // The step passed, or an earlier hold came late: take another step.
  if (Held != 0) {
    order(m_Holder, SwitchOrderKind::Release, Held);
    return;
  }
  if (newestStep() >= m_Step)
    m_Step = newestStep() + m_Settings.m_StepsAhead;
  order(m_Holder, SwitchOrderKind::Hold, m_Step);
}

void GroupPlanner::checkArmed(base::Millis Now) {
  if (m_Wanted.empty())
    orderAll(SwitchOrderKind::Arm);
  bool All = m_Ranks.size() == m_Size;
  for (const auto &[Index, Each] : m_Ranks) {
    const wire::RankReport &Report = Each.m_Report;
    All = All && Report.armed_version() == m_Version &&
          Report.armed_step() == m_Step && Report.planner_term() == m_Term;
  }
  if (!All)
    return;
  m_Events.record(base::EventId::GroupReleased,
                  {{"group", m_Group},
                   {"version", number(m_Version)},
                   {"step", number(m_Step)},
                   {"newest_step", number(newestStep())},
                   {"ms", std::to_string((Now - m_PhaseSince).count())}});
  enter(SwitchPhase::Release, Now);
  order(m_Holder, SwitchOrderKind::Release, m_Step);
}

void GroupPlanner::checkSettled(base::Millis Now) {
  if (!allFresh(Now))
    return;
  const bool Open =
      std::any_of(m_Ranks.begin(), m_Ranks.end(), [](const auto &Each) {
        return Each.second.m_Report.armed_version() != 0;
      });
  if (Open)
    return;
  const bool All =
      std::all_of(m_Ranks.begin(), m_Ranks.end(), [this](const auto &Each) {
        return Each.second.m_Report.map_version() == m_Version;
      });
  if (All && !m_Next.empty()) {
    m_Present = std::move(m_Next);
    m_PresentVersion = m_Version;
    m_Events.record(base::EventId::MapCommitted,
                    {{"group", m_Group}, {"version", number(m_Version)}});
    enter(SwitchPhase::Idle, Now);
    return;
  }
  enter(SwitchPhase::Gather, Now);
}

std::vector<wire::RankCommand> GroupPlanner::commands(bool Repeat) {
  std::vector<wire::RankCommand> All;
  for (auto &[Index, Each] : m_Ranks) {
    const auto Found = m_Wanted.find(Index);
    const std::uint64_t Number =
        Found == m_Wanted.end() ? 0 : Found->second.command();
    if (!Repeat && Number == Each.m_Told)
      continue;
    Each.m_Told = Number;
    wire::RankCommand &Command = All.emplace_back();
    if (Found != m_Wanted.end())
      Command = Found->second;
    Command.set_group(m_Group);
    Command.set_epoch(m_Epoch);
    Command.set_rank(Index);
    Command.set_planner_term(m_Term);
    Command.set_planner(m_Self);
  }
  return All;
}

} // namespace corneldeck::rankgroup
