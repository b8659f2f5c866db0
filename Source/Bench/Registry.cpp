#include "Bench/RequestPromises.h"
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
