#ifndef CORNELDECK_AGENT_AGENTSETTINGS_H
#define CORNELDECK_AGENT_AGENTSETTINGS_H

#include "Base/Error.h"
#include "Settings/Reader.h"

#include <string>
#include <vector>

namespace corneldeck::agent {

/// The kind of backend server behind an agent.
enum class BackendKind { Engine, Service };

/// The validated settings of corneldeck-agent.
struct AgentSettings {
  /// Name of the backend server in the catalogue.
  std::string m_BackendServer;
  std::string m_Zone;
  /// Address for the connections of entries, "ip:port".
  std::string m_LinkAddress;
  /// Address for control messages from other processes, "ip:port".
  std::string m_ControlAddress;
  /// Address of the HTTP pages /health, /ready, /metrics, /timeline and /drain.
  std::string m_HttpAddress;
  std::string m_LogAddress;
  /// Control addresses of entries.
  std::vector<std::string> m_Entries;
  BackendKind m_Kind = BackendKind::Engine;
  std::string m_BackendAddress;
  std::uint32_t m_MaxRunning = 256;
  /// Maximum time that a graceful stop waits for requests in flight.
  base::Millis m_StopTimeout{};
  std::size_t m_TimelineEvents = 0;
  bool m_LogRequests = false;
};

/// Reads and validates the settings.
/// \returns the settings, or BadSettings with all problems, one per line.
base::Result<AgentSettings> readAgentSettings(settings::Reader Reader);

} // namespace corneldeck::agent

#endif
