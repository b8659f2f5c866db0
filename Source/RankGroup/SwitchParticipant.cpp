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
  m_UnconfirmedOrder.reset();
  m_Formation.onEngineState(Engine, Out);
  const bool Undecided = Engine.m_HasPending && !Engine.m_PendingCommitted;
  if (First && Undecided && !m_Config.m_Rules.m_RememberVote) {
    orderEngine(OrderKind::Abort, Engine.m_PendingMap, Out);
    return;
  }
  if (m_OpenProposal && !inEpoch(m_OpenProposal->m_Proposal.m_Epoch))
    closeProposal(EventId::MapAborted, "the group's epoch ended", Out);
  if (m_Deferred && !inEpoch(m_Deferred->m_Epoch))
    m_Deferred.reset();
  resumePendingVote(Out);
  updateFromEngine(Out);
  advance(Out);
}

bool SwitchParticipant::inEpoch(const Epoch &Other) const {
  return m_Engine && m_Engine->m_Joined &&
         Other == m_Engine->m_Formation.m_Epoch;
}

void SwitchParticipant::resumePendingVote(Actions &Out) {
  const EngineState &Engine = *m_Engine;
  if (!Engine.m_HasPending || Engine.m_PendingCommitted)
    return;
  if (!m_OpenProposal ||
      !(m_OpenProposal->m_Proposal.m_Id == Engine.m_PendingMap)) {
    Proposal Adopted{Engine.m_PendingMap,        Engine.m_Map,
                     Engine.m_Formation.m_Epoch, Engine.m_PendingStep,
                     Engine.m_PendingBody,       {}};
    m_OpenProposal =
        OpenProposal{Adopted, std::vector<VoteValue>(m_Config.m_Ranks)};
  }
  if (ownVote() != VoteValue::Yes)
    setOwnVote(VoteValue::Yes, Out);
}

void SwitchParticipant::updateFromEngine(Actions &Out) {
  const EngineState &Engine = *m_Engine;
  if (m_PendingRefusal && !(Engine.m_HighestAnswered < *m_PendingRefusal)) {
    const bool Armed =
        Engine.m_HasPending && Engine.m_PendingMap == *m_PendingRefusal;
    if (!Armed && !(Engine.m_Map == *m_PendingRefusal))
      broadcastVote(*m_PendingRefusal, VoteValue::No, Out);
    m_PendingRefusal.reset();
  }
  if (!m_OpenProposal)
    return;
  const MapId Id = m_OpenProposal->m_Proposal.m_Id;
  const bool Pending = Engine.m_HasPending && Engine.m_PendingMap == Id;
  if (Engine.m_Map == Id || (Pending && Engine.m_PendingCommitted)) {
    closeProposal(EventId::MapCommitted, "all ranks voted yes", Out);
    return;
  }
  if (!Pending && !(Engine.m_HighestAnswered < Id))
    closeProposal(EventId::MapAborted, "a rank refused", Out);
}

void SwitchParticipant::closeProposal(EventId Event, const char *Reason,
                                      Actions &Out) {
  Out.m_TimelineEntries.push_back(
      {Event, m_OpenProposal->m_Proposal.m_Id, Reason});
  m_OpenProposal.reset();
  startDeferred(Out);
}

void SwitchParticipant::startDeferred(Actions &Out) {
  if (!m_Deferred)
    return;
  const Proposal Next = *m_Deferred;
  m_Deferred.reset();
  if (inEpoch(Next.m_Epoch))
    onProposal(m_Config.m_Rank, Next, Out);
}

void SwitchParticipant::onMessage(const Message &Received, Actions &Out) {
  const RankIndex From = Received.m_From;
  if (From >= m_Config.m_Ranks || From == m_Config.m_Rank)
    return;
  if (const auto *ReceivedStatus = std::get_if<Status>(&Received.m_Body))
    m_Formation.onStatus(From, *ReceivedStatus, Out);
  if (!m_Engine || !m_Engine->m_Joined)
    return;
  if (const auto *ReceivedProposal = std::get_if<Proposal>(&Received.m_Body))
    onProposal(From, *ReceivedProposal, Out);
  if (const auto *ReceivedVote = std::get_if<Vote>(&Received.m_Body))
    onVote(From, *ReceivedVote, Out);
  if (const auto *ReceivedQuery = std::get_if<Query>(&Received.m_Body))
    onQuery(From, *ReceivedQuery, Out);
}

