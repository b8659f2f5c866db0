#include "Bench/RequestPromises.h"
#include "Bench/Scenario.h"

namespace corneldeck::bench {

std::vector<Scenario> allScenarios() { return {}; }

std::vector<Promise> allPromises() {
  return {
      atMostOncePromise(),
      outcomePromise(),
  };
}

} // namespace corneldeck::bench
