#include "Bench/Scenarios.h"

namespace corneldeck::bench {

std::vector<Scenario> allScenarios() {
  return {
      catalogueScenario(), leasesScenario(),  recoveryScenario(),
      limitsScenario(),    retriesScenario(), routingScenario(),
  };
}

std::vector<Promise> allPromises() {
  return {
      cataloguePromise(),
      leasesPromise(),
  };
}

} // namespace corneldeck::bench
