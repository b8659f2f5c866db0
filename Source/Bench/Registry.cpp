#include "Bench/RequestPromises.h"
#include "Bench/Scenario.h"
#include "Bench/Scenarios.h"

namespace corneldeck::bench {

// One registration a line keeps merges apart.
// clang-format off
std::vector<Scenario> allScenarios() {
  return {
      controlCostScenario(),
      limitsScenario(),
      mapSwitchScenario(),
      pathScenario(),
      retriesScenario(),
      routingScenario(),
  };
}

std::vector<Promise> allPromises() {
  return {
      admissionPromise(),
      atMostOncePromise(),
      cataloguePromise(),
      leasesPromise(),
      limitsPromise(),
      mapSwitchExplorationPromise(),
      mapSwitchPromise(),
      outcomePromise(),
      retriesPromise(),
  };
}
// clang-format on

} // namespace corneldeck::bench
