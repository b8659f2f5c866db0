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
      admissionPromise(),
      cataloguePromise(),
      limitsPromise(),
      retriesPromise(),
  };
}

} // namespace corneldeck::bench
