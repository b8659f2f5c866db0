#include "Bench/Scenarios.h"

namespace corneldeck::bench {

std::vector<Scenario> allScenarios() {
  return {
      routingScenario(),
  };
}

std::vector<Promise> allPromises() { return {}; }

} // namespace corneldeck::bench
