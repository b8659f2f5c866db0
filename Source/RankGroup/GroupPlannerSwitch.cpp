#include "RankGroup/GroupPlanner.h"

#include <algorithm>
#include <cmath>

namespace corneldeck::rankgroup {

namespace {

/// Smoothing factor of the moving average of the duration of holding and
/// arming.
constexpr double ArmSmoothing = 0.3;

} // namespace

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
                     {"version", std::to_string(m_SwitchVersion)},
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
                   {"version", std::to_string(m_SwitchVersion)},
                   {"step", std::to_string(m_SwitchStep)},
                   {"newest_step", std::to_string(newestStep())},
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
    m_Events.record(
        base::EventId::MapCommitted,
        {{"group", m_Group}, {"version", std::to_string(m_SwitchVersion)}});
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
  // Unless the maps are urgent, there is time for a message to be repeated.
  const double ArmMillis =
      m_ArmMillis +
      (m_IsUrgent
           ? 0.0
           : static_cast<double>(m_Settings.m_SwitchReplyTimeout.count()));
  const double Passes = std::ceil((ArmMillis - NextStartsIn) / m_PassMillis);
  return Next + static_cast<std::uint64_t>(std::max(Passes, 0.0));
}

} // namespace corneldeck::rankgroup
