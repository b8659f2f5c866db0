#include "SimulatedGroup.h"

namespace corneldeck::tests {

using namespace rankgroup;

namespace {

constexpr int TicksPerPass = 2;
constexpr std::size_t MaxNewPerRank = 2;
/// Delay of an order to prepare, in addition to the copies.
constexpr int PrepareTicks = 2;
constexpr int FormationTicks = 20;
/// An order without a result is executed 2 to 12 s later.
constexpr int MinOrderDelayTicks = 66;
constexpr int MaxOrderDelayTicks = 400;
constexpr int TakeoverTicks = 40;

PlannerSettings plannerSettings(base::Millis CopyTime) {
  PlannerSettings Settings;
  Settings.m_LayerSets = 1;
  Settings.m_Experts = SimulatedGroup::Experts;
  Settings.m_Placement.m_SlotsPerRank = SimulatedGroup::SlotsPerRank;
  Settings.m_Placement.m_MaxNewPerRank = MaxNewPerRank;
  Settings.m_CopyTime = CopyTime;
  return Settings;
}

std::uint64_t digestMaps(const LayerMaps &Maps) {
  std::uint64_t Digest = 1469598103934665603ULL;
  for (const std::uint32_t Each : encodeMaps(Maps))
    Digest = (Digest ^ Each) * 1099511628211ULL;
  return Digest;
}

} // namespace

SimulatedGroup::SimulatedGroup(std::uint64_t Seed, FaultRates Rates,
                               PlantedFault Fault, base::Millis CopyTime)
    : m_Random(Seed), m_Rates(Rates), m_PlantedFault(Fault),
      m_CopyTime(CopyTime), m_Events("test", 10), m_Engines(Ranks),
      m_Agents(Ranks) {
  for (std::uint32_t Rank = 0; Rank < Ranks; ++Rank) {
    m_Agents[Rank].m_Driver = std::make_unique<RankDriver>();
    m_Engines[Rank].m_Counts.assign(Experts, 0);
  }
  crashGroup();
  m_FormingUntil = 0;
  startPlanner();
}

void SimulatedGroup::crashGroup() {
  ++m_Epoch;
  m_FormingUntil = m_Tick + FormationTicks;
  m_Step = 0;
  for (std::uint32_t Rank = 0; Rank < Ranks; ++Rank) {
    const std::vector<std::uint64_t> Counts = m_Engines[Rank].m_Counts;
    m_Engines[Rank] = {};
    m_Engines[Rank].m_Counts = Counts;
    m_Engines[Rank].m_ExpertLists = {
        static_cast<std::uint32_t>(Experts / Ranks)};
    for (std::uint32_t ExpertId = Rank; ExpertId < Experts; ExpertId += Ranks)
      m_Engines[Rank].m_ExpertLists.push_back(ExpertId);
  }
}

void SimulatedGroup::startPlanner() {
  // A later term has higher versions, unless SameVersions is planted.
  ++m_Term;
  const std::uint64_t Term =
      m_PlantedFault == PlantedFault::SameVersions ? 1 : m_Term;
  Planner &Added = m_Planners.emplace_back();
  Added.m_Rank = static_cast<std::uint32_t>(m_Random.below(Ranks));
  Added.m_Planner = std::make_unique<GroupPlanner>(
      "group", "agent-" + std::to_string(Added.m_Rank), Term,
      plannerSettings(m_CopyTime), m_Events);
}

OrderResult SimulatedGroup::apply(std::uint32_t Rank,
                                  const SwitchOrder &Order) {
  Engine &Target = m_Engines[Rank];
  if (Order.m_Epoch != m_Epoch || m_Tick < m_FormingUntil)
    return OrderResult::Rejected;
  switch (Order.m_Kind) {
  case SwitchOrderKind::Prepare:
    if (Target.m_ArmedVersion != 0 ||
        Order.m_Version <= Target.m_HighestVersion)
      return OrderResult::Rejected;
    Target.m_HighestVersion = Order.m_Version;
    Target.m_PreparedVersion = Order.m_Version;
    Target.m_PreparedDigest = digestMaps(Order.m_Maps);
    Target.m_CopyingUntil =
        m_Tick + PrepareTicks +
        static_cast<int>(m_CopyTime.count() * MaxNewPerRank /
                         TickDuration.count());
    Target.m_PreparedExpertLists.clear();
    for (const ExpertMap &Map : Order.m_Maps) {
      const std::size_t Length = Target.m_PreparedExpertLists.size();
      Target.m_PreparedExpertLists.push_back(0);
      for (std::uint32_t ExpertId = 0; ExpertId < Experts; ++ExpertId)
        if (Map.holds(static_cast<ExpertMap::Rank>(Rank), ExpertId))
          Target.m_PreparedExpertLists.push_back(ExpertId);
      Target.m_PreparedExpertLists[Length] = static_cast<std::uint32_t>(
          Target.m_PreparedExpertLists.size() - Length - 1);
    }
    return OrderResult::Accepted;
  case SwitchOrderKind::Arm:
    if (Target.m_PreparedVersion != Order.m_Version ||
        m_Tick < Target.m_CopyingUntil || Order.m_Step <= m_Step)
      return OrderResult::Rejected;
    Target.m_ArmedVersion = Order.m_Version;
    Target.m_ArmedStep = Order.m_Step;
    return OrderResult::Accepted;
  case SwitchOrderKind::Hold:
    if (Order.m_Step <= m_Step ||
        (Target.m_HeldStep && Target.m_HeldStep != Order.m_Step))
      return OrderResult::Rejected;
    Target.m_HeldStep = Order.m_Step;
    return OrderResult::Accepted;
  case SwitchOrderKind::Release:
    if (Target.m_HeldStep == Order.m_Step)
      Target.m_HeldStep = 0;
    return OrderResult::Accepted;
  case SwitchOrderKind::None:
    break;
  }
  return OrderResult::Rejected;
}

void SimulatedGroup::runPass() {
  if (m_Tick < m_FormingUntil || m_Tick % TicksPerPass != 0)
    return;
  const std::uint64_t Next = m_Step + 1;
  for (const Engine &Each : m_Engines)
    if (Each.m_HeldStep == Next) {
      // The time without an active planner does not count, because only a
      // planner can release the step.
      if (m_HeldSince < 0 || m_NoPlannerUntil != 0)
        m_HeldSince = m_Tick;
      m_LongestHeld = std::max(m_LongestHeld, m_Tick - m_HeldSince);
      return;
    }
  m_HeldSince = -1;
  m_Step = Next;
  ++m_Passes;
  for (std::uint32_t Rank = 0; Rank < Ranks; ++Rank) {
    Engine &Target = m_Engines[Rank];
    if (Target.m_ArmedVersion != 0 && Target.m_ArmedStep == m_Step) {
      Target.m_MapVersion = Target.m_ArmedVersion;
      Target.m_MapDigest = Target.m_PreparedDigest;
      Target.m_ExpertLists = Target.m_PreparedExpertLists;
      Target.m_ArmedVersion = 0;
      Target.m_PreparedVersion = 0;
      if (Rank == 0)
        ++m_Switches;
    }
    // The hot expert changes every 90 passes.
    const std::uint64_t Hot = m_Step / 90 + Rank / 2;
    for (std::size_t ExpertId = 0; ExpertId < Experts; ++ExpertId)
      Target.m_Counts[ExpertId] += ExpertId == Hot % Experts ? 9000 : 400;
  }
  for (const Engine &Each : m_Engines)
    m_HasMixedMaps = m_HasMixedMaps ||
                     Each.m_MapVersion != m_Engines[0].m_MapVersion ||
                     Each.m_MapDigest != m_Engines[0].m_MapDigest;
}

RankState SimulatedGroup::reportedState(std::uint32_t Rank) const {
  const Engine &Target = m_Engines[Rank];
  RankState State;
  State.m_Group = "group";
  State.m_Epoch = m_Epoch;
  State.m_Rank = Rank;
  State.m_Size = Ranks;
  State.m_Open = m_Tick >= m_FormingUntil;
  State.m_Step = m_Step;
  State.m_MapVersion = Target.m_MapVersion;
  State.m_PreparedVersion =
      m_Tick >= Target.m_CopyingUntil ? Target.m_PreparedVersion : 0;
  State.m_ArmedVersion = Target.m_ArmedVersion;
  State.m_ArmedStep = Target.m_ArmedStep;
  State.m_HeldStep = Target.m_HeldStep;
  return State;
}

void SimulatedGroup::tickAgent(std::uint32_t Rank) {
  if (m_Random.chance(m_Rates.m_AgentRestarted))
    m_Agents[Rank] = {std::make_unique<RankDriver>(), {}};
  RankDriver &Driver = *m_Agents[Rank].m_Driver;
  Driver.updateState(reportedState(Rank));
  if (const auto Order = Driver.nextOrder(now())) {
    if (m_Random.chance(m_Rates.m_OrderDelayed)) {
      const int Due = m_Tick + MinOrderDelayTicks +
                      static_cast<int>(m_Random.below(MaxOrderDelayTicks -
                                                      MinOrderDelayTicks));
      m_DelayedOrders.push_back({Due, Rank, *Order});
      Driver.onOrderResult(base::failure(base::ResultCode::Timeout, "late"),
                           now());
    } else {
      const OrderResult Outcome = apply(Rank, *Order);
      if (m_Random.chance(m_Rates.m_ResultLost))
        Driver.onOrderResult(base::failure(base::ResultCode::Timeout, "lost"),
                             now());
      else
        Driver.onOrderResult(Outcome, now());
    }
    Driver.updateState(reportedState(Rank));
  }
  wire::GroupReport Message;
  Message.set_group("group");
  Message.set_sender(Rank);
  wire::RankReport &Report = *Message.add_ranks();
  Driver.fillReport(Report);
  Report.set_agent("agent-" + std::to_string(Rank));
  for (const std::uint32_t Each : m_Engines[Rank].m_ExpertLists)
    Report.add_held(Each);
  for (const std::uint64_t Each : m_Agents[Rank].m_CountTracker.update(
           {m_Epoch, m_Step, m_Engines[Rank].m_Counts}))
    Message.add_chosen(Each);
  if (m_PlantedFault == PlantedFault::IgnoreHold)
    Report.set_held_step(
        Report.held_step() > Report.step() + 4 ? Report.held_step() : 0);
  if (m_PlantedFault == PlantedFault::ReleaseHoldAtOnce && Rank != 0 &&
      !m_Planners.empty() &&
      m_Planners.back().m_Planner->phase() == SwitchPhase::Gather) {
    Report.set_prepared_version(0);
    Report.set_armed_version(0);
  }
  if (m_PlantedFault == PlantedFault::ReleaseUnarmed && Rank == 1) {
    const RankState Other = reportedState(0);
    Report.set_armed_version(Other.m_ArmedVersion);
    Report.set_armed_step(Other.m_ArmedStep);
  }
  for (Planner &Each : m_Planners)
    if (!m_Random.chance(m_Rates.m_MessageLost) &&
        m_Tick >= Each.m_PausedUntil) {
      if (m_PlantedFault == PlantedFault::FollowSupersededPlanner)
        Report.set_planner_term(Each.m_Planner->term());
      Each.m_Planner->onReport(Message, now());
    }
}

void SimulatedGroup::tickPlanner(Planner &Target) {
  if (m_Tick < Target.m_PausedUntil)
    return;
  auto Commands = Target.m_Planner->tick(now());
  if (Target.m_Planner->phase() == SwitchPhase::Gather) {
    AddressedCommand &Announcement = Commands.emplace_back();
    Announcement.m_Command.set_planner_term(Target.m_Planner->term());
    Announcement.m_Ranks = {0, 1, 2};
  }
  for (AddressedCommand &Command : Commands)
    for (const std::uint32_t Rank : Command.m_Ranks) {
      if (m_Random.chance(m_Rates.m_MessageLost))
        continue;
      if (m_PlantedFault == PlantedFault::FollowSupersededPlanner)
        Command.m_Command.set_planner_term(m_Term);
      m_Agents[Rank].m_Driver->acceptCommand(Command.m_Command, now());
    }
}

void SimulatedGroup::run(int Ticks) {
  for (int Count = 0; Count < Ticks && !m_HasMixedMaps; ++Count) {
    ++m_Tick;
    for (std::size_t Index = 0; Index < m_DelayedOrders.size();) {
      if (m_DelayedOrders[Index].m_DueTick > m_Tick) {
        ++Index;
        continue;
      }
      const DelayedOrder Delayed = m_DelayedOrders[Index];
      m_DelayedOrders.erase(m_DelayedOrders.begin() +
                            static_cast<std::ptrdiff_t>(Index));
      apply(Delayed.m_Rank, Delayed.m_Order);
    }
    if (m_Random.chance(m_Rates.m_RankCrashed))
      crashGroup();
    if (!m_Planners.empty() && m_Random.chance(m_Rates.m_PlannerKilled)) {
      m_Planners.pop_back();
      m_NoPlannerUntil = m_Tick + TakeoverTicks;
    }
    if (!m_Planners.empty() && m_NoPlannerUntil == 0 &&
        m_Random.chance(m_Rates.m_PlannerPaused)) {
      m_Planners.back().m_PausedUntil =
          m_Tick + TakeoverTicks + static_cast<int>(m_Random.below(120));
      m_NoPlannerUntil = m_Tick + TakeoverTicks;
    }
    if (m_NoPlannerUntil != 0 && m_Tick >= m_NoPlannerUntil) {
      m_NoPlannerUntil = 0;
      startPlanner();
    }
    runPass();
    for (std::uint32_t Rank = 0; Rank < Ranks; ++Rank)
      tickAgent(Rank);
    for (Planner &Each : m_Planners)
      tickPlanner(Each);
    constexpr std::size_t MaxPlanners = 3;
    if (m_Planners.size() > MaxPlanners)
      m_Planners.erase(m_Planners.begin());
  }
}

} // namespace corneldeck::tests
