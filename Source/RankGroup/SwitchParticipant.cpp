#include "RankGroup/SwitchParticipant.h"

#include <algorithm>

namespace corneldeck::rankgroup {

using base::EventId;

SwitchParticipant::SwitchParticipant(Config Settings)
    : m_Config(Settings),
      m_Formation(GroupFormation::Config{Settings.m_Rank, Settings.m_Ranks,
                                         Settings.m_AnnounceInterval}) {}

void SwitchParticipant::onEngineState(const EngineState &Engine, Actions &Out) {
  const bool First = !m_Engine;
  m_Engine = Engine;
  m_Outstanding.reset();
  m_Formation.onEngineState(Engine, Out);
  const bool Undecided = Engine.m_HasPending && !Engine.m_PendingCommitted;
  if (First && Undecided && !m_Config.m_Rules.m_RememberVote) {
    order(OrderKind::Abort, Engine.m_PendingMap, Out);
    return;
  }
  if (m_Open && !inEpoch(m_Open->m_Proposal.m_Epoch))
    close(EventId::MapAborted, "the group's epoch ended", Out);
  if (m_Deferred && !inEpoch(m_Deferred->m_Epoch))
    m_Deferred.reset();
  adopt(Out);
  reconcile(Out);
  drive(Out);
}

bool SwitchParticipant::inEpoch(const Epoch &Which) const {
  return m_Engine && m_Engine->m_Joined &&
         Which == m_Engine->m_Formation.m_Epoch;
}

void SwitchParticipant::adopt(Actions &Out) {
  const EngineState &Engine = *m_Engine;
  if (!Engine.m_HasPending || Engine.m_PendingCommitted)
    return;
  if (!m_Open || !(m_Open->m_Proposal.m_Id == Engine.m_PendingMap)) {
    Proposal Adopted{Engine.m_PendingMap,        Engine.m_Map,
                     Engine.m_Formation.m_Epoch, Engine.m_PendingStep,
                     Engine.m_PendingBody,       {}};
    m_Open = Open{Adopted, std::vector<VoteValue>(m_Config.m_Ranks)};
  }
  if (ownVote() != VoteValue::Yes)
    setOwnVote(VoteValue::Yes, Out);
}

void SwitchParticipant::reconcile(Actions &Out) {
  const EngineState &Engine = *m_Engine;
  if (m_Refusing && !(Engine.m_HighestAnswered < *m_Refusing)) {
    const bool Armed =
        Engine.m_HasPending && Engine.m_PendingMap == *m_Refusing;
    if (!Armed && !(Engine.m_Map == *m_Refusing))
      broadcastVote(*m_Refusing, VoteValue::No, Out);
    m_Refusing.reset();
  }
  if (!m_Open)
    return;
  const MapId Id = m_Open->m_Proposal.m_Id;
  const bool Pending = Engine.m_HasPending && Engine.m_PendingMap == Id;
  if (Engine.m_Map == Id || (Pending && Engine.m_PendingCommitted)) {
    close(EventId::MapCommitted, "all ranks voted yes", Out);
    return;
  }
  if (!Pending && !(Engine.m_HighestAnswered < Id))
    close(EventId::MapAborted, "a rank refused", Out);
}

void SwitchParticipant::close(EventId Event, const char *Reason, Actions &Out) {
  Out.m_Notes.push_back({Event, m_Open->m_Proposal.m_Id, Reason});
  m_Open.reset();
  takeDeferred(Out);
}

void SwitchParticipant::takeDeferred(Actions &Out) {
  if (!m_Deferred)
    return;
  const Proposal Next = *m_Deferred;
  m_Deferred.reset();
  if (inEpoch(Next.m_Epoch))
    onProposal(m_Config.m_Rank, Next, Out);
}

void SwitchParticipant::onMessage(const Message &Heard, Actions &Out) {
  const RankIndex From = Heard.m_From;
  if (From >= m_Config.m_Ranks || From == m_Config.m_Rank)
    return;
  if (const auto *Announced = std::get_if<Status>(&Heard.m_Body))
    m_Formation.onStatus(From, *Announced, Out);
  if (!m_Engine || !m_Engine->m_Joined)
    return;
  if (const auto *Offered = std::get_if<Proposal>(&Heard.m_Body))
    onProposal(From, *Offered, Out);
  if (const auto *Voted = std::get_if<Vote>(&Heard.m_Body))
    onVote(From, *Voted, Out);
  if (const auto *Asked = std::get_if<Query>(&Heard.m_Body))
    onQuery(From, *Asked, Out);
}

bool SwitchParticipant::propose(Proposal Wanted, Actions &Out) {
  const bool Running = m_Engine && m_Engine->m_Joined;
  if (!Running || m_Open || m_Engine->m_HasPending)
    return false;
  Wanted.m_Epoch = m_Engine->m_Formation.m_Epoch;
  Wanted.m_Base = m_Engine->m_Map;
  Wanted.m_Id.m_Digest = digest(Wanted);
  if (refusable(Wanted))
    return false;
  for (RankIndex To = 0; To < m_Config.m_Ranks; ++To)
    if (To != m_Config.m_Rank)
      Out.send(m_Config.m_Rank, To, Wanted);
  Out.m_Notes.push_back({EventId::MapProposed, Wanted.m_Id, Wanted.m_Reason});
  onProposal(m_Config.m_Rank, Wanted, Out);
  return true;
}

bool SwitchParticipant::refusable(const Proposal &Heard) const {
  return Heard.m_Id.m_FencingNumber < m_HighestFencingNumber ||
         !(Heard.m_Base == m_Engine->m_Map) ||
         m_Engine->m_NextStep + m_Config.m_GuardSteps > Heard.m_Step;
}

void SwitchParticipant::onProposal(RankIndex From, const Proposal &Heard,
                                   Actions &Out) {
  if (!inEpoch(Heard.m_Epoch))
    return;
  const bool Known = m_Open && m_Open->m_Proposal.m_Id == Heard.m_Id;
  if (Known)
    return;
  if (!(m_Engine->m_HighestAnswered < Heard.m_Id)) {
    onQuery(From, {Heard.m_Id, Heard.m_Epoch, Heard.m_Step}, Out);
    return;
  }
  if (m_Open || m_Engine->m_HasPending) {
    yieldTo(Heard, Out);
    return;
  }
  if (refusable(Heard)) {
    refuse(Heard.m_Id, Out);
    return;
  }
  begin(Heard, Out);
}

void SwitchParticipant::yieldTo(const Proposal &Heard, Actions &Out) {
  if (m_Open && Heard.m_Id < m_Open->m_Proposal.m_Id) {
    refuse(Heard.m_Id, Out);
    return;
  }
  if (!m_Deferred || m_Deferred->m_Id < Heard.m_Id)
    m_Deferred = Heard;
  // Without a vote the older proposal can still be refused.
  if (m_Open && !m_Engine->m_HasPending)
    refuse(m_Open->m_Proposal.m_Id, Out);
}

void SwitchParticipant::begin(const Proposal &Accepted, Actions &Out) {
  m_HighestFencingNumber =
      std::max(m_HighestFencingNumber, Accepted.m_Id.m_FencingNumber);
  m_Open = Open{Accepted, std::vector<VoteValue>(m_Config.m_Ranks)};
  Out.m_Loads.push_back({Accepted.m_Id, Accepted.m_Body});
}

void SwitchParticipant::onLoaded(MapId Which, bool Loaded, Actions &Out) {
  m_Formation.onLoaded(Which, Loaded, Out);
  const bool Mine = m_Open && m_Open->m_Proposal.m_Id == Which;
  if (!Mine || ownVote() != VoteValue::None)
    return;
  if (!Loaded) {
    refuse(Which, Out);
    return;
  }
  Out.m_Notes.push_back({EventId::ExpertsLoaded, Which, {}});
  setOwnVote(VoteValue::Loaded, Out);
  drive(Out);
}

void SwitchParticipant::onVote(RankIndex From, const Vote &Heard,
                               Actions &Out) {
  if (m_Config.m_Rules.m_CheckIncarnation) {
    const bool Counts =
        inEpoch(Heard.m_Epoch) &&
        Heard.m_Incarnation == m_Engine->m_Formation.m_Members[From];
    if (!Counts)
      return;
  }
  if (!m_Open || !(m_Open->m_Proposal.m_Id == Heard.m_Id))
    return;
  if (Heard.m_Value == VoteValue::None) {
    Out.send(m_Config.m_Rank, From, m_Open->m_Proposal);
    return;
  }
  VoteValue &Known = m_Open->m_Votes[From];
  const bool Final = Known != VoteValue::None && Known != VoteValue::Loaded;
  if (Final && Heard.m_Value != VoteValue::Committed)
    return;
  Known = Heard.m_Value;
  if (Heard.m_Value == VoteValue::Committed)
    std::fill(m_Open->m_Votes.begin(), m_Open->m_Votes.end(), VoteValue::Yes);
  drive(Out);
}

void SwitchParticipant::onQuery(RankIndex From, const Query &Heard,
                                Actions &Out) {
  if (!inEpoch(Heard.m_Epoch) || From == m_Config.m_Rank)
    return;
  const EngineState &Engine = *m_Engine;
  const bool Pending = Engine.m_HasPending && Engine.m_PendingMap == Heard.m_Id;
  if (Engine.m_Map == Heard.m_Id || (Pending && Engine.m_PendingCommitted)) {
    sendVote(From, Heard.m_Id, VoteValue::Committed, Out);
    return;
  }
  if (m_Open && m_Open->m_Proposal.m_Id == Heard.m_Id) {
    if (ownVote() != VoteValue::None)
      sendVote(From, Heard.m_Id, ownVote(), Out);
    return;
  }
  // An engine that has answered and is not armed has refused, or the map was
  // aborted: a newer one can't have been committed without the asker's vote.
  if (!(Engine.m_HighestAnswered < Heard.m_Id)) {
    sendVote(From, Heard.m_Id, VoteValue::No, Out);
    return;
  }
  const bool Waiting = m_Deferred && m_Deferred->m_Id == Heard.m_Id;
  if (Waiting)
    return;
  const bool Late = Engine.m_NextStep + m_Config.m_GuardSteps > Heard.m_Step;
  if (Late)
    refuse(Heard.m_Id, Out);
  else
    sendVote(From, Heard.m_Id, VoteValue::None, Out);
}

void SwitchParticipant::drive(Actions &Out) {
  if (!m_Open || !m_Engine || !m_Engine->m_Joined)
    return;
  const Proposal &Current = m_Open->m_Proposal;
  const bool Armed =
      m_Engine->m_HasPending && m_Engine->m_PendingMap == Current.m_Id;
  if (anyRefused()) {
    if (Armed)
      order(OrderKind::Abort, Current.m_Id, Out);
    else
      refuse(Current.m_Id, Out);
    return;
  }
  if (Armed && allAtLeast(VoteValue::Yes)) {
    order(OrderKind::Commit, Current.m_Id, Out);
    return;
  }
  if (Armed)
    return;
  const bool Late =
      m_Engine->m_NextStep + m_Config.m_GuardSteps > Current.m_Step;
  if (Late)
    refuse(Current.m_Id, Out);
  else if (allAtLeast(VoteValue::Loaded))
    arm(Out);
}

void SwitchParticipant::arm(Actions &Out) {
  EngineOrder Order;
  Order.m_Kind = OrderKind::Arm;
  Order.m_Epoch = m_Engine->m_Formation.m_Epoch;
  Order.m_Map = m_Open->m_Proposal.m_Id;
  Order.m_Step = m_Open->m_Proposal.m_Step;
  Order.m_Hold = m_Config.m_Rules.m_HoldAtStep;
  Order.m_Body = m_Open->m_Proposal.m_Body;
  issue(Order, Out);
}

void SwitchParticipant::refuse(MapId Which, Actions &Out) {
  if (!m_Refusing || *m_Refusing < Which)
    m_Refusing = Which;
  order(OrderKind::Refuse, Which, Out);
}

void SwitchParticipant::order(OrderKind Kind, MapId Which, Actions &Out) {
  EngineOrder Order;
  Order.m_Kind = Kind;
  Order.m_Epoch = m_Engine->m_Formation.m_Epoch;
  Order.m_Map = Which;
  issue(Order, Out);
}

void SwitchParticipant::issue(const EngineOrder &Order, Actions &Out) {
  const bool Repeats = m_Outstanding && m_Outstanding->m_Kind == Order.m_Kind &&
                       m_Outstanding->m_Map == Order.m_Map;
  if (Repeats)
    return;
  m_Outstanding = Order;
  Out.m_Orders.push_back(Order);
}

void SwitchParticipant::onTick(base::Millis Now, Actions &Out) {
  m_Formation.onTick(Now, Out);
  drive(Out);
  if (!m_Open || ownVote() == VoteValue::None)
    return;
  const base::Millis Interval = ownVote() == VoteValue::Yes
                                    ? m_Config.m_QueryInterval
                                    : m_Config.m_ReadyInterval;
  if (Now - m_LastAsked < Interval || !m_Config.m_Rules.m_QueryOutcome)
    return;
  m_LastAsked = Now;
  ask(Out);
}

void SwitchParticipant::ask(Actions &Out) const {
  const Proposal &Current = m_Open->m_Proposal;
  const Query Question{Current.m_Id, Current.m_Epoch, Current.m_Step};
  for (RankIndex To = 0; To < m_Config.m_Ranks; ++To) {
    const bool Ready = m_Open->m_Votes[To] == VoteValue::Loaded &&
                       ownVote() == VoteValue::Loaded;
    const bool Final = m_Open->m_Votes[To] == VoteValue::Yes ||
                       m_Open->m_Votes[To] == VoteValue::No;
    if (To != m_Config.m_Rank && !Ready && !Final)
      Out.send(m_Config.m_Rank, To, Question);
  }
}

void SwitchParticipant::setOwnVote(VoteValue Value, Actions &Out) {
  const MapId Which = m_Open->m_Proposal.m_Id;
  m_Open->m_Votes[m_Config.m_Rank] = Value;
  if (Value == VoteValue::Yes)
    Out.m_Notes.push_back({EventId::MapVoted, Which, "yes"});
  broadcastVote(Which, Value, Out);
}

void SwitchParticipant::broadcastVote(MapId Which, VoteValue Value,
                                      Actions &Out) const {
  for (RankIndex To = 0; To < m_Config.m_Ranks; ++To)
    if (To != m_Config.m_Rank)
      sendVote(To, Which, Value, Out);
}

void SwitchParticipant::sendVote(RankIndex To, MapId Which, VoteValue Value,
                                 Actions &Out) const {
  const Vote Own{Which, m_Engine->m_Formation.m_Epoch, m_Engine->m_Incarnation,
                 Value};
  Out.send(m_Config.m_Rank, To, Own);
}

VoteValue SwitchParticipant::ownVote() const {
  return m_Open->m_Votes[m_Config.m_Rank];
}

bool SwitchParticipant::allAtLeast(VoteValue Value) const {
  return std::all_of(
      m_Open->m_Votes.begin(), m_Open->m_Votes.end(), [&](VoteValue Cast) {
        const bool Ready = Cast == VoteValue::Yes;
        return Ready || (Value == VoteValue::Loaded && Cast == Value);
      });
}

bool SwitchParticipant::anyRefused() const {
  return std::find(m_Open->m_Votes.begin(), m_Open->m_Votes.end(),
                   VoteValue::No) != m_Open->m_Votes.end();
}

void SwitchParticipant::encode(std::vector<std::uint64_t> &Words) const {
  const auto Add = [&Words](const MapId &Id) {
    Words.push_back(Id.m_FencingNumber);
    Words.push_back(Id.m_Version);
    Words.push_back(Id.m_Digest);
  };
  Words.push_back(m_Engine ? 1 : 0);
  encodeEngineState(m_Engine.value_or(EngineState{}), Words);
  Words.push_back(m_Open ? 1 : 0);
  if (m_Open) {
    Add(m_Open->m_Proposal.m_Id);
    for (const VoteValue Cast : m_Open->m_Votes)
      Words.push_back(static_cast<std::uint64_t>(Cast));
  }
  Add(m_Deferred ? m_Deferred->m_Id : MapId{});
  Add(m_Refusing.value_or(MapId{}));
  Words.push_back(m_Outstanding
                      ? 1 + static_cast<std::uint64_t>(m_Outstanding->m_Kind)
                      : 0);
  Add(m_Outstanding ? m_Outstanding->m_Map : MapId{});
  Words.push_back(m_HighestFencingNumber);
  m_Formation.encode(Words);
}

} // namespace corneldeck::rankgroup
