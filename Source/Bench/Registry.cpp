#include "Bench/RequestPromises.h"
#include "Bench/Scenario.h"
#include "Bench/Scenarios.h"

namespace corneldeck::bench {

std::vector<Scenario> allScenarios() {
  // clang-format off
  return {
      controlCostScenario(),
      limitsScenario(),
      mapSwitchScenario(),
      pathScenario(),
      rebalanceScenario(),
      retriesScenario(),
      routingScenario(),
  };
  // clang-format on
}

std::vector<Promise> allPromises() {
  // clang-format off
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
  // clang-format on
}

} // namespace corneldeck::bench