bool SwitchParticipant::propose(Proposal NewProposal, Actions &Out) {
  const bool Running = m_Engine && m_Engine->m_Joined;
  if (!Running || m_OpenProposal || m_Engine->m_HasPending)
    return false;
  NewProposal.m_Epoch = m_Engine->m_Formation.m_Epoch;
  NewProposal.m_Base = m_Engine->m_Map;
  NewProposal.m_Id.m_Digest = digest(NewProposal);
  if (mustRefuse(NewProposal))
    return false;
  for (RankIndex To = 0; To < m_Config.m_Ranks; ++To)
    if (To != m_Config.m_Rank)
      Out.send(m_Config.m_Rank, To, NewProposal);
  Out.m_TimelineEntries.push_back(
      {EventId::MapProposed, NewProposal.m_Id, NewProposal.m_Reason});
  onProposal(m_Config.m_Rank, NewProposal, Out);
  return true;
}

bool SwitchParticipant::mustRefuse(const Proposal &Received) const {
  return Received.m_Id.m_FencingNumber < m_HighestFencingNumber ||
         !(Received.m_Base == m_Engine->m_Map) ||
         m_Engine->m_NextStep + m_Config.m_GuardSteps > Received.m_Step;
}

void SwitchParticipant::onProposal(RankIndex From, const Proposal &Received,
                                   Actions &Out) {
  if (!inEpoch(Received.m_Epoch))
    return;
  const bool Known =
      m_OpenProposal && m_OpenProposal->m_Proposal.m_Id == Received.m_Id;
  if (Known)
    return;
  if (!(m_Engine->m_HighestAnswered < Received.m_Id)) {
    onQuery(From, {Received.m_Id, Received.m_Epoch, Received.m_Step}, Out);
    return;
  }
  if (m_OpenProposal || m_Engine->m_HasPending) {
    deferOrRefuse(Received, Out);
    return;
  }
  if (mustRefuse(Received)) {
    refuse(Received.m_Id, Out);
    return;
  }
  startProposal(Received, Out);
}

void SwitchParticipant::deferOrRefuse(const Proposal &Received, Actions &Out) {
  if (m_OpenProposal && Received.m_Id < m_OpenProposal->m_Proposal.m_Id) {
    refuse(Received.m_Id, Out);
    return;
  }
  if (!m_Deferred || m_Deferred->m_Id < Received.m_Id)
    m_Deferred = Received;
  // This rank has not voted yet, so it can still refuse the older proposal.
  if (m_OpenProposal && !m_Engine->m_HasPending)
    refuse(m_OpenProposal->m_Proposal.m_Id, Out);
}

void SwitchParticipant::startProposal(const Proposal &Accepted, Actions &Out) {
  m_HighestFencingNumber =
      std::max(m_HighestFencingNumber, Accepted.m_Id.m_FencingNumber);
  m_OpenProposal =
      OpenProposal{Accepted, std::vector<VoteValue>(m_Config.m_Ranks)};
  Out.m_Loads.push_back({Accepted.m_Id, Accepted.m_Body});
}

void SwitchParticipant::onLoaded(MapId Id, bool Loaded, Actions &Out) {
  m_Formation.onLoaded(Id, Loaded, Out);
  const bool IsOpen = m_OpenProposal && m_OpenProposal->m_Proposal.m_Id == Id;
  if (!IsOpen || ownVote() != VoteValue::None)
    return;
  if (!Loaded) {
    refuse(Id, Out);
    return;
  }
  Out.m_TimelineEntries.push_back({EventId::ExpertsLoaded, Id, {}});
  setOwnVote(VoteValue::Loaded, Out);
  advance(Out);
}

void SwitchParticipant::onVote(RankIndex From, const Vote &Received,
                               Actions &Out) {
  if (m_Config.m_Rules.m_CheckIncarnation) {
    const bool FromMember =
        inEpoch(Received.m_Epoch) &&
        Received.m_Incarnation == m_Engine->m_Formation.m_Members[From];
    if (!FromMember)
      return;
  }
  if (!m_OpenProposal || !(m_OpenProposal->m_Proposal.m_Id == Received.m_Id))
    return;
  if (Received.m_Value == VoteValue::None) {
    Out.send(m_Config.m_Rank, From, m_OpenProposal->m_Proposal);
    return;
  }
  VoteValue &Known = m_OpenProposal->m_Votes[From];
  const bool Final = Known != VoteValue::None && Known != VoteValue::Loaded;
  if (Final && Received.m_Value != VoteValue::Committed)
    return;
  Known = Received.m_Value;
  if (Received.m_Value == VoteValue::Committed)
    std::fill(m_OpenProposal->m_Votes.begin(), m_OpenProposal->m_Votes.end(),
              VoteValue::Yes);
  advance(Out);
}

