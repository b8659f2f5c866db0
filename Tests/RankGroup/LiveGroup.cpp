#include "LiveGroup.h"

namespace corneldeck::tests {

using namespace rankgroup;

namespace {

constexpr int TurnsPerPass = 2;
constexpr int CopyTurns = 8;
constexpr int FormTurns = 20;
/// An order without an answer is carried out 2 to 12 s later.
constexpr int LeastLate = 66;
constexpr int MostLate = 400;
constexpr int SuccessorTurns = 40;

PlannerSettings plannerSettings() {
  PlannerSettings Settings;
  Settings.m_Sets = 1;
  Settings.m_Experts = LiveGroup::Experts;
  Settings.m_Placement.m_Slots = LiveGroup::Slots;
  Settings.m_Placement.m_NewPerRank = 2;
  return Settings;
}

std::uint64_t digestOf(const LayerMaps &Maps) {
  std::uint64_t Digest = 1469598103934665603ULL;
  for (const std::uint32_t Each : packMaps(Maps))
    Digest = (Digest ^ Each) * 1099511628211ULL;
  return Digest;
}

} // namespace

LiveGroup::LiveGroup(std::uint64_t Seed, Faults Wrong, Mistake Planted)
    : m_Draw(Seed), m_Faults(Wrong), m_Mistake(Planted), m_Events("test", 10),
      m_Engines(Ranks), m_Agents(Ranks) {
  for (std::uint32_t Rank = 0; Rank < Ranks; ++Rank) {
    m_Agents[Rank].m_Driver = std::make_unique<RankDriver>();
    m_Engines[Rank].m_Counts.assign(Experts, 0);
  }
  crash();
  m_ClosedUntil = 0;
  newPlanner();
}

void LiveGroup::crash() {
  ++m_Epoch;
  m_ClosedUntil = m_Turn + FormTurns;
  m_Step = 0;
  for (std::uint32_t Rank = 0; Rank < Ranks; ++Rank) {
    const std::vector<std::uint64_t> Counts = m_Engines[Rank].m_Counts;
    m_Engines[Rank] = {};
    m_Engines[Rank].m_Counts = Counts;
    m_Engines[Rank].m_Lists = {static_cast<std::uint32_t>(Experts / Ranks)};
    for (std::uint32_t Which = Rank; Which < Experts; Which += Ranks)
      m_Engines[Rank].m_Lists.push_back(Which);
  }
}

void LiveGroup::newPlanner() {
  // A later term has higher versions, unless the mistake is to forget that.
  ++m_Term;
  const std::uint64_t Term = m_Mistake == Mistake::SameVersions ? 1 : m_Term;
  Planner &Added = m_Planners.emplace_back();
  Added.m_Home = static_cast<std::uint32_t>(m_Draw.below(Ranks));
  Added.m_Planner = std::make_unique<GroupPlanner>(
      "group", "agent-" + std::to_string(Added.m_Home), Term, plannerSettings(),
      m_Events);
}

OrderResult LiveGroup::apply(std::uint32_t Rank, const SwitchOrder &Order) {
  Engine &Of = m_Engines[Rank];
  if (Order.m_Epoch != m_Epoch || m_Turn < m_ClosedUntil)
    return OrderResult::Rejected;
  switch (Order.m_Kind) {
  case SwitchOrderKind::Prepare:
    if (Of.m_Armed != 0 || Order.m_Version <= Of.m_Highest)
      return OrderResult::Rejected;
    Of.m_Highest = Order.m_Version;
    Of.m_Prepared = Order.m_Version;
    Of.m_PreparedDigest = digestOf(Order.m_Maps);
    Of.m_CopyingUntil = m_Turn + CopyTurns;
    Of.m_PreparedLists.clear();
    for (const ExpertMap &Map : Order.m_Maps) {
      const std::size_t Length = Of.m_PreparedLists.size();
      Of.m_PreparedLists.push_back(0);
      for (std::uint32_t Which = 0; Which < Experts; ++Which)
        if (Map.holds(static_cast<ExpertMap::Rank>(Rank), Which))
          Of.m_PreparedLists.push_back(Which);
      Of.m_PreparedLists[Length] =
          static_cast<std::uint32_t>(Of.m_PreparedLists.size() - Length - 1);
    }
    return OrderResult::Accepted;
  case SwitchOrderKind::Arm:
    if (Of.m_Prepared != Order.m_Version || m_Turn < Of.m_CopyingUntil ||
        Order.m_Step <= m_Step)
      return OrderResult::Rejected;
    Of.m_Armed = Order.m_Version;
    Of.m_ArmedStep = Order.m_Step;
    return OrderResult::Accepted;
  case SwitchOrderKind::Hold:
    if (Order.m_Step <= m_Step || (Of.m_Held && Of.m_Held != Order.m_Step))
      return OrderResult::Rejected;
    Of.m_Held = Order.m_Step;
    return OrderResult::Accepted;
  case SwitchOrderKind::Release:
    if (Of.m_Held == Order.m_Step)
      Of.m_Held = 0;
    return OrderResult::Accepted;
  case SwitchOrderKind::None:
    break;
  }
  return OrderResult::Rejected;
}

void LiveGroup::pass() {
  if (m_Turn < m_ClosedUntil || m_Turn % TurnsPerPass != 0)
    return;
  const std::uint64_t Next = m_Step + 1;
  for (const Engine &Each : m_Engines)
    if (Each.m_Held == Next) {
      // Without a planner in office nobody can let the group go on.
      if (m_HeldSince < 0 || m_NoPlannerUntil != 0)
        m_HeldSince = m_Turn;
      m_LongestHeld = std::max(m_LongestHeld, m_Turn - m_HeldSince);
      return;
    }
  m_HeldSince = -1;
  m_Step = Next;
  ++m_Passes;
  for (std::uint32_t Rank = 0; Rank < Ranks; ++Rank) {
    Engine &Of = m_Engines[Rank];
    if (Of.m_Armed != 0 && Of.m_ArmedStep == m_Step) {
      Of.m_Map = Of.m_Armed;
      Of.m_MapDigest = Of.m_PreparedDigest;
      Of.m_Lists = Of.m_PreparedLists;
      Of.m_Armed = 0;
      Of.m_Prepared = 0;
      if (Rank == 0)
        ++m_Switches;
    }
    // Popularity moves on every few hundred passes.
    const std::uint64_t Hot = m_Step / 90 + Rank / 2;
    for (std::size_t Which = 0; Which < Experts; ++Which)
      Of.m_Counts[Which] += Which == Hot % Experts ? 9000 : 400;
  }
  for (const Engine &Each : m_Engines)
    m_Mixed = m_Mixed || Each.m_Map != m_Engines[0].m_Map ||
              Each.m_MapDigest != m_Engines[0].m_MapDigest;
}

RankState LiveGroup::stateOf(std::uint32_t Rank) const {
  const Engine &Of = m_Engines[Rank];
  RankState State;
  State.m_Group = "group";
  State.m_Epoch = m_Epoch;
  State.m_Rank = Rank;
  State.m_Size = Ranks;
  State.m_Open = m_Turn >= m_ClosedUntil;
  State.m_Step = m_Step;
  State.m_MapVersion = Of.m_Map;
  State.m_PreparedVersion = m_Turn >= Of.m_CopyingUntil ? Of.m_Prepared : 0;
  State.m_ArmedVersion = Of.m_Armed;
  State.m_ArmedStep = Of.m_ArmedStep;
  State.m_HeldStep = Of.m_Held;
  return State;
}

void LiveGroup::agentTurn(std::uint32_t Rank) {
  if (m_Draw.chance(m_Faults.m_AgentRestarted))
    m_Agents[Rank] = {std::make_unique<RankDriver>(), {}};
  RankDriver &Driver = *m_Agents[Rank].m_Driver;
  Driver.state(stateOf(Rank));
  if (const auto Order = Driver.nextOrder(now(), Experts)) {
    if (m_Draw.chance(m_Faults.m_OrderLate)) {
      const int Due = m_Turn + LeastLate +
                      static_cast<int>(m_Draw.below(MostLate - LeastLate));
      m_Late.push_back({Due, Rank, *Order});
      Driver.answered(base::failure(base::ResultCode::Timeout, "late"), now());
    } else {
      const OrderResult Answer = apply(Rank, *Order);
      if (m_Draw.chance(m_Faults.m_AnswerLost))
        Driver.answered(base::failure(base::ResultCode::Timeout, "lost"),
                        now());
      else
        Driver.answered(Answer, now());
    }
    Driver.state(stateOf(Rank));
  }
  wire::RankReport Report;
  Driver.fill(Report);
  Report.set_agent("agent-" + std::to_string(Rank));
  for (const std::uint32_t Each : m_Engines[Rank].m_Lists)
    Report.add_held(Each);
  for (const std::uint64_t Each :
       m_Agents[Rank].m_Meter.take({m_Epoch, m_Step, m_Engines[Rank].m_Counts}))
    Report.add_chosen(Each);
  if (m_Mistake == Mistake::ForgetHold)
    Report.set_held_step(
        Report.held_step() > Report.step() + 4 ? Report.held_step() : 0);
  if (m_Mistake == Mistake::GiveUpHold && Rank != 0 && !m_Planners.empty() &&
      m_Planners.back().m_Planner->phase() == SwitchPhase::Gather) {
    Report.set_prepared_version(0);
    Report.set_armed_version(0);
  }
  if (m_Mistake == Mistake::ReleaseUnarmed && Rank == 1) {
    const RankState Other = stateOf(0);
    Report.set_armed_version(Other.m_ArmedVersion);
    Report.set_armed_step(Other.m_ArmedStep);
  }
  for (Planner &Each : m_Planners)
    if (!m_Draw.chance(m_Faults.m_MessageLost) &&
        m_Turn >= Each.m_PausedUntil) {
      if (m_Mistake == Mistake::OldPlanner)
        Report.set_planner_term(Each.m_Planner->term());
      Each.m_Planner->take(Report, now());
    }
}

void LiveGroup::plannerTurn(Planner &Of) {
  if (m_Turn < Of.m_PausedUntil)
    return;
  auto Commands = Of.m_Planner->tick(now(), true);
  if (Of.m_Planner->phase() == SwitchPhase::Gather) {
    wire::RankCommand Follow;
    Follow.set_planner_term(Of.m_Planner->term());
    Follow.set_epoch(m_Epoch);
    Commands.assign(Ranks, Follow);
    for (std::uint32_t Rank = 0; Rank < Ranks; ++Rank)
      Commands[Rank].set_rank(Rank);
  }
  for (wire::RankCommand &Command : Commands) {
    if (m_Draw.chance(m_Faults.m_MessageLost))
      continue;
    if (m_Mistake == Mistake::OldPlanner)
      Command.set_planner_term(m_Term);
    m_Agents[Command.rank()].m_Driver->take(Command, now());
  }
}

void LiveGroup::run(int Turns) {
  for (int Count = 0; Count < Turns && !m_Mixed; ++Count) {
    ++m_Turn;
    for (std::size_t Index = 0; Index < m_Late.size();) {
      if (m_Late[Index].m_Due > m_Turn) {
        ++Index;
        continue;
      }
      const LateOrder Late = m_Late[Index];
      m_Late.erase(m_Late.begin() + static_cast<std::ptrdiff_t>(Index));
      apply(Late.m_Rank, Late.m_Order);
    }
    if (m_Draw.chance(m_Faults.m_RankCrashed))
      crash();
    if (!m_Planners.empty() && m_Draw.chance(m_Faults.m_PlannerKilled)) {
      m_Planners.pop_back();
      m_NoPlannerUntil = m_Turn + SuccessorTurns;
    }
    if (!m_Planners.empty() && m_NoPlannerUntil == 0 &&
        m_Draw.chance(m_Faults.m_PlannerPaused)) {
      m_Planners.back().m_PausedUntil =
          m_Turn + SuccessorTurns + static_cast<int>(m_Draw.below(120));
      m_NoPlannerUntil = m_Turn + SuccessorTurns;
    }
    if (m_NoPlannerUntil != 0 && m_Turn >= m_NoPlannerUntil) {
      m_NoPlannerUntil = 0;
      newPlanner();
    }
    pass();
    for (std::uint32_t Rank = 0; Rank < Ranks; ++Rank)
      agentTurn(Rank);
    for (Planner &Each : m_Planners)
      plannerTurn(Each);
    constexpr std::size_t MostPlanners = 3;
    if (m_Planners.size() > MostPlanners)
      m_Planners.erase(m_Planners.begin());
  }
}

} // namespace corneldeck::tests
