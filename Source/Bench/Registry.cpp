#include "Bench/Scenario.h"
#include "Bench/Scenarios.h"

namespace corneldeck::bench {

std::vector<Scenario> allScenarios() {
  return {
      mapSwitchScenario(), limitsScenario(),  controlCostScenario(),
      pathScenario(),      retriesScenario(), routingScenario(),
  };
}

std::vector<Promise> allPromises() {
  return {
      admissionPromise(), mapSwitchPromise(), mapSwitchExplorationPromise(),
      cataloguePromise(), limitsPromise(),    retriesPromise(),
      leasesPromise(),
  };
}

} // namespace corneldeck::bench
