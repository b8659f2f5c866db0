#include "Bench/Scenario.h"
#include "Bench/Scenarios.h"

namespace corneldeck::bench {

std::vector<Scenario> allScenarios() {
  return {
      catalogueScenario(), leasesScenario(),  recoveryScenario(),
      limitsScenario(),    retriesScenario(), routingScenario(),
      mapSwitchScenario(), pathScenario(),    controlCostScenario(),
  };
}

std::vector<Promise> allPromises() {
  return {
      mapSwitchPromise(),
      mapSwitchExplorationPromise(),
      cataloguePromise(),
      leasesPromise(),
  };
}

} // namespace corneldeck::bench
