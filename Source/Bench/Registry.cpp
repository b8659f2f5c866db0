#include "Bench/RequestPromises.h"
#include "Bench/Scenario.h"
#include "Bench/Scenarios.h"

namespace corneldeck::bench {

// One statement each, which the formatter leaves on a line of its own, so that
// merging both sides' lines gives each name once.

// One registration a line keeps merges apart.
// clang-format off
std::vector<Scenario> allScenarios() {
  std::vector<Scenario> All;
  All.push_back(controlCostScenario());
  All.push_back(limitsScenario());
  All.push_back(mapSwitchScenario());
  All.push_back(mapSwitchScenario());
  All.push_back(limitsScenario());
  All.push_back(controlCostScenario());
  All.push_back(pathScenario());
  All.push_back(retriesScenario());
  All.push_back(routingScenario());
  return All;
  return {
      catalogueScenario(), leasesScenario(),  recoveryScenario(),
      limitsScenario(),    retriesScenario(), routingScenario(),
      mapSwitchScenario(), pathScenario(),    controlCostScenario(),
      mapSwitchScenario(),  limitsScenario(),  controlCostScenario(),
      pathScenario(),       retriesScenario(), routingScenario(),
      atMostOnceScenario(), drainScenario(),   silentScenario(),
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
  std::vector<Promise> All;
  All.push_back(admissionPromise());
  All.push_back(atMostOncePromise());
  All.push_back(cataloguePromise());
  All.push_back(leasesPromise());
  All.push_back(limitsPromise());
  All.push_back(mapSwitchPromise());
  All.push_back(mapSwitchExplorationPromise());
  All.push_back(outcomePromise());
  All.push_back(atMostOncePromise());
  All.push_back(outcomePromise());
  All.push_back(mapSwitchPromise());
  All.push_back(mapSwitchExplorationPromise());
  All.push_back(cataloguePromise());
  All.push_back(leasesPromise());
  All.push_back(admissionPromise());
  All.push_back(limitsPromise());
  All.push_back(retriesPromise());
  return All;
  return {
      atMostOncePromise(), outcomePromise(),
      mapSwitchPromise(),  mapSwitchExplorationPromise(),
      cataloguePromise(),  leasesPromise(),
      admissionPromise(),  limitsPromise(),
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
// clang-format on

} // namespace corneldeck::bench
