#include "Bench/RequestPromises.h"
#include "Bench/Scenario.h"
#include "Bench/Scenarios.h"

namespace corneldeck::bench {

std::vector<Scenario> allScenarios() {
  return {
      limitsScenario(),
      retriesScenario(),
      routingScenario(),
  };
}

std::vector<Promise> allPromises() {
  return {
      atMostOncePromise(),
      outcomePromise(),
      cataloguePromise(),
  };
}

} // namespace corneldeck::bench
