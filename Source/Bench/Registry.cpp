#include "Bench/RequestPromises.h"
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
      atMostOncePromise(),           outcomePromise(),   mapSwitchPromise(),
      mapSwitchExplorationPromise(), cataloguePromise(), leasesPromise(),
      admissionPromise(),
      mapSwitchPromise(),
      mapSwitchExplorationPromise(),
      cataloguePromise(),
      limitsPromise(),
      retriesPromise(),
  };
}

} // namespace corneldeck::bench