void SwitchParticipant::onQuery(RankIndex From, const Query &Received,
                                Actions &Out) {
  if (!inEpoch(Received.m_Epoch) || From == m_Config.m_Rank)
    return;
  const EngineState &Engine = *m_Engine;
  const bool Pending =
      Engine.m_HasPending && Engine.m_PendingMap == Received.m_Id;
  if (Engine.m_Map == Received.m_Id || (Pending && Engine.m_PendingCommitted)) {
    sendVote(From, Received.m_Id, VoteValue::Committed, Out);
    return;
  }
  if (m_OpenProposal && m_OpenProposal->m_Proposal.m_Id == Received.m_Id) {
    if (ownVote() != VoteValue::None)
      sendVote(From, Received.m_Id, ownVote(), Out);
    return;
  }
  // An engine that has answered the proposal and is not armed has refused it,
  // or the proposal was aborted. It cannot have been committed and replaced by
  // a newer map, because that needs the vote of the rank that sent the query.
  if (!(Engine.m_HighestAnswered < Received.m_Id)) {
    sendVote(From, Received.m_Id, VoteValue::No, Out);
    return;
  }
  const bool IsDeferred = m_Deferred && m_Deferred->m_Id == Received.m_Id;
  if (IsDeferred)
    return;
  const bool TooLate =
      Engine.m_NextStep + m_Config.m_GuardSteps > Received.m_Step;
  if (TooLate)
    refuse(Received.m_Id, Out);
  else
    sendVote(From, Received.m_Id, VoteValue::None, Out);
}

void SwitchParticipant::advance(Actions &Out) {
  if (!m_OpenProposal || !m_Engine || !m_Engine->m_Joined)
    return;
  const Proposal &Current = m_OpenProposal->m_Proposal;
  const bool Armed =
      m_Engine->m_HasPending && m_Engine->m_PendingMap == Current.m_Id;
  if (anyRefused()) {
    if (Armed)
      orderEngine(OrderKind::Abort, Current.m_Id, Out);
    else
      refuse(Current.m_Id, Out);
    return;
  }
  if (Armed && allAtLeast(VoteValue::Yes)) {
    orderEngine(OrderKind::Commit, Current.m_Id, Out);
    return;
  }
  if (Armed)
    return;
  const bool TooLate =
      m_Engine->m_NextStep + m_Config.m_GuardSteps > Current.m_Step;
  if (TooLate)
    refuse(Current.m_Id, Out);
  else if (allAtLeast(VoteValue::Loaded))
    arm(Out);
}

void SwitchParticipant::arm(Actions &Out) {
  EngineOrder Order;
  Order.m_Kind = OrderKind::Arm;
  Order.m_Epoch = m_Engine->m_Formation.m_Epoch;
  Order.m_Map = m_OpenProposal->m_Proposal.m_Id;
  Order.m_Step = m_OpenProposal->m_Proposal.m_Step;
  Order.m_WaitAtStep = m_Config.m_Rules.m_HoldAtStep;
  Order.m_Body = m_OpenProposal->m_Proposal.m_Body;
  issueOrder(Order, Out);
}

void SwitchParticipant::refuse(MapId Id, Actions &Out) {
  if (!m_PendingRefusal || *m_PendingRefusal < Id)
    m_PendingRefusal = Id;
  orderEngine(OrderKind::Refuse, Id, Out);
}

void SwitchParticipant::orderEngine(OrderKind Kind, MapId Id, Actions &Out) {
  EngineOrder Order;
  Order.m_Kind = Kind;
  Order.m_Epoch = m_Engine->m_Formation.m_Epoch;
  Order.m_Map = Id;
  issueOrder(Order, Out);
}

void SwitchParticipant::issueOrder(const EngineOrder &Order, Actions &Out) {
  const bool Repeats = m_UnconfirmedOrder &&
                       m_UnconfirmedOrder->m_Kind == Order.m_Kind &&
                       m_UnconfirmedOrder->m_Map == Order.m_Map;
  if (Repeats)
    return;
  m_UnconfirmedOrder = Order;
  Out.m_Orders.push_back(Order);
}

