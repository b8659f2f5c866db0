#include "RankGroup/RankDriver.h"

#include <algorithm>

namespace corneldeck::rankgroup {

bool RankDriver::acceptCommand(const wire::RankCommand &Command,
                               base::Millis Now) {
  if (Command.planner_term() < m_Term)
    return false;
  if (Command.planner_term() > m_Term) {
    m_Command.Clear();
    m_CommandOpen = false;
    m_CompletedCommand = 0;
    m_CompletedResult = 0;
    m_OldestValidCommand = 0;
  }
  m_Term = Command.planner_term();
  m_Planner = Command.planner();
  m_LastPlannerContact = Now;
  m_OldestValidCommand = std::max(m_OldestValidCommand, Command.oldest_valid());
  if (m_Command.command() < m_OldestValidCommand)
    m_CommandOpen = false;
  if (Command.command() <= m_Command.command() ||
      Command.command() < m_OldestValidCommand)
    return true;
  m_Command = Command;
  m_CommandOpen = true;
  return true;
}

void RankDriver::updateState(const RankState &State) {
  if (m_Command.epoch() != State.m_Epoch)
    m_CommandOpen = false;
  m_State = State;
}

bool RankDriver::isCommandDone() const {
  switch (static_cast<SwitchOrderKind>(m_Command.kind())) {
  case SwitchOrderKind::None:
    return true;
  case SwitchOrderKind::Prepare:
    return m_State->m_PreparedVersion == m_Command.version() ||
           m_State->m_MapVersion == m_Command.version();
  case SwitchOrderKind::Arm:
    return m_State->m_ArmedVersion == m_Command.version() &&
           m_State->m_ArmedStep == m_Command.step();
  case SwitchOrderKind::Hold:
    return m_State->m_HeldStep == m_Command.step();
  case SwitchOrderKind::Release:
    return m_State->m_HeldStep != m_Command.step();
  }
  return true;
}

bool RankDriver::isPreparing() const {
  return m_State && m_Command.epoch() == m_State->m_Epoch &&
         m_Command.command() >= m_OldestValidCommand &&
         static_cast<SwitchOrderKind>(m_Command.kind()) ==
             SwitchOrderKind::Prepare &&
         !isCommandDone();
}

std::optional<SwitchOrder> RankDriver::nextOrder(base::Millis Now) {
  if (!m_CommandOpen || !m_State || m_Command.epoch() != m_State->m_Epoch)
    return std::nullopt;
  if (m_AwaitingResult && Now - m_OrderedAt < m_Settings.m_OrderTimeout)
    return std::nullopt;
  if (isCommandDone()) {
    m_CommandOpen = false;
    m_CompletedCommand = m_Command.command();
    m_CompletedResult = 1 + static_cast<std::uint32_t>(OrderResult::Accepted);
    return std::nullopt;
  }
  if (m_CompletedCommand == m_Command.command())
    return std::nullopt;
  SwitchOrder Order;
  Order.m_Kind = static_cast<SwitchOrderKind>(m_Command.kind());
  Order.m_Epoch = m_Command.epoch();
  Order.m_Version = m_Command.version();
  Order.m_Step = m_Command.step();
  if (Order.m_Kind == SwitchOrderKind::Prepare) {
    auto Maps = decodeMaps({m_Command.map().begin(), m_Command.map().end()},
                           m_Command.experts());
    if (!Maps) {
      m_CommandOpen = false;
      m_CompletedCommand = m_Command.command();
      m_CompletedResult = 1 + static_cast<std::uint32_t>(OrderResult::Rejected);
      return std::nullopt;
    }
    Order.m_Maps = std::move(*Maps);
  }
  m_AwaitingResult = true;
  m_OrderedAt = Now;
  m_OrderedCommand = m_Command.command();
  return Order;
}

void RankDriver::onOrderResult(const base::Result<OrderResult> &Outcome,
                               base::Millis Now) {
  // Without a result the order is due again at once, unless the engine's state
  // shows that it has taken effect.
  if (!Outcome) {
    m_OrderedAt = Now - m_Settings.m_OrderTimeout;
    return;
  }
  m_AwaitingResult = false;
  if (m_OrderedCommand != m_Command.command())
    return;
  m_CompletedCommand = m_OrderedCommand;
  m_CompletedResult = 1 + static_cast<std::uint32_t>(*Outcome);
}

void RankDriver::fillReport(wire::RankReport &Report) const {
  Report.set_planner_term(m_Term);
  Report.set_command(m_CompletedCommand);
  Report.set_command_result(m_CompletedResult);
  if (!m_State)
    return;
  Report.set_epoch(m_State->m_Epoch);
  Report.set_rank(m_State->m_Rank);
  Report.set_size(m_State->m_Size);
  Report.set_open(m_State->m_Open);
  Report.set_step(m_State->m_Step);
  Report.set_map_version(m_State->m_MapVersion);
  Report.set_prepared_version(m_State->m_PreparedVersion);
  Report.set_armed_version(m_State->m_ArmedVersion);
  Report.set_armed_step(m_State->m_ArmedStep);
  Report.set_held_step(m_State->m_HeldStep);
  Report.set_active(m_State->m_ActiveRequests);
  Report.set_queued(m_State->m_QueuedRequests);
  Report.set_pace(m_State->m_Slowdown);
}

} // namespace corneldeck::rankgroup
