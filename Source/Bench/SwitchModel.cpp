#include "Bench/SwitchModel.h"

#include "Base/RendezvousHash.h"

#include <algorithm>
#include <string_view>

namespace corneldeck::bench {

using namespace rankgroup;

namespace {

constexpr base::Millis ShortTimer{1};
constexpr base::Millis LongTimer{1'000'000'000};
constexpr MapId FirstMap{1, 1};
constexpr std::uint64_t FirstIncarnation = 10;
constexpr std::uint64_t EarlierIncarnation = 1;

using Words = std::vector<std::uint64_t>;

void encode(const MapId &Id, Words &Out) {
  Out.push_back(Id.m_FencingNumber);
  Out.push_back(Id.m_Version);
  Out.push_back(Id.m_Digest);
}

void encode(const Epoch &Value, Words &Out) {
  Out.push_back(Value.m_Number);
  Out.push_back(Value.m_View);
}

void encode(const EngineOrder &Order, Words &Out) {
  Out.push_back(static_cast<std::uint64_t>(Order.m_Kind));
  encode(Order.m_Epoch, Out);
  encode(Order.m_Map, Out);
  encodeFormation(Order.m_Formation, Out);
}

struct BodyEncoder {
  Words &m_Out;

  void operator()(const Status &Value) const {
    m_Out.push_back(Value.m_Incarnation);
    encode(Value.m_Epoch, m_Out);
    m_Out.push_back(Value.m_Joined ? 1 : 0);
    encode(Value.m_Map, m_Out);
    m_Out.push_back(Value.m_NextStep);
    encodeFormation(Value.m_Formation, m_Out);
  }
  void operator()(const Proposal &Value) const {
    encode(Value.m_Id, m_Out);
    encode(Value.m_Base, m_Out);
    encode(Value.m_Epoch, m_Out);
    m_Out.push_back(Value.m_Step);
  }
  void operator()(const Vote &Value) const {
    encode(Value.m_Id, m_Out);
    encode(Value.m_Epoch, m_Out);
    m_Out.push_back(Value.m_Incarnation);
    m_Out.push_back(static_cast<std::uint64_t>(Value.m_Value));
  }
  void operator()(const Query &Value) const {
    encode(Value.m_Id, m_Out);
    encode(Value.m_Epoch, m_Out);
    m_Out.push_back(Value.m_Step);
  }
};

std::uint64_t hashWords(const Words &Value) {
  const auto *Bytes = reinterpret_cast<const char *>(Value.data());
  return base::hash64(
      std::string_view(Bytes, Value.size() * sizeof(std::uint64_t)));
}

std::uint64_t hashMessage(const OutgoingMessage &Sent) {
  Words Out;
  Out.push_back(Sent.m_To);
  Out.push_back(Sent.m_Message.m_From);
  Out.push_back(Sent.m_Message.m_Body.index());
  std::visit(BodyEncoder{Out}, Sent.m_Message.m_Body);
  return hashWords(Out);
}

bool isStatus(const OutgoingMessage &Sent) {
  return std::holds_alternative<Status>(Sent.m_Message.m_Body);
}

bool isHint(const OutgoingMessage &Sent) {
  const auto *Cast = std::get_if<Vote>(&Sent.m_Message.m_Body);
  return Cast != nullptr && Cast->m_Value == VoteValue::Loaded;
}

/// Steps whose maps are remembered; ranks in lock-step are at most one apart.
constexpr std::size_t RememberedSteps = 4;

} // namespace

SwitchModel::SwitchModel(const Options &Wanted) : m_Options(Wanted) {
  for (RankIndex Index = 0; Index < Wanted.m_Ranks; ++Index)
    m_Group.push_back({newAgent(Index),
                       EngineStateMachine(FirstIncarnation + Index),
                       {},
                       {},
                       {},
                       0});
  joinAll();
  if (Wanted.m_LateVote)
    addLateVote();
}

SwitchParticipant SwitchModel::newAgent(RankIndex Index) const {
  SwitchParticipant::Config Settings;
  Settings.m_Rank = Index;
  Settings.m_Ranks = m_Options.m_Ranks;
  Settings.m_GuardSteps = m_Options.m_GuardSteps;
  Settings.m_QueryInterval = ShortTimer;
  Settings.m_ReadyInterval = ShortTimer;
  Settings.m_AnnounceInterval = LongTimer;
  Settings.m_Rules = m_Options.m_Rules;
  return SwitchParticipant(Settings);
}

void SwitchModel::joinAll() {
  EngineOrder Join;
  Join.m_Kind = OrderKind::Join;
  Join.m_Formation = {{1, 1}, FirstMap, 1, {}};
  for (const Rank &Member : m_Group)
    Join.m_Formation.m_Members.push_back(Member.m_Engine.state().m_Incarnation);
  for (Rank &Member : m_Group) {
    Member.m_Engine.apply(Join);
    Actions Ignored;
    Member.m_Agent.onEngineState(Member.m_Engine.state(), Ignored);
  }
}

void SwitchModel::addLateVote() {
  const RankIndex Voter = m_Options.m_Ranks - 1;
  Vote Late;
  Proposal Repeated;
  Repeated.m_Base = FirstMap;
  Repeated.m_Step = nextStep(0) + m_Options.m_Ahead;
  Late.m_Id = {1, 2, digest(Repeated)};
  Late.m_Epoch = {0, 1};
  Late.m_Incarnation = EarlierIncarnation;
  Late.m_Value = VoteValue::Yes;
  Actions Out;
  for (RankIndex To = 0; To < Voter; ++To)
    Out.send(Voter, To, Late);
  take(Voter, Out);
}

Step SwitchModel::nextStep(RankIndex Index) const {
  return m_Group[Index].m_Engine.state().m_NextStep;
}

MapId SwitchModel::map(RankIndex Index) const {
  return m_Group[Index].m_Engine.state().m_Map;
}

std::size_t SwitchModel::orders(RankIndex Index) const {
  return m_Group[Index].m_Orders.size();
}

std::size_t SwitchModel::staleOrders(RankIndex Index) const {
  return m_Group[Index].m_StaleOrders.size();
}

std::size_t SwitchModel::loads(RankIndex Index) const {
  return m_Group[Index].m_Loads.size();
}

bool SwitchModel::attached(RankIndex Index) const {
  return m_Group[Index].m_Agent.engineState().has_value();
}

bool SwitchModel::open(RankIndex Index) const {
  return m_Group[Index].m_Agent.openProposal() != nullptr;
}

bool SwitchModel::canStep(RankIndex Index) const {
  const EngineStateMachine &Engine = m_Group[Index].m_Engine;
  if (!Engine.canBeginStep())
    return false;
  const EngineState &Mine = Engine.state();
  if (Mine.m_NextStep == Mine.m_Formation.m_FirstStep)
    return true;
  // Ranks run in lock-step: a step ends when all have begun it.
  return std::all_of(m_Group.begin(), m_Group.end(), [&](const Rank &Other) {
    const EngineState &Theirs = Other.m_Engine.state();
    return Theirs.m_Joined &&
           Theirs.m_Formation.m_Epoch == Mine.m_Formation.m_Epoch &&
           Theirs.m_NextStep >= Mine.m_NextStep;
  });
}

std::vector<SwitchEvent> SwitchModel::enabled() const {
  std::vector<SwitchEvent> Events;
  std::vector<bool> Batched(ranks(), false);
  for (std::size_t Index = 0; Index < m_Network.size(); ++Index) {
    const RankIndex To = m_Network[Index].m_To;
    if (!m_Options.m_BatchStatus || !isStatus(m_Network[Index])) {
      Events.push_back({SwitchEventKind::Deliver, To, Index});
      continue;
    }
    if (!Batched[To])
      Events.push_back({SwitchEventKind::Statuses, To, 0});
    Batched[To] = true;
  }
  for (RankIndex Index = 0; Index < ranks(); ++Index) {
    const Rank &Member = m_Group[Index];
    const bool Unread =
        !attached(Index) || Member.m_Agent.engineState()->m_Incarnation !=
                                Member.m_Engine.state().m_Incarnation;
    if (Unread)
      Events.push_back({SwitchEventKind::Attach, Index, 0});
    if (!Member.m_Orders.empty())
      Events.push_back({SwitchEventKind::Order, Index, 0});
    for (std::size_t I = 0; I < Member.m_StaleOrders.size(); ++I)
      Events.push_back({SwitchEventKind::StaleOrder, Index, I});
    for (std::size_t I = 0; I < Member.m_Loads.size(); ++I)
      Events.push_back({SwitchEventKind::Load, Index, I});
    if (canStep(Index))
      Events.push_back({SwitchEventKind::Step, Index, 0});
  }
  return Events;
}

void SwitchModel::apply(const SwitchEvent &Event) {
  switch (Event.m_Kind) {
  case SwitchEventKind::Deliver:
    deliver(Event.m_Index, false);
    break;
  case SwitchEventKind::Statuses:
    deliverStatuses(Event.m_Rank);
    break;
  case SwitchEventKind::Duplicate:
    deliver(Event.m_Index, true);
    break;
  case SwitchEventKind::Drop:
    m_Network.erase(m_Network.begin() +
                    static_cast<std::ptrdiff_t>(Event.m_Index));
    break;
  case SwitchEventKind::Order:
    order(Event.m_Rank);
    break;
  case SwitchEventKind::StaleOrder: {
    Rank &Member = m_Group[Event.m_Rank];
    const auto Place = Member.m_StaleOrders.begin() +
                       static_cast<std::ptrdiff_t>(Event.m_Index);
    Member.m_Engine.apply(*Place);
    Member.m_StaleOrders.erase(Place);
    break;
  }
  case SwitchEventKind::Load:
    load(Event, true);
    break;
  case SwitchEventKind::FailLoad:
    load(Event, false);
    break;
  case SwitchEventKind::Step:
    step(Event.m_Rank);
    break;
  case SwitchEventKind::Attach:
    timer(Event.m_Rank, base::Millis(0));
    break;
  case SwitchEventKind::Ask:
    timer(Event.m_Rank, ShortTimer);
    break;
  case SwitchEventKind::Announce:
    timer(Event.m_Rank, LongTimer);
    break;
  case SwitchEventKind::Propose:
    propose(Event.m_Rank);
    break;
  case SwitchEventKind::CrashAgent:
    crashAgent(Event.m_Rank);
    break;
  case SwitchEventKind::CrashEngine:
    crashEngine(Event.m_Rank);
    break;
  case SwitchEventKind::CrashVm:
    crashAgent(Event.m_Rank);
    crashEngine(Event.m_Rank);
    break;
  }
  if (m_Options.m_Rules.m_CheckIncarnation)
    prune();
}

void SwitchModel::prune() {
  // What names an ended epoch changes nothing whenever it arrives.
  m_Network.erase(std::remove_if(m_Network.begin(), m_Network.end(),
                                 [this](const OutgoingMessage &Sent) {
                                   return isDead(Sent);
                                 }),
                  m_Network.end());
  for (Rank &Member : m_Group) {
    const std::uint64_t Dead = Member.m_DeadEpoch;
    const auto Ended = [Dead](const EngineOrder &Order) {
      return Order.m_Epoch.m_Number <= Dead;
    };
    auto &Stale = Member.m_StaleOrders;
    Stale.erase(std::remove_if(Stale.begin(), Stale.end(), Ended), Stale.end());
  }
}

bool SwitchModel::isDead(const OutgoingMessage &Sent) const {
  const std::uint64_t Dead = m_Group[Sent.m_To].m_DeadEpoch;
  if (Dead == 0)
    return false;
  if (const auto *Offered = std::get_if<Proposal>(&Sent.m_Message.m_Body))
    return Offered->m_Epoch.m_Number <= Dead;
  if (const auto *Cast = std::get_if<Vote>(&Sent.m_Message.m_Body))
    return Cast->m_Epoch.m_Number <= Dead;
  if (const auto *Asked = std::get_if<Query>(&Sent.m_Message.m_Body))
    return Asked->m_Epoch.m_Number <= Dead;
  return false;
}

void SwitchModel::take(RankIndex Index, Actions &Out) {
  Rank &Member = m_Group[Index];
  for (EngineOrder &Order : Out.m_Orders)
    Member.m_Orders.push_back(std::move(Order));
  for (const LoadRequest &Load : Out.m_Loads)
    Member.m_Loads.push_back(Load.m_Map);
  std::vector<OutgoingMessage> Hints;
  for (OutgoingMessage &Sent : Out.m_Messages) {
    if (m_Options.m_EagerHints && isHint(Sent))
      Hints.push_back(std::move(Sent));
    else
      m_Network.push_back(std::move(Sent));
  }
  for (const OutgoingMessage &Hint : Hints)
    arrive(Hint);
  while (m_Options.m_EagerLoads && !Member.m_Loads.empty())
    load({SwitchEventKind::Load, Index, 0}, true);
}

void SwitchModel::deliverStatuses(RankIndex To) {
  std::vector<OutgoingMessage> Statuses;
  std::vector<OutgoingMessage> Others;
  for (OutgoingMessage &Sent : m_Network) {
    const bool Mine = Sent.m_To == To && isStatus(Sent);
    (Mine ? Statuses : Others).push_back(std::move(Sent));
  }
  m_Network = std::move(Others);
  for (const OutgoingMessage &Sent : Statuses)
    arrive(Sent);
}

void SwitchModel::deliver(std::size_t Index, bool Keep) {
  const OutgoingMessage Sent = m_Network[Index];
  if (!Keep) {
    std::swap(m_Network[Index], m_Network.back());
    m_Network.pop_back();
  }
  arrive(Sent);
}

void SwitchModel::arrive(const OutgoingMessage &Sent) {
  // A replaced agent gets nothing before it has read its engine's state.
  if (!attached(Sent.m_To))
    return;
  Actions Out;
  m_Group[Sent.m_To].m_Agent.onMessage(Sent.m_Message, Out);
  take(Sent.m_To, Out);
}

void SwitchModel::order(RankIndex Index) {
  Rank &Member = m_Group[Index];
  const EngineOrder Next = Member.m_Orders.front();
  Member.m_Orders.erase(Member.m_Orders.begin());
  Member.m_Engine.apply(Next);
  const EngineState &After = Member.m_Engine.state();
  if (!After.m_Joined)
    Member.m_DeadEpoch = After.m_Formation.m_Epoch.m_Number;
  Actions Out;
  Member.m_Agent.onEngineState(Member.m_Engine.state(), Out);
  take(Index, Out);
}

void SwitchModel::load(const SwitchEvent &Event, bool Loaded) {
  Rank &Member = m_Group[Event.m_Rank];
  const MapId Which = Member.m_Loads[Event.m_Index];
  Member.m_Loads.erase(Member.m_Loads.begin() +
                       static_cast<std::ptrdiff_t>(Event.m_Index));
  Actions Out;
  Member.m_Agent.onLoaded(Which, Loaded, Out);
  take(Event.m_Rank, Out);
}

void SwitchModel::step(RankIndex Index) {
  EngineStateMachine &Engine = m_Group[Index].m_Engine;
  const std::uint64_t View = Engine.state().m_Formation.m_Epoch.m_View;
  const Step Begun = Engine.state().m_NextStep;
  const MapId Now = Engine.beginStep();
  const auto Known =
      std::find_if(m_Used.begin(), m_Used.end(), [&](const StepUse &Use) {
        return Use.m_View == View && Use.m_Step == Begun;
      });
  if (Known == m_Used.end()) {
    if (m_Used.size() == RememberedSteps)
      m_Used.erase(m_Used.begin());
    m_Used.push_back({View, Begun, Now});
    return;
  }
  // The promise: the maps used in a step are one.
  if (Known->m_Map == Now)
    return;
  m_Mixed = "step " + std::to_string(Begun) + ": rank " +
            std::to_string(Index) + " uses map " +
            std::to_string(Now.m_Version) + ", another used map " +
            std::to_string(Known->m_Map.m_Version);
}

void SwitchModel::timer(RankIndex Index, base::Millis Passed) {
  m_Now += Passed;
  Rank &Member = m_Group[Index];
  Actions Out;
  Member.m_Agent.onEngineState(Member.m_Engine.state(), Out);
  if (Passed.count() > 0)
    Member.m_Agent.onTick(m_Now, Out);
  take(Index, Out);
}

void SwitchModel::propose(RankIndex Index) {
  if (!attached(Index))
    return;
  const auto Place = std::find(m_Options.m_Proposers.begin(),
                               m_Options.m_Proposers.end(), Index);
  const auto Fence =
      static_cast<std::uint64_t>(1 + (Place - m_Options.m_Proposers.begin()));
  Proposal Wanted;
  Wanted.m_Id = {Fence, map(Index).m_Version + 1};
  Wanted.m_Step = nextStep(Index) + m_Options.m_Ahead;
  Actions Out;
  m_Group[Index].m_Agent.propose(Wanted, Out);
  take(Index, Out);
}

void SwitchModel::crashAgent(RankIndex Index) {
  Rank &Member = m_Group[Index];
  Member.m_Agent = newAgent(Index);
  Member.m_Loads.clear();
  for (EngineOrder &Order : Member.m_Orders)
    Member.m_StaleOrders.push_back(std::move(Order));
  Member.m_Orders.clear();
}

void SwitchModel::crashEngine(RankIndex Index) {
  Rank &Member = m_Group[Index];
  Member.m_DeadEpoch = std::max(
      Member.m_DeadEpoch, Member.m_Engine.state().m_Formation.m_Epoch.m_Number);
  Member.m_Engine = EngineStateMachine(m_NextIncarnation++);
}

void SwitchModel::settle(int Rounds) {
  const Step Begun = nextStep(0);
  for (int Round = 0; Round < Rounds; ++Round) {
    if (unsettled().empty() && nextStep(0) > Begun + 1)
      return;
    for (RankIndex Index = 0; Index < ranks(); ++Index)
      timer(Index, LongTimer);
    std::size_t Budget = 200 + 20 * static_cast<std::size_t>(ranks()) * ranks();
    while (Budget-- > 0) {
      if (!m_Network.empty()) {
        deliver(0, false);
        continue;
      }
      const std::vector<SwitchEvent> Next = enabled();
      if (Next.empty())
        break;
      for (RankIndex Index = 0; Index < ranks(); ++Index) {
        if (orders(Index) > 0)
          order(Index);
        if (staleOrders(Index) > 0)
          apply({SwitchEventKind::StaleOrder, Index, 0});
        if (loads(Index) > 0)
          load({SwitchEventKind::Load, Index, 0}, true);
      }
      // A few steps a round suffice to see that the group runs.
      if (Budget % 8 == 0)
        for (RankIndex Index = 0; Index < ranks(); ++Index)
          if (canStep(Index))
            step(Index);
    }
  }
}

std::string SwitchModel::unsettled() const {
  const EngineState &First = m_Group[0].m_Engine.state();
  for (RankIndex Index = 0; Index < ranks(); ++Index) {
    const EngineState &Mine = m_Group[Index].m_Engine.state();
    const std::string Who = "rank " + std::to_string(Index);
    if (!Mine.m_Joined)
      return Who + " has not joined";
    if (!(Mine.m_Formation.m_Epoch == First.m_Formation.m_Epoch))
      return Who + " is in another epoch";
    if (Mine.m_HasPending && !Mine.m_PendingCommitted)
      return Who + " still waits for an outcome";
    if (m_Group[Index].m_Agent.openProposal() != nullptr)
      return Who + " has a proposal open";
    const MapId MineNext = Mine.m_HasPending ? Mine.m_PendingMap : Mine.m_Map;
    const MapId FirstNext =
        First.m_HasPending ? First.m_PendingMap : First.m_Map;
    if (!(MineNext == FirstNext))
      return Who + " is on another map";
  }
  return {};
}

std::uint64_t SwitchModel::fingerprint() const {
  Words Out;
  for (const Rank &Member : m_Group) {
    Member.m_Agent.encode(Out);
    encodeEngineState(Member.m_Engine.state(), Out);
    Out.push_back(Member.m_Orders.size());
    for (const EngineOrder &Order : Member.m_Orders)
      encode(Order, Out);
    Out.push_back(Member.m_StaleOrders.size());
    for (const EngineOrder &Order : Member.m_StaleOrders)
      encode(Order, Out);
    Out.push_back(Member.m_Loads.size());
    for (const MapId &Load : Member.m_Loads)
      encode(Load, Out);
  }
  Words Sent;
  for (const OutgoingMessage &Message : m_Network)
    Sent.push_back(hashMessage(Message));
  std::sort(Sent.begin(), Sent.end());
  Out.insert(Out.end(), Sent.begin(), Sent.end());
  return hashWords(Out);
}

} // namespace corneldeck::bench
