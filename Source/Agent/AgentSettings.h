#ifndef CORNELDECK_AGENT_AGENTSETTINGS_H
#define CORNELDECK_AGENT_AGENTSETTINGS_H

#include "Base/Error.h"
#include "Settings/Reader.h"

#include <string>
#include <vector>

namespace corneldeck::agent {

/// What stands behind an agent.
enum class BackendKind { Engine, Service };

/// The checked settings of corneldeck-agent.
struct AgentSettings {
  /// Name of the backend server in the catalogue.
  std::string m_BackendServer;
  std::string m_Zone;
  /// Where entries connect.
  std::string m_LinkAddress;
  /// Where other processes send control messages.
  std::string m_ControlAddress;
  /// Where /health, /ready, /metrics and /timeline are served.
  std::string m_HttpAddress;
  std::string m_LogAddress;
  /// Control addresses of entries.
  std::vector<std::string> m_Entries;
  BackendKind m_Kind = BackendKind::Engine;
  std::string m_BackendAddress;
  std::uint32_t m_MaxRunning = 256;
  /// The longest time that a planned stop waits for requests in flight.
  base::Millis m_StopTimeout{};
  std::size_t m_TimelineEvents = 0;
  bool m_LogRequests = false;
};

/// Reads and checks the settings.
/// \returns the settings, or BadSettings with every problem, one a line.
base::Result<AgentSettings> readAgentSettings(settings::Reader Reader);

} // namespace corneldeck::agent

#endif
