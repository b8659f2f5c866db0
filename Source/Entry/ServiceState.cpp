#include "Entry/ServiceState.h"

#include <algorithm>
#include <utility>

namespace corneldeck::entry {

ServiceState::ServiceState(std::string Zone, std::uint64_t Seed)
    : m_Dispatcher(routing::DispatcherSettings{}, std::move(Zone), Seed),
      m_Budget(routing::RetryBudgetSettings{}) {}

void ServiceState::setEntry(
    const std::shared_ptr<const catalogue::Entry> &Entry) {
  std::vector<routing::ReplicaInfo> Replicas;
  m_Servers.clear();
  for (const catalogue::BackendServer &Server : Entry->m_BackendServers) {
    m_Servers.push_back(Server.m_Name);
    Replicas.push_back({Server.m_Name, Server.m_Zone});
  }
  chooser().setReplicas(Replicas);
}

void ServiceState::onLoad(base::Millis Now, const std::string &Agent,
                          const wire::Load &Load) {
  if (!has(Agent))
    return;
  routing::ReplicaReport Report;
  Report.m_Running = Load.running();
  Report.m_Queued = Load.queued();
  Report.m_Capacity = Load.capacity();
  Report.m_PendingTokens = Load.tokens_ahead();
  Report.m_StepMicros = Load.step_us();
  Report.m_Draining = Load.leaving();
  Report.m_OutOfService = Load.out_of_service();
  chooser().onReport(Now, Agent, Report);
  const std::vector<std::uint64_t> Added(Load.cached_blocks().begin(),
                                         Load.cached_blocks().end());
  const std::vector<std::uint64_t> Evicted(Load.evicted_blocks().begin(),
                                           Load.evicted_blocks().end());
  chooser().onCacheEvents(Now, Agent, Load.cache_event_sequence(), Added,
                          Evicted);
}

bool ServiceState::has(const std::string &Agent) const {
  return std::find(m_Servers.begin(), m_Servers.end(), Agent) !=
         m_Servers.end();
}

} // namespace corneldeck::entry
