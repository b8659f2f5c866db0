#include "Lease/OrderGate.h"

namespace corneldeck::lease {

using base::ResultCode;

namespace {

constexpr std::size_t MaxQueuedOrders = 64;

} // namespace

OrderGate::OrderGate(GateSettings Settings, base::Millis Now)
    : m_Settings(Settings) {
  onConnectionClosed(Now);
}

void OrderGate::submit(base::Millis Now, Order NewOrder) {
  m_Queue.push_back({std::move(NewOrder), Now});
}

void OrderGate::onConfirmed(const std::string &OrderId) {
  if (m_InFlight && m_InFlight->m_Id == OrderId)
    m_InFlight.reset();
}

void OrderGate::onConnectionClosed(base::Millis Now) {
  m_InFlight.reset();
  m_CloseRequested = false;
  if (m_Settings.m_EngineEnforcesFencing || m_Settings.m_InjectNoSettle)
    return;
  m_WriteAllowedAt = Now + m_Settings.m_SettleTime;
}

std::optional<base::Error> OrderGate::check(const Order &Candidate,
                                            const LeaseTable &Table) {
  const LeaseRecord *Record = Table.find(Candidate.m_Lease);
  const bool Current = Record && !Record->m_Released &&
                       Record->m_FencingNumber == Candidate.m_FencingNumber;
  if (Current)
    return std::nullopt;
  return base::Error{ResultCode::FencingRefused,
                     "the order has fencing number " +
                         std::to_string(Candidate.m_FencingNumber) +
                         ", the lease '" + Candidate.m_Lease + "' has " +
                         std::to_string(Record ? Record->m_FencingNumber : 0) +
                         "; acquire the lease again",
                     {}};
}

void OrderGate::checkConfirmTimeout(base::Millis Now, GateActions &Actions) {
  if (!m_InFlight || m_CloseRequested)
    return;
  if (Now < m_WrittenAt + m_Settings.m_ConfirmTimeout)
    return;
  m_CloseRequested = true;
  Actions.m_CloseConnection = true;
}

GateActions OrderGate::tick(base::Millis Now, const LeaseTable &Table,
                            base::Millis ReadSentAt) {
  GateActions Actions;
  checkConfirmTimeout(Now, Actions);
  while (!m_Queue.empty()) {
    const QueuedOrder &First = m_Queue.front();
    const bool TooMany = m_Queue.size() > MaxQueuedOrders;
    if (TooMany || Now >= First.m_SubmittedAt + m_Settings.m_CheckTimeout) {
      Actions.m_Refuse.push_back(
          {First.m_Order,
           {ResultCode::LogUnavailable,
            "the order could not be checked in time and was not sent to the "
            "engine; submit it again",
            m_Settings.m_CheckTimeout}});
      m_Queue.pop_front();
      continue;
    }
    if (ReadSentAt <= First.m_SubmittedAt) {
      Actions.m_ReadLog = true;
      break;
    }
    if (std::optional<base::Error> Failure = check(First.m_Order, Table)) {
      Actions.m_Refuse.push_back({First.m_Order, std::move(*Failure)});
      m_Queue.pop_front();
      continue;
    }
    const bool Busy = m_InFlight && !m_Settings.m_InjectNoSettle;
    if (Busy || Now < m_WriteAllowedAt)
      break;
    m_InFlight = First.m_Order;
    m_WrittenAt = Now;
    Actions.m_Write.push_back(First.m_Order);
    m_Queue.pop_front();
  }
  return Actions;
}

} // namespace corneldeck::lease
