#include "Lease/OrderGate.h"

namespace corneldeck::lease {

using base::ResultCode;

namespace {

constexpr std::size_t MaxWaiting = 64;

} // namespace

OrderGate::OrderGate(GateSettings Settings, base::Millis Now)
    : m_Settings(Settings) {
  onConnectionClosed(Now);
}

void OrderGate::submit(base::Millis Now, Order NewOrder) {
  m_Waiting.push_back({std::move(NewOrder), Now});
}

void OrderGate::onConfirmed(const std::string &OrderId) {
  if (m_OnTheWay && m_OnTheWay->m_Id == OrderId)
    m_OnTheWay.reset();
}

void OrderGate::onConnectionClosed(base::Millis Now) {
  m_OnTheWay.reset();
  m_Closing = false;
  if (m_Settings.m_EngineEnforcesFencing || m_Settings.m_InjectNoSettle)
    return;
  m_OpenAt = Now + m_Settings.m_SettleTime;
}

std::optional<base::Error> OrderGate::check(const Order &Candidate,
                                            const LeaseTable &Table) {
  const LeaseRecord *Record = Table.find(Candidate.m_Lease);
  const bool Current = Record && !Record->m_Released &&
                       Record->m_FencingNumber == Candidate.m_FencingNumber;
  if (Current)
    return std::nullopt;
  return base::Error{ResultCode::FencingRefused,
                     "the order carries fencing number " +
                         std::to_string(Candidate.m_FencingNumber) +
                         ", the lease '" + Candidate.m_Lease + "' has " +
                         std::to_string(Record ? Record->m_FencingNumber : 0) +
                         "; acquire the lease again",
                     {}};
}

void OrderGate::watchOnTheWay(base::Millis Now, GateActions &Actions) {
  if (!m_OnTheWay || m_Closing)
    return;
  if (Now < m_WrittenAt + m_Settings.m_ConfirmTimeout)
    return;
  m_Closing = true;
  Actions.m_CloseConnection = true;
}

GateActions OrderGate::tick(base::Millis Now, const LeaseTable &Table,
                            base::Millis ReadSentAt) {
  GateActions Actions;
  watchOnTheWay(Now, Actions);
  while (!m_Waiting.empty()) {
    const Waiting &First = m_Waiting.front();
    const bool TooMany = m_Waiting.size() > MaxWaiting;
    if (TooMany || Now >= First.m_SubmittedAt + m_Settings.m_CheckTimeout) {
      Actions.m_Refuse.push_back(
          {First.m_Order,
           {ResultCode::LogUnavailable,
            "the order could not be checked in time; it was not sent to the "
            "engine, give it again",
            m_Settings.m_CheckTimeout}});
      m_Waiting.pop_front();
      continue;
    }
    if (ReadSentAt <= First.m_SubmittedAt) {
      Actions.m_ReadLog = true;
      break;
    }
    if (std::optional<base::Error> Wrong = check(First.m_Order, Table)) {
      Actions.m_Refuse.push_back({First.m_Order, std::move(*Wrong)});
      m_Waiting.pop_front();
      continue;
    }
    const bool Busy = m_OnTheWay && !m_Settings.m_InjectNoSettle;
    if (Busy || Now < m_OpenAt)
      break;
    m_OnTheWay = First.m_Order;
    m_WrittenAt = Now;
    Actions.m_Write.push_back(First.m_Order);
    m_Waiting.pop_front();
  }
  return Actions;
}

} // namespace corneldeck::lease
