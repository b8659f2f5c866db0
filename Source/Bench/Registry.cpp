#include "Bench/RequestPromises.h"
#include "Bench/Scenario.h"
#include "Bench/Scenarios.h"

namespace corneldeck::bench {

std::vector<Scenario> allScenarios() {
  return {
      mapSwitchScenario(),   rebalanceScenario(), limitsScenario(),
      retriesScenario(),     routingScenario(),   mapSwitchScenario(),
      limitsScenario(),      pathScenario(),      retriesScenario(),
      routingScenario(),     mapSwitchScenario(), limitsScenario(),
      controlCostScenario(), pathScenario(),      retriesScenario(),
      routingScenario(),
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
