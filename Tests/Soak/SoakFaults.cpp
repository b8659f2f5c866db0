#include "Soak.h"

#include <algorithm>
#include <csignal>

namespace corneldeck::tests {

void Soak::injectFault() {
  switch (m_Draw.below(4)) {
  case 0:
    if (mayDisturbEntries())
      faultOfEntry();
    return;
  case 1:
    // Every second seed leaves the store alone, since its faults excuse all
    // entries from the bounds of time.
    if (m_Settings.m_Seed % 2 == 0)
      faultOfStore();
    return;
  case 2:
    publish();
    return;
  default:
    faultOfServer();
    return;
  }
}

bool Soak::mayDisturbEntries() const {
  switch (m_Settings.m_Plant) {
  case Plant::LeavingStillUsed:
  case Plant::NoticeIgnored:
  case Plant::PauseIgnored:
  case Plant::EraIgnored:
    return false;
  default:
    return true;
  }
}

void Soak::faultOfEntry() {
  Entry &Of = m_Entries[m_Draw.below(m_Entries.size())];
  if (Of.m_RestartAt > base::Millis(0) || Of.m_ContinueAt > base::Millis(0))
    return;
  const base::Millis For(300 + static_cast<std::int64_t>(m_Draw.below(1500)));
  const std::uint64_t Way = m_Draw.below(4);
  m_Faults.push_back(Of.m_Name + " fault " + std::to_string(Way));
  Of.m_ExcusedUntil = now() + For + Touch;
  switch (Way) {
  case 0:
    Of.m_Process->signal(SIGKILL);
    Of.m_RestartAt = now() + For;
    return;
  case 1:
    Of.m_Process->signal(SIGSTOP);
    Of.m_ContinueAt = now() + For;
    return;
  case 2:
    Of.m_Process->signal(SIGTERM);
    // It serves on until its grace period is nearly over.
    Of.m_RestartAt = now() + base::seconds(4);
    Of.m_ExcusedUntil = now() + base::seconds(4) + Touch;
    return;
  default:
    Of.m_Process->signal(SIGHUP);
    return;
  }
}

void Soak::faultOfServer() {
  Server &Of = m_Servers[m_Draw.below(m_Servers.size())];
  const std::uint64_t Way = m_Draw.below(6);
  m_Faults.push_back(Of.m_Server->id() + " fault " + std::to_string(Way));
  switch (Way) {
  case 0:
    Of.m_Proxy->resetAll();
    Of.m_Pauses.clear();
    return;
  case 1:
    Of.m_Proxy->m_Fault = static_cast<LinkFault>(1 + m_Draw.below(3));
    Of.m_Pauses.clear();
    return;
  case 2:
  case 3:
    Of.m_Server->m_Behavior = static_cast<Behavior>(
        1 +
        m_Draw.below(static_cast<std::uint64_t>(Behavior::TruncatedStream)));
    return;
  default:
    break;
  }
  const auto Staying =
      std::count_if(m_Servers.begin(), m_Servers.end(), [](const Server &Each) {
        return Each.m_LeftAt == base::Millis(0);
      });
  if (Of.m_LeftAt > base::Millis(0) || Staying <= 2)
    return;
  startLeaving(Of);
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
      violate(Each.m_Name + " ended by itself");
      startEntry(Each);
    }
  }
  if (m_Draw.chance(0.06)) {
    if (m_Store.m_Faults.m_Unavailable || m_Store.m_Faults.m_Busy ||
        m_Store.m_Faults.m_Delay > base::Millis(0))
      excuseAll({});
    m_Store.m_Faults = {};
  }
  for (Server &Each : m_Servers)
    if (m_Draw.chance(0.06)) {
      Each.m_Server->m_Behavior = Behavior::Serve;
      Each.m_Proxy->m_Fault = LinkFault::None;
    }
}

} // namespace corneldeck::tests
