#include "RankGroup/EngineStateMachine.h"

#include <algorithm>

namespace corneldeck::rankgroup {

EngineStateMachine::EngineStateMachine(std::uint64_t Incarnation) {
  m_State.m_Incarnation = Incarnation;
}

void EngineStateMachine::apply(const EngineOrder &Order) {
  if (Order.m_Kind == OrderKind::Join) {
    join(Order);
    return;
  }
  if (!m_State.m_Joined || !(Order.m_Epoch == m_State.m_Formation.m_Epoch))
    return;
  switch (Order.m_Kind) {
  case OrderKind::Arm:
    arm(Order);
    break;
  case OrderKind::Refuse:
    refuse(Order);
    break;
  case OrderKind::Commit:
    commit(Order);
    break;
  case OrderKind::Abort:
    abort(Order);
    break;
  case OrderKind::Leave:
    leave();
    break;
  case OrderKind::Join:
    break;
  }
}

void EngineStateMachine::arm(const EngineOrder &Order) {
  const bool AlreadyAnswered = !(m_State.m_HighestAnswered < Order.m_Map);
  const bool TooLate = m_State.m_NextStep > Order.m_Step;
  if (m_State.m_HasPending || AlreadyAnswered || TooLate)
    return;
  m_State.m_HasPending = true;
  m_State.m_PendingCommitted = false;
  m_State.m_PendingMap = Order.m_Map;
  m_State.m_PendingStep = Order.m_Step;
  m_State.m_PendingBody = Order.m_Body;
  m_State.m_HighestAnswered = Order.m_Map;
  m_WaitAtStep = Order.m_WaitAtStep;
}

void EngineStateMachine::refuse(const EngineOrder &Order) {
  if (m_State.m_HighestAnswered < Order.m_Map)
    m_State.m_HighestAnswered = Order.m_Map;
}

void EngineStateMachine::commit(const EngineOrder &Order) {
  if (m_State.m_HasPending && m_State.m_PendingMap == Order.m_Map)
    m_State.m_PendingCommitted = true;
}

void EngineStateMachine::abort(const EngineOrder &Order) {
  const bool IsPending =
      m_State.m_HasPending && m_State.m_PendingMap == Order.m_Map;
  if (IsPending && !m_State.m_PendingCommitted)
    clearPending();
}

void EngineStateMachine::leave() {
  // A committed map takes effect even if its step is never reached.
  if (m_State.m_PendingCommitted)
    applyPending();
  clearPending();
  m_State.m_Joined = false;
}

void EngineStateMachine::applyPending() {
  m_State.m_Map = m_State.m_PendingMap;
  m_State.m_Body = m_State.m_PendingBody;
  clearPending();
}

void EngineStateMachine::join(const EngineOrder &Order) {
  const Formation &Next = Order.m_Formation;
  // Epoch numbers only grow, so a delayed order cannot restore an old epoch.
  if (Next.m_Epoch.m_Number <= m_State.m_Formation.m_Epoch.m_Number)
    return;
  const bool IsMember =
      std::find(Next.m_Members.begin(), Next.m_Members.end(),
                m_State.m_Incarnation) != Next.m_Members.end();
  if (!IsMember)
    return;
  clearPending();
  m_State.m_Formation = Next;
  m_State.m_Joined = true;
  m_State.m_Map = Next.m_Map;
  m_State.m_Body = Order.m_Body;
  m_State.m_HighestAnswered = Next.m_Map;
  m_State.m_NextStep = Next.m_FirstStep;
}

void EngineStateMachine::clearPending() {
  m_State.m_HasPending = false;
  m_State.m_PendingCommitted = false;
  m_State.m_PendingMap = MapId{};
  m_State.m_PendingStep = 0;
  m_State.m_PendingBody.reset();
}

bool EngineStateMachine::canBeginStep() const {
  if (!m_State.m_Joined)
    return false;
  const bool AtSwitch =
      m_State.m_HasPending && m_State.m_NextStep >= m_State.m_PendingStep;
  return !AtSwitch || m_State.m_PendingCommitted || !m_WaitAtStep;
}

MapId EngineStateMachine::beginStep() {
  const bool SwitchesNow = m_State.m_HasPending && m_State.m_PendingCommitted &&
                           m_State.m_NextStep >= m_State.m_PendingStep;
  if (SwitchesNow)
    applyPending();
  ++m_State.m_NextStep;
  return m_State.m_Map;
}

void encodeFormation(const Formation &Value,
                     std::vector<std::uint64_t> &Words) {
  Words.push_back(Value.m_Epoch.m_Number);
  Words.push_back(Value.m_Epoch.m_View);
  Words.push_back(Value.m_Map.m_FencingNumber);
  Words.push_back(Value.m_Map.m_Version);
  Words.push_back(Value.m_Map.m_Digest);
  Words.push_back(Value.m_FirstStep);
  Words.push_back(Value.m_Members.size());
  Words.insert(Words.end(), Value.m_Members.begin(), Value.m_Members.end());
}

void encodeEngineState(const EngineState &Value,
                       std::vector<std::uint64_t> &Words) {
  Words.push_back(Value.m_Incarnation);
  encodeFormation(Value.m_Formation, Words);
  Words.push_back(Value.m_Joined ? 1 : 0);
  Words.push_back(Value.m_HasPending ? 1 : 0);
  Words.push_back(Value.m_PendingCommitted ? 1 : 0);
  for (const MapId &Id :
       {Value.m_Map, Value.m_PendingMap, Value.m_HighestAnswered}) {
    Words.push_back(Id.m_FencingNumber);
    Words.push_back(Id.m_Version);
    Words.push_back(Id.m_Digest);
  }
  Words.push_back(Value.m_PendingStep);
  Words.push_back(Value.m_NextStep);
}

} // namespace corneldeck::rankgroup
