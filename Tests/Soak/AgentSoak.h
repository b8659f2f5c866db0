#ifndef CORNELDECK_TESTS_SOAK_AGENTSOAK_H
#define CORNELDECK_TESTS_SOAK_AGENTSOAK_H

#include "Base/Clock.h"
#include "Base/Random.h"
#include "ChildProcess.h"
#include "Platform/EngineServers.h"
#include "Platform/StandinStore.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace corneldeck::tests {

/// A mistake of an engine; the soak of agents must report it.
enum class AgentPlant {
  None,
  MixedMaps,  ///< An engine switches to new maps one step late.
  GroupStands ///< The engines ignore the release of a held step.
};

/// What the soak of agents checks.
enum class AgentPromise {
  SameMaps, ///< No pass starts while ranks have different maps.
  Progress, ///< Passes go on, and maps follow the popularity.
  Process   ///< No agent ends by itself.
};

struct AgentSoakSettings {
  std::uint64_t m_Seed = 1;
  /// Duration of the part with faults.
  base::Millis m_Length = base::seconds(12);
  std::string m_AgentProgram;
  std::string m_Folder;
  AgentPlant m_Plant = AgentPlant::None;
  std::uint32_t m_Ranks = 6;
};

/// Runs the agents of one rank group as processes before stand-ins of their
/// engines and of the log, with random faults from outside. Checks that no pass
/// starts with different maps and, after the faults, that passes go on and that
/// maps follow the popularity of the experts.
class AgentSoak {
public:
  explicit AgentSoak(AgentSoakSettings Settings);

  /// Plays the whole run.
  void run();

  /// \returns whether the promise that the planted mistake breaks is reported.
  [[nodiscard]] bool isPlantFound() const;

  /// \returns the broken promises, one line each.
  [[nodiscard]] const std::vector<std::string> &violations() const {
    return m_Violations;
  }
  [[nodiscard]] std::string summary() const;

private:
  struct Agent {
    std::string m_Name;
    std::unique_ptr<ChildProcess> m_Process;
    base::Millis m_RestartAt{};
    base::Millis m_ContinueAt{};
  };

  void publish();
  void addAgent(std::uint32_t Rank);
  void runFor(base::Millis Duration, base::Millis FaultInterval);
  void injectFault();
  void faultOfAgent(base::Random &Draw);
  void faultOfStore(base::Random &Draw);
  void heal();
  void healAll();
  /// Checks the passes and the maps of a group without faults.
  void checkRecovery();
  void violate(AgentPromise Broken, const std::string &What);
  [[nodiscard]] base::Millis now() const { return m_Clock.now(); }

  const AgentSoakSettings m_Settings;
  const base::Clock m_Clock = base::steadyClock();
  /// When the faults of the store end; zero if it has none.
  base::Millis m_StoreHealsAt{};
  boost::asio::io_context m_Loop{1};
  StandinStore m_Store{m_Loop};
  std::string m_StoreAddress;
  EngineServers m_Engines;
  std::vector<Agent> m_Agents;
  /// Whether the store has kept a copy to return to.
  bool m_HasCopy = false;
  std::size_t m_Faults = 0;
  std::uint64_t m_SwitchesWithFaults = 0;
  std::vector<std::string> m_Violations;
  std::set<AgentPromise> m_Broken;
};

} // namespace corneldeck::tests

#endif
