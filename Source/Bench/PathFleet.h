#ifndef CORNELDECK_BENCH_PATHFLEET_H
#define CORNELDECK_BENCH_PATHFLEET_H

#include "Agent/AgentDaemon.h"
#include "Bench/ThreadedLoop.h"
#include "Entry/EntryDaemon.h"
#include "Standin/EngineRole.h"
#include "Standin/LogRole.h"
#include "Standin/ServiceRole.h"

#include <memory>
#include <string>

namespace corneldeck::bench {

/// One entry, an agent before an engine and one before a plain service, each
/// on a thread of its own, and the stand-ins on another.
class PathFleet {
public:
  PathFleet();
  ~PathFleet();
  PathFleet(const PathFleet &) = delete;
  PathFleet &operator=(const PathFleet &) = delete;

  /// Starts all and publishes the entries "model" and "service".
  /// \returns nothing once a request would be admitted, or what went wrong.
  base::Result<void> start();

  [[nodiscard]] const std::string &entryAddress() const {
    return m_EntrySettings.m_HttpAddress;
  }
  [[nodiscard]] const std::string &engineAddress() const { return m_Engine; }
  [[nodiscard]] const std::string &serviceAddress() const { return m_Service; }

  ThreadedLoop &entryLoop() { return m_EntryLoop; }
  ThreadedLoop &engineAgentLoop() { return m_EngineAgentLoop; }
  ThreadedLoop &serviceAgentLoop() { return m_ServiceAgentLoop; }

private:
  void startStandins();
  agent::AgentSettings agentSettings(const std::string &Server,
                                     agent::BackendKind Kind,
                                     const std::string &Backend) const;
  base::Result<void> publish();
  base::Result<void> waitReady();

  ThreadedLoop m_StandinLoop;
  ThreadedLoop m_EntryLoop;
  ThreadedLoop m_EngineAgentLoop;
  ThreadedLoop m_ServiceAgentLoop;
  std::string m_Log;
  std::string m_Engine;
  std::string m_Service;
  std::unique_ptr<standin::LogRole> m_LogRole;
  std::unique_ptr<standin::EngineRole> m_EngineRole;
  std::unique_ptr<standin::ServiceRole> m_ServiceRole;
  entry::EntrySettings m_EntrySettings;
  agent::AgentSettings m_EngineAgentSettings;
  agent::AgentSettings m_ServiceAgentSettings;
  std::unique_ptr<entry::EntryDaemon> m_EntryDaemon;
  std::unique_ptr<agent::AgentDaemon> m_EngineAgent;
  std::unique_ptr<agent::AgentDaemon> m_ServiceAgent;
};

} // namespace corneldeck::bench

#endif
