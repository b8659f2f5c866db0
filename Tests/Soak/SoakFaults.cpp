#include "Soak.h"

#include <algorithm>
#include <csignal>

namespace corneldeck::tests {

void Soak::performSteps() {
  while (m_NextStep < m_Plan.steps().size() &&
         now() >= m_StartedAt + m_Plan.steps()[m_NextStep].m_At)
    perform(m_Plan.steps()[m_NextStep++]);
}

void Soak::perform(const Step &Due) {
  m_LastFault = std::string(name(Due.m_Kind)) + " " +
                std::to_string(Due.m_Target) + " " +
                std::to_string(Due.m_Value);
  switch (Due.m_Kind) {
  case StepKind::KillEntry:
  case StepKind::FreezeEntry:
  case StepKind::StopEntry:
  case StepKind::ReloadEntry:
    disturbEntry(Due);
    return;
  case StepKind::ResetLinks:
  case StepKind::BreakLink:
  case StepKind::ChangeBehavior:
  case StepKind::HealServer:
  case StepKind::LeaveServer:
  case StepKind::PauseServer:
  case StepKind::SayLeaving:
  case StepKind::NameLimit:
    disturbServer(Due);
    return;
  case StepKind::Publish:
    for (std::uint64_t Count = 0; Count < Due.m_Value; ++Count)
      publish();
    return;
  case StepKind::BreakStore:
  case StepKind::HealStore:
  case StepKind::CopyStore:
  case StepKind::ReturnStore:
    disturbStore(Due);
    return;
  }
}

void Soak::disturbEntry(const Step &Due) {
  Entry &Of = m_Entries[Due.m_Target];
  ++Of.m_Faults;
  Of.m_ExcusedUntil =
      std::max(Of.m_ExcusedUntil, now() + Due.m_Duration + Touch);
  Of.m_DisturbedUntil = Of.m_ExcusedUntil;
  switch (Due.m_Kind) {
  case StepKind::KillEntry:
    Of.m_Process->signal(SIGKILL);
    Of.m_RestartAt = now() + Due.m_Duration;
    return;
  case StepKind::FreezeEntry:
    Of.m_Process->signal(SIGSTOP);
    Of.m_ContinueAt = now() + Due.m_Duration;
    return;
  case StepKind::StopEntry:
    Of.m_Process->signal(SIGTERM);
    // It serves on until its grace period is nearly over.
    Of.m_RestartAt = now() + Due.m_Duration;
    return;
  default:
    Of.m_Process->signal(SIGHUP);
    return;
  }
}

void Soak::disturbServer(const Step &Due) {
  Server &Of = m_Servers[Due.m_Target];
  switch (Due.m_Kind) {
  case StepKind::ResetLinks:
    Of.m_Proxy->resetAll();
    Of.m_Pauses.clear();
    Of.m_FreeSince = {};
    return;
  case StepKind::BreakLink:
    Of.m_Proxy->m_Fault = static_cast<LinkFault>(Due.m_Value);
    Of.m_Pauses.clear();
    break;
  case StepKind::ChangeBehavior:
    Of.m_Server->m_Behavior = static_cast<Behavior>(Due.m_Value);
    break;
  case StepKind::HealServer:
    Of.m_Server->m_Behavior = Behavior::Serve;
    Of.m_Proxy->m_Fault = LinkFault::None;
    return;
  case StepKind::PauseServer:
    Of.m_Server->m_Behavior = Behavior::NotRun;
    break;
  case StepKind::SayLeaving:
    Of.m_StartsAgainAt = now() + Due.m_Duration;
    Of.m_Server->m_IsLeaving = m_Settings.m_Plant != Plant::NoticeIgnored;
    break;
  case StepKind::NameLimit:
    nameLimit(Of, Due.m_Value, Due.m_Duration);
    break;
  default:
    startLeaving(Of);
    break;
  }
  updateFreeServers();
}

void Soak::startLeaving(Server &Of) {
  Of.m_LeftAt = now();
  if (m_Settings.m_Plant != Plant::LeavingStillUsed)
    registerServer(Of, "draining");
  addServer();
}

void Soak::heal() {
  for (Entry &Each : m_Entries) {
    if (Each.m_ContinueAt > base::Millis(0) && now() >= Each.m_ContinueAt) {
      Each.m_ContinueAt = {};
      Each.m_Process->signal(SIGCONT);
    }
    if (Each.m_RestartAt > base::Millis(0) && now() >= Each.m_RestartAt) {
      Each.m_Process->signal(SIGKILL);
      if (!Each.m_Process->isRunning())
        startEntry(Each);
    }
    const bool Expected =
        Each.m_RestartAt == base::Millis(0) && !Each.m_Process->isRunning();
    if (Expected) {
      violate(Promise::Process, Each.m_Name + " ended by itself");
      startEntry(Each);
    }
  }
}

void Soak::endFaults() {
  m_HasFaults = false;
  healStore();
  if (m_WriteAgainAt > base::Millis(0))
    writeAgain();
  for (Server &Each : m_Servers) {
    Each.m_Server->m_Behavior = Behavior::Serve;
    Each.m_Proxy->m_Fault = LinkFault::None;
    endLimit(Each, now());
    if (Each.m_RevivesAt > base::Millis(0))
      revive(Each);
    else if (Each.m_StartsAgainAt > base::Millis(0))
      startAgain(Each);
  }
  for (Entry &Each : m_Entries) {
    if (Each.m_ContinueAt > base::Millis(0))
      Each.m_ContinueAt = now();
    if (Each.m_RestartAt > base::Millis(0))
      Each.m_RestartAt = now();
  }
}

} // namespace corneldeck::tests
