#include "Bench/SwitchTrial.h"

#include <algorithm>

namespace corneldeck::bench {

using namespace rankgroup;
using base::Millis;

namespace {

constexpr MapId FirstMap{1, 1};
constexpr Millis WarmUp{200};
constexpr Millis SlowLoad = base::minutes(1);
constexpr Millis FaultSpan{400};
constexpr Millis LateOrderDelay{200};
constexpr Millis AgentTick{5};
constexpr Millis Deadline = base::seconds(20);
/// Time from the end of the loads to the switch, for the votes.
constexpr Millis VoteMargin{340};
/// Twice the mean step time in milliseconds; steps take 4 and 5 ms by turns.
constexpr std::int64_t TwiceStepMillis = 9;

/// \returns the steps from the proposal to the switch.
Step stepsAhead(Millis Load) {
  return static_cast<Step>(2 * (Load + VoteMargin).count() / TwiceStepMillis);
}

Millis stepTime(Step Which) { return Millis(Which % 2 == 0 ? 4 : 5); }

} // namespace

SwitchTrial::SwitchTrial(const Options &Wanted)
    : m_Options(Wanted), m_Network(m_Time, Wanted.m_Seed) {
  for (RankIndex Index = 0; Index < Wanted.m_Ranks; ++Index)
    m_Group.push_back({"rank-" + std::to_string(Index), newAgent(Index),
                       EngineStateMachine(10 + Index)});
  joinAll();
}

SwitchParticipant SwitchTrial::newAgent(RankIndex Index) const {
  SwitchParticipant::Config Settings;
  Settings.m_Rank = Index;
  Settings.m_Ranks = m_Options.m_Ranks;
  Settings.m_Rules = m_Options.m_Rules;
  return SwitchParticipant(Settings);
}

void SwitchTrial::joinAll() {
  EngineOrder Join;
  Join.m_Kind = OrderKind::Join;
  Join.m_Formation = {{1, 1}, FirstMap, 1, {}};
  for (const Rank &Member : m_Group)
    Join.m_Formation.m_Members.push_back(Member.m_Engine.state().m_Incarnation);
  for (Rank &Member : m_Group)
    Member.m_Engine.apply(Join);
}

RankIndex SwitchTrial::victim() const { return m_Options.m_Ranks - 1; }

bool SwitchTrial::paused(const Rank &Member) const {
  return m_Time.now() < Member.m_AgentPausedUntil;
}

SwitchTrial::Outcome SwitchTrial::run() {
  for (std::int64_t At = 1; At <= WarmUp.count(); ++At)
    m_Time.after(Millis(At), [this] { everyMilli(); });
  m_Time.runUntil(WarmUp);
  setPaths();
  propose(0, 1);
  const Millis Start = m_Time.now();
  m_Time.after(m_Options.m_FaultAt, [this] { inject(); });
  // The fault must have passed before the group can count as settled.
  const Millis FaultOver = m_Options.m_FaultAt + FaultSpan + LateOrderDelay;
  while (m_Time.now() - Start < Deadline + m_Options.m_LoadTime) {
    m_Time.after(Millis(1), [this] { everyMilli(); });
    m_Time.runUntil(m_Time.now() + Millis(1));
    if (!settled())
      m_Outcome.m_Settle = m_Time.now() + Millis(1) - Start;
    else if (m_Time.now() - Start > FaultOver + m_Options.m_LoadTime)
      break;
  }
  m_Outcome.m_Settled = settled();
  m_Outcome.m_NewMap = !(m_Group[0].m_Engine.state().m_Map == FirstMap);
  m_Outcome.m_HeldSteps =
      (2 * m_HeldMillis + TwiceStepMillis - 1) / TwiceStepMillis;
  if (!m_Outcome.m_Settled && m_Outcome.m_Seen.empty())
    m_Outcome.m_Seen = "not settled in time";
  return m_Outcome;
}

void SwitchTrial::setPaths() {
  for (const Rank &From : m_Group)
    for (const Rank &To : m_Group) {
      fakes::FakeNetwork::Path &Path = m_Network.path(From.m_Name, To.m_Name);
      if (m_Options.m_Fault == SwitchFault::MessageLate)
        Path.m_Jitter = Millis(60);
      if (m_Options.m_Fault == SwitchFault::MessageLost)
        Path.m_LossRatio = 0.1;
      if (m_Options.m_Fault == SwitchFault::MessageTwice)
        Path.m_DuplicateRatio = 0.5;
    }
}

void SwitchTrial::everyMilli() {
  bool Held = false;
  for (RankIndex Index = 0; Index < m_Options.m_Ranks; ++Index) {
    const Rank &Member = m_Group[Index];
    const bool Waits = Member.m_Engine.state().m_Joined &&
                       !Member.m_Engine.canBeginStep() && othersDone(Member);
    Held = Held || Waits;
    stepEngine(Index);
  }
  m_HeldMillis += Held ? 1 : 0;
  for (RankIndex Index = 0; Index < m_Options.m_Ranks; ++Index) {
    const bool Due = (m_Time.now().count() + Index) % AgentTick.count() == 0;
    if (Due && !paused(m_Group[Index]))
      tickAgent(Index);
  }
}

bool SwitchTrial::othersDone(const Rank &Member) const {
  const EngineState &Mine = Member.m_Engine.state();
  if (Mine.m_NextStep == Mine.m_Formation.m_FirstStep)
    return true;
  return std::all_of(m_Group.begin(), m_Group.end(), [&](const Rank &Other) {
    const EngineState &Theirs = Other.m_Engine.state();
    const bool Together = Theirs.m_Joined && Theirs.m_Formation.m_Epoch ==
                                                 Mine.m_Formation.m_Epoch;
    const bool Done = Theirs.m_NextStep > Mine.m_NextStep ||
                      (Theirs.m_NextStep == Mine.m_NextStep &&
                       Other.m_BusyUntil <= m_Time.now());
    return Together && Done;
  });
}

void SwitchTrial::stepEngine(RankIndex Index) {
  Rank &Member = m_Group[Index];
  const Millis Now = m_Time.now();
  const bool Ready = Member.m_BusyUntil <= Now &&
                     Member.m_EngineStalledUntil <= Now &&
                     Member.m_Engine.canBeginStep() && othersDone(Member);
  if (!Ready)
    return;
  const Step Begun = Member.m_Engine.state().m_NextStep;
  Member.m_BusyUntil = Now + stepTime(Begun);
  record(Index, Begun, Member.m_Engine.beginStep());
}

void SwitchTrial::record(RankIndex Index, Step Begun, MapId Used) {
  const std::uint64_t View =
      m_Group[Index].m_Engine.state().m_Formation.m_Epoch.m_View;
  const MapId First = m_Used.try_emplace({View, Begun}, Used).first->second;
  if (First == Used)
    return;
  ++m_Outcome.m_MixedSteps;
  m_Outcome.m_Seen = "step " + std::to_string(Begun) + " used two maps";
}

void SwitchTrial::tickAgent(RankIndex Index) {
  Rank &Member = m_Group[Index];
  Actions Out;
  Member.m_Agent.onEngineState(Member.m_Engine.state(), Out);
  Member.m_Agent.onTick(m_Time.now(), Out);
  take(Index, Out);
}

void SwitchTrial::take(RankIndex Index, Actions &Out) {
  for (const EngineOrder &Order : Out.m_Orders)
    give(Index, Order);
  for (const LoadRequest &Load : Out.m_Loads)
    startLoad(Index, Load.m_Map);
  for (const OutgoingMessage &Sent : Out.m_Messages)
    m_Network.send(m_Group[Index].m_Name, m_Group[Sent.m_To].m_Name,
                   [this, Sent] {
                     Actions Next;
                     m_Group[Sent.m_To].m_Agent.onMessage(Sent.m_Message, Next);
                     take(Sent.m_To, Next);
                   });
}

void SwitchTrial::give(RankIndex Index, const EngineOrder &Order) {
  const std::uint64_t Giver = m_Group[Index].m_AgentStart;
  m_Time.after(m_OrderDelay, [this, Index, Order, Giver] {
    Rank &Member = m_Group[Index];
    Member.m_Engine.apply(Order);
    if (Member.m_AgentStart != Giver || paused(Member))
      return;
    Actions Next;
    Member.m_Agent.onEngineState(Member.m_Engine.state(), Next);
    take(Index, Next);
  });
}

void SwitchTrial::startLoad(RankIndex Index, MapId Which) {
  const bool SlowStore = m_Options.m_Fault == SwitchFault::StoreSlow ||
                         m_Options.m_Fault == SwitchFault::LateVote;
  const bool Slow = SlowStore && Index == victim() && !(Which == FirstMap);
  const std::uint64_t Asker = m_Group[Index].m_AgentStart;
  m_Time.after(Slow ? SlowLoad : m_Options.m_LoadTime,
               [this, Index, Which, Asker] {
                 Rank &Member = m_Group[Index];
                 if (Member.m_AgentStart != Asker)
                   return;
                 Actions Next;
                 Member.m_Agent.onLoaded(Which, true, Next);
                 take(Index, Next);
               });
}

void SwitchTrial::propose(RankIndex Index, std::uint64_t FencingNumber) {
  Rank &Member = m_Group[Index];
  if (!Member.m_Agent.engineState())
    return;
  Proposal Wanted;
  Wanted.m_Id = {FencingNumber, Member.m_Engine.state().m_Map.m_Version + 1};
  Wanted.m_Step =
      Member.m_Engine.state().m_NextStep + stepsAhead(m_Options.m_LoadTime);
  Actions Out;
  Member.m_Agent.propose(Wanted, Out);
  take(Index, Out);
}

void SwitchTrial::pause(RankIndex Index, Millis Span) {
  Rank &Member = m_Group[Index];
  Member.m_AgentPausedUntil = m_Time.now() + Span;
  m_Network.freeze(Member.m_Name);
  m_Time.after(Span, [this, Index] { m_Network.thaw(m_Group[Index].m_Name); });
}

void SwitchTrial::inject() {
  Rank &Last = m_Group[victim()];
  switch (m_Options.m_Fault) {
  case SwitchFault::AgentPause:
    pause(victim(), FaultSpan);
    break;
  case SwitchFault::EngineStall:
    Last.m_EngineStalledUntil = m_Time.now() + FaultSpan;
    break;
  case SwitchFault::RankStall:
    pause(victim(), FaultSpan);
    Last.m_EngineStalledUntil = m_Time.now() + FaultSpan;
    break;
  case SwitchFault::FencingIgnored:
    m_OrderDelay = LateOrderDelay;
    m_Time.after(Millis(2), [this] {
      injectDeath(victim(), true, false);
      m_OrderDelay = Millis(1);
    });
    break;
  case SwitchFault::AgentDeath:
    injectDeath(victim(), true, false);
    break;
  case SwitchFault::EngineDeath:
    injectDeath(victim(), false, true);
    break;
  case SwitchFault::VmDeath:
    injectDeath(victim(), true, true);
    break;
  case SwitchFault::ProposerDeath:
    injectDeath(0, true, false);
    break;
  case SwitchFault::TwoProposers:
    propose(1, 2);
    break;
  case SwitchFault::LeaseLapsed:
    injectLapsedLease();
    break;
  case SwitchFault::LateVote:
    injectLateVote();
    break;
  case SwitchFault::Cut:
    for (RankIndex Index = 0; Index < victim(); ++Index) {
      const std::string Other = m_Group[Index].m_Name;
      m_Network.setCut(Other, Last.m_Name, true);
      m_Time.after(FaultSpan, [this, Other] {
        m_Network.setCut(Other, m_Group[victim()].m_Name, false);
      });
    }
    break;
  case SwitchFault::None:
  case SwitchFault::MessageLate:
  case SwitchFault::MessageLost:
  case SwitchFault::MessageTwice:
  case SwitchFault::StoreSlow:
  case SwitchFault::LogOut:
    break;
  }
}

void SwitchTrial::injectLapsedLease() {
  pause(0, FaultSpan);
  // The new holder proposes while the old one sleeps, and the old one
  // proposes again when it wakes, with its old number.
  m_Time.after(FaultSpan / 2, [this] { propose(1, 2); });
  m_Time.after(FaultSpan + Millis(1), [this] { propose(0, 1); });
}

void SwitchTrial::injectLateVote() {
  const Proposal *Open = m_Group[0].m_Agent.openProposal();
  if (Open == nullptr)
    return;
  Vote Late;
  Late.m_Id = Open->m_Id;
  Late.m_Epoch = {0, 1};
  Late.m_Incarnation = 1;
  Late.m_Value = VoteValue::Yes;
  Actions Out;
  for (RankIndex To = 0; To < victim(); ++To)
    Out.send(victim(), To, Late);
  take(victim(), Out);
}

void SwitchTrial::injectDeath(RankIndex Index, bool Agent, bool Engine) {
  Rank &Member = m_Group[Index];
  if (Agent) {
    Member.m_Agent = newAgent(Index);
    ++Member.m_AgentStart;
    pause(Index, FaultSpan / 4);
  }
  if (Engine) {
    Member.m_Engine = EngineStateMachine(m_NextIncarnation++);
    Member.m_EngineStalledUntil = m_Time.now() + FaultSpan / 4;
  }
}

bool SwitchTrial::settled() const {
  const EngineState &First = m_Group[0].m_Engine.state();
  return std::all_of(m_Group.begin(), m_Group.end(), [&](const Rank &Member) {
    const EngineState &Mine = Member.m_Engine.state();
    const bool Same = Mine.m_Formation.m_Epoch == First.m_Formation.m_Epoch &&
                      Mine.m_Map == First.m_Map;
    return Mine.m_Joined && Same && !Mine.m_HasPending &&
           Member.m_Agent.openProposal() == nullptr && !paused(Member);
  });
}

} // namespace corneldeck::bench