void SwitchParticipant::onTick(base::Millis Now, Actions &Out) {
  m_Formation.onTick(Now, Out);
  advance(Out);
  if (!m_OpenProposal || ownVote() == VoteValue::None)
    return;
  const base::Millis Interval = ownVote() == VoteValue::Yes
                                    ? m_Config.m_QueryInterval
                                    : m_Config.m_ReadyInterval;
  if (Now - m_LastQuery < Interval || !m_Config.m_Rules.m_QueryOutcome)
    return;
  m_LastQuery = Now;
  queryOutcome(Out);
}

void SwitchParticipant::queryOutcome(Actions &Out) const {
  const Proposal &Current = m_OpenProposal->m_Proposal;
  const Query Request{Current.m_Id, Current.m_Epoch, Current.m_Step};
  for (RankIndex To = 0; To < m_Config.m_Ranks; ++To) {
    const bool Ready = m_OpenProposal->m_Votes[To] == VoteValue::Loaded &&
                       ownVote() == VoteValue::Loaded;
    const bool Final = m_OpenProposal->m_Votes[To] == VoteValue::Yes ||
                       m_OpenProposal->m_Votes[To] == VoteValue::No;
    if (To != m_Config.m_Rank && !Ready && !Final)
      Out.send(m_Config.m_Rank, To, Request);
  }
}

void SwitchParticipant::setOwnVote(VoteValue Value, Actions &Out) {
  const MapId Id = m_OpenProposal->m_Proposal.m_Id;
  m_OpenProposal->m_Votes[m_Config.m_Rank] = Value;
  if (Value == VoteValue::Yes)
    Out.m_TimelineEntries.push_back({EventId::MapVoted, Id, "yes"});
  broadcastVote(Id, Value, Out);
}

void SwitchParticipant::broadcastVote(MapId Id, VoteValue Value,
                                      Actions &Out) const {
  for (RankIndex To = 0; To < m_Config.m_Ranks; ++To)
    if (To != m_Config.m_Rank)
      sendVote(To, Id, Value, Out);
}

void SwitchParticipant::sendVote(RankIndex To, MapId Id, VoteValue Value,
                                 Actions &Out) const {
  const Vote Own{Id, m_Engine->m_Formation.m_Epoch, m_Engine->m_Incarnation,
                 Value};
  Out.send(m_Config.m_Rank, To, Own);
}

VoteValue SwitchParticipant::ownVote() const {
  return m_OpenProposal->m_Votes[m_Config.m_Rank];
}

bool SwitchParticipant::allAtLeast(VoteValue Value) const {
  return std::all_of(m_OpenProposal->m_Votes.begin(),
                     m_OpenProposal->m_Votes.end(), [&](VoteValue Each) {
                       const bool Ready = Each == VoteValue::Yes;
                       return Ready ||
                              (Value == VoteValue::Loaded && Each == Value);
                     });
}

bool SwitchParticipant::anyRefused() const {
  return std::find(m_OpenProposal->m_Votes.begin(),
                   m_OpenProposal->m_Votes.end(),
                   VoteValue::No) != m_OpenProposal->m_Votes.end();
}

void SwitchParticipant::encode(std::vector<std::uint64_t> &Words) const {
  const auto Add = [&Words](const MapId &Id) {
    Words.push_back(Id.m_FencingNumber);
    Words.push_back(Id.m_Version);
    Words.push_back(Id.m_Digest);
  };
  Words.push_back(m_Engine ? 1 : 0);
  encodeEngineState(m_Engine.value_or(EngineState{}), Words);
  Words.push_back(m_OpenProposal ? 1 : 0);
  if (m_OpenProposal) {
    Add(m_OpenProposal->m_Proposal.m_Id);
    for (const VoteValue Each : m_OpenProposal->m_Votes)
      Words.push_back(static_cast<std::uint64_t>(Each));
  }
  Add(m_Deferred ? m_Deferred->m_Id : MapId{});
  Add(m_PendingRefusal.value_or(MapId{}));
  Words.push_back(m_UnconfirmedOrder ? 1 + static_cast<std::uint64_t>(
                                               m_UnconfirmedOrder->m_Kind)
                                     : 0);
  Add(m_UnconfirmedOrder ? m_UnconfirmedOrder->m_Map : MapId{});
  Words.push_back(m_HighestFencingNumber);
  m_Formation.encode(Words);
}

} // namespace corneldeck::rankgroup
