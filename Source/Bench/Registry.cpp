#include "Bench/RequestPromises.h"
#include "Bench/Scenario.h"
#include "Bench/Scenarios.h"

namespace corneldeck::bench {

std::vector<Scenario> allScenarios() {
  return {
      mapSwitchScenario(), limitsScenario(),  controlCostScenario(),
      pathScenario(),      retriesScenario(), routingScenario(),
      catalogueScenario(), leasesScenario(),  recoveryScenario(),
  };
}

std::vector<Promise> allPromises() {
  return {
      atMostOncePromise(), outcomePromise(),
      mapSwitchPromise(),  mapSwitchExplorationPromise(),
      cataloguePromise(),  leasesPromise(),
      admissionPromise(),  limitsPromise(),
      retriesPromise(),
  };
}

} // namespace corneldeck::bench
