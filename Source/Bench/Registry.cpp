#include "Bench/Promises.h"
#include "Bench/Scenario.h"
#include "Bench/Scenarios.h"

namespace corneldeck::bench {

std::vector<Scenario> allScenarios() {
  return {
      mapSwitchScenario(),
  };
}

std::vector<Promise> allPromises() {
  return {
      mapSwitchPromise(),
      mapSwitchExplorationPromise(),
  };
}

} // namespace corneldeck::bench
